//! The history of a run: what every session asked for, what it was told, and what the
//! databases hold in the end.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hookpoint_state::GroupName;
use serde::Serialize;

/// A client session of the workload; unique in a run and bound to one group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct SessionNumber(pub u32);

/// A proxy of the run, in the order of its zone.
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
    /// Whether the kind may run at most once even when its caller asks again.
    pub fn not_repeatable(self) -> bool {
        matches!(self, WriteKind::ChargeNotice | WriteKind::Reading)
    }

    /// Name as stored in the `kind` column.
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

/// How a billing run meant to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// With `COMMIT`.
    Commit,
    /// With `ROLLBACK`.
    Rollback,
}

/// What a session asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "operation", rename_all = "snake_case")]
pub enum Operation {
    /// One row with the session's number and this sequence and attempt.
    Write {
        /// Kind of write.
        kind: WriteKind,
        /// The session's own number of the write. Attempts of one write share it.
        sequence: u64,
        /// Attempt, from 1.
        attempt: u32,
    },
    /// A billing run: an explicit transaction of `lines` rows.
    BillingRun {
        /// The session's own number of the run.
        run: u64,
        /// Attempt, from 1.
        attempt: u32,
        /// Rows it inserts.
        lines: u32,
        /// How it means to end.
        ending: Ending,
    },
    /// A read of the session's own latest rows.
    ReadOwn {
        /// Text that the answer has to echo.
        nonce: String,
        /// Most rows the answer may have.
        limit: usize,
    },
    /// A read of the highest sequence of another session.
    ReadOther {
        /// The session read about.
        subject: SessionNumber,
        /// Text that the answer has to echo.
        nonce: String,
    },
}

/// What a session was told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum OperationResult {
    /// A write was acknowledged.
    Written {
        /// Rows affected, as told.
        rows: u64,
    },
    /// A billing run ended as it meant to.
    RunEnded {
        /// Rows of its own run that the transaction saw after each insert.
        seen: Vec<u64>,
        /// Backends that answered its statements; one unless transactions were mixed.
        backends: Vec<i64>,
    },
    /// A read was answered.
    Read {
        /// The echoed text.
        echo: String,
        /// Sequences in the answer, as they came.
        sequences: Vec<u64>,
        /// Whether a replica answered.
        replica: bool,
    },
    /// The request was told not to have run.
    NotRun {
        /// SQLSTATE.
        sqlstate: String,
    },
    /// The request's identifier was told to have run before.
    AlreadyRan,
    /// The database refused the statement with an ordinary error, which undoes it.
    Rejected {
        /// SQLSTATE.
        sqlstate: String,
        /// Message, for the report.
        message: String,
    },
    /// The outcome was told to be unknown.
    Unknown {
        /// SQLSTATE.
        sqlstate: String,
    },
    /// The connection broke before an answer.
    ConnectionLost,
    /// No answer came within the client's patience.
    TimedOut,
    /// The transaction broke before its `COMMIT` was sent.
    NotCommitted {
        /// SQLSTATE of the break, if there was an answer at all.
        sqlstate: Option<String>,
    },
    /// The answer had a shape that the request cannot have.
    Malformed {
        /// What was wrong.
        reason: String,
    },
}

/// One operation of one session, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Record {
    /// The session. Its operations follow each other and never overlap.
    pub session: SessionNumber,
    /// Group it works on.
    pub group: GroupName,
    /// Proxy it was on.
    pub proxy: ProxyIndex,
    /// Start, in microseconds since the run's origin.
    pub started: u64,
    /// End, in microseconds since the run's origin.
    pub ended: u64,
    /// What was asked.
    pub operation: Operation,
    /// What was told.
    pub result: OperationResult,
}

/// A planned stop of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct PlannedStop {
    /// The proxy.
    pub proxy: ProxyIndex,
    /// When the stop was asked for, in microseconds since the run's origin.
    pub from: u64,
    /// When the proxy had ended.
    pub to: u64,
}

/// A row of the table of single-statement writes, as found in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct EntryRow {
    /// Session that wrote it.
    pub session: SessionNumber,
    /// Its sequence.
    pub sequence: u64,
    /// Attempt that wrote it.
    pub attempt: u32,
}

/// A row of a billing run, as found in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct LineRow {
    /// Session that wrote it.
    pub session: SessionNumber,
    /// Its run.
    pub run: u64,
    /// Attempt that wrote it.
    pub attempt: u32,
    /// Its line, from 1.
    pub line: u32,
}

/// What a group's primary holds in the end.
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
    /// Final states by group.
    pub final_states: BTreeMap<GroupName, FinalState>,
}

/// Collects records from many sessions.
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
    /// An empty recorder whose origin is now.
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
            records: Arc::default(),
        }
    }

    /// Microseconds since the origin.
    pub fn now(&self) -> u64 {
        self.origin.elapsed().as_micros() as u64
    }

    /// The instant of a reading of [`Recorder::now`].
    pub fn instant(&self, micros: u64) -> Instant {
        self.origin + Duration::from_micros(micros)
    }

    /// Adds a record.
    pub fn add(&self, record: Record) {
        self.records.lock().push(record);
    }

    /// Number of records so far.
    pub fn len(&self) -> usize {
        self.records.lock().len()
    }

    /// Whether nothing was recorded yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// A copy of what was recorded so far.
    pub fn snapshot(&self) -> Vec<Record> {
        self.records.lock().clone()
    }
}
