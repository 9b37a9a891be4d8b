//! Asking a majority of a group for its term.

use std::time::Duration;

use hookpoint_coordination::observer::{Verification, VerificationState};
use hookpoint_coordination::request::RequestEvent;
use hookpoint_coordination::status::BackendStatus;

use super::World;
use super::event::{Event, ProxyEvent, SessionNumber};
use super::proxy::RunningVerification;

/// Longest wait for a majority.
const VERIFY_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between two questions to all databases.
const OBSERVE_PERIOD: Duration = Duration::from_millis(100);
/// Silence after which a database counts as unreachable.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(450);

impl World {
    /// Asks all databases of the session's group, from now on.
    pub(crate) fn verify(&mut self, number: SessionNumber) {
        self.question_count += 1;
        let question = self.question_count;
        let at = self.now() + VERIFY_TIMEOUT;
        let Some(session) = self.sessions.get_mut(&number) else {
            return;
        };
        let (proxy, group) = (session.proxy, session.group);
        session.verification = Some(RunningVerification {
            question,
            round: Verification::new(self.groups[group].members.len()),
        });
        let event = ProxyEvent::VerifyTimeout {
            session: number,
            question,
        };
        self.schedule.at(at, Event::Proxy { proxy, event });
        self.questions.insert(question, number);
        for database in self.groups[group].members.clone() {
            self.ask(proxy, database, question);
        }
    }

    pub(crate) fn ask(&mut self, proxy: usize, database: usize, question: u64) {
        let zones = (self.proxies[proxy].zone, self.databases[database].zone);
        let at = self.now() + self.network.latency(zones.0, zones.1);
        let event = Event::ControlQuestion {
            proxy,
            database,
            question,
        };
        self.schedule.at(at, event);
    }

    /// Asks all databases for their status, and marks those that are silent.
    pub(crate) fn observe_all(&mut self, proxy: usize) {
        let now = self.now();
        let event = ProxyEvent::Observe;
        self.schedule
            .at(now + OBSERVE_PERIOD, Event::Proxy { proxy, event });
        self.refresh_idle(proxy);
        for database in 0..self.databases.len() {
            self.ask(proxy, database, 0);
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
        question: u64,
        status: BackendStatus,
    ) {
        let now = self.now();
        self.proxies[proxy].answered_at.insert(database, now);
        let group = self.databases[database].group;
        self.observe(proxy, group, database, &status);
        let Some(number) = self.questions.get(&question).copied() else {
            return;
        };
        if self.evidence_answer(number, question, &status) {
            return;
        }
        let Some(session) = self.sessions.get_mut(&number) else {
            return;
        };
        let Some(verification) = session.verification.as_mut() else {
            return;
        };
        if verification.question != question {
            return;
        }
        let name = self.database_names[database].clone();
        verification.round.answered(name, Some(status));
        let event = match verification.round.state() {
            VerificationState::Open => return,
            VerificationState::Verified(position) => RequestEvent::TermVerified { position },
            VerificationState::Failed => RequestEvent::VerifyFailed,
        };
        session.verification = None;
        self.questions.remove(&question);
        self.feed(number, event);
    }

    pub(crate) fn verify_timeout(&mut self, number: SessionNumber, question: u64) {
        self.questions.remove(&question);
        let Some(session) = self.sessions.get_mut(&number) else {
            return;
        };
        let current = session
            .verification
            .as_ref()
            .map(|verification| verification.question);
        if current == Some(question) {
            session.verification = None;
            self.feed(number, RequestEvent::VerifyFailed);
        }
    }
}
