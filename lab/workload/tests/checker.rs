//! Runs the checker on constructed histories: one or more for each kind of violation, and
//! valid ones in which it must not report any.

use hookpoint_state::GroupName;
use hookpoint_workload::checker::{Findings, MixedCause, Violation, WrongCause, check};
use hookpoint_workload::history::{
    Ending, EntryRow, FinalState, History, LineRow, Operation, OperationResult, PlannedStop,
    ProxyIndex, Record, SessionNumber, WriteKind,
};

const SESSION: SessionNumber = SessionNumber(1);
const OTHER: SessionNumber = SessionNumber(2);
const LIMIT: usize = 3;

/// Builds a history in which operations start one millisecond apart.
#[derive(Default)]
struct HistoryBuilder {
    history: History,
    state: FinalState,
}

impl HistoryBuilder {
    fn record(
        mut self,
        session: SessionNumber,
        operation: Operation,
        result: OperationResult,
    ) -> Self {
        let started = self.history.records.len() as u64 * 1_000;
        self.history.records.push(Record {
            session,
            group: GroupName::new("mensajes-1"),
            proxy: ProxyIndex(0),
            started,
            ended: started + 500,
            operation,
            result,
        });
        self
    }

    fn write(self, sequence: u64, attempt: u32, result: OperationResult) -> Self {
        let operation = Operation::Write {
            kind: WriteKind::ChargeNotice,
            sequence,
            attempt,
        };
        self.record(SESSION, operation, result)
    }

    fn read(self, echo: &str, sequences: &[u64]) -> Self {
        let operation = Operation::ReadOwn {
            nonce: "nonce".to_owned(),
            limit: LIMIT,
        };
        self.record(SESSION, operation, answer(echo, sequences))
    }

    fn read_other(self, sequences: &[u64]) -> Self {
        let operation = Operation::ReadOther {
            subject: OTHER,
            nonce: "nonce".to_owned(),
        };
        self.record(SESSION, operation, answer("nonce", sequences))
    }

    fn run(self, ending: Ending, result: OperationResult) -> Self {
        let operation = Operation::BillingRun {
            run: 7,
            attempt: 1,
            lines: 2,
            ending,
        };
        self.record(SESSION, operation, result)
    }

    fn row(mut self, session: SessionNumber, sequence: u64, attempt: u32) -> Self {
        self.state.entries.push(EntryRow {
            session,
            sequence,
            attempt,
        });
        self
    }

    fn lines(mut self, attempt: u32, lines: &[u32]) -> Self {
        self.state.lines.extend(lines.iter().map(|line| LineRow {
            session: SESSION,
            run: 7,
            attempt,
            line: *line,
        }));
        self
    }

    fn stop(mut self, from: u64, to: u64) -> Self {
        self.history.planned_stops.push(PlannedStop {
            proxy: ProxyIndex(0),
            from,
            to,
        });
        self
    }

    fn check(mut self) -> Findings {
        let group = GroupName::new("mensajes-1");
        self.history.final_states.insert(group, self.state);
        check(&self.history)
    }
}

fn answer(echo: &str, sequences: &[u64]) -> OperationResult {
    OperationResult::Read {
        echo: echo.to_owned(),
        sequences: sequences.to_vec(),
        replica: true,
    }
}

fn written() -> OperationResult {
    OperationResult::Written { rows: 1 }
}

fn not_run() -> OperationResult {
    OperationResult::NotRun {
        sqlstate: "HN003".to_owned(),
    }
}

fn unknown() -> OperationResult {
    OperationResult::Unknown {
        sqlstate: "08007".to_owned(),
    }
}

fn ended() -> OperationResult {
    OperationResult::RunEnded {
        seen: vec![1, 2],
        backends: vec![40],
    }
}

fn stale(subject: SessionNumber, missing: u64, at: u64) -> Violation {
    Violation::StaleRead {
        session: SESSION,
        subject,
        missing,
        at,
    }
}

fn wrong(at: u64, cause: WrongCause) -> Violation {
    Violation::WrongAnswer {
        session: SESSION,
        at,
        cause,
    }
}

fn mixed(cause: MixedCause) -> Violation {
    Violation::MixedTransaction {
        session: SESSION,
        run: 7,
        cause,
    }
}

fn lost(sequence: u64) -> Violation {
    Violation::WriteLost {
        session: SESSION,
        sequence,
    }
}

