//! Routes one statement to a database that may serve it and returns the answer.

mod attempt;
mod evacuated;
mod outcome;
mod quota;
mod region_restriction;
mod target;
mod transaction;
mod transaction_mode;

use std::cell::Cell;
use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hookpoint_coordination::serving::own_writes::OwnWrites;
use hookpoint_coordination::serving::placement::RequiredDatabase;
use hookpoint_coordination::serving::session::{Access, Phase, PreparedShape, SessionState};
use hookpoint_coordination::serving::tenancy::Principal;
use hookpoint_coordination::serving::topology::Route;
use hookpoint_state::{DatabaseName, Position, Timestamp};
use tokio::time::{sleep, timeout};

use self::attempt::{Attempt, AttemptFailure};
use self::evacuated::EvacuationWait;
pub(crate) use self::outcome::rolled_back;
use self::outcome::{AttemptSummary, access_name};
use self::target::Target;
use crate::connection::Answer;
use crate::lease::Lease;
use crate::message::{Command, Failure, FailureCode};
use crate::node::Node;
use crate::primary_lease::LEASE_RECOVERY_LIMIT;

/// Minimum time left for another attempt at a read; also the pause after some failed attempts.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(10);
/// Minimum time left to send a write. A write that is sent but not answered in time has an
/// unknown outcome, while the caller can retry one that was not sent.
const MIN_WRITE_ATTEMPT_TIME: Duration = Duration::from_millis(200);
/// Pause before the next attempt after a database refused for load.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(15);
/// Maximum time between two searches for a usable database.
const TARGET_RECHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time within which a lost primary should have been replaced.
const EXPECTED_FAILOVER_TIME: Duration = Duration::from_secs(3);

/// Why a request stops waiting for a database.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NoTarget {
    /// No database is expected to become usable in time.
    NoDatabase,
    /// The only database that could run the statement is in an evacuated zone.
    ZoneEvacuated,
}

/// A caller's read or write.
#[derive(Clone, Debug)]
pub(crate) struct Work {
    pub id: Bytes,
    pub access: Access,
    pub body: WorkBody,
}

/// A statement's text, or a prepared shape with its arguments.
#[derive(Clone, Debug)]
pub(crate) enum WorkBody {
    Text(Bytes),
    Prepared {
        shape: PreparedShape,
        arguments: Bytes,
    },
}

impl Work {
    fn shape(&self) -> Option<&PreparedShape> {
        match &self.body {
            WorkBody::Text(_) => None,
            WorkBody::Prepared { shape, .. } => Some(shape),
        }
    }

    fn command(&self, after: Option<Position>) -> Command {
        match &self.body {
            WorkBody::Text(text) => Command::Run {
                id: self.id.clone(),
                after,
                text: text.clone(),
            },
            WorkBody::Prepared { shape, arguments } => Command::Execute {
                id: self.id.clone(),
                after,
                name: prepared_name(shape),
                arguments: arguments.clone(),
            },
        }
    }
}

/// Returns this node's name for a prepared shape, which is the same on every connection.
fn prepared_name(shape: &PreparedShape) -> String {
    let mut hasher = DefaultHasher::new();
    shape.hash(&mut hasher);
    format!("p{:016x}", hasher.finish())
}

/// One statement's routing context: the session it comes from and its time limits.
pub(crate) struct Request<'a> {
    pub node: &'a Rc<Node>,
    pub state: &'a SessionState,
    /// The route's name, as the caller gave it.
    pub name: &'a str,
    /// The route as it was when the request was admitted.
    pub route: &'a Route,
    /// The principal on whose behalf it runs.
    pub principal: &'a Principal,
    /// When the statement, or its transaction, arrived: bounded staleness is measured back from
    /// this time.
    pub freshness_base: Timestamp,
    /// When this statement arrived.
    pub arrived: Timestamp,
    /// The session's own writes.
    pub own_writes: &'a OwnWrites,
    /// Number of attempts at a read that timed out.
    pub read_timeouts: Cell<u32>,
}

/// The answer to a statement and the connection on which it ran.
pub(crate) struct ExecutedStatement {
    pub answer: Answer,
    pub lease: Lease,
    /// Whether a transaction that the statement opened is read-only.
    pub opened_read_only: bool,
}

