//! Tracks the answers outstanding on a connection: one entry for each message sent that
//! will be answered.
//!
//! Distinguishes answers to the proxy's own messages, which are not relayed, from answers
//! to the session's messages, and detects when no answer is outstanding.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;

use hookpoint_protocol::frame::Frame;

use hookpoint_protocol::tags::{backend, frontend};

/// An answer that the database still has to send.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Expected {
    /// `ParseComplete`; with a name, of a statement that the proxy prepared itself.
    Parse(Option<String>),
    Bind,
    Describe,
    Execute,
    /// `CloseComplete`; with a name, of a statement that the proxy closed itself.
    Close(Option<String>),
    Sync,
    /// Everything up to `ReadyForQuery` of a query of the session.
    Query,
    FunctionCall,
    /// Everything up to `ReadyForQuery` of a query of the proxy itself.
    Own,
    /// End of the COPY data; it has no answer of its own.
    CopyEnd,
}

/// What to do with a message of the database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum MessageAction {
    /// Relay the message to the session.
    Relay,
    /// Discard the message: it answers a message of the proxy itself, or no message sent.
    Discard,
    /// A query of the proxy itself has ended.
    OwnQueryEnded {
        /// Whether it ended without an error.
        succeeded: bool,
    },
}

/// Result of preparing or closing one of the proxy's own statements.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum StatementOutcome {
    /// The statement is prepared on the connection.
    Parsed(String),
    /// The `Parse` of the statement failed or was skipped.
    NotParsed(String),
    /// The statement is closed on the connection.
    Closed(String),
    /// The `Close` of the statement was skipped.
    NotClosed(String),
}

/// Answers outstanding on one connection.
#[derive(Debug, Default)]
pub(super) struct OutstandingAnswers {
    expected: VecDeque<Expected>,
    copying_in: bool,
    own_failed: bool,
    out_of_sync: bool,
    sections: u64,
    outcomes: Vec<StatementOutcome>,
}

impl OutstandingAnswers {
    /// Returns whether every answer has arrived.
    pub fn is_complete(&self) -> bool {
        self.expected.is_empty() && !self.copying_in
    }

    /// Returns whether an answer arrived that matches no message sent. No other session
    /// may use the connection then.
    pub fn is_out_of_sync(&self) -> bool {
        self.out_of_sync
    }

    /// Returns the number of `Sync`s and queries sent so far.
    pub fn sections(&self) -> u64 {
        self.sections
    }

    /// Takes the results for the proxy's own statements since the last call.
    pub fn take_outcomes(&mut self) -> Vec<StatementOutcome> {
        std::mem::take(&mut self.outcomes)
    }

    /// Records a `Parse` sent by the proxy itself.
    pub fn own_parse(&mut self, name: String) {
        self.expected.push_back(Expected::Parse(Some(name)));
    }

    /// Records a `Close` sent by the proxy itself.
    pub fn own_close(&mut self, name: String) {
        self.expected.push_back(Expected::Close(Some(name)));
    }

    /// Records a simple query sent by the proxy itself.
    pub fn own_query(&mut self) {
        self.sections += 1;
        self.expected.push_back(Expected::Own);
    }

    /// Records a message sent for the session.
    pub fn sent(&mut self, frame: &Frame) {
        let expected = match frame.tag {
            frontend::PARSE => Expected::Parse(None),
            frontend::BIND => Expected::Bind,
            frontend::DESCRIBE => Expected::Describe,
            frontend::EXECUTE => Expected::Execute,
            frontend::CLOSE => Expected::Close(None),
            frontend::QUERY => Expected::Query,
            frontend::FUNCTION_CALL => Expected::FunctionCall,
            // The database ignores a `Sync` while it receives COPY data.
            frontend::SYNC if self.copying_in => return,
            frontend::SYNC => Expected::Sync,
            frontend::COPY_DONE | frontend::COPY_FAIL => {
                if !std::mem::take(&mut self.copying_in) {
                    self.expected.push_back(Expected::CopyEnd);
                }
                return;
            }
            _ => return,
        };
        let ends_section = matches!(
            expected,
            Expected::Sync | Expected::Query | Expected::FunctionCall
        );
        self.sections += u64::from(ends_section);
        self.expected.push_back(expected);
    }