fn duplicated(sequence: u64) -> Violation {
    Violation::WriteDoubled {
        session: SESSION,
        sequence,
        copies: 2,
    }
}

fn false_not_run(attempt: u32) -> Violation {
    Violation::FalseNotRun {
        session: SESSION,
        sequence: 1,
        attempt,
    }
}

fn invalid_histories() -> Vec<(&'static str, HistoryBuilder, Vec<Violation>)> {
    let history = HistoryBuilder::default;
    let rejected = OperationResult::Rejected {
        sqlstate: "23505".to_owned(),
        message: String::new(),
    };
    let not_committed = OperationResult::NotCommitted { sqlstate: None };
    let foreign_row = OperationResult::RunEnded {
        seen: vec![1, 3],
        backends: vec![40],
    };
    let two_backends = OperationResult::RunEnded {
        seen: vec![1, 2],
        backends: vec![40, 41],
    };
    vec![
        (
            "acknowledged write is missing",
            history().write(1, 1, written()),
            vec![lost(1)],
        ),
        (
            "write reported as already run is missing",
            history()
                .write(1, 1, unknown())
                .write(1, 2, OperationResult::AlreadyRan),
            vec![lost(1)],
        ),
        (
            "one attempt took effect twice",
            history()
                .write(1, 1, written())
                .row(SESSION, 1, 1)
                .row(SESSION, 1, 1),
            vec![duplicated(1)],
        ),
        (
            "resubmitted after an unknown outcome and took effect twice",
            history()
                .write(1, 1, unknown())
                .write(1, 2, written())
                .row(SESSION, 1, 1)
                .row(SESSION, 1, 2),
            vec![duplicated(1)],
        ),
        (
            "own write is not returned",
            history()
                .write(1, 1, written())
                .read("nonce", &[])
                .row(SESSION, 1, 1),
            vec![stale(SESSION, 1, 1_000)],
        ),
        (
            "own write is missing among the latest rows",
            history()
                .write(1, 1, written())
                .write(2, 1, written())
                .write(3, 1, written())
                .write(4, 1, written())
                .read("nonce", &[4, 2, 1])
                .row(SESSION, 1, 1)
                .row(SESSION, 2, 1)
                .row(SESSION, 3, 1)
                .row(SESSION, 4, 1),
            vec![stale(SESSION, 3, 4_000)],
        ),
        (
            "unacknowledged row is returned, then not",
            history()
                .write(1, 1, unknown())
                .read("nonce", &[1])
                .read("nonce", &[])
                .row(SESSION, 1, 1),
            vec![stale(SESSION, 1, 2_000)],
        ),
        (
            "another session's row is returned, then not",
            history()
                .read_other(&[5])
                .read_other(&[4])
                .row(OTHER, 5, 1)
                .row(OTHER, 4, 1),
            vec![stale(OTHER, 5, 1_000)],
        ),
        (
            "answer to another request",
            history().read("another", &[]),
            vec![wrong(0, WrongCause::Echo)],
        ),
        (
            "more rows than requested",
            history()
                .write(1, 1, written())
                .read("nonce", &[1, 1, 1, 1])
                .row(SESSION, 1, 1),
            vec![wrong(1_000, WrongCause::RowCount)],
        ),
        (
            "rows that no session wrote",
            history().read("nonce", &[9]),
            vec![wrong(0, WrongCause::Impossible)],
        ),
        (
            "wrong number of affected rows",
            history()
                .write(1, 1, OperationResult::Written { rows: 0 })
                .row(SESSION, 1, 1),
            vec![wrong(0, WrongCause::RowCount)],
        ),
        (
            "malformed answer",
            history().write(
                1,
                1,
                OperationResult::Malformed {
                    reason: "no row".to_owned(),
                },
            ),
            vec![wrong(0, WrongCause::Malformed)],
        ),
        (
            "reported as not run, but took effect",
            history().write(1, 1, not_run()).row(SESSION, 1, 1),
            vec![false_not_run(1)],
        ),
        (
            "rejected with an error, but took effect",
            history().write(1, 1, rejected).row(SESSION, 1, 1),
            vec![false_not_run(1)],
        ),
        (
            "transaction saw a row of another session",
            history().run(Ending::Commit, foreign_row).lines(1, &[1, 2]),
            vec![mixed(MixedCause::ForeignView)],
        ),
        (
            "transaction ran on two connections",
            history()
                .run(Ending::Commit, two_backends)
                .lines(1, &[1, 2]),
            vec![mixed(MixedCause::SeveralConnections)],
        ),
        (
            "transaction took effect partially",
            history().run(Ending::Commit, unknown()).lines(1, &[2]),
            vec![mixed(MixedCause::Partial)],
        ),
        (
            "rolled back, but took effect",
            history().run(Ending::Rollback, ended()).lines(1, &[1, 2]),
            vec![mixed(MixedCause::NeverCommitted)],
        ),
        (
            "failed before its commit, but took effect",
            history()
                .run(Ending::Commit, not_committed)
                .lines(1, &[1, 2]),
            vec![mixed(MixedCause::NeverCommitted)],
        ),
        (
            "committed transaction is missing",
            history().run(Ending::Commit, ended()),
            vec![lost(7)],
        ),
        (
            "committed transaction took effect twice",
            history()
                .run(Ending::Commit, ended())
                .lines(1, &[1, 1, 2, 2]),
            vec![duplicated(7)],
        ),
        (
            "two attempts committed",
            history()
                .run(Ending::Commit, ended())
                .lines(1, &[1, 2])
                .lines(2, &[1, 2]),
            vec![duplicated(7)],
        ),
        (
            "interrupted by a planned stop",
            history()
                .write(1, 1, OperationResult::ConnectionLost)
                .stop(400, 9_000),
            vec![Violation::InFlightCut {
                session: SESSION,
                proxy: ProxyIndex(0),
                at: 0,
            }],
        ),
    ]
}

