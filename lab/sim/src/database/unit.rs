//! Units of requests and their answers, as the model databases execute them.
//!
//! The debug form of [`Answer`] is part of the run's trace digest: renaming a field or a
//! variant changes the digest of every seed.

/// Key of an append-only set of rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Key(pub(crate) u32);

/// Identifier of one client's attempt at one request. Also the value that the attempt's
/// writes append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct AttemptId(pub(crate) u64);

/// One appended row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Write {
    pub(crate) key: Key,
    pub(crate) attempt: AttemptId,
}

/// Operation that a unit performs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Work {
    /// Opens a transaction block.
    Begin,
    /// Opens a read-only transaction block.
    BeginReadOnly,
    /// Reads the rows of a key.
    Read(Key),
    /// Appends a row.
    Append(Key),
    /// Appends a row together with the ledger row of a non-repeatable request.
    AppendOnce(Key, u64),
    /// Commits the transaction block.
    Commit,
}

/// A unit of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UnitCall {
    pub(crate) attempt: AttemptId,
    /// Index of the unit within the attempt, from zero.
    pub(crate) index: usize,
    pub(crate) work: Work,
}

/// Result of a unit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AnswerBody {
    /// Rows of a key.
    Rows(Key, Vec<AttemptId>),
    /// Success without rows.
    Done,
    /// An error with this SQLSTATE.
    Error(&'static str),
}

/// An answer together with the call that it answers, which lets the checker detect an answer
/// delivered to the wrong client. Proxies do not use `call`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Answer {
    pub(crate) call: UnitCall,
    pub(crate) body: AnswerBody,
    pub(crate) in_transaction: bool,
    /// Whether the database had the primary role, which a replaced primary may still have.
    pub(crate) by_primary: bool,
}
