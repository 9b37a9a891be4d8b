//! Units of requests and their answers, as the model databases know them.

/// A row set that grows by appends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Key(pub(crate) u32);

/// One attempt of one client at one request. Also the value that its writes append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct AttemptId(pub(crate) u64);

/// An append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Write {
    pub(crate) key: Key,
    pub(crate) attempt: AttemptId,
}

/// What a unit does.
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
    /// Appends a row together with its request's row in the ledger.
    AppendOnce(Key, u64),
    /// Ends the block.
    Commit,
}

/// A unit of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UnitCall {
    pub(crate) attempt: AttemptId,
    /// Number of the unit inside the attempt.
    pub(crate) index: usize,
    pub(crate) work: Work,
}

/// What a unit answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AnswerBody {
    /// Rows of a key.
    Rows(Key, Vec<AttemptId>),
    /// Done.
    Done,
    /// An error of this SQLSTATE.
    Error(&'static str),
}

/// An answer, with what it answers, so that the checker can tell whose it is. The
/// proxies never look at that.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Answer {
    pub(crate) call: UnitCall,
    pub(crate) body: AnswerBody,
    pub(crate) in_transaction: bool,
    /// Whether the database believed to be primary.
    pub(crate) by_primary: bool,
}
