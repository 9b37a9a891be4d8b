//! What a session says to the connection it holds, and what it hears from it. The same
//! messages travel through a local channel or, between proxies, over a peer link.

use std::collections::BTreeMap;

use hookpoint_state::Refusal;
use serde::{Deserialize, Serialize};

use crate::frame::Frame;

/// From the session to the connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackendCommand {
    /// Frontend messages, relayed as they are.
    Frames(Vec<Frame>),
    /// Put a `Parse` of this statement here unless the connection already has it under
    /// `name`. Its `ParseComplete` is not relayed; its error is.
    EnsurePrepared {
        /// Name of the statement on the connection, derived from its text and types.
        name: String,
        /// Text of the statement.
        query: String,
        /// Parameter type identifiers.
        parameter_types: Vec<u32>,
    },
    /// Make the session's run-time parameters those of the connection: what differs is
    /// set, what the connection has besides is reset. Answers are not relayed.
    EnsureSettings(BTreeMap<String, String>),
    /// Cancel what runs on the connection now, if it still runs.
    Cancel,
    /// The session is done with the connection.
    Release {
        /// Whether the connection may serve another session. If not it is closed.
        reusable: bool,
        /// Whether session state may have been left that only `DISCARD ALL` clears.
        discard: bool,
    },
}

/// From the connection to the session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackendReply {
    /// Backend messages in order.
    Frames(Vec<Frame>),
    /// The lease was not granted after all. Nothing sent on it ran. Nothing follows.
    Refused(Refusal),
    /// The connection is gone. Nothing follows.
    Lost,
}
