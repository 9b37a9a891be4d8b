//! Messages between a session and the backend connection leased to it. They are passed
//! through a local channel or, between proxies, over a peer link.

use std::collections::BTreeMap;

use hookpoint_state::Refusal;
use serde::{Deserialize, Serialize};

use crate::frame::Frame;

/// A message from the session to the connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackendCommand {
    /// Frontend messages, relayed to the database unchanged.
    Frames(Vec<Frame>),
    /// Sends a `Parse` of this statement unless the connection already has the statement
    /// under `name`. The `ParseComplete` is not relayed to the session; an error is.
    EnsurePrepared {
        /// Name of the statement on the connection, derived from its text and parameter types.
        name: String,
        /// SQL text of the statement.
        query: String,
        /// Type OIDs of the parameters; 0 where the database infers the type.
        parameter_types: Vec<u32>,
    },
    /// Applies the session's run-time parameters to the connection: parameters that
    /// differ are set, parameters that only the connection has are reset. The responses
    /// are not relayed to the session.
    EnsureSettings(BTreeMap<String, String>),
    /// Cancels the request that is running on the connection, if any.
    Cancel,
    /// Returns the connection; the session no longer uses it.
    Release {
        /// Whether the connection may serve another session; otherwise it is closed.
        reusable: bool,
        /// Whether the session may have left state that only `DISCARD ALL` clears.
        discard: bool,
    },
}

/// A message from the connection to the session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackendReply {
    /// Backend messages, in order.
    Frames(Vec<Frame>),
    /// The lease was not granted. Nothing that was sent on it ran, and no further reply
    /// follows.
    Refused(Refusal),
    /// The connection was lost; no further reply follows.
    Lost,
}
