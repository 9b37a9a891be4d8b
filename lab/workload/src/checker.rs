//! Checks a history for violations of the guarantees given to clients.
//!
//! The checker uses only the answers that clients received and the final contents of the
//! databases. It does not depend on the internals of the proxies.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::history::{
    Ending, EntryRow, History, Operation, OperationResult, PlannedStop, ProxyIndex, Record,
    SessionNumber,
};

/// A violation of a guarantee that must always hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "violation", rename_all = "snake_case")]
pub enum Violation {
    /// An acknowledged write is missing from the final state.
    WriteLost {
        /// Session whose write was acknowledged.
        session: SessionNumber,
        /// Sequence of the write, or number of the billing run.
        sequence: u64,
    },
    /// A write took effect more than once.
    WriteDoubled {
        /// Session of the write.
        session: SessionNumber,
        /// Sequence of the write, or number of the billing run.
        sequence: u64,
        /// Number of times the write took effect.
        copies: usize,
    },
    /// A read did not return a row that its session had written or read before.
    StaleRead {
        /// Session that read.
        session: SessionNumber,
        /// Session whose rows were read.
        subject: SessionNumber,
        /// Sequence that the read should have returned.
        missing: u64,
        /// Start of the read, in microseconds since the run's origin.
        at: u64,
    },
    /// A transaction was not isolated or not atomic.
    MixedTransaction {
        /// Session of the billing run.
        session: SessionNumber,
        /// Number of the billing run within its session.
        run: u64,
        /// How the transaction violated isolation or atomicity.
        cause: MixedCause,
    },
    /// An answer does not fit its request.
    WrongAnswer {
        /// Session that received the answer.
        session: SessionNumber,
        /// Start of the request, in microseconds since the run's origin.
        at: u64,
        /// How the answer was wrong.
        cause: WrongCause,
    },
    /// A request reported as not run took effect.
    FalseNotRun {
        /// Session of the write.
        session: SessionNumber,
        /// Sequence of the write.
        sequence: u64,
        /// Attempt that was reported as not run.
        attempt: u32,
    },
    /// A planned stop of a proxy interrupted a request.
    InFlightCut {
        /// Session of the request.
        session: SessionNumber,
        /// Proxy that was stopping.
        proxy: ProxyIndex,
        /// Start of the request, in microseconds since the run's origin.
        at: u64,
    },
}

/// How a transaction violated isolation or atomicity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MixedCause {
    /// It did not see exactly the rows that it had inserted.
    ForeignView,
    /// More than one backend answered its statements.
    SeveralConnections,
    /// Only some of its rows are in the final state.
    Partial,
    /// Its rows are in the final state although it was never committed.
    NeverCommitted,
}

/// How an answer was wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WrongCause {
    /// It echoes the nonce of another request.
    Echo,
    /// It has more rows than requested, or reports a wrong number of affected rows.
    RowCount,
    /// It contains rows that its session has not attempted to write.
    Impossible,
    /// Its shape does not fit the request.
    Malformed,
}

/// Counts of the results of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Totals {
    /// Operations, whatever their result.
    pub requests: u64,
    /// Acknowledged writes, and billing runs that ended as intended.
    pub writes_acknowledged: u64,
    /// Reads answered.
    pub reads: u64,
    /// Reads answered by a replica.
    pub replica_reads: u64,
    /// Requests reported as not run, and transactions that failed before their `COMMIT`.
    pub not_run: u64,
    /// Requests whose identifier was reported to have already run.
    pub already_run: u64,
    /// Requests rejected with an ordinary error.
    pub rejected: u64,
    /// Writes and billing runs whose outcome was reported as unknown.
    pub unknown: u64,
    /// Requests without a definite answer: lost connections, timeouts, and reads of unknown
    /// outcome.
    pub unanswered: u64,
    /// Writes and billing runs of unknown outcome or without an answer that are in the final
    /// state.
    pub unknown_found: u64,
    /// Rows returned by reads that were neither acknowledged nor are in the final state.
    pub unconfirmed_reads: u64,
}

/// The result of a check.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Findings {
    /// Counts of the results of the run.
    pub totals: Totals,
    /// All violations found.
    pub violations: Vec<Violation>,
}

impl Findings {
    /// Returns the number of violations for which `matches` returns true.
    pub fn count(&self, matches: impl Fn(&Violation) -> bool) -> u64 {
        self.violations
            .iter()
            .filter(|found| matches(found))
            .count() as u64
    }
}

