//! The request machine: handles one transaction from its arrival to its end.

use std::collections::BTreeSet;
use std::time::Duration;

use hookpoint_state::{DatabaseName, Position, Refusal, Term, Timestamp, UnknownCause};

use crate::explain::{Decision, HoldReason};
use crate::request::acknowledge::{Evidence, Verdict};
use crate::request::checks::SafetyChecks;
use crate::request::profile::{Access, RequestProfile, Unit};
use crate::request::route::{self, RouteQuery};
use crate::request::{RequestAction, RequestEvent, UnitResult};
use crate::status::{BackendStatus, Role};
use crate::terms::GroupView;

/// SQLSTATE of a write refused by a database in recovery (`read_only_sql_transaction`).
const READ_ONLY_TRANSACTION: &str = "25006";
/// Pause after a failed attempt, cut short when the observed state of the group changes.
const RETRY_PAUSE: Duration = Duration::from_millis(25);

/// Stage of the transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    /// Waiting for a majority to verify the term.
    Verifying,
    /// Waiting for a change of the group's view or for the timer.
    Holding,
    /// Waiting for a connection.
    Acquiring,
    /// The first unit was sent; the status query ahead of it has not been answered.
    Checking,
    /// The database turned out to be a replica, which is expected to refuse the write.
    AwaitingRefusal,
    /// A unit's answer is being forwarded to the caller.
    Running,
    /// A unit that may commit has ended; waiting for evidence that a majority has
    /// flushed the commit.
    AwaitingEvidence,
    /// Between two units of a transaction block.
    Idle,
    /// The transaction has ended.
    Finished,
}

/// Number of unanswered status queries for evidence of a commit's flush by a majority
/// after which the outcome counts as unknown.
const PROBE_FAILURE_LIMIT: u32 = 3;

/// State machine of one transaction.
#[derive(Clone, Debug)]
pub struct RequestMachine {
    profile: RequestProfile,
    acknowledge_within: Duration,
    checks: SafetyChecks,
    stage: Stage,
    unit: Unit,
    required: Option<Position>,
    excluded: BTreeSet<DatabaseName>,
    database: Option<DatabaseName>,
    term: Option<Term>,
    /// Evidence, from status queries to databases, that a majority of the group has flushed
    /// the current unit's commit; set while that commit awaits acknowledgement.
    evidence: Option<Evidence>,
    /// Database that ran a commit whose flush by a majority is still unproven after the
    /// connection to that database was released; `None` otherwise.
    evidence_from: Option<DatabaseName>,
    failed_probes: u32,
    in_transaction: bool,
    first_unit: bool,
    replica_failed: bool,
    attempts: u32,
}

impl RequestMachine {
    /// Creates a machine for a request that has just arrived. Evidence that a majority has
    /// flushed a commit is collected for at most `acknowledge_within`.
    pub fn new(profile: RequestProfile, acknowledge_within: Duration) -> Self {
        Self::with_checks(profile, acknowledge_within, SafetyChecks::default())
    }

    /// Like [`RequestMachine::new`], with some checks disabled for the lab's negative
    /// controls.
    pub fn with_checks(
        profile: RequestProfile,
        acknowledge_within: Duration,
        checks: SafetyChecks,
    ) -> Self {
        Self {
            acknowledge_within,
            checks,
            stage: Stage::Holding,
            unit: profile.unit,
            required: profile.required,
            excluded: BTreeSet::new(),
            database: None,
            term: None,
            evidence: None,
            evidence_from: None,
            failed_probes: 0,
            in_transaction: false,
            first_unit: true,
            replica_failed: false,
            attempts: 0,
            profile,
        }
    }

    /// Returns whether the transaction has ended.
    pub fn is_finished(&self) -> bool {
        self.stage == Stage::Finished
    }

    /// Returns the database of the held connection, if there is one.
    pub fn database(&self) -> Option<&DatabaseName> {
        self.database.as_ref()
    }