fn valid_histories() -> Vec<(&'static str, HistoryBuilder)> {
    let history = HistoryBuilder::default;
    vec![
        ("empty history", history()),
        (
            "written and read back",
            history()
                .write(1, 1, written())
                .read("nonce", &[1])
                .row(SESSION, 1, 1),
        ),
        (
            "older rows beyond the limit",
            history()
                .write(1, 1, written())
                .write(2, 1, written())
                .write(3, 1, written())
                .write(4, 1, written())
                .read("nonce", &[4, 3, 2])
                .row(SESSION, 1, 1)
                .row(SESSION, 2, 1)
                .row(SESSION, 3, 1)
                .row(SESSION, 4, 1),
        ),
        (
            "unknown outcome, did not take effect",
            history().write(1, 1, unknown()),
        ),
        (
            "unknown outcome, took effect",
            history().write(1, 1, unknown()).row(SESSION, 1, 1),
        ),
        (
            "not run, then acknowledged",
            history()
                .write(1, 1, not_run())
                .write(1, 2, written())
                .row(SESSION, 1, 2),
        ),
        (
            "unknown outcome, then reported as already run",
            history()
                .write(1, 1, unknown())
                .write(1, 2, OperationResult::AlreadyRan)
                .row(SESSION, 1, 1),
        ),
        ("rolled back", history().run(Ending::Rollback, ended())),
        (
            "committed",
            history().run(Ending::Commit, ended()).lines(1, &[1, 2]),
        ),
        (
            "billing run of unknown outcome",
            history().run(Ending::Commit, unknown()).lines(1, &[1, 2]),
        ),
        (
            "connection lost outside a planned stop",
            history()
                .write(1, 1, OperationResult::ConnectionLost)
                .stop(5_000, 9_000),
        ),
    ]
}

#[test]
fn every_kind_of_violation_is_reported() {
    for (name, history, expected) in invalid_histories() {
        assert_eq!(history.check().violations, expected, "{name}");
    }
}

#[test]
fn valid_histories_have_no_violations() {
    for (name, history) in valid_histories() {
        assert_eq!(history.check().violations, Vec::new(), "{name}");
    }
}

#[test]
fn unknown_outcomes_are_counted() {
    let findings = HistoryBuilder::default()
        .write(1, 1, unknown())
        .write(2, 1, OperationResult::ConnectionLost)
        .write(3, 1, unknown())
        .row(SESSION, 1, 1)
        .row(SESSION, 2, 1)
        .check();
    assert_eq!(findings.totals.unknown, 2);
    assert_eq!(findings.totals.unanswered, 1);
    assert_eq!(findings.totals.unknown_found, 2);
    assert_eq!(findings.totals.requests, 3);
}

#[test]
fn reads_of_rows_that_never_became_durable_are_counted() {
    let findings = HistoryBuilder::default()
        .write(1, 1, unknown())
        .read("nonce", &[1])
        .check();
    assert_eq!(findings.totals.unconfirmed_reads, 1);
    assert_eq!(findings.violations, Vec::new());
}