/// Identifies a write: its session, and its sequence or the number of its billing run.
type WriteKey = (SessionNumber, u64);

/// Checks all operations, planned stops and final states of `history`.
pub fn check(history: &History) -> Findings {
    let mut checker = Checker::new(history);
    checker.check_sessions();
    checker.check_entries();
    checker.check_runs();
    checker.check_stops();
    checker.findings
}

struct Checker<'a> {
    history: &'a History,
    sessions: BTreeMap<SessionNumber, Vec<&'a Record>>,
    entries: BTreeMap<WriteKey, Vec<EntryRow>>,
    acknowledged: BTreeSet<WriteKey>,
    findings: Findings,
}

impl<'a> Checker<'a> {
    fn new(history: &'a History) -> Self {
        let mut sessions: BTreeMap<SessionNumber, Vec<&Record>> = BTreeMap::new();
        for record in &history.records {
            sessions.entry(record.session).or_default().push(record);
        }
        let mut entries: BTreeMap<WriteKey, Vec<EntryRow>> = BTreeMap::new();
        for row in history
            .final_states
            .values()
            .flat_map(|state| &state.entries)
        {
            let key = (row.session, row.sequence);
            entries.entry(key).or_default().push(*row);
        }
        let acknowledged = history.records.iter().filter_map(acknowledged_write);
        Self {
            acknowledged: acknowledged.collect(),
            history,
            sessions,
            entries,
            findings: Findings::default(),
        }
    }

    fn report(&mut self, violation: Violation) {
        self.findings.violations.push(violation);
    }

    fn check_sessions(&mut self) {
        let sessions = std::mem::take(&mut self.sessions);
        for (session, records) in &sessions {
            let mut view = SessionView::default();
            for record in records {
                self.count(record);
                self.check_record(*session, record, &mut view);
            }
        }
        self.sessions = sessions;
    }

    fn count(&mut self, record: &Record) {
        let totals = &mut self.findings.totals;
        totals.requests += 1;
        let read = matches!(
            record.operation,
            Operation::ReadOwn { .. } | Operation::ReadOther { .. }
        );
        match &record.result {
            OperationResult::Written { .. } | OperationResult::RunEnded { .. } => {
                totals.writes_acknowledged += 1;
            }
            OperationResult::Read { replica, .. } => {
                totals.reads += 1;
                totals.replica_reads += u64::from(*replica);
            }
            OperationResult::NotRun { .. } | OperationResult::NotCommitted { .. } => {
                totals.not_run += 1;
            }
            OperationResult::AlreadyRan => totals.already_run += 1,
            OperationResult::Rejected { .. } => totals.rejected += 1,
            OperationResult::Unknown { .. } if !read => totals.unknown += 1,
            OperationResult::Unknown { .. }
            | OperationResult::ConnectionLost
            | OperationResult::TimedOut => totals.unanswered += 1,
            OperationResult::Malformed { .. } => {}
        }
    }

    fn check_record(&mut self, session: SessionNumber, record: &Record, view: &mut SessionView) {
        if let OperationResult::Malformed { .. } = record.result {
            self.report_wrong_answer(record, WrongCause::Malformed);
        }
        match &record.operation {
            Operation::Write { sequence, .. } => {
                view.attempted.insert(*sequence);
                match record.result {
                    OperationResult::Written { rows } => {
                        view.acknowledged.insert(*sequence);
                        if rows != 1 {
                            self.report_wrong_answer(record, WrongCause::RowCount);
                        }
                    }
                    OperationResult::AlreadyRan => {
                        view.acknowledged.insert(*sequence);
                    }
                    _ => {}
                }
            }
            Operation::ReadOwn { nonce, limit } => {
                if let OperationResult::Read {
                    echo, sequences, ..
                } = &record.result
                {
                    self.check_echo(record, nonce, echo);
                    self.check_own_read(session, record, sequences, *limit, view);
                }
            }
            Operation::ReadOther { subject, nonce } => {
                if let OperationResult::Read {
                    echo, sequences, ..
                } = &record.result
                {
                    self.check_echo(record, nonce, echo);
                    self.check_other_read(session, record, *subject, sequences, view);
                }
            }
            Operation::BillingRun { .. } => {}
        }
    }

