//! Carrying one statement to a database that may serve it, and back.

mod attempt;
mod evacuated;
mod outcome;
mod placing;
mod quota;
mod stance;
mod target;
mod transaction;

use std::cell::Cell;
use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hookpoint_coordination::serving::leadership::ReignPosition;
use hookpoint_coordination::serving::placement::Need;
use hookpoint_coordination::serving::session::{Access, Phase, PreparedShape, SessionState};
use hookpoint_coordination::serving::tenancy::Principal;
use hookpoint_coordination::serving::topology::Route;
use hookpoint_state::{DatabaseName, Position, Timestamp};
use tokio::time::{sleep, timeout};

use self::attempt::{Attempt, AttemptFailure};
use self::evacuated::Evacuated;
pub(crate) use self::outcome::rolled_back;
use self::outcome::{Tried, access_name};
use self::target::Target;
use crate::connection::Answer;
use crate::lease::Lease;
use crate::message::{Command, Failure, FailureCode};
use crate::node::Node;
use crate::primary_lease::LAPSE_PASSES;

/// Least time left in which another attempt is worth making.
const LEAST_ATTEMPT: Duration = Duration::from_millis(10);
/// The same for a write: one that is sent and not answered in time is in doubt, while one
/// that was not sent can be tried again by the caller.
const LEAST_WRITE_ATTEMPT: Duration = Duration::from_millis(200);
/// Pause before another attempt at a loaded database.
const BUSY_PAUSE: Duration = Duration::from_millis(15);
/// Longest pause before looking again for a database.
const LOOK_AGAIN: Duration = Duration::from_millis(50);
/// Time in which a lost primary should have been replaced.
const REPLACEMENT_TIME: Duration = Duration::from_secs(3);

/// Why waiting for a database is in vain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InVain {
    /// None will be usable in time.
    NoDatabase,
    /// The only one that could run the statement is in a zone that is evacuated.
    Evacuated,
}

/// What a caller asks to run.
#[derive(Clone, Debug)]
pub(crate) struct Work {
    pub id: Bytes,
    pub access: Access,
    pub body: WorkBody,
}

/// Text or prepared shape.
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

/// This node's name for a shape, alike on every connection.
fn prepared_name(shape: &PreparedShape) -> String {
    let mut hasher = DefaultHasher::new();
    shape.hash(&mut hasher);
    format!("p{:016x}", hasher.finish())
}

/// One request: the session it comes from and its limits.
pub(crate) struct Request<'a> {
    pub node: &'a Rc<Node>,
    pub state: &'a SessionState,
    /// The route's name, as the caller gave it.
    pub name: &'a str,
    /// The route as it was when the request was admitted.
    pub route: &'a Route,
    /// On whose behalf it runs.
    pub principal: &'a Principal,
    /// When its first byte, or that of its transaction, was seen.
    pub fresh_from: Timestamp,
    /// When this statement arrived.
    pub arrived: Timestamp,
    /// Newest position that the session was shown.
    pub own_position: Option<ReignPosition>,
    /// Attempts at a read that ran out of time.
    pub reads_timed_out: Cell<u32>,
}

/// A statement that was answered, and the connection it ran on.
pub(crate) struct Ran {
    pub answer: Answer,
    pub lease: Lease,
    /// Whether a transaction that it opened may not write.
    pub reads_only: bool,
}

