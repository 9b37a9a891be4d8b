//! Asking for the evidence of a commit whose connection was given back.

use std::time::Duration;

use hookpoint_coordination::request::RequestEvent;
use hookpoint_coordination::status::BackendStatus;
use hookpoint_state::DatabaseName;

use super::World;
use super::event::{Event, ProxyEvent, SessionNumber};

/// Longest wait for an answer.
const EVIDENCE_TIMEOUT: Duration = Duration::from_secs(1);

impl World {
    /// Asks `name` for its status after a pause.
    pub(crate) fn ask_evidence(
        &mut self,
        number: SessionNumber,
        name: &DatabaseName,
        after: Duration,
    ) {
        let Some(database) = self.database_names.iter().position(|other| other == name) else {
            return;
        };
        self.question_count += 1;
        let question = self.question_count;
        let due = self.now() + after;
        let Some(session) = self.sessions.get_mut(&number) else {
            return;
        };
        session.evidence = Some(question);
        let proxy = session.proxy;
        self.questions.insert(question, number);
        let event = ProxyEvent::EvidenceDue {
            session: number,
            question,
            database,
        };
        self.schedule.at(due, Event::Proxy { proxy, event });
        let event = ProxyEvent::EvidenceTimeout {
            session: number,
            question,
        };
        self.schedule
            .at(due + EVIDENCE_TIMEOUT, Event::Proxy { proxy, event });
    }

    pub(crate) fn evidence_due(
        &mut self,
        proxy: usize,
        number: SessionNumber,
        question: u64,
        database: usize,
    ) {
        if self.awaits_evidence(number, question) {
            self.ask(proxy, database, question);
        }
    }

    /// Takes a status if the session waits for it as evidence.
    pub(crate) fn evidence_answer(
        &mut self,
        number: SessionNumber,
        question: u64,
        status: &BackendStatus,
    ) -> bool {
        if !self.end_evidence(number, question) {
            return false;
        }
        let status = status.clone();
        self.feed(number, RequestEvent::ProbeAnswered { status });
        true
    }

    pub(crate) fn evidence_timeout(&mut self, number: SessionNumber, question: u64) {
        if self.end_evidence(number, question) {
            self.feed(number, RequestEvent::ProbeFailed);
        }
    }

    fn awaits_evidence(&self, number: SessionNumber, question: u64) -> bool {
        let session = self.sessions.get(&number);
        session.is_some_and(|session| session.evidence == Some(question))
    }

    fn end_evidence(&mut self, number: SessionNumber, question: u64) -> bool {
        let awaited = self.awaits_evidence(number, question);
        if awaited {
            self.questions.remove(&question);
            if let Some(session) = self.sessions.get_mut(&number) {
                session.evidence = None;
            }
        }
        awaited
    }
}
