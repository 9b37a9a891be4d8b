//! Tags of the PostgreSQL messages that a connection looks at.

/// Messages to a database.
pub(super) mod frontend {
    pub const BIND: u8 = b'B';
    pub const CLOSE: u8 = b'C';
    pub const COPY_DONE: u8 = b'c';
    pub const COPY_FAIL: u8 = b'f';
    pub const DESCRIBE: u8 = b'D';
    pub const EXECUTE: u8 = b'E';
    pub const FUNCTION_CALL: u8 = b'F';
    pub const PARSE: u8 = b'P';
    pub const PASSWORD: u8 = b'p';
    pub const QUERY: u8 = b'Q';
    pub const SYNC: u8 = b'S';
    pub const TERMINATE: u8 = b'X';
}

/// Messages from a database.
pub(super) mod backend {
    pub const AUTHENTICATION: u8 = b'R';
    pub const BACKEND_KEY_DATA: u8 = b'K';
    pub const BIND_COMPLETE: u8 = b'2';
    pub const CLOSE_COMPLETE: u8 = b'3';
    pub const COMMAND_COMPLETE: u8 = b'C';
    pub const COPY_IN_RESPONSE: u8 = b'G';
    pub const EMPTY_QUERY: u8 = b'I';
    pub const ERROR: u8 = b'E';
    pub const NEGOTIATE_VERSION: u8 = b'v';
    pub const NO_DATA: u8 = b'n';
    pub const NOTICE: u8 = b'N';
    pub const NOTIFICATION: u8 = b'A';
    pub const PARAMETER_STATUS: u8 = b'S';
    pub const PARSE_COMPLETE: u8 = b'1';
    pub const PORTAL_SUSPENDED: u8 = b's';
    pub const READY_FOR_QUERY: u8 = b'Z';
    pub const ROW_DESCRIPTION: u8 = b'T';
}