    fn report_wrong_answer(&mut self, record: &Record, cause: WrongCause) {
        self.report(Violation::WrongAnswer {
            session: record.session,
            at: record.started,
            cause,
        });
    }

    fn check_echo(&mut self, record: &Record, nonce: &str, echo: &str) {
        if nonce != echo {
            self.report_wrong_answer(record, WrongCause::Echo);
        }
    }

    fn check_own_read(
        &mut self,
        session: SessionNumber,
        record: &Record,
        sequences: &[u64],
        limit: usize,
        view: &mut SessionView,
    ) {
        if sequences.len() > limit {
            self.report_wrong_answer(record, WrongCause::RowCount);
        }
        let returned: BTreeSet<u64> = sequences.iter().copied().collect();
        if !returned.is_subset(&view.attempted) {
            self.report_wrong_answer(record, WrongCause::Impossible);
        }
        let lowest = match returned.first() {
            Some(first) if sequences.len() >= limit => *first,
            _ => 0,
        };
        let missing = view
            .expected(lowest)
            .find(|expected| !returned.contains(expected));
        if let Some(missing) = missing {
            self.report(Violation::StaleRead {
                session,
                subject: session,
                missing,
                at: record.started,
            });
        }
        for sequence in &returned {
            self.note_unconfirmed((session, *sequence));
        }
        let durable = returned
            .iter()
            .filter(|sequence| self.entries.contains_key(&(session, **sequence)));
        view.seen.extend(durable);
    }

    fn check_other_read(
        &mut self,
        session: SessionNumber,
        record: &Record,
        subject: SessionNumber,
        sequences: &[u64],
        view: &mut SessionView,
    ) {
        if sequences.len() > 1 {
            self.report_wrong_answer(record, WrongCause::RowCount);
        }
        let returned = sequences.iter().copied().max().unwrap_or(0);
        let before = view.highest_read.get(&subject).copied().unwrap_or(0);
        if returned < before {
            self.report(Violation::StaleRead {
                session,
                subject,
                missing: before,
                at: record.started,
            });
        }
        if returned == 0 {
            return;
        }
        self.note_unconfirmed((subject, returned));
        if self.entries.contains_key(&(subject, returned)) {
            view.highest_read.insert(subject, returned.max(before));
        }
    }

    fn note_unconfirmed(&mut self, key: WriteKey) {
        if !self.entries.contains_key(&key) && !self.acknowledged.contains(&key) {
            self.findings.totals.unconfirmed_reads += 1;
        }
    }

    fn check_entries(&mut self) {
        let entries = std::mem::take(&mut self.entries);
        for ((session, sequence), rows) in &entries {
            if rows.len() > 1 {
                self.report(Violation::WriteDoubled {
                    session: *session,
                    sequence: *sequence,
                    copies: rows.len(),
                });
            }
        }
        for record in &self.history.records {
            let Operation::Write {
                sequence, attempt, ..
            } = record.operation
            else {
                continue;
            };
            let rows = entries.get(&(record.session, sequence));
            let of_attempt = rows.is_some_and(|rows| rows.iter().any(|row| row.attempt == attempt));
            self.check_entry(record, sequence, attempt, rows.is_some(), of_attempt);
        }
        self.entries = entries;
    }

    fn check_entry(
        &mut self,
        record: &Record,
        sequence: u64,
        attempt: u32,
        present: bool,
        of_attempt: bool,
    ) {
        let session = record.session;
        match &record.result {
            OperationResult::Written { .. } | OperationResult::AlreadyRan if !present => {
                self.report(Violation::WriteLost { session, sequence });
            }
            OperationResult::NotRun { .. } | OperationResult::Rejected { .. } if of_attempt => {
                self.report(Violation::FalseNotRun {
                    session,
                    sequence,
                    attempt,
                });
            }
            OperationResult::Unknown { .. }
            | OperationResult::ConnectionLost
            | OperationResult::TimedOut => {
                self.findings.totals.unknown_found += u64::from(of_attempt);
            }
            _ => {}
        }
    }

    fn check_runs(&mut self) {
        let mut lines: BTreeMap<(SessionNumber, u64, u32), Vec<u32>> = BTreeMap::new();
        for row in self
            .history
            .final_states
            .values()
            .flat_map(|state| &state.lines)
        {
            let key = (row.session, row.run, row.attempt);
            lines.entry(key).or_default().push(row.line);
        }
        let history = self.history;
        for record in &history.records {
            if let Operation::BillingRun {
                run,
                attempt,
                lines: expected,
                ending,
            } = record.operation
            {
                let found = lines.remove(&(record.session, run, attempt));
                self.check_run(record, run, expected, ending, &found.unwrap_or_default());
            }
        }
        self.check_run_copies();
    }

