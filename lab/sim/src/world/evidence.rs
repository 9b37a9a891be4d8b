//! Status queries that collect evidence of a commit after its connection was returned.

use std::time::Duration;

use hookpoint_coordination::request::RequestEvent;
use hookpoint_coordination::status::BackendStatus;
use hookpoint_state::DatabaseName;

use super::World;
use super::event::{Event, ProxyEvent, SessionNumber};

/// Longest wait for the answer to a status query.
const EVIDENCE_TIMEOUT: Duration = Duration::from_secs(1);

impl World {
    /// Schedules a status query to `name` after the delay `after`.
    pub(crate) fn query_evidence(
        &mut self,
        number: SessionNumber,
        name: &DatabaseName,
        after: Duration,
    ) {
        let Some(database) = self.database_names.iter().position(|other| other == name) else {
            return;
        };
        self.query_count += 1;
        let query = self.query_count;
        let due = self.now() + after;
        let Some(session) = self.sessions.get_mut(&number) else {
            return;
        };
        session.evidence_query = Some(query);
        let proxy = session.proxy;
        self.queries.insert(query, number);
        let event = ProxyEvent::EvidenceDue {
            session: number,
            query,
            database,
        };
        self.schedule.at(due, Event::Proxy { proxy, event });
        let event = ProxyEvent::EvidenceTimeout {
            session: number,
            query,
        };
        self.schedule
            .at(due + EVIDENCE_TIMEOUT, Event::Proxy { proxy, event });
    }

    pub(crate) fn evidence_due(
        &mut self,
        proxy: usize,
        number: SessionNumber,
        query: u64,
        database: usize,
    ) {
        if self.awaits_evidence(number, query) {
            self.send_status_query(proxy, database, query);
        }
    }

    /// Handles a status that the session awaits as evidence. Returns whether it did await it.
    pub(crate) fn evidence_answer(
        &mut self,
        number: SessionNumber,
        query: u64,
        status: &BackendStatus,
    ) -> bool {
        if !self.end_evidence(number, query) {
            return false;
        }
        let status = status.clone();
        self.request_event(number, RequestEvent::ProbeAnswered { status });
        true
    }

    pub(crate) fn evidence_timeout(&mut self, number: SessionNumber, query: u64) {
        if self.end_evidence(number, query) {
            self.request_event(number, RequestEvent::ProbeFailed);
        }
    }

    fn awaits_evidence(&self, number: SessionNumber, query: u64) -> bool {
        let session = self.sessions.get(&number);
        session.is_some_and(|session| session.evidence_query == Some(query))
    }

    fn end_evidence(&mut self, number: SessionNumber, query: u64) -> bool {
        let awaited = self.awaits_evidence(number, query);
        if awaited {
            self.queries.remove(&query);
            if let Some(session) = self.sessions.get_mut(&number) {
                session.evidence_query = None;
            }
        }
        awaited
    }
}