    /// Processes an event and appends the resulting actions to `actions`. Events that do
    /// not fit the current stage are late and are ignored.
    pub fn handle(
        &mut self,
        now: Timestamp,
        view: &GroupView,
        event: RequestEvent,
        actions: &mut Vec<RequestAction>,
    ) {
        use RequestEvent as Event;
        match (&self.stage, event) {
            (Stage::Finished, _) => {}
            (_, Event::CallerDisconnected) => self.caller_disconnected(actions),
            (_, Event::Begin) => self.begin(now, view, actions),
            (Stage::Verifying, Event::TermVerified { position }) => {
                self.term_verified(now, view, position, actions);
            }
            (Stage::Verifying, Event::VerifyFailed) => {
                self.hold(now, HoldReason::Verification, actions);
            }
            (Stage::Holding, Event::ViewChanged | Event::TimerFired) => {
                self.excluded.clear();
                self.begin(now, view, actions);
            }
            (Stage::Acquiring, Event::LeaseGranted { database }) => {
                self.lease_granted(database, actions);
            }
            (Stage::Acquiring, Event::LeaseRefused { database, refusal }) => {
                self.lease_refused(now, view, database, refusal, actions);
            }
            (Stage::Checking, Event::LeaseRefused { database, refusal }) => {
                self.drop_lease(actions);
                self.lease_refused(now, view, database, refusal, actions);
            }
            (Stage::Checking, Event::CheckAnswered { status }) => {
                self.check_answered(now, view, &status, actions);
            }
            (
                Stage::AwaitingRefusal,
                Event::UnitFinished {
                    result,
                    in_transaction,
                },
            ) => {
                self.write_refused_by_replica(now, view, result, in_transaction, actions);
            }
            (
                Stage::Running,
                Event::UnitFinished {
                    result,
                    in_transaction,
                },
            ) => {
                self.unit_finished(now, &result, in_transaction, actions);
            }
            (Stage::AwaitingEvidence, Event::ProbeAnswered { status }) => {
                self.evidence_answered(now, view, &status, actions);
            }
            (Stage::AwaitingEvidence, Event::ProbeFailed) => self.probe_failed(now, view, actions),
            (Stage::Idle, Event::NextUnit { unit }) => self.next_unit(unit, actions),
            (_, Event::ConnectionLost) => self.connection_lost(now, view, actions),
            _ => {}
        }
    }

    fn begin(&mut self, now: Timestamp, view: &GroupView, actions: &mut Vec<RequestAction>) {
        if self.needs_verification() {
            if now >= self.profile.deadline {
                return self.refuse(Refusal::NoPrimary, actions);
            }
            self.stage = Stage::Verifying;
            actions.push(RequestAction::VerifyTerm);
            return;
        }
        self.route(now, view, actions);
    }

    /// A session without a known history must not read before the group's term is
    /// verified. A write that may commit with its first unit need not wait, as its
    /// acknowledgement proves the term.
    fn needs_verification(&self) -> bool {
        let single_unit_write = self.unit.access == Access::Write && self.unit.may_commit;
        self.required.is_none() && !single_unit_write
    }

    fn term_verified(
        &mut self,
        now: Timestamp,
        view: &GroupView,
        position: Position,
        actions: &mut Vec<RequestAction>,
    ) {
        self.required = Some(position);
        actions.push(RequestAction::Require { position });
        self.route(now, view, actions);
    }

    fn route(&mut self, now: Timestamp, view: &GroupView, actions: &mut Vec<RequestAction>) {
        let query = RouteQuery {
            now,
            access: self.unit.access,
            required: self.required,
            excluded: &self.excluded,
            replica_failed: self.replica_failed,
            session: self.profile.session,
        };
        let Some(choice) = route::choose(view, query) else {
            return self.hold(now, HoldReason::Primary, actions);
        };
        if self.attempts > 0 {
            actions.push(RequestAction::Record(Decision::Retried {
                attempt: self.attempts,
            }));
        }
        self.attempts += 1;
        self.stage = Stage::Acquiring;
        actions.push(RequestAction::Record(Decision::Routed {
            database: choice.database.clone(),
            reason: choice.reason,
            required: self.required,
        }));
        actions.push(RequestAction::Acquire {
            database: choice.database,
            deadline: self.profile.deadline,
        });
    }

    /// Holds the request until the group's view changes or the pause has elapsed. A
    /// request past its deadline is refused immediately.
    fn hold(&mut self, now: Timestamp, reason: HoldReason, actions: &mut Vec<RequestAction>) {
        if now >= self.profile.deadline {
            let refusal = match reason {
                HoldReason::Database => Refusal::NoDatabase,
                HoldReason::Primary | HoldReason::Verification => Refusal::NoPrimary,
            };
            return self.refuse(refusal, actions);
        }
        self.stage = Stage::Holding;
        actions.push(RequestAction::Record(Decision::Held {
            waiting_for: reason,
        }));
        actions.push(RequestAction::Wait {
            until: self.profile.deadline.min(now + RETRY_PAUSE),
        });
    }

