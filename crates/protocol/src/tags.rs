//! Tags of PostgreSQL messages, grouped by direction.

/// Tags of messages from a client.
pub mod frontend {
    /// `Bind`: creates a portal from a prepared statement.
    pub const BIND: u8 = b'B';
    /// `Close`: closes a prepared statement or portal.
    pub const CLOSE: u8 = b'C';
    /// `CopyData`: a part of the data of a `COPY`.
    pub const COPY_DATA: u8 = b'd';
    /// `CopyDone`: end of the data of a `COPY`.
    pub const COPY_DONE: u8 = b'c';
    /// `CopyFail`: the client aborts a `COPY`.
    pub const COPY_FAIL: u8 = b'f';
    /// `Describe`: requests the description of a prepared statement or portal.
    pub const DESCRIBE: u8 = b'D';
    /// `Execute`: runs a portal.
    pub const EXECUTE: u8 = b'E';
    /// `Flush`: requests that the server sends its pending output.
    pub const FLUSH: u8 = b'H';
    /// `FunctionCall`: calls a function (a legacy message of the protocol).
    pub const FUNCTION_CALL: u8 = b'F';
    /// `Parse`: creates a prepared statement.
    pub const PARSE: u8 = b'P';
    /// Password message or SASL response.
    pub const PASSWORD: u8 = b'p';
    /// `Query`: runs a simple query.
    pub const QUERY: u8 = b'Q';
    /// `Sync`: ends a series of extended-query messages.
    pub const SYNC: u8 = b'S';
    /// `Terminate`: ends the session.
    pub const TERMINATE: u8 = b'X';
}

/// Tags of messages from a server.
pub mod backend {
    /// Authentication request or result.
    pub const AUTHENTICATION: u8 = b'R';
    /// `BackendKeyData`: process number and secret for cancel requests.
    pub const BACKEND_KEY_DATA: u8 = b'K';
    /// A `Bind` has completed.
    pub const BIND_COMPLETE: u8 = b'2';
    /// A `Close` has completed.
    pub const CLOSE_COMPLETE: u8 = b'3';
    /// A command has completed.
    pub const COMMAND_COMPLETE: u8 = b'C';
    /// The server waits for the data of a `COPY … FROM STDIN`.
    pub const COPY_IN_RESPONSE: u8 = b'G';
    /// `DataRow`: one row of a result.
    pub const DATA_ROW: u8 = b'D';
    /// `EmptyQueryResponse`: an empty query has completed.
    pub const EMPTY_QUERY: u8 = b'I';
    /// `ErrorResponse`.
    pub const ERROR: u8 = b'E';
    /// `NegotiateProtocolVersion`: the server lacks a requested protocol version or option.
    pub const NEGOTIATE_VERSION: u8 = b'v';
    /// `NoData`: the described statement or portal returns no rows.
    pub const NO_DATA: u8 = b'n';
    /// `NoticeResponse`.
    pub const NOTICE: u8 = b'N';
    /// `NotificationResponse`: a notification on a channel of `LISTEN`.
    pub const NOTIFICATION: u8 = b'A';
    /// Types of the parameters of a statement.
    pub const PARAMETER_DESCRIPTION: u8 = b't';
    /// Current value of a run-time parameter.
    pub const PARAMETER_STATUS: u8 = b'S';
    /// A `Parse` has completed.
    pub const PARSE_COMPLETE: u8 = b'1';
    /// An `Execute` stopped at its row limit before the result was complete.
    pub const PORTAL_SUSPENDED: u8 = b's';
    /// The server is ready for the next query.
    pub const READY_FOR_QUERY: u8 = b'Z';
    /// Columns of the rows that follow.
    pub const ROW_DESCRIPTION: u8 = b'T';
}