impl Request<'_> {
    fn deadline(&self) -> Timestamp {
        self.arrived + self.route.statement_timeout
    }

    fn time_left(&self) -> Duration {
        self.deadline().since(self.node.now())
    }

    /// Returns the time until which the request waits for a database that may serve it.
    ///
    /// A request waits up to its deadline while a lost primary is being replaced. It is refused at
    /// once when the replacement has taken longer than `EXPECTED_FAILOVER_TIME`, when this node's
    /// primary lease lapsed `LEASE_RECOVERY_LIMIT` ago or earlier, and when this node is isolated.
    fn wait_deadline(&self, access: Access) -> Timestamp {
        let now = self.node.now();
        let lapsed = match access {
            Access::Write => self.node.write_lease_lapsed_since(&self.route.group),
            Access::Read => self.node.lease_lapsed_since(),
        };
        if lapsed.is_some_and(|since| now.since(since) >= LEASE_RECOVERY_LIMIT) {
            return now;
        }
        if self.node.isolated_since().is_some() {
            return now;
        }
        let lost_since = self.node.with_group(&self.route.group, |state| {
            state.contact.lost_since.or(state.leaderless_since)
        });
        let failover_since = lost_since
            .or_else(|| self.draining_leader_failover_since())
            .or_else(|| self.promotion_pending_since(access));
        match failover_since {
            Some(since) if now.since(since) >= EXPECTED_FAILOVER_TIME => now,
            _ => self.deadline(),
        }
    }

    /// Returns since when a draining primary that gets no more new work should be in failover:
    /// since this node learned that it is draining or since a promotion of another database was
    /// ordered, whichever is later.
    fn draining_leader_failover_since(&self) -> Option<Timestamp> {
        let leader = self.node.leader(&self.route.group)?;
        if self.node.accepts_new_work(&leader) {
            return None;
        }
        let draining_since = self.node.departure_learned_at(&leader)?;
        let ordered_at = self.node.with_group(&self.route.group, |state| {
            let (candidate, ordered_at) = state.promoting.as_ref()?;
            (*candidate != leader).then_some(*ordered_at)
        });
        Some(ordered_at.map_or(draining_since, |ordered_at| ordered_at.max(draining_since)))
    }

    /// Returns since when a promotion has been pending that withholds the group's writes; `None` if
    /// none is, or for a read.
    fn promotion_pending_since(&self, access: Access) -> Option<Timestamp> {
        match access {
            Access::Write => self.node.promotion_pending_since(&self.route.group),
            Access::Read => None,
        }
    }

    /// Waits until a database may have become usable; fails at once if none is expected to.
    async fn await_target(&self, access: Access, only_leader: bool) -> Result<(), NoTarget> {
        let limit = match self.evacuation_wait(only_leader) {
            Some(EvacuationWait::FailoverExpectedBy(limit)) => {
                limit.min(self.wait_deadline(access))
            }
            Some(EvacuationWait::NoFailover) => return Err(NoTarget::ZoneEvacuated),
            None => self.wait_deadline(access),
        };
        let left = limit.since(self.node.now());
        if left < MIN_ATTEMPT_TIME {
            return Err(NoTarget::NoDatabase);
        }
        self.node.note_primary_awaited(&self.route.group);
        let changed = self.node.leader_changed.notified();
        let _ = timeout(left.min(TARGET_RECHECK_INTERVAL), changed).await;
        Ok(())
    }

    /// Runs a single statement outside any transaction of the caller. Also returns the database
    /// that answered.
    pub(crate) async fn run_single(&self, work: &Work) -> Result<(Answer, DatabaseName), Failure> {
        self.check_placement(work, false)?;
        self.take_token(work).await?;
        let executed = self.run_until_answered(work, false).await?;
        let database = executed.lease.pool().database().clone();
        Ok((executed.answer, database))
    }

    /// Runs the first statement of a caller's transaction and returns the connection on which the
    /// transaction is open.
    pub(crate) async fn run_first_in_transaction(
        &self,
        work: &Work,
        read_only: bool,
    ) -> Result<ExecutedStatement, Failure> {
        self.check_placement(work, !read_only)?;
        self.take_token(work).await?;
        self.run_until_answered(work, !read_only).await
    }

    async fn run_until_answered(
        &self,
        work: &Work,
        read_write_transaction: bool,
    ) -> Result<ExecutedStatement, Failure> {
        let in_transaction = self.state.phase == Phase::InTransaction;
        self.node.note_use(&self.route.group);
        let mut excluded = BTreeSet::new();
        let mut summary = AttemptSummary::default();
        loop {
            if self.time_left() < min_attempt_time(work) {
                return Err(self.refuse(work, summary, "out_of_time"));
            }
            let (target, need) = match self.next_target(work, read_write_transaction, &excluded) {
                Ok((Some(target), need)) => (target, need),
                Ok((None, _)) if summary.should_refuse() => {
                    return Err(self.refuse_for_load(work, summary));
                }
                Ok((None, need)) => {
                    excluded.clear();
                    let only_leader = self.only_leader_serves(need);
                    if let Err(no_target) = self.await_target(work.access, only_leader).await {
                        return Err(self.refuse_without_target(work, summary, no_target));
                    }
                    continue;
                }
                Err(error) => return Err(self.refuse_for_region(work, summary, error)),
            };
            summary.attempts += 1;
            summary.database = Some(target.database().clone());
            let began = self.node.now();
            let attempt = self.attempt(work, &target, in_transaction).await;
            match attempt {
                Attempt::Answered(answered) => {
                    let (lease, answer) = *answered;
                    self.log_answered(work, &summary, target.database());
                    return Ok(ExecutedStatement {
                        answer,
                        lease,
                        opened_read_only: need == RequiredDatabase::AnyDatabase,
                    });
                }
                Attempt::Unknown => {
                    self.log_outcome(work, &summary, "outcome_unknown");
                    let text = "the write was sent and not answered";
                    return Err(Failure::new(FailureCode::OutcomeUnknown, text));
                }
                Attempt::NotRun(failure) => {
                    summary.note(failure);
                    if self.only_leader_serves(need) && summary.should_refuse() {
                        return Err(self.refuse_for_load(work, summary));
                    }
                    self.node
                        .counters
                        .count("attempts_failed", summary.last_failure);
                    self.handle_attempt_failure(failure, &target, began, &mut excluded)
                        .await;
                }
            }
        }
    }

    /// Returns whether only the primary can serve the statement at the moment: it needs the
    /// primary, or the position that a replica must hold for its reads is not known.
    fn only_leader_serves(&self, need: RequiredDatabase) -> bool {
        need == RequiredDatabase::Primary || self.required_position().is_none()
    }

    fn refuse_without_target(
        &self,
        work: &Work,
        summary: AttemptSummary,
        no_target: NoTarget,
    ) -> Failure {
        match no_target {
            NoTarget::NoDatabase => self.refuse(work, summary, "no_database"),
            NoTarget::ZoneEvacuated => self.refuse_evacuated(work, summary),
        }
    }

    fn log_answered(&self, work: &Work, summary: &AttemptSummary, database: &DatabaseName) {
        if summary.attempts > 1 {
            self.log_outcome(work, summary, "served_after_retry");
        } else {
            self.log_served(&work.id, access_name(work.access), database);
        }
    }

    /// Updates what the next attempt depends on, and pauses before it where the failure requires.
    async fn handle_attempt_failure(
        &self,
        failure: AttemptFailure,
        target: &Target,
        began: Timestamp,
        excluded: &mut BTreeSet<DatabaseName>,
    ) {
        let database = target.database();
        match failure {
            AttemptFailure::NoLease => sleep(MIN_ATTEMPT_TIME.min(self.time_left())).await,
            AttemptFailure::Busy => {
                excluded.insert(database.clone());
                sleep(BUSY_RETRY_DELAY.min(self.time_left())).await;
            }
            AttemptFailure::Lagging => {
                self.node.pool(database).note_lagging(self.node.now());
                excluded.insert(database.clone());
            }
            AttemptFailure::NotPrimary => self.node.reject_leader(database, began),
            AttemptFailure::PlacementChanged => {}
            AttemptFailure::Misattributed => sleep(MIN_ATTEMPT_TIME.min(self.time_left())).await,
            AttemptFailure::NoConnection | AttemptFailure::NotSent => {
                excluded.insert(database.clone());
                sleep(MIN_ATTEMPT_TIME.min(self.time_left())).await;
            }
            AttemptFailure::Broken
            | AttemptFailure::Failed
            | AttemptFailure::Overloaded
            | AttemptFailure::Cold { .. } => {
                excluded.insert(database.clone());
            }
        }
    }
}

/// Returns the minimum time left for a statement to be sent to a database.
fn min_attempt_time(work: &Work) -> Duration {
    match work.access {
        Access::Read => MIN_ATTEMPT_TIME,
        Access::Write => MIN_WRITE_ATTEMPT_TIME,
    }
}
