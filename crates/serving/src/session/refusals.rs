//! Refusals of a caller's messages and sessions.

use super::Session;
use crate::message::{Failure, FailureCode};

impl Session {
    /// Logs and counts a message of the caller that is refused as a whole.
    pub(super) fn log_refused_message(&self, reason: &'static str) {
        self.node.counters.count("messages_refused", reason);
        let fields = || {
            vec![
                ("database", self.database.as_str().into()),
                ("reason", reason.into()),
                ("unread", self.incoming.len().into()),
            ]
        };
        let now = self.node.now();
        self.node
            .events
            .write_ordinary(now, "message_refused", fields);
    }
}

/// Returns the failure of a message that is not accepted in the session's state.
pub(super) fn malformed() -> Failure {
    Failure::new(FailureCode::Malformed, "not accepted here")
}

/// Returns the failure of a node that has not received its first configuration.
pub(super) fn not_configured() -> Failure {
    let text = "no configuration yet; retry after 500 ms";
    Failure::new(FailureCode::Overloaded, text)
}

pub(super) fn no_such_database() -> Failure {
    Failure::new(FailureCode::NoSuchDatabase, "no route has this name")
}