    fn lease_granted(&mut self, database: DatabaseName, actions: &mut Vec<RequestAction>) {
        self.database = Some(database);
        self.stage = Stage::Checking;
        actions.push(RequestAction::Send {
            check: true,
            probe: self.needs_evidence(),
        });
    }

    fn needs_evidence(&self) -> bool {
        self.profile.unit.access == Access::Write && self.unit.may_commit
    }

    fn lease_refused(
        &mut self,
        now: Timestamp,
        view: &GroupView,
        database: DatabaseName,
        refusal: Refusal,
        actions: &mut Vec<RequestAction>,
    ) {
        match refusal {
            Refusal::NoDatabase | Refusal::NoPrimary => {
                self.excluded.insert(database);
                self.route(now, view, actions);
            }
            other => self.refuse(other, actions),
        }
    }

    /// Drops a refused lease on which the unit was already sent; nothing of the unit
    /// ran.
    fn drop_lease(&mut self, actions: &mut Vec<RequestAction>) {
        actions.push(RequestAction::Discard);
        self.release(false, actions);
        self.database = None;
    }

    fn check_answered(
        &mut self,
        now: Timestamp,
        view: &GroupView,
        status: &BackendStatus,
        actions: &mut Vec<RequestAction>,
    ) {
        self.term = Some(status.term);
        if self.unit.access == Access::Write && status.role == Role::Replica {
            self.stage = Stage::AwaitingRefusal;
            return;
        }
        if self.is_fresh_enough(status) {
            self.stage = Stage::Running;
            actions.push(RequestAction::Deliver);
            return;
        }
        actions.push(RequestAction::Record(Decision::CheckFailed {
            database: self.database.clone().unwrap_or_default(),
            position: status.log_position(),
        }));
        if self.needs_evidence() {
            return self.give_up(UnknownCause::TermChanged, actions);
        }
        self.replica_failed = true;
        self.try_another_database(now, view, actions);
    }

    fn is_fresh_enough(&self, status: &BackendStatus) -> bool {
        if !self.checks.position {
            return true;
        }
        self.required
            .is_none_or(|required| status.log_position().includes(required))
    }

    /// Drops the connection and its answer and tries another database. Only called while
    /// nothing that was sent can have taken effect.
    fn try_another_database(
        &mut self,
        now: Timestamp,
        view: &GroupView,
        actions: &mut Vec<RequestAction>,
    ) {
        actions.push(RequestAction::Discard);
        self.release(
            self.unit.access == Access::Read && !self.in_transaction,
            actions,
        );
        if let Some(database) = self.database.take() {
            let was_primary = view
                .primary()
                .is_some_and(|primary| primary.name == database);
            self.excluded.insert(database);
            if was_primary {
                return self.hold(now, HoldReason::Primary, actions);
            }
        }
        self.route(now, view, actions);
    }

    fn write_refused_by_replica(
        &mut self,
        now: Timestamp,
        view: &GroupView,
        result: UnitResult,
        in_transaction: bool,
        actions: &mut Vec<RequestAction>,
    ) {
        let refused =
            matches!(&result, UnitResult::Failed { sqlstate } if sqlstate == READ_ONLY_TRANSACTION);
        if refused || in_transaction {
            self.in_transaction = in_transaction;
            return self.try_another_database(now, view, actions);
        }
        actions.push(RequestAction::Deliver);
        self.unit_finished(now, &result, in_transaction, actions);
    }

    /// A failed transaction block commits nothing and answers no status query, so no
    /// evidence is collected for it.
    fn unit_finished(
        &mut self,
        now: Timestamp,
        result: &UnitResult,
        in_transaction: bool,
        actions: &mut Vec<RequestAction>,
    ) {
        self.in_transaction = in_transaction;
        self.first_unit = false;
        let block_failed = in_transaction && matches!(result, UnitResult::Failed { .. });
        if self.needs_evidence() && !block_failed {
            self.stage = Stage::AwaitingEvidence;
            self.evidence = Some(Evidence::new(self.term, now, self.acknowledge_within));
            return;
        }
        self.end_unit(actions);
    }

    fn end_unit(&mut self, actions: &mut Vec<RequestAction>) {
        if self.in_transaction {
            self.stage = Stage::Idle;
            return;
        }
        self.release(true, actions);
        self.finish(actions);
    }

