//! The history of a run and the invariant checks on it.

use std::collections::{BTreeMap, BTreeSet};

use hookpoint_state::{BundleVersion, Timestamp};

use crate::database::log::Entry;
use crate::database::unit::{Answer, AnswerBody, AttemptId, Key, UnitCall};
use crate::report::{Invariant, Violation};

/// Maximum number of violations kept per run.
const MAXIMUM_VIOLATIONS: usize = 20;

/// One attempt of a client to run a request: its writes and the outcome reported to the client.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) client: usize,
    /// Identifier of a request that must be committed at most once over all its attempts,
    /// which share the identifier; `None` for attempts at other requests.
    pub(crate) non_repeatable_id: Option<u64>,
    /// Keys that the attempt appends to, one row each, in one transaction.
    pub(crate) appends: Vec<Key>,
    pub(crate) outcome: ReportedOutcome,
}

/// Outcome of an attempt as reported to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportedOutcome {
    /// Not reported yet, or reported as unknown.
    Open,
    /// Reported as committed.
    Acknowledged,
    /// Reported as not run.
    NotRun,
}

/// History of a run and the violations found in it.
#[derive(Debug, Default)]
pub(crate) struct Checker {
    attempts: BTreeMap<AttemptId, Attempt>,
    /// Acknowledged rows by client and key; the client must see them in every later read.
    acknowledged_rows: BTreeMap<(usize, Key), BTreeSet<AttemptId>>,
    drained_since: BTreeMap<usize, Timestamp>,
    installed_versions: BTreeMap<usize, BundleVersion>,
    pub(crate) violations: Vec<Violation>,
}

impl Checker {
    pub(crate) fn add_violation(&mut self, now: Timestamp, invariant: Invariant, detail: String) {
        if self.violations.len() < MAXIMUM_VIOLATIONS {
            self.violations.push(Violation {
                invariant,
                at_us: now.0,
                detail,
            });
        }
    }

    pub(crate) fn begin_attempt(&mut self, id: AttemptId, attempt: Attempt) {
        self.attempts.insert(id, attempt);
    }

    /// Records that the attempt was acknowledged. Returns whether it wrote anything.
    pub(crate) fn acknowledged(&mut self, id: AttemptId) -> bool {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return false;
        };
        attempt.outcome = ReportedOutcome::Acknowledged;
        for key in &attempt.appends {
            let rows = self
                .acknowledged_rows
                .entry((attempt.client, *key))
                .or_default();
            rows.insert(id);
        }
        !attempt.appends.is_empty()
    }

    pub(crate) fn not_run(&mut self, id: AttemptId) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.outcome = ReportedOutcome::NotRun;
        }
    }

    /// Checks an answer that has reached the client that sent `call`.
    pub(crate) fn answered(
        &mut self,
        now: Timestamp,
        client: usize,
        call: UnitCall,
        answer: &Answer,
    ) {
        if (answer.call.attempt, answer.call.index) != (call.attempt, call.index) {
            let detail = format!(
                "client {client} sent {call:?} and received the answer to {:?}",
                answer.call
            );
            return self.add_violation(now, Invariant::OwnAnswer, detail);
        }
        let AnswerBody::Rows(key, rows) = &answer.body else {
            return;
        };
        let Some(written) = self.acknowledged_rows.get(&(client, *key)) else {
            return;
        };
        let rows: BTreeSet<AttemptId> = rows.iter().copied().collect();
        if let Some(missing) = written.difference(&rows).next() {
            let detail = format!("client {client} read {key:?} without its write {missing:?}");
            self.add_violation(now, Invariant::OwnWritesVisible, detail);
        }
    }

    pub(crate) fn set_draining(&mut self, now: Timestamp, database: usize, drained: bool) {
        if drained {
            self.drained_since.entry(database).or_insert(now);
        } else {
            self.drained_since.remove(&database);
        }
    }

    /// Returns the time at which `database` began to drain; `None` if it is not draining.
    pub(crate) fn draining_since(&self, database: usize) -> Option<Timestamp> {
        self.drained_since.get(&database).copied()
    }

    /// Checks that a bundle put in force by a proxy is newer than the proxy's previous one.
    pub(crate) fn bundle_installed(
        &mut self,
        now: Timestamp,
        proxy: usize,
        version: BundleVersion,
    ) {
        let before = self.installed_versions.insert(proxy, version);
        if before.is_some_and(|before| before >= version) {
            let detail = format!("proxy {proxy} went from {before:?} to {version:?}");
            self.add_violation(now, Invariant::BundleInForce, detail);
        }
    }

    /// Compares the outcomes reported to `clients` with the final log of their group.
    pub(crate) fn check_final_log(
        &mut self,
        now: Timestamp,
        clients: &BTreeSet<usize>,
        log: &[&Entry],
    ) {
        let mut commit_counts: BTreeMap<AttemptId, usize> = BTreeMap::new();
        for entry in log {
            self.check_entry(now, entry);
            for id in entry.owner.iter() {
                *commit_counts.entry(*id).or_default() += 1;
            }
        }
        let mut found_violations = Vec::new();
        let mut request_counts: BTreeMap<u64, usize> = BTreeMap::new();
        let is_of_group = |attempt: &Attempt| clients.contains(&attempt.client);
        for (id, attempt) in self
            .attempts
            .iter()
            .filter(|(_, attempt)| is_of_group(attempt))
        {
            let times = commit_counts.get(id).copied().unwrap_or(0);
            let invariant = match (attempt.outcome, times) {
                (_, 2..) => Some(Invariant::AtMostOnce),
                (ReportedOutcome::Acknowledged, 0) if !attempt.appends.is_empty() => {
                    Some(Invariant::AcknowledgedWriteKept)
                }
                (ReportedOutcome::NotRun, 1) => Some(Invariant::NotRunIsTrue),
                _ => None,
            };
            if let Some(invariant) = invariant {
                found_violations.push((
                    invariant,
                    format!("{id:?} {attempt:?} was committed {times} times"),
                ));
            }
            if let Some(request) = attempt.non_repeatable_id {
                *request_counts.entry(request).or_default() += times;
            }
        }
        for (request, _) in request_counts.iter().filter(|(_, times)| **times > 1) {
            found_violations.push((
                Invariant::AtMostOnce,
                format!("request {request} was committed more than once"),
            ));
        }
        for (invariant, detail) in found_violations {
            self.add_violation(now, invariant, detail);
        }
    }

    /// Checks that a committed transaction holds all rows of its attempt and no other rows.
    fn check_entry(&mut self, now: Timestamp, entry: &Entry) {
        let Some(owner) = entry.owner else {
            return;
        };
        let mut keys: Vec<Key> = entry.writes.iter().map(|write| write.key).collect();
        keys.sort();
        let expected = self.attempts.get(&owner).map(|attempt| {
            let mut keys = attempt.appends.clone();
            keys.sort();
            keys
        });
        let foreign_write = entry.writes.iter().find(|write| write.attempt != owner);
        if foreign_write.is_some() || expected.as_ref() != Some(&keys) {
            let detail = format!("{entry:?} differs from the writes {expected:?} of its attempt");
            self.add_violation(now, Invariant::TransactionsUnmixed, detail);
        }
    }
}
