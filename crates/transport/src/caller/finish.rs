//! Completion of a unit: the end of its answer, the session state after it, and errors in
//! place of an answer.

use hookpoint_coordination::explain::Decision;
use hookpoint_protocol::reply::TransactionStatus;
use hookpoint_state::outcome::UNKNOWN_SQLSTATE;
use hookpoint_state::{Outcome, Refusal};

use crate::caller::active::{ActiveTransaction, Failure};
use crate::caller::error::{self, SessionEnd};
use crate::caller::session::Session;
use crate::caller::setting_checks;

impl Session {
    /// Writes the end of the current unit's answer and updates the session state.
    pub(super) fn finish_unit(&mut self) -> Result<(), SessionEnd> {
        self.guard.entry.set_idle();
        let Some(mut active) = self.transaction.take() else {
            return Ok(());
        };
        match active.failure.take() {
            Some(failure) => self.finish_failed(active, failure),
            None if active.plan.internal => {
                self.status = TransactionStatus::Idle;
                let mut answer = active.answer.take_ready();
                answer.extend(active.answer.take_end());
                return setting_checks::check_result(&answer);
            }
            None => self.finish_answered(active),
        }
        Ok(())
    }

    fn finish_answered(&mut self, mut active: ActiveTransaction) {
        let refusal = active.ledger_refusal();
        for frame in active.answer.take_ready() {
            self.stream.write(&frame);
        }
        let end = active.answer.take_end();
        match &refusal {
            Some(refusal) => self.report_refusal(refusal),
            None => {
                self.context.counters.count_answered(active.on_replica);
                end.iter().for_each(|frame| self.stream.write(frame));
            }
        }
        for name in active.answer.take_failed_parses() {
            self.statements.remove(&name);
        }
        if refusal == Some(Refusal::AlreadyRan)
            && let Some(request) = &active.ledger_id
        {
            self.clear_next_request_id(request);
        }
        let failed = refusal.is_some() || active.answer.has_failed();
        let ready = active.plan.ready;
        self.apply_changes(active, refusal.is_some());
        if ready || failed {
            self.end_refused(ready);
        }
    }

    /// Sends the caller the error for a request that did not run, counts it and records
    /// it in the decision log.
    pub(super) fn report_refusal(&mut self, refusal: &Refusal) {
        self.context.counters.count_refused();
        self.record_failure(refusal.outcome(), refusal.sqlstate());
        self.stream.write(&error::refusal(refusal));
    }

    fn record_failure(&self, outcome: Outcome, sqlstate: &str) {
        let decision = Decision::Failed {
            outcome,
            sqlstate: sqlstate.to_owned(),
        };
        let session = Some(self.guard.entry.id);
        self.context.shared.record(session, decision);
    }

    /// Applies the changes that the unit made to the session state.
    fn apply_changes(&mut self, active: ActiveTransaction, refused: bool) {
        let ending = active.answer.ending().cloned().unwrap_or_default();
        let failed = refused || ending.sqlstate.is_some();
        if !failed {
            self.settings.record_pending(&active.plan.traits.settings);
        }
        self.status = ending.status;
        if self.status.is_open() {
            self.transaction = Some(active);
            return;
        }
        let undone = ending.rolled_back || (failed && !ending.committed);
        if undone {
            self.settings.roll_back();
        } else {
            self.settings.commit();
            for request in &active.recorded_ids {
                self.clear_next_request_id(request);
            }
        }
        self.statements.end_transaction();
    }

    fn finish_failed(&mut self, mut active: ActiveTransaction, failure: Failure) {
        match &failure {
            Failure::Refused(refusal) => self.report_refusal(refusal),
            Failure::Unknown(cause) => {
                self.context.counters.count_unknown();
                self.record_failure(Outcome::Unknown, UNKNOWN_SQLSTATE);
                self.stream.write(&error::unknown(*cause));
            }
            Failure::Cancelled => self.stream.write(&error::cancelled()),
            Failure::AlreadyReported => {}
        }
        active.release(false);
        let ended = active.plan.traits.ends_transaction;
        let ready = active.plan.ready && !active.plan.open;
        self.settings.roll_back();
        self.statements.end_transaction();
        if self.status.is_open() && !ended {
            self.aborted = true;
            self.status = TransactionStatus::Failed;
        } else {
            self.status = TransactionStatus::Idle;
        }
        self.check_failed = active.plan.internal;
        if !active.plan.internal {
            self.end_refused(ready);
        }
    }
}
