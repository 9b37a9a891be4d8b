//! Failure answers and log records of statements.

use std::time::Duration;

use hookpoint_coordination::serving::placement::PlacementError;
use hookpoint_coordination::serving::session::Access;
use hookpoint_coordination::serving::topology::{Consistency, Route};
use hookpoint_state::{DatabaseName, RegionName};
use serde_json::Value;

use super::attempt::AttemptFailure;
use super::{Request, Work};
use crate::leaders::format_position;
use crate::message::{Failure, FailureCode};
use crate::units::millis;

/// Error text of a refusal, with a retry hint.
const RETRY_HINT: &str = "nothing was kept; retry after 250 ms";

/// Error text of a refusal for which it is not known when a retry may succeed.
const NO_ALLOWED_DATABASE: &str =
    "nothing was kept; no database in the allowed regions can run this";
/// Maximum retry hint for a cold database: after this time another database may serve the caller.
const MAX_RETRY_HINT: Duration = Duration::from_secs(2);

/// The attempts made for one statement.
#[derive(Debug)]
pub(super) struct AttemptSummary {
    pub(super) attempts: u32,
    pub(super) database: Option<DatabaseName>,
    pub(super) last_failure: &'static str,
    /// Whether the wait queue of at least one database was too long.
    pub(super) overloaded: bool,
    /// Why the statement was refused; `None` if it was not.
    pub(super) refusal_reason: Option<&'static str>,
    /// Shortest time until a cold database that was tried takes a request again; `None` if none
    /// was tried.
    pub(super) cold_retry_after: Option<Duration>,
}

impl Default for AttemptSummary {
    fn default() -> Self {
        Self {
            attempts: 0,
            database: None,
            last_failure: "none",
            overloaded: false,
            refusal_reason: None,
            cold_retry_after: None,
        }
    }
}

impl AttemptSummary {
    /// Records why an attempt did not run.
    pub(super) fn note(&mut self, failure: AttemptFailure) {
        self.last_failure = failure.as_str();
        self.overloaded |= failure == AttemptFailure::Overloaded;
        if let AttemptFailure::Cold { retry_after } = failure {
            let sooner = |known: Duration| known.min(retry_after);
            self.cold_retry_after = Some(self.cold_retry_after.map_or(retry_after, sooner));
        }
    }

    /// Returns whether a database that could serve the statement is overloaded or cold, so that
    /// waiting for another one is of no use.
    pub(super) fn should_refuse(&self) -> bool {
        self.overloaded || self.cold_retry_after.is_some()
    }
}

impl Request<'_> {
    /// Logs and counts the refusal of a request whose databases are overloaded or cold.
    pub(super) fn refuse_for_load(&self, work: &Work, mut summary: AttemptSummary) -> Failure {
        let cold_retry_after = summary.cold_retry_after.filter(|_| !summary.overloaded);
        let Some(retry_after) = cold_retry_after else {
            return self.refuse(work, summary, "overloaded");
        };
        summary.refusal_reason = Some("cold");
        self.log_outcome(work, &summary, "refused");
        self.node.counters.count("refused", "cold");
        let hint = millis(retry_after.min(MAX_RETRY_HINT)).max(1);
        let text =
            format!("the database has just started, nothing was kept; retry after {hint} ms");
        Failure::new(FailureCode::Overloaded, text)
    }

    /// Logs and counts the refusal of a request for `reason`.
    pub(super) fn refuse(
        &self,
        work: &Work,
        mut summary: AttemptSummary,
        reason: &'static str,
    ) -> Failure {
        summary.refusal_reason = Some(reason);
        self.log_outcome(work, &summary, "refused");
        self.node.counters.count("refused", reason);
        Failure::new(FailureCode::Overloaded, RETRY_HINT)
    }

    /// Logs and counts the refusal of a request that no database in the allowed regions can run.
    pub(super) fn refuse_for_region(
        &self,
        work: &Work,
        mut summary: AttemptSummary,
        placement_error: PlacementError,
    ) -> Failure {
        summary.refusal_reason = Some(placement_error.as_str());
        self.log_outcome(work, &summary, "refused");
        self.node.counters.count("refused", "region");
        Failure::new(FailureCode::Overloaded, NO_ALLOWED_DATABASE)
    }

    /// Logs a statement that was not served at its first attempt.
    pub(super) fn log_outcome(&self, work: &Work, summary: &AttemptSummary, outcome: &'static str) {
        let fields = self.outcome_fields(&work.id, access_name(work.access), summary, outcome);
        self.node.log("statement_decided", &fields);
    }

    /// Logs a statement or a commit that was served at the first attempt.
    pub(super) fn log_served(&self, id: &[u8], kind: &'static str, database: &DatabaseName) {
        let node = self.node;
        let summary = || AttemptSummary {
            attempts: 1,
            database: Some(database.clone()),
            ..AttemptSummary::default()
        };
        let fields = || self.outcome_fields(id, kind, &summary(), "served");
        node.events
            .write_ordinary(node.now(), "statement_served", fields);
    }

    /// Returns the log fields of a statement: the state that its routing was based on, with the age
    /// of each input, and the outcome.
    fn outcome_fields(
        &self,
        id: &[u8],
        kind: &'static str,
        summary: &AttemptSummary,
        outcome: &'static str,
    ) -> Vec<(&'static str, Value)> {
        let now = self.node.now();
        let (leader, leadership_period, confirmed_at, sample) =
            self.node.with_group(&self.route.group, |state| {
                (
                    state.leadership.leader().cloned(),
                    state.leadership.leadership_period(),
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
            ("reign", leadership_period.0.into()),
            ("confirmed_ms_ago", millis(now.since(confirmed_at)).into()),
            ("sample_ms_ago", sample_age.into()),
            (
                "required",
                self.required_position().map(format_position).into(),
            ),
            ("held_ms", millis(now.since(self.arrived)).into()),
            ("attempts", summary.attempts.into()),
            ("database", name(&summary.database)),
            ("leaving_ms", self.leaving_ms(summary.database.as_ref())),
            ("last_failure", summary.last_failure.into()),
            ("outcome", outcome.into()),
            ("reason", summary.refusal_reason.into()),
            ("allowed_regions", allowed.into()),
        ]
    }
}

impl Request<'_> {
    /// Returns for how many milliseconds a database has been draining; null if it is not draining.
    fn leaving_ms(&self, database: Option<&DatabaseName>) -> Value {
        let age = database.and_then(|database| self.node.draining_for(database));
        age.map(millis).into()
    }

    /// Logs that a statement is sent to a draining database, and how long it waited for a
    /// connection.
    pub(super) fn log_sent_to_draining(
        &self,
        work: &Work,
        database: &DatabaseName,
        waited: Duration,
    ) {
        let Some(age) = self.node.draining_for(database) else {
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

/// Returns the failure for a transaction that ended before its commit was sent.
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
