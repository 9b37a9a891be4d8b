//! What is told and logged of a statement that was not served plainly.

use hookpoint_coordination::serving::session::Access;
use hookpoint_coordination::serving::topology::{Consistency, Route};
use hookpoint_state::DatabaseName;

use super::{Request, Work};
use crate::message::{Failure, FailureCode};
use crate::units::millis;

/// Hint told with a refusal.
const RETRY_HINT: &str = "nothing was kept; retry after 250 ms";

/// What was tried for a statement.
#[derive(Debug)]
pub(super) struct Tried {
    pub(super) attempts: u32,
    pub(super) database: Option<DatabaseName>,
    pub(super) last_failure: &'static str,
}

impl Default for Tried {
    fn default() -> Self {
        Self {
            attempts: 0,
            database: None,
            last_failure: "none",
        }
    }
}

impl Request<'_> {
    /// The final answer to a request that is given up.
    pub(super) fn refusal(&self, reason: &'static str) -> Failure {
        self.node.counters.count("refused", reason);
        Failure::new(FailureCode::Overloaded, RETRY_HINT)
    }

    pub(super) fn log_outcome(&self, work: &Work, tried: &Tried, outcome: &'static str) {
        let now = self.node.now();
        let (leader, reign, confirmed_at, sample) =
            self.node.with_group(&self.route.group, |state| {
                (
                    state
                        .leadership
                        .leader()
                        .map(|name| name.as_str().to_owned()),
                    state.leadership.reign(),
                    state.leadership.confirmed_at(),
                    state.leadership.newest_sample(),
                )
            });
        let version = self.node.configuration_version();
        self.node.log(
            "statement_decided",
            &[
                ("request", String::from_utf8_lossy(&work.id).as_ref().into()),
                ("group", self.route.group.as_str().into()),
                ("consistency", consistency_name(self.route).into()),
                ("access", access_name(work.access).into()),
                ("configuration", version.into()),
                ("leader", leader.into()),
                ("reign", reign.0.into()),
                ("confirmed_ms_ago", millis(now.since(confirmed_at)).into()),
                (
                    "sample_ms_ago",
                    sample.map(|(at, _)| millis(now.since(at))).into(),
                ),
                ("held_ms", millis(now.since(self.arrived)).into()),
                ("attempts", tried.attempts.into()),
                (
                    "database",
                    tried.database.as_ref().map(DatabaseName::as_str).into(),
                ),
                ("last_failure", tried.last_failure.into()),
                ("outcome", outcome.into()),
            ],
        );
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

fn access_name(access: Access) -> &'static str {
    match access {
        Access::Read => "read",
        Access::Write => "write",
    }
}
