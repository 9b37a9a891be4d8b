//! What is told and logged of a statement that was not served plainly.

use std::time::Duration;

use hookpoint_coordination::serving::placement::Obstacle;
use hookpoint_coordination::serving::session::Access;
use hookpoint_coordination::serving::topology::{Consistency, Route};
use hookpoint_state::{DatabaseName, RegionName};
use serde_json::Value;

use super::attempt::AttemptFailure;
use super::{Request, Work};
use crate::message::{Failure, FailureCode};
use crate::units::millis;

/// Hint told with a refusal.
const RETRY_HINT: &str = "nothing was kept; retry after 250 ms";

/// Told with a refusal where it is not known when a retry may succeed.
const OUT_OF_PLACE: &str = "nothing was kept; no database in the allowed regions can run this";
/// Longest time to return that is told to a caller: by then another database may serve it.
const LONGEST_HINT: Duration = Duration::from_secs(2);

/// What was tried for a statement.
#[derive(Debug)]
pub(super) struct Tried {
    pub(super) attempts: u32,
    pub(super) database: Option<DatabaseName>,
    pub(super) last_failure: &'static str,
    /// Whether the queue of some database was too long.
    pub(super) overloaded: bool,
    /// Why it was refused, if it was.
    pub(super) refused_for: Option<&'static str>,
    /// When a cold database takes a request again, if one was asked.
    pub(super) cold_for: Option<Duration>,
}

impl Default for Tried {
    fn default() -> Self {
        Self {
            attempts: 0,
            database: None,
            last_failure: "none",
            overloaded: false,
            refused_for: None,
            cold_for: None,
        }
    }
}

impl Tried {
    /// Takes in why an attempt did not run.
    pub(super) fn note(&mut self, failure: AttemptFailure) {
        self.last_failure = failure.as_str();
        self.overloaded |= failure == AttemptFailure::Overloaded;
        if let AttemptFailure::Cold { retry_after } = failure {
            let sooner = |known: Duration| known.min(retry_after);
            self.cold_for = Some(self.cold_for.map_or(retry_after, sooner));
        }
    }

    /// Whether waiting for another database serves nobody: one that would do is too loaded.
    pub(super) fn is_refused(&self) -> bool {
        self.overloaded || self.cold_for.is_some()
    }
}

