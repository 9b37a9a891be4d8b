//! One attempt to run a statement on a chosen database.

use std::time::Duration;

use hookpoint_coordination::serving::admission::{ConnectionUse, max_queue_wait};
use hookpoint_coordination::serving::attempt_limit::read_attempt_timeout;
use hookpoint_coordination::serving::leadership::Confirmation;
use hookpoint_coordination::serving::placement::Placement;
use hookpoint_coordination::serving::session::Access;
use hookpoint_state::{DatabaseName, Position, Timestamp};

use super::target::Target;
use super::transaction_mode::TransactionMode;
use super::{Request, Work, min_attempt_time, prepared_name};
use crate::connection::Answer;
use crate::exchange_error::{ConnectionError, ExchangeError, NotSent};
use crate::lease::Lease;
use crate::message::{Command, FailureCode};
use crate::pool::{AcquireError, ConnectionRequest, WaitLimits};
use crate::primary_lease::WriteInFlight;

/// The result of one attempt.
pub(super) enum Attempt {
    /// The database answered. The connection may hold an open transaction.
    Answered(Box<(Lease, Answer)>),
    /// The statement did not run or has no lasting effect; it may be retried.
    NotRun(AttemptFailure),
    /// A write was sent and its outcome is not known, so it must not be retried.
    Unknown,
}

/// Why a statement did not run, or why its result is discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptFailure {
    Busy,
    Lagging,
    NotPrimary,
    NoConnection,
    /// Nothing was sent: the database is draining and gets no more new work, or its zone is
    /// evacuated.
    NotSent,
    Broken,
    /// An answer could not be attributed to its command; another connection may serve the
    /// statement.
    Misattributed,
    Failed,
    /// This node may not use the database as a primary at the moment.
    NoLease,
    /// The pool's wait queue is too long.
    Overloaded,
    /// The configuration changed after the database was chosen and allows less than before.
    PlacementChanged,
    /// The database has just started and its request budget is used up for `retry_after`.
    Cold {
        retry_after: Duration,
    },
}

impl AttemptFailure {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            AttemptFailure::Busy => "busy",
            AttemptFailure::Lagging => "lagging",
            AttemptFailure::NotPrimary => "not_primary",
            AttemptFailure::NoConnection => "no_connection",
            AttemptFailure::NotSent => "not_sent",
            AttemptFailure::Broken => "broken",
            AttemptFailure::Misattributed => "misattributed",
            AttemptFailure::Failed => "failed",
            AttemptFailure::NoLease => "no_lease",
            AttemptFailure::Overloaded => "overloaded",
            AttemptFailure::PlacementChanged => "placement_changed",
            AttemptFailure::Cold { .. } => "cold",
        }
    }
}

/// Returns why a statement that failed with `code` did not run, or may be tried elsewhere; `None`
/// if the failure is the answer.
fn not_run(access: Access, code: FailureCode) -> Option<AttemptFailure> {
    match code {
        FailureCode::Overloaded => Some(AttemptFailure::Busy),
        FailureCode::Lagging => Some(AttemptFailure::Lagging),
        FailureCode::NotPrimary => Some(AttemptFailure::NotPrimary),
        FailureCode::UnknownPrepared => Some(AttemptFailure::NoConnection),
        FailureCode::Failed | FailureCode::TimedOut if access == Access::Read => {
            Some(AttemptFailure::Failed)
        }
        _ => None,
    }
}

/// Returns the result of an attempt whose commands got no answers that could be attributed.
fn attempt_without_answer(access: Access, mode: TransactionMode, error: &ExchangeError) -> Attempt {
    let error = match error {
        ExchangeError::NotSent(NotSent::Unusable) => {
            return Attempt::NotRun(AttemptFailure::Misattributed);
        }
        ExchangeError::NotSent(_) => return Attempt::NotRun(AttemptFailure::NotSent),
        ExchangeError::Unanswered(error) => error,
    };
    let failure = match (error, access) {
        (_, Access::Write) if matches!(mode, TransactionMode::Autocommit(_)) => {
            return Attempt::Unknown;
        }
        // The success of an earlier `Begin` may have hidden that this one was refused, so that the
        // write ran outside a transaction.
        (ConnectionError::Misplaced(_), Access::Write) => return Attempt::Unknown,
        (ConnectionError::Misplaced(_), Access::Read) => AttemptFailure::Misattributed,
        _ => AttemptFailure::Broken,
    };
    Attempt::NotRun(failure)
}