    fn check_run(
        &mut self,
        record: &Record,
        run: u64,
        expected: u32,
        ending: Ending,
        found: &[u32],
    ) {
        let session = record.session;
        let mixed = |cause| Violation::MixedTransaction {
            session,
            run,
            cause,
        };
        if let OperationResult::RunEnded { seen, backends } = &record.result {
            if !seen.iter().copied().eq(1..=u64::from(expected)) {
                self.report(mixed(MixedCause::ForeignView));
            }
            if backends.iter().collect::<BTreeSet<_>>().len() > 1 {
                self.report(mixed(MixedCause::SeveralConnections));
            }
        }
        let distinct = found.iter().collect::<BTreeSet<_>>().len();
        if found.len() > distinct {
            self.report(Violation::WriteDoubled {
                session,
                sequence: run,
                copies: found.len().div_ceil(distinct),
            });
        }
        if distinct != 0 && distinct != expected as usize {
            self.report(mixed(MixedCause::Partial));
        }
        let ended = matches!(record.result, OperationResult::RunEnded { .. });
        if ended && ending == Ending::Commit && distinct == 0 {
            self.report(Violation::WriteLost {
                session,
                sequence: run,
            });
        }
        let not_committed = never_committed(&record.result, ending);
        if not_committed && distinct != 0 {
            self.report(mixed(MixedCause::NeverCommitted));
        }
        if !ended && !not_committed {
            self.findings.totals.unknown_found += u64::from(distinct != 0);
        }
    }

    /// Reports billing runs of which more than one attempt took effect.
    fn check_run_copies(&mut self) {
        let mut attempts: BTreeMap<WriteKey, BTreeSet<u32>> = BTreeMap::new();
        for row in self
            .history
            .final_states
            .values()
            .flat_map(|state| &state.lines)
        {
            let key = (row.session, row.run);
            attempts.entry(key).or_default().insert(row.attempt);
        }
        for ((session, sequence), attempts) in attempts {
            if attempts.len() > 1 {
                self.report(Violation::WriteDoubled {
                    session,
                    sequence,
                    copies: attempts.len(),
                });
            }
        }
    }

    fn check_stops(&mut self) {
        let history = self.history;
        for record in &history.records {
            let interrupted = matches!(
                record.result,
                OperationResult::ConnectionLost | OperationResult::NotCommitted { sqlstate: None }
            );
            if !interrupted {
                continue;
            }
            let interrupting_stop = history
                .planned_stops
                .iter()
                .find(|stop| interrupted_by(stop, record));
            if let Some(stop) = interrupting_stop {
                self.report(Violation::InFlightCut {
                    session: record.session,
                    proxy: stop.proxy,
                    at: record.started,
                });
            }
        }
    }
}

/// What a session has attempted, written and read up to a point of its history.
#[derive(Default)]
struct SessionView {
    attempted: BTreeSet<u64>,
    acknowledged: BTreeSet<u64>,
    seen: BTreeSet<u64>,
    /// Highest sequence read of each other session.
    highest_read: BTreeMap<SessionNumber, u64>,
}

impl SessionView {
    /// Returns the session's own sequences from `lowest` upwards that a read must return.
    fn expected(&self, lowest: u64) -> impl Iterator<Item = u64> {
        self.acknowledged
            .range(lowest..)
            .chain(self.seen.range(lowest..))
            .copied()
    }
}

fn acknowledged_write(record: &Record) -> Option<WriteKey> {
    let Operation::Write { sequence, .. } = record.operation else {
        return None;
    };
    matches!(
        record.result,
        OperationResult::Written { .. } | OperationResult::AlreadyRan
    )
    .then_some((record.session, sequence))
}

fn never_committed(result: &OperationResult, ending: Ending) -> bool {
    match result {
        OperationResult::NotCommitted { .. }
        | OperationResult::NotRun { .. }
        | OperationResult::Rejected { .. } => true,
        _ => ending == Ending::Rollback,
    }
}

fn interrupted_by(stop: &PlannedStop, record: &Record) -> bool {
    stop.proxy == record.proxy && record.started <= stop.to && record.ended >= stop.from
}
