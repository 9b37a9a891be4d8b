//! The end of a unit: its answer's end, the session's state after it, and errors in
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
    /// Writes the end of the current unit's answer and settles the session's state.
    pub(super) fn finish_unit(&mut self) -> Result<(), SessionEnd> {
        self.guard.entry.rests();
        let Some(mut active) = self.transaction.take() else {
            return Ok(());
        };
        match active.failure.take() {
            Some(failure) => self.finish_failed(active, failure),
            None if active.plan.silent => {
                self.status = TransactionStatus::Idle;
                let mut answer = active.answer.take_ready();
                answer.extend(active.answer.take_end());
                return setting_checks::verdict(&answer);
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
            Some(refusal) => self.tell_refusal(refusal),
            None => {
                self.context.counters.answered(active.by_replica);
                end.iter().for_each(|frame| self.stream.write(frame));
            }
        }
        for name in active.answer.take_parse_failures() {
            self.statements.remove(&name);
        }
        if refusal == Some(Refusal::AlreadyRan)
            && let Some(request) = &active.mark
        {
            self.spend_mark(request);
        }
        let failed = refusal.is_some() || active.answer.has_failed();
        let ready = active.plan.ready;
        self.settle(active, refusal.is_some());
        if ready || failed {
            self.end_refused(ready);
        }
    }

    /// Tells the caller that its request did not run, and keeps a record of it.
    pub(super) fn tell_refusal(&mut self, refusal: &Refusal) {
        self.context.counters.refused();
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

    /// Takes over what the unit changed in the session.
    fn settle(&mut self, active: ActiveTransaction, refused: bool) {
        let ending = active.answer.ending().cloned().unwrap_or_default();
        let failed = refused || ending.sqlstate.is_some();
        if !failed {
            self.settings.note(&active.plan.traits.settings);
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
            for request in &active.marked {
                self.spend_mark(request);
            }
        }
        self.statements.end_transaction();
    }

    fn finish_failed(&mut self, mut active: ActiveTransaction, failure: Failure) {
        match &failure {
            Failure::Refused(refusal) => self.tell_refusal(refusal),
            Failure::Unknown(cause) => {
                self.context.counters.doubted();
                self.record_failure(Outcome::Unknown, UNKNOWN_SQLSTATE);
                self.stream.write(&error::unknown(*cause));
            }
            Failure::Cancelled => self.stream.write(&error::cancelled()),
            Failure::Told => {}
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
        self.check_failed = active.plan.silent;
        if !active.plan.silent {
            self.end_refused(ready);
        }
    }
}
