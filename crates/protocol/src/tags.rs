//! Tags of PostgreSQL messages, by direction.

/// Messages from a client.
pub mod frontend {
    /// Bind a portal.
    pub const BIND: u8 = b'B';
    /// Close a statement or portal.
    pub const CLOSE: u8 = b'C';
    /// Data of a COPY.
    pub const COPY_DATA: u8 = b'd';
    /// End of a COPY.
    pub const COPY_DONE: u8 = b'c';
    /// End of a COPY that the client could not finish.
    pub const COPY_FAIL: u8 = b'f';
    /// Describe a statement or portal.
    pub const DESCRIBE: u8 = b'D';
    /// Execute a portal.
    pub const EXECUTE: u8 = b'E';
    /// Send what is there.
    pub const FLUSH: u8 = b'H';
    /// Old function call.
    pub const FUNCTION_CALL: u8 = b'F';
    /// Parse a statement.
    pub const PARSE: u8 = b'P';
    /// Password or SASL data.
    pub const PASSWORD: u8 = b'p';
    /// Simple query.
    pub const QUERY: u8 = b'Q';
    /// End of a series of extended messages.
    pub const SYNC: u8 = b'S';
    /// End of the session.
    pub const TERMINATE: u8 = b'X';
}

/// Messages from a server.
pub mod backend {
    /// Authentication request or result.
    pub const AUTHENTICATION: u8 = b'R';
    /// Key for cancel requests.
    pub const BACKEND_KEY_DATA: u8 = b'K';
    /// A `Bind` is done.
    pub const BIND_COMPLETE: u8 = b'2';
    /// A `Close` is done.
    pub const CLOSE_COMPLETE: u8 = b'3';
    /// A command is done.
    pub const COMMAND_COMPLETE: u8 = b'C';
    /// The server waits for COPY data.
    pub const COPY_IN_RESPONSE: u8 = b'G';
    /// A row.
    pub const DATA_ROW: u8 = b'D';
    /// An empty query is done.
    pub const EMPTY_QUERY: u8 = b'I';
    /// An error.
    pub const ERROR: u8 = b'E';
    /// Which protocol version and options the server lacks.
    pub const NEGOTIATE_VERSION: u8 = b'v';
    /// The described thing returns no rows.
    pub const NO_DATA: u8 = b'n';
    /// A notice.
    pub const NOTICE: u8 = b'N';
    /// A notification of `LISTEN`.
    pub const NOTIFICATION: u8 = b'A';
    /// Types of a statement's parameters.
    pub const PARAMETER_DESCRIPTION: u8 = b't';
    /// A run-time parameter's value.
    pub const PARAMETER_STATUS: u8 = b'S';
    /// A `Parse` is done.
    pub const PARSE_COMPLETE: u8 = b'1';
    /// An `Execute` stopped at its row limit.
    pub const PORTAL_SUSPENDED: u8 = b's';
    /// The server waits for the next unit.
    pub const READY_FOR_QUERY: u8 = b'Z';
    /// Columns of the rows to come.
    pub const ROW_DESCRIPTION: u8 = b'T';
}