impl Request<'_> {
    /// The answer to a request whose databases are too loaded, or cold; logged and counted.
    pub(super) fn refuse_for_load(&self, work: &Work, mut tried: Tried) -> Failure {
        let cold_for = tried.cold_for.filter(|_| !tried.overloaded);
        let Some(retry_after) = cold_for else {
            return self.refuse(work, tried, "overloaded");
        };
        tried.refused_for = Some("cold");
        self.log_outcome(work, &tried, "refused");
        self.node.counters.count("refused", "cold");
        let hint = millis(retry_after.min(LONGEST_HINT)).max(1);
        let text =
            format!("the database has just started, nothing was kept; retry after {hint} ms");
        Failure::new(FailureCode::Overloaded, text)
    }

    /// The final answer to a request that is given up; logged and counted.
    pub(super) fn refuse(&self, work: &Work, mut tried: Tried, reason: &'static str) -> Failure {
        tried.refused_for = Some(reason);
        self.log_outcome(work, &tried, "refused");
        self.node.counters.count("refused", reason);
        Failure::new(FailureCode::Overloaded, RETRY_HINT)
    }

    /// The same for one that no permitted database can run.
    pub(super) fn refuse_misplaced(
        &self,
        work: &Work,
        mut tried: Tried,
        obstacle: Obstacle,
    ) -> Failure {
        tried.refused_for = Some(obstacle.as_str());
        self.log_outcome(work, &tried, "refused");
        self.node.counters.count("refused", "region");
        Failure::new(FailureCode::Overloaded, OUT_OF_PLACE)
    }

    /// Logs a statement that was not served plainly.
    pub(super) fn log_outcome(&self, work: &Work, tried: &Tried, outcome: &'static str) {
        let fields = self.outcome_fields(&work.id, access_name(work.access), tried, outcome);
        self.node.log("statement_decided", &fields);
    }

    /// Logs a statement or a commit that was served at the first attempt.
    pub(super) fn log_served(&self, id: &[u8], kind: &'static str, database: &DatabaseName) {
        let node = self.node;
        let tried = || Tried {
            attempts: 1,
            database: Some(database.clone()),
            ..Tried::default()
        };
        let fields = || self.outcome_fields(id, kind, &tried(), "served");
        node.events
            .write_ordinary(node.now(), "statement_served", fields);
    }

    /// What decided a statement, with the age of each input.
    fn outcome_fields(
        &self,
        id: &[u8],
        kind: &'static str,
        tried: &Tried,
        outcome: &'static str,
    ) -> Vec<(&'static str, Value)> {
        let now = self.node.now();
        let (leader, reign, confirmed_at, sample) =
            self.node.with_group(&self.route.group, |state| {
                (
                    state.leadership.leader().cloned(),
                    state.leadership.reign(),
                    state.leadership.confirmed_at(),
                    state.leadership.newest_sample(),
                )
            });
        let name = |database: &Option<DatabaseName>| -> Value {
            database.as_ref().map(DatabaseName::as_str).into()
        };
        let placement = self.placement();
        let allowed = placement.allowed_regions();
        let allowed: Option<Vec<&str>> =
            allowed.map(|regions| regions.iter().map(RegionName::as_str).collect());
        let sample_age = sample.map(|(asked_at, _)| millis(now.since(asked_at)));
        vec![
            ("request", String::from_utf8_lossy(id).as_ref().into()),
            ("group", self.route.group.as_str().into()),
            ("consistency", consistency_name(self.route).into()),
            ("access", kind.into()),
            ("configuration", self.node.configuration_version().into()),
            ("leader", name(&leader)),
            ("reign", reign.0.into()),
            ("confirmed_ms_ago", millis(now.since(confirmed_at)).into()),
            ("sample_ms_ago", sample_age.into()),
            ("held_ms", millis(now.since(self.arrived)).into()),
            ("attempts", tried.attempts.into()),
            ("database", name(&tried.database)),
            ("leaving_ms", self.leaving_ms(tried.database.as_ref())),
            ("last_failure", tried.last_failure.into()),
            ("outcome", outcome.into()),
            ("reason", tried.refused_for.into()),
            ("allowed_regions", allowed.into()),
        ]
    }
}

impl Request<'_> {
    /// How much of the time of a database that leaves is over by now; null if it does not.
    fn leaving_ms(&self, database: Option<&DatabaseName>) -> Value {
        let age = database.and_then(|database| self.node.leaving_for(database));
        age.map(millis).into()
    }

    /// Logs that a statement is sent to a database that leaves, after it waited for a connection.
    pub(super) fn log_sent_to_leaving(
        &self,
        work: &Work,
        database: &DatabaseName,
        waited: Duration,
    ) {
        let Some(age) = self.node.leaving_for(database) else {
            return;
        };
        let fields = || {
            vec![
                ("request", String::from_utf8_lossy(&work.id).as_ref().into()),
                ("database", database.as_str().into()),
                ("leaving_ms", millis(age).into()),
                ("waited_ms", millis(waited).into()),
            ]
        };
        let node = self.node;
        node.events
            .write_ordinary(node.now(), "sent_to_leaving", fields);
    }
}

/// The answer to a transaction whose connection was lost before its commit was sent.
pub(crate) fn rolled_back() -> Failure {
    Failure::new(FailureCode::RolledBack, RETRY_HINT)
}

fn consistency_name(route: &Route) -> &'static str {
    match route.consistency {
        Consistency::Primary => "primary",
        Consistency::BoundedStaleness(_) => "bounded",
        Consistency::ReadYourWrites(_) => "own_writes",
    }
}

pub(super) fn access_name(access: Access) -> &'static str {
    match access {
        Access::Read => "read",
        Access::Write => "write",
    }
}
