//! Verification of a group's term by a majority, and the periodic status queries.

use std::time::Duration;

use hookpoint_coordination::observer::{Verification, VerificationState};
use hookpoint_coordination::request::RequestEvent;
use hookpoint_coordination::status::BackendStatus;

use super::World;
use super::event::{Event, ProxyEvent, SessionNumber};
use super::proxy::PendingVerification;

/// Longest wait for the answers of a majority.
const VERIFY_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval between status queries to all databases.
const OBSERVE_PERIOD: Duration = Duration::from_millis(100);
/// Time without an answer after which a database counts as unreachable.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(450);

impl World {
    /// Starts a term verification: queries all databases of the session's group.
    pub(crate) fn verify(&mut self, number: SessionNumber) {
        self.query_count += 1;
        let query = self.query_count;
        let at = self.now() + VERIFY_TIMEOUT;
        let Some(session) = self.sessions.get_mut(&number) else {
            return;
        };
        let (proxy, group) = (session.proxy, session.group);
        session.verification = Some(PendingVerification {
            query,
            round: Verification::new(self.groups[group].members.len()),
        });
        let event = ProxyEvent::VerifyTimeout {
            session: number,
            query,
        };
        self.schedule.at(at, Event::Proxy { proxy, event });
        self.queries.insert(query, number);
        for database in self.groups[group].members.clone() {
            self.send_status_query(proxy, database, query);
        }
    }

    pub(crate) fn send_status_query(&mut self, proxy: usize, database: usize, query: u64) {
        let zones = (self.proxies[proxy].zone, self.databases[database].zone);
        let at = self.now() + self.network.latency(zones.0, zones.1);
        let event = Event::ControlQuery {
            proxy,
            database,
            query,
        };
        self.schedule.at(at, event);
    }

    /// Queries the status of all databases and marks those that have not answered for
    /// [`UNREACHABLE_AFTER`] as unreachable.
    pub(crate) fn observe_all(&mut self, proxy: usize) {
        let now = self.now();
        let event = ProxyEvent::Observe;
        self.schedule
            .at(now + OBSERVE_PERIOD, Event::Proxy { proxy, event });
        self.refresh_idle(proxy);
        for database in 0..self.databases.len() {
            self.send_status_query(proxy, database, 0);
            let group = self.group_name(self.databases[database].group);
            let answered = self.proxies[proxy].answered_at.get(&database).copied();
            if now.since(answered.unwrap_or_default()) > UNREACHABLE_AFTER {
                let name = self.database_names[database].clone();
                self.proxies[proxy].terms.mark_unreachable(&group, &name);
            }
        }
    }

    pub(crate) fn control_answer(
        &mut self,
        proxy: usize,
        database: usize,
        query: u64,
        status: BackendStatus,
    ) {
        let now = self.now();
        self.proxies[proxy].answered_at.insert(database, now);
        let group = self.databases[database].group;
        self.observe(proxy, group, database, &status);
        let Some(number) = self.queries.get(&query).copied() else {
            return;
        };
        if self.evidence_answer(number, query, &status) {
            return;
        }
        let Some(session) = self.sessions.get_mut(&number) else {
            return;
        };
        let Some(verification) = session.verification.as_mut() else {
            return;
        };
        if verification.query != query {
            return;
        }
        let name = self.database_names[database].clone();
        verification.round.record_answer(name, Some(status));
        let event = match verification.round.state() {
            VerificationState::Open => return,
            VerificationState::Verified(position) => RequestEvent::TermVerified { position },
            VerificationState::Failed => RequestEvent::VerifyFailed,
        };
        session.verification = None;
        self.queries.remove(&query);
        self.request_event(number, event);
    }

    pub(crate) fn verify_timeout(&mut self, number: SessionNumber, query: u64) {
        self.queries.remove(&query);
        let Some(session) = self.sessions.get_mut(&number) else {
            return;
        };
        let current = session
            .verification
            .as_ref()
            .map(|verification| verification.query);
        if current == Some(query) {
            session.verification = None;
            self.request_event(number, RequestEvent::VerifyFailed);
        }
    }
}