impl Request<'_> {
    pub(super) async fn attempt(
        &self,
        work: &Work,
        target: &Target,
        in_transaction: bool,
    ) -> Attempt {
        let pool = self.node.pool(target.database());
        let asked_at = self.node.now();
        let request = ConnectionRequest {
            principal: Some(self.principal),
            priority: self.route.priority,
            values: &self.state.values,
            placement: target.placement(),
            limits: self.wait_limits(work, in_transaction, target.database()),
        };
        let acquired = pool.acquire(request).await;
        let now = self.node.now();
        let waited = now.since(asked_at);
        pool.note_wait(now, waited);
        self.node.counters.observe("wait", waited);
        let lease = match acquired {
            Ok(lease) => lease,
            Err(AcquireError::Connection(error)) => {
                let refused = matches!(error, ConnectionError::Refused(_));
                self.node
                    .note_lost_contact(target.database(), asked_at, refused);
                return Attempt::NotRun(AttemptFailure::NoConnection);
            }
            Err(AcquireError::Unreachable) => {
                self.node
                    .note_lost_contact(target.database(), asked_at, pool.was_refused());
                return Attempt::NotRun(AttemptFailure::NoConnection);
            }
            Err(AcquireError::Cold { retry_after }) => {
                return Attempt::NotRun(AttemptFailure::Cold { retry_after });
            }
            Err(AcquireError::Overloaded) => {
                return Attempt::NotRun(AttemptFailure::Overloaded);
            }
            Err(_) => return Attempt::NotRun(AttemptFailure::NoConnection),
        };
        let mode = match target {
            Target::Leader(_) if in_transaction => TransactionMode::LeaderTransaction,
            Target::Leader(_) if work.access == Access::Read => TransactionMode::LeaderTransaction,
            Target::Leader(_) => TransactionMode::Autocommit(None),
            Target::AtPosition(_, after) if in_transaction => {
                TransactionMode::ReadTransaction(*after)
            }
            Target::AtPosition(_, after) => TransactionMode::Autocommit(Some(*after)),
        };
        self.run_on_connection(work, lease, mode, target.placement(), asked_at)
            .await
    }

    async fn run_on_connection(
        &self,
        work: &Work,
        mut lease: Lease,
        mode: TransactionMode,
        placement: &Placement,
        began: Timestamp,
    ) -> Attempt {
        if !self.still_allows(placement) {
            return Attempt::NotRun(AttemptFailure::PlacementChanged);
        }
        if !self.node.accepts_new_work(lease.pool().database()) {
            return Attempt::NotRun(AttemptFailure::NotSent);
        }
        let mut commands = match self.prepare_connection(&mut lease, mode).await {
            Ok(prefix) => prefix,
            Err(failure) => return Attempt::NotRun(failure),
        };
        if !self.still_allows(placement) {
            return Attempt::NotRun(AttemptFailure::PlacementChanged);
        }
        let database = lease.pool().database();
        let is_permitted = match (work.access, mode) {
            (Access::Write, _) => self.node.may_write(&self.route.group, database),
            (_, TransactionMode::LeaderTransaction) => self.node.may_use_as_primary(database),
            _ => true,
        };
        if !is_permitted {
            return Attempt::NotRun(AttemptFailure::NoLease);
        }
        let single_write =
            work.access == Access::Write && matches!(mode, TransactionMode::Autocommit(_));
        let _in_flight = single_write.then(|| WriteInFlight::new(self.node, &self.route.group));
        let after = match mode {
            TransactionMode::Autocommit(after) => after,
            TransactionMode::ReadTransaction(after) => Some(after),
            TransactionMode::LeaderTransaction => None,
        };
        self.push_prepare(&mut lease, work, &mut commands);
        commands.push(work.command(after));
        let limit = self.attempt_limit(work, &lease);
        let asked_at = self.node.now();
        let waited = asked_at.since(began);
        self.log_sent_to_draining(work, lease.pool().database(), waited);
        if !matches!(mode, TransactionMode::Autocommit(_)) {
            lease.connection().in_transaction = true;
        }
        let answers = match lease.exchange(self.node, &commands, limit).await {
            Ok(answers) => answers,
            Err(error) => {
                if matches!(error, ExchangeError::Unanswered(ConnectionError::TimedOut)) {
                    self.read_timeouts.set(self.read_timeouts.get() + 1);
                }
                return attempt_without_answer(work.access, mode, &error);
            }
        };
        self.classify_answer(work, lease, mode, answers, asked_at)
    }

    pub(super) fn classify_answer(
        &self,
        work: &Work,
        mut lease: Lease,
        mode: TransactionMode,
        mut answers: Vec<Answer>,
        asked_at: Timestamp,
    ) -> Attempt {
        let Some(answer) = answers.pop() else {
            return Attempt::NotRun(AttemptFailure::Broken);
        };
        if answers.iter().any(|prefix| prefix.result.is_err()) {
            lease.connection().values_unknown = true;
            if work.access == Access::Read {
                lease.connection().broken = true;
                return Attempt::NotRun(AttemptFailure::Broken);
            }
        }
        let now = self.node.now();
        let code = match &answer.result {
            Ok(_) => {
                lease.pool().note_served(now, now.since(asked_at));
                if work.access == Access::Write && matches!(mode, TransactionMode::Autocommit(_)) {
                    if !self.may_acknowledge(&lease, &answer) {
                        return Attempt::Unknown;
                    }
                    self.confirm(&lease, asked_at, answer.position);
                }
                return Attempt::Answered(Box::new((lease, answer)));
            }
            Err(failure) => failure.code,
        };
        let Some(failure) = not_run(work.access, code) else {
            return Attempt::Answered(Box::new((lease, answer)));
        };
        match code {
            FailureCode::UnknownPrepared => lease.connection().prepared.clear(),
            FailureCode::Failed | FailureCode::TimedOut => lease.pool().note_outcome(now, true),
            _ => {}
        }
        Attempt::NotRun(failure)
    }

    pub(super) fn confirm(&self, lease: &Lease, asked_at: Timestamp, position: Option<Position>) {
        let proof = Confirmation {
            asked_at,
            answered_at: self.node.now(),
            position,
        };
        self.node.confirm_leader(lease.pool().database(), proof);
    }

    /// Returns how long the request may wait for a connection. A write keeps enough time for its
    /// answer, because its outcome would otherwise be unknown. The wait for a draining database
    /// ends when that database stops getting new work.
    fn wait_limits(
        &self,
        work: &Work,
        in_transaction: bool,
        database: &DatabaseName,
    ) -> WaitLimits {
        let elapsed = self.node.now().since(self.arrived);
        let purpose = if in_transaction {
            ConnectionUse::Transaction
        } else {
            ConnectionUse::Statement
        };
        WaitLimits {
            purpose,
            max_expected_wait: max_queue_wait(self.route.target_latency, elapsed),
            limit: self
                .time_left()
                .saturating_sub(min_attempt_time(work))
                .min(self.node.work_time_left(database)),
        }
    }

    pub(super) fn attempt_limit(&self, work: &Work, lease: &Lease) -> Duration {
        let left = self.time_left();
        match work.access {
            Access::Write => left,
            Access::Read => {
                let service_time = lease.pool().service_time(self.node.now());
                let limit = read_attempt_timeout(
                    service_time,
                    self.route.target_latency,
                    self.read_timeouts.get(),
                );
                left.min(limit)
            }
        }
    }

    pub(super) fn push_prepare(&self, lease: &mut Lease, work: &Work, commands: &mut Vec<Command>) {
        let Some(shape) = work.shape() else {
            return;
        };
        if lease.connection().prepared.insert(shape.clone()) {
            commands.push(Command::Prepare {
                name: prepared_name(shape),
                shape: shape.clone(),
            });
        }
    }
}
