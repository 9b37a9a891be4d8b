//! The history of a run and the checks on it.

use std::collections::{BTreeMap, BTreeSet};

use hookpoint_state::{BundleVersion, Timestamp};

use crate::database::log::Entry;
use crate::database::unit::{Answer, AnswerBody, AttemptId, Key, UnitCall};
use crate::report::{Invariant, Violation};

/// Violations kept of one run.
const MAXIMUM_VIOLATIONS: usize = 20;

/// What an attempt of a client writes, and what became of it.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) client: usize,
    /// Identifier of the request, if it is not repeatable.
    pub(crate) once: Option<u64>,
    /// Keys it appends to, one row each, in one transaction.
    pub(crate) appends: Vec<Key>,
    pub(crate) fate: Fate,
}

/// What the client was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fate {
    /// Nothing yet, or that nobody knows.
    Open,
    /// That it was committed.
    Acknowledged,
    /// That it did not run.
    NotRun,
}

/// The history so far.
#[derive(Debug, Default)]
pub(crate) struct Checker {
    attempts: BTreeMap<AttemptId, Attempt>,
    /// Acknowledged rows of each client by key.
    visible: BTreeMap<(usize, Key), BTreeSet<AttemptId>>,
    drained_since: BTreeMap<usize, Timestamp>,
    in_force: BTreeMap<usize, BundleVersion>,
    pub(crate) violations: Vec<Violation>,
}

impl Checker {
    pub(crate) fn violate(&mut self, now: Timestamp, invariant: Invariant, detail: String) {
        if self.violations.len() < MAXIMUM_VIOLATIONS {
            self.violations.push(Violation {
                invariant,
                at_us: now.0,
                detail,
            });
        }
    }

    pub(crate) fn begin(&mut self, id: AttemptId, attempt: Attempt) {
        self.attempts.insert(id, attempt);
    }

    /// Returns whether the attempt wrote anything.
    pub(crate) fn acknowledged(&mut self, id: AttemptId) -> bool {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return false;
        };
        attempt.fate = Fate::Acknowledged;
        for key in &attempt.appends {
            let rows = self.visible.entry((attempt.client, *key)).or_default();
            rows.insert(id);
        }
        !attempt.appends.is_empty()
    }

    pub(crate) fn not_run(&mut self, id: AttemptId) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.fate = Fate::NotRun;
        }
    }

    /// An answer has reached the client that sent `call`.
    pub(crate) fn answered(
        &mut self,
        now: Timestamp,
        client: usize,
        call: UnitCall,
        answer: &Answer,
    ) {
        if (answer.call.attempt, answer.call.index) != (call.attempt, call.index) {
            let detail = format!("client {client} sent {call:?} and got {:?}", answer.call);
            return self.violate(now, Invariant::OwnAnswer, detail);
        }
        let AnswerBody::Rows(key, rows) = &answer.body else {
            return;
        };
        let Some(written) = self.visible.get(&(client, *key)) else {
            return;
        };
        let rows: BTreeSet<AttemptId> = rows.iter().copied().collect();
        if let Some(missing) = written.difference(&rows).next() {
            let detail = format!("client {client} read {key:?} without its write {missing:?}");
            self.violate(now, Invariant::OwnWritesVisible, detail);
        }
    }

    pub(crate) fn drain(&mut self, now: Timestamp, database: usize, drained: bool) {
        if drained {
            self.drained_since.entry(database).or_insert(now);
        } else {
            self.drained_since.remove(&database);
        }
    }

    /// How long `database` has been draining.
    pub(crate) fn draining_since(&self, database: usize) -> Option<Timestamp> {
        self.drained_since.get(&database).copied()
    }

    /// A proxy has put a bundle in force.
    pub(crate) fn installed(&mut self, now: Timestamp, proxy: usize, version: BundleVersion) {
        let before = self.in_force.insert(proxy, version);
        if before.is_some_and(|before| before >= version) {
            let detail = format!("proxy {proxy} went from {before:?} to {version:?}");
            self.violate(now, Invariant::BundleInForce, detail);
        }
    }

    /// Compares what clients were told with the log that a group has in the end.
    pub(crate) fn finish(&mut self, now: Timestamp, clients: &BTreeSet<usize>, log: &[&Entry]) {
        let mut found: BTreeMap<AttemptId, usize> = BTreeMap::new();
        for entry in log {
            self.check_entry(now, entry);
            for id in entry.owner.iter() {
                *found.entry(*id).or_default() += 1;
            }
        }
        let mut broken = Vec::new();
        let mut runs: BTreeMap<u64, usize> = BTreeMap::new();
        let own = |attempt: &Attempt| clients.contains(&attempt.client);
        for (id, attempt) in self.attempts.iter().filter(|(_, attempt)| own(attempt)) {
            let times = found.get(id).copied().unwrap_or(0);
            let invariant = match (attempt.fate, times) {
                (_, 2..) => Some(Invariant::AtMostOnce),
                (Fate::Acknowledged, 0) if !attempt.appends.is_empty() => {
                    Some(Invariant::AcknowledgedWriteKept)
                }
                (Fate::NotRun, 1) => Some(Invariant::NotRunIsTrue),
                _ => None,
            };
            if let Some(invariant) = invariant {
                broken.push((invariant, format!("{id:?} {attempt:?} ran {times} times")));
            }
            if let Some(request) = attempt.once {
                *runs.entry(request).or_default() += times;
            }
        }
        for (request, _) in runs.iter().filter(|(_, times)| **times > 1) {
            broken.push((
                Invariant::AtMostOnce,
                format!("request {request} ran twice"),
            ));
        }
        for (invariant, detail) in broken {
            self.violate(now, invariant, detail);
        }
    }

    /// A committed transaction holds all rows of its owner, and nobody else's.
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
        let stranger = entry.writes.iter().find(|write| write.attempt != owner);
        if stranger.is_some() || expected.as_ref() != Some(&keys) {
            let detail = format!("{entry:?} but its owner writes {expected:?}");
            self.violate(now, Invariant::TransactionsUnmixed, detail);
        }
    }
}