    /// Matches a message of the database with the messages sent.
    pub fn received(&mut self, tag: u8) -> MessageAction {
        if is_asynchronous(tag) {
            return self.asynchronous();
        }
        self.skip_copy_ends();
        let action = match tag {
            backend::ERROR => self.error(),
            backend::READY_FOR_QUERY => self.ready(),
            backend::COPY_IN_RESPONSE => self.copy_in(),
            _ => self.answer(tag),
        };
        self.skip_copy_ends();
        action
    }

    fn asynchronous(&self) -> MessageAction {
        match self.expected.front() {
            None | Some(Expected::Own) => MessageAction::Discard,
            Some(_) => MessageAction::Relay,
        }
    }

    fn skip_copy_ends(&mut self) {
        while self.expected.front() == Some(&Expected::CopyEnd) {
            self.expected.pop_front();
        }
    }

    fn answer(&mut self, tag: u8) -> MessageAction {
        match self.expected.front() {
            None => {
                self.out_of_sync = true;
                return MessageAction::Discard;
            }
            Some(Expected::Own) => return MessageAction::Discard,
            Some(Expected::Query | Expected::FunctionCall) => return MessageAction::Relay,
            Some(_) => {}
        }
        let ends = match self.expected.front() {
            Some(Expected::Parse(_)) => tag == backend::PARSE_COMPLETE,
            Some(Expected::Bind) => tag == backend::BIND_COMPLETE,
            Some(Expected::Close(_)) => tag == backend::CLOSE_COMPLETE,
            Some(Expected::Describe) => tag == backend::ROW_DESCRIPTION || tag == backend::NO_DATA,
            Some(Expected::Execute) => matches!(
                tag,
                backend::COMMAND_COMPLETE | backend::EMPTY_QUERY | backend::PORTAL_SUSPENDED
            ),
            _ => {
                self.out_of_sync = true;
                false
            }
        };
        if !ends {
            return MessageAction::Relay;
        }
        match self.expected.pop_front() {
            Some(Expected::Parse(Some(name))) => {
                self.outcomes.push(StatementOutcome::Parsed(name));
                MessageAction::Discard
            }
            Some(Expected::Close(Some(name))) => {
                self.outcomes.push(StatementOutcome::Closed(name));
                MessageAction::Discard
            }
            _ => MessageAction::Relay,
        }
    }

    /// After an error the database skips everything up to the next `Sync`.
    fn error(&mut self) -> MessageAction {
        self.copying_in = false;
        match self.expected.front() {
            Some(Expected::Own) => {
                self.own_failed = true;
                return MessageAction::Discard;
            }
            Some(Expected::Query | Expected::FunctionCall) | None => return MessageAction::Relay,
            Some(_) => {}
        }
        while let Some(expected) = self.expected.front() {
            if *expected == Expected::Sync {
                break;
            }
            match self.expected.pop_front() {
                Some(Expected::Parse(Some(name))) => {
                    self.outcomes.push(StatementOutcome::NotParsed(name));
                }
                Some(Expected::Close(Some(name))) => {
                    self.outcomes.push(StatementOutcome::NotClosed(name));
                }
                _ => {}
            }
        }
        MessageAction::Relay
    }

    fn ready(&mut self) -> MessageAction {
        self.copying_in = false;
        match self.expected.pop_front() {
            Some(Expected::Own) => MessageAction::OwnQueryEnded {
                succeeded: !std::mem::take(&mut self.own_failed),
            },
            Some(Expected::Query | Expected::FunctionCall | Expected::Sync) => MessageAction::Relay,
            _ => {
                self.out_of_sync = true;
                MessageAction::Relay
            }
        }
    }

    /// Handles the start of a COPY from the caller. The database ignores every `Sync` up
    /// to the end of the data.
    fn copy_in(&mut self) -> MessageAction {
        let end = self
            .expected
            .iter()
            .position(|expected| *expected == Expected::CopyEnd);
        self.copying_in = end.is_none();
        let end = end.unwrap_or(self.expected.len());
        let mut index = 0;
        self.expected.retain(|expected| {
            let ignored = index < end && *expected == Expected::Sync;
            index += 1;
            !ignored
        });
        MessageAction::Relay
    }
}

/// Returns whether a message may arrive at any time and answers nothing.
fn is_asynchronous(tag: u8) -> bool {
    matches!(
        tag,
        backend::NOTICE | backend::NOTIFICATION | backend::PARAMETER_STATUS
    )
}