impl Request<'_> {
    fn deadline(&self) -> Timestamp {
        self.arrived + self.route.statement_timeout
    }

    fn time_left(&self) -> Duration {
        self.deadline().since(self.node.now())
    }

    /// Until when the request waits for a database that may serve it.
    ///
    /// While a primary that was lost a moment ago is being replaced, within its own time.
    /// Once that has taken longer than it should, a request is refused at once.
    fn wait_limit(&self) -> Timestamp {
        let now = self.node.now();
        let lapsed = self.node.lease_lapsed_since();
        if lapsed.is_some_and(|since| now.since(since) >= LAPSE_PASSES) {
            return now;
        }
        if self.node.isolated_since().is_some() {
            return now;
        }
        let lost_since = self.node.with_group(&self.route.group, |state| {
            state.contact.lost_since.or(state.leaderless_since)
        });
        let replaced_since = lost_since.or_else(|| self.leaving_leader_replaced_since());
        match replaced_since {
            Some(since) if now.since(since) >= REPLACEMENT_TIME => now,
            _ => self.deadline(),
        }
    }

    /// Since when a primary whose time for new work is over should have been on its way to be
    /// replaced: since this node heard that it leaves, or a promotion was ordered.
    fn leaving_leader_replaced_since(&self) -> Option<Timestamp> {
        let leader = self.node.leader(&self.route.group)?;
        if self.node.gets_new_work(&leader) {
            return None;
        }
        let heard_at = self.node.departure_heard_at(&leader)?;
        let ordered_at = self.node.with_group(&self.route.group, |state| {
            let (candidate, ordered_at) = state.promoting.as_ref()?;
            (*candidate != leader).then_some(*ordered_at)
        });
        Some(ordered_at.map_or(heard_at, |ordered_at| ordered_at.max(heard_at)))
    }

    /// Waits until a database may have become usable; fails if that would be in vain.
    async fn await_target(&self, only_leader: bool) -> Result<(), InVain> {
        let limit = match self.evacuated(only_leader) {
            Some(Evacuated::HandedOverBy(limit)) => limit.min(self.wait_limit()),
            Some(Evacuated::Stays) => return Err(InVain::Evacuated),
            None => self.wait_limit(),
        };
        let left = limit.since(self.node.now());
        if left < LEAST_ATTEMPT {
            return Err(InVain::NoDatabase);
        }
        self.node.note_awaited(&self.route.group);
        let changed = self.node.leader_changed.notified();
        let _ = timeout(left.min(LOOK_AGAIN), changed).await;
        Ok(())
    }

    /// Runs a single statement outside any transaction of the caller's.
    pub(crate) async fn run_single(&self, work: &Work) -> Result<(Answer, DatabaseName), Failure> {
        self.refuse_unless_placed(work, false)?;
        self.take_token(work).await?;
        let ran = self.run_until_answered(work, false).await?;
        let database = ran.lease.pool().database().clone();
        Ok((ran.answer, database))
    }

    /// Runs the first statement of a caller's transaction and keeps its connection.
    pub(crate) async fn run_first(&self, work: &Work, read_only: bool) -> Result<Ran, Failure> {
        self.refuse_unless_placed(work, !read_only)?;
        self.take_token(work).await?;
        self.run_until_answered(work, !read_only).await
    }

    async fn run_until_answered(
        &self,
        work: &Work,
        plain_transaction: bool,
    ) -> Result<Ran, Failure> {
        let in_transaction = self.state.phase == Phase::InTransaction;
        self.node.note_use(&self.route.group);
        let mut avoided = BTreeSet::new();
        let mut tried = Tried::default();
        loop {
            if self.time_left() < least_time(work) {
                return Err(self.refuse(work, tried, "out_of_time"));
            }
            let (target, need) = match self.next_target(work, plain_transaction, &avoided) {
                Ok((Some(target), need)) => (target, need),
                Ok((None, _)) if tried.is_refused() => {
                    return Err(self.refuse_for_load(work, tried));
                }
                Ok((None, need)) => {
                    avoided.clear();
                    if let Err(in_vain) = self.await_target(self.only_leader_serves(need)).await {
                        return Err(self.refuse_in_vain(work, tried, in_vain));
                    }
                    continue;
                }
                Err(obstacle) => return Err(self.refuse_misplaced(work, tried, obstacle)),
            };
            tried.attempts += 1;
            tried.database = Some(target.database().clone());
            let began = self.node.now();
            let attempt = self.attempt(work, &target, in_transaction).await;
            match attempt {
                Attempt::Answered(answered) => {
                    let (lease, answer) = *answered;
                    self.log_answered(work, &tried, target.database());
                    return Ok(Ran {
                        answer,
                        lease,
                        reads_only: need == Need::AnyDatabase,
                    });
                }
                Attempt::Unknown => {
                    self.log_outcome(work, &tried, "outcome_unknown");
                    let text = "the write was sent and not answered";
                    return Err(Failure::new(FailureCode::OutcomeUnknown, text));
                }
                Attempt::NotRun(failure) => {
                    tried.note(failure);
                    if self.only_leader_serves(need) && tried.is_refused() {
                        return Err(self.refuse_for_load(work, tried));
                    }
                    self.node
                        .counters
                        .count("attempts_failed", tried.last_failure);
                    self.after_failure(failure, &target, began, &mut avoided)
                        .await;
                }
            }
        }
    }

    /// Whether no other database than the primary will do at the moment.
    fn only_leader_serves(&self, need: Need) -> bool {
        need == Need::Primary || self.required_position().is_none()
    }

    fn refuse_in_vain(&self, work: &Work, tried: Tried, in_vain: InVain) -> Failure {
        match in_vain {
            InVain::NoDatabase => self.refuse(work, tried, "no_database"),
            InVain::Evacuated => self.refuse_evacuated(work, tried),
        }
    }

    fn log_answered(&self, work: &Work, tried: &Tried, database: &DatabaseName) {
        if tried.attempts > 1 {
            self.log_outcome(work, tried, "served_after_retry");
        } else {
            self.log_served(&work.id, access_name(work.access), database);
        }
    }

    async fn after_failure(
        &self,
        failure: AttemptFailure,
        target: &Target,
        began: Timestamp,
        avoided: &mut BTreeSet<DatabaseName>,
    ) {
        let database = target.database();
        match failure {
            AttemptFailure::NoLease => sleep(LEAST_ATTEMPT.min(self.time_left())).await,
            AttemptFailure::Busy => {
                avoided.insert(database.clone());
                sleep(BUSY_PAUSE.min(self.time_left())).await;
            }
            AttemptFailure::Lagging => {
                self.node.pool(database).note_lagging(self.node.now());
                avoided.insert(database.clone());
            }
            AttemptFailure::NotPrimary => self.node.refute_leader(database, began),
            AttemptFailure::PlacementChanged => {}
            AttemptFailure::NoConnection | AttemptFailure::NotSent => {
                avoided.insert(database.clone());
                sleep(LEAST_ATTEMPT.min(self.time_left())).await;
            }
            AttemptFailure::Broken
            | AttemptFailure::Failed
            | AttemptFailure::Overloaded
            | AttemptFailure::Cold { .. } => {
                avoided.insert(database.clone());
            }
        }
    }
}

/// Least time left in which a statement is still sent to a database.
fn least_time(work: &Work) -> Duration {
    match work.access {
        Access::Read => LEAST_ATTEMPT,
        Access::Write => LEAST_WRITE_ATTEMPT,
    }
}