    fn evidence_answered(
        &mut self,
        now: Timestamp,
        view: &GroupView,
        status: &BackendStatus,
        actions: &mut Vec<RequestAction>,
    ) {
        let Some(evidence) = self.evidence.as_mut() else {
            return;
        };
        let verdict = if self.checks.majority {
            evidence.evaluate(now, view, status)
        } else {
            Verdict::Confirmed {
                position: status.log_position(),
                holders: 0,
            }
        };
        match verdict {
            Verdict::Confirmed { position, holders } => {
                self.evidence = None;
                actions.push(RequestAction::Record(Decision::Acknowledged {
                    position,
                    holders: u32::try_from(holders).unwrap_or(u32::MAX),
                }));
                actions.push(RequestAction::Acknowledge {
                    position: Some(position),
                });
                self.end_unit(actions);
            }
            Verdict::ProbeAgain { after } => self.probe_again(now, after, actions),
            Verdict::OutcomeUnknown(cause) => self.give_up(cause, actions),
        }
    }

    /// Waits for the majority without holding the connection, so that other requests may
    /// use it: what a majority has flushed can be queried on any connection.
    fn probe_again(&mut self, now: Timestamp, after: Duration, actions: &mut Vec<RequestAction>) {
        if self.in_transaction {
            actions.push(RequestAction::Probe { after });
            return;
        }
        self.release(true, actions);
        if let Some(database) = self.database.take() {
            self.evidence_from = Some(database);
        }
        if let Some(database) = self.evidence_from.clone() {
            let overdue = self
                .evidence
                .as_mut()
                .and_then(|evidence| evidence.take_overdue(now));
            if let Some(position) = overdue {
                let database = database.clone();
                actions.push(RequestAction::MarkUnconfirmed { database, position });
            }
            actions.push(RequestAction::QueryStatus { database, after });
        }
    }

    fn probe_failed(&mut self, now: Timestamp, view: &GroupView, actions: &mut Vec<RequestAction>) {
        self.failed_probes += 1;
        if self.term.is_some_and(|term| view.highest_term > term) {
            return self.give_up(UnknownCause::TermChanged, actions);
        }
        let expired = self
            .evidence
            .as_ref()
            .is_none_or(|evidence| evidence.is_expired(now));
        if expired || self.failed_probes >= PROBE_FAILURE_LIMIT {
            return self.give_up(UnknownCause::NoMajority, actions);
        }
        self.probe_again(now, RETRY_PAUSE, actions);
    }

    fn next_unit(&mut self, unit: Unit, actions: &mut Vec<RequestAction>) {
        self.unit = unit;
        self.stage = Stage::Running;
        actions.push(RequestAction::Send {
            check: false,
            probe: self.needs_evidence(),
        });
        actions.push(RequestAction::Deliver);
    }

    fn connection_lost(
        &mut self,
        now: Timestamp,
        view: &GroupView,
        actions: &mut Vec<RequestAction>,
    ) {
        match self.stage {
            Stage::Checking | Stage::AwaitingRefusal if !self.needs_evidence() => {
                self.try_another_database(now, view, actions);
            }
            Stage::AwaitingEvidence if self.evidence_from.is_some() => {}
            Stage::Checking | Stage::AwaitingRefusal | Stage::AwaitingEvidence => {
                self.give_up(UnknownCause::ConnectionLost, actions);
            }
            Stage::Running if self.unit.may_commit || self.is_first_unit_of_read() => {
                self.give_up(UnknownCause::ConnectionLost, actions);
            }
            Stage::Running | Stage::Idle => {
                self.release(false, actions);
                self.refuse(Refusal::RolledBack, actions);
            }
            Stage::Verifying | Stage::Holding | Stage::Acquiring | Stage::Finished => {}
        }
    }

    /// Returns whether the current unit is the first one of a read. Once its answer is
    /// being forwarded, the read can't be reported as not run.
    fn is_first_unit_of_read(&self) -> bool {
        self.profile.unit.access == Access::Read && self.first_unit
    }

    fn caller_disconnected(&mut self, actions: &mut Vec<RequestAction>) {
        self.release(false, actions);
        self.finish(actions);
    }

    fn give_up(&mut self, cause: UnknownCause, actions: &mut Vec<RequestAction>) {
        self.release(false, actions);
        actions.push(RequestAction::Unknown { cause });
        self.finish(actions);
    }

    fn refuse(&mut self, refusal: Refusal, actions: &mut Vec<RequestAction>) {
        actions.push(RequestAction::Refuse { refusal });
        self.finish(actions);
    }

    fn release(&mut self, reusable: bool, actions: &mut Vec<RequestAction>) {
        if self.database.is_some() {
            actions.push(RequestAction::Release { reusable });
        }
    }

    fn finish(&mut self, actions: &mut Vec<RequestAction>) {
        self.database = None;
        self.stage = Stage::Finished;
        actions.push(RequestAction::Finished);
    }
}
