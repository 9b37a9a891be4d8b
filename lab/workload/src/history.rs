//! The history of a run: the requests of every session, the answers they got, and the
//! contents of the databases after the run.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hookpoint_state::GroupName;
use serde::Serialize;

/// Identifies a client session of the workload. Unique within a run; each session works
/// on one group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct SessionNumber(pub u32);

/// Index of a proxy of the run. Proxies are ordered like the zones of the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct ProxyIndex(pub usize);

/// Kinds of single-statement writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WriteKind {
    /// An appointment reminder.
    Reminder,
    /// A charge notice; not repeatable.
    ChargeNotice,
    /// An order confirmation.
    Confirmation,
    /// A reply by a customer.
    Reply,
    /// A meter reading; not repeatable.
    Reading,
    /// A correction of a reading.
    Correction,
}

impl WriteKind {
    /// Returns whether a write of this kind must run at most once, even when its caller
    /// resubmits it.
    pub fn not_repeatable(self) -> bool {
        matches!(self, WriteKind::ChargeNotice | WriteKind::Reading)
    }

    /// Returns the value stored in the `kind` column.
    pub fn as_str(self) -> &'static str {
        match self {
            WriteKind::Reminder => "reminder",
            WriteKind::ChargeNotice => "charge_notice",
            WriteKind::Confirmation => "confirmation",
            WriteKind::Reply => "reply",
            WriteKind::Reading => "reading",
            WriteKind::Correction => "correction",
        }
    }
}

/// How the transaction of a billing run is meant to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// With `COMMIT`.
    Commit,
    /// With `ROLLBACK`.
    Rollback,
}

/// A request of a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "operation", rename_all = "snake_case")]
pub enum Operation {
    /// Inserts one row with the session's number and this sequence and attempt.
    Write {
        /// Kind of the write.
        kind: WriteKind,
        /// Sequence number of the write within its session. All attempts of one write
        /// share it.
        sequence: u64,
        /// Attempt, from 1.
        attempt: u32,
    },
    /// A billing run: an explicit transaction of `lines` rows.
    BillingRun {
        /// Number of the billing run within its session.
        run: u64,
        /// Attempt, from 1.
        attempt: u32,
        /// Number of rows that the transaction inserts.
        lines: u32,
        /// Whether the session ends it with `COMMIT` or `ROLLBACK`.
        ending: Ending,
    },
    /// A read of the session's own latest rows.
    ReadOwn {
        /// Nonce that the answer must echo.
        nonce: String,
        /// Maximum number of rows in the answer.
        limit: usize,
    },
    /// A read of the highest sequence of another session.
    ReadOther {
        /// Session whose rows are read.
        subject: SessionNumber,
        /// Nonce that the answer must echo.
        nonce: String,
    },
}

/// The outcome of a request as the session observed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum OperationResult {
    /// A write was acknowledged.
    Written {
        /// Number of affected rows reported by the server.
        rows: u64,
    },
    /// A billing run ended with the intended `COMMIT` or `ROLLBACK`.
    RunEnded {
        /// Number of rows of its own run that the transaction saw after each insert.
        seen: Vec<u64>,
        /// Process IDs of the backends that answered its statements. All are equal
        /// unless the statements ran on different connections.
        backends: Vec<i64>,
    },
    /// A read was answered.
    Read {
        /// Nonce echoed by the answer.
        echo: String,
        /// Sequences in the answer, in the order received.
        sequences: Vec<u64>,
        /// Whether a replica answered.
        replica: bool,
    },
    /// The error reported that the request did not run.
    NotRun {
        /// SQLSTATE of the error.
        sqlstate: String,
    },
    /// The error reported that a request with this identifier had already run.
    AlreadyRan,
    /// The database rejected the statement with an ordinary error, which rolls it back.
    Rejected {
        /// SQLSTATE of the error.
        sqlstate: String,
        /// Error message, for the report.
        message: String,
    },
    /// The error reported that the outcome is unknown.
    Unknown {
        /// SQLSTATE of the error.
        sqlstate: String,
    },
    /// The connection was lost before an answer arrived.
    ConnectionLost,
    /// No answer arrived within the client's timeout.
    TimedOut,
    /// The transaction failed before its `COMMIT` was sent.
    NotCommitted {
        /// SQLSTATE of the error; `None` when there was no answer.
        sqlstate: Option<String>,
    },
    /// The shape of the answer does not fit the request.
    Malformed {
        /// Description of the mismatch.
        reason: String,
    },
}

/// One operation of one session with its start, its end and its result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Record {
    /// Session that ran the operation. Operations of one session never overlap.
    pub session: SessionNumber,
    /// Group of the session.
    pub group: GroupName,
    /// Proxy that the session was connected to.
    pub proxy: ProxyIndex,
    /// Start, in microseconds since the run's origin.
    pub started: u64,
    /// End, in microseconds since the run's origin.
    pub ended: u64,
    /// The request.
    pub operation: Operation,
    /// The outcome as the session observed it.
    pub result: OperationResult,
}

/// A planned stop of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct PlannedStop {
    /// Proxy that was stopped.
    pub proxy: ProxyIndex,
    /// When the stop was requested, in microseconds since the run's origin.
    pub from: u64,
    /// When the proxy had exited, in microseconds since the run's origin.
    pub to: u64,
}

/// A row of the table of single-statement writes, as found after the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct EntryRow {
    /// Session that wrote it.
    pub session: SessionNumber,
    /// Sequence number of the write.
    pub sequence: u64,
    /// Attempt that wrote it.
    pub attempt: u32,
}

/// A row of a billing run, as found after the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct LineRow {
    /// Session that wrote it.
    pub session: SessionNumber,
    /// Number of the billing run within its session.
    pub run: u64,
    /// Attempt that wrote it.
    pub attempt: u32,
    /// Line number within the billing run, from 1.
    pub line: u32,
}

/// The contents of a group's primary after the run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct FinalState {
    /// Rows of single-statement writes.
    pub entries: Vec<EntryRow>,
    /// Rows of billing runs.
    pub lines: Vec<LineRow>,
}

/// The whole history of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct History {
    /// Operations in the order in which they ended.
    pub records: Vec<Record>,
    /// Planned stops of proxies.
    pub planned_stops: Vec<PlannedStop>,
    /// Final contents of the databases, by group.
    pub final_states: BTreeMap<GroupName, FinalState>,
}

/// Collects the records of all sessions. Clones share the same list.
#[derive(Clone, Debug)]
pub struct Recorder {
    origin: Instant,
    records: Arc<parking_lot::Mutex<Vec<Record>>>,
}

impl Default for Recorder {
    fn default() -> Self {
        Self::new()
    }
}

impl Recorder {
    /// Creates an empty recorder whose origin is the current time.
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
            records: Arc::default(),
        }
    }

    /// Returns the microseconds elapsed since the origin.
    pub fn now(&self) -> u64 {
        self.origin.elapsed().as_micros() as u64
    }

    /// Converts a value of [`Recorder::now`] into an instant.
    pub fn instant(&self, micros: u64) -> Instant {
        self.origin + Duration::from_micros(micros)
    }

    /// Adds a record.
    pub fn add(&self, record: Record) {
        self.records.lock().push(record);
    }

    /// Returns the number of records added so far.
    pub fn len(&self) -> usize {
        self.records.lock().len()
    }

    /// Returns whether no record was added yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns a copy of the records added so far.
    pub fn snapshot(&self) -> Vec<Record> {
        self.records.lock().clone()
    }
}
