//! What a connection still owes: one entry for each message sent that will be answered.
//!
//! The ledger tells the answers to the proxy's own messages, which are not relayed, from
//! those to the session's, and knows when nothing is outstanding any more.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;

use hookpoint_protocol::frame::Frame;

use hookpoint_protocol::tags::{backend, frontend};

/// An answer that is still to come.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Expected {
    /// `ParseComplete`; of a statement put in by the proxy when named.
    Parse(Option<String>),
    Bind,
    Describe,
    Execute,
    /// `CloseComplete`; of a statement taken out by the proxy when named.
    Close(Option<String>),
    Sync,
    /// Everything up to `ReadyForQuery`.
    Query,
    FunctionCall,
    /// Everything up to `ReadyForQuery` of the proxy's own query.
    Own,
    /// End of the data of a COPY; not answered by itself.
    CopyEnd,
}

/// What to do with a message of the database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// It belongs to the session.
    Relay,
    /// It answers the proxy's own message.
    Swallow,
    /// The proxy's own query has ended.
    OwnEnded {
        /// Whether without an error.
        succeeded: bool,
    },
}

/// What became of the proxy's own statements.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum StatementFate {
    /// It is on the connection.
    Parsed(String),
    /// Its `Parse` was refused or skipped.
    NotParsed(String),
    /// It is gone from the connection.
    Closed(String),
    /// Its `Close` was skipped.
    NotClosed(String),
}

/// Answers outstanding on one connection.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    expected: VecDeque<Expected>,
    copying_in: bool,
    own_failed: bool,
    out_of_step: bool,
    sections: u64,
    fates: Vec<StatementFate>,
}

impl Ledger {
    /// Whether every answer has arrived.
    pub fn is_settled(&self) -> bool {
        self.expected.is_empty() && !self.copying_in
    }

    /// Whether an answer came that nothing sent explains. The connection is not usable
    /// for anyone else then.
    pub fn is_out_of_step(&self) -> bool {
        self.out_of_step
    }

    /// Number of `Sync`s and queries sent so far.
    pub fn sections(&self) -> u64 {
        self.sections
    }

    /// Takes what became of the proxy's own statements since the last call.
    pub fn take_fates(&mut self) -> Vec<StatementFate> {
        std::mem::take(&mut self.fates)
    }

    /// Notes a `Parse` put in by the proxy.
    pub fn own_parse(&mut self, name: String) {
        self.expected.push_back(Expected::Parse(Some(name)));
    }

    /// Notes a `Close` put in by the proxy.
    pub fn own_close(&mut self, name: String) {
        self.expected.push_back(Expected::Close(Some(name)));
    }

    /// Notes a simple query put in by the proxy.
    pub fn own_query(&mut self) {
        self.sections += 1;
        self.expected.push_back(Expected::Own);
    }

    /// Notes a message of the session.
    pub fn sent(&mut self, frame: &Frame) {
        let expected = match frame.tag {
            frontend::PARSE => Expected::Parse(None),
            frontend::BIND => Expected::Bind,
            frontend::DESCRIBE => Expected::Describe,
            frontend::EXECUTE => Expected::Execute,
            frontend::CLOSE => Expected::Close(None),
            frontend::QUERY => Expected::Query,
            frontend::FUNCTION_CALL => Expected::FunctionCall,
            // The database ignores a Sync while it takes the data of a COPY.
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

    /// Matches a message of the database with what was sent.
    pub fn received(&mut self, tag: u8) -> Verdict {
        if is_asynchronous(tag) {
            return self.asynchronous();
        }
        self.skip_copy_ends();
        let verdict = match tag {
            backend::ERROR => self.error(),
            backend::READY_FOR_QUERY => self.ready(),
            backend::COPY_IN_RESPONSE => self.copy_in(),
            _ => self.answer(tag),
        };
        self.skip_copy_ends();
        verdict
    }

    fn asynchronous(&self) -> Verdict {
        match self.expected.front() {
            None | Some(Expected::Own) => Verdict::Swallow,
            Some(_) => Verdict::Relay,
        }
    }

    fn skip_copy_ends(&mut self) {
        while self.expected.front() == Some(&Expected::CopyEnd) {
            self.expected.pop_front();
        }
    }

    fn answer(&mut self, tag: u8) -> Verdict {
        match self.expected.front() {
            None => {
                self.out_of_step = true;
                return Verdict::Swallow;
            }
            Some(Expected::Own) => return Verdict::Swallow,
            Some(Expected::Query | Expected::FunctionCall) => return Verdict::Relay,
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
                self.out_of_step = true;
                false
            }
        };
        if !ends {
            return Verdict::Relay;
        }
        match self.expected.pop_front() {
            Some(Expected::Parse(Some(name))) => {
                self.fates.push(StatementFate::Parsed(name));
                Verdict::Swallow
            }
            Some(Expected::Close(Some(name))) => {
                self.fates.push(StatementFate::Closed(name));
                Verdict::Swallow
            }
            _ => Verdict::Relay,
        }
    }

    /// After an error the database skips everything up to the next `Sync`.
    fn error(&mut self) -> Verdict {
        self.copying_in = false;
        match self.expected.front() {
            Some(Expected::Own) => {
                self.own_failed = true;
                return Verdict::Swallow;
            }
            Some(Expected::Query | Expected::FunctionCall) | None => return Verdict::Relay,
            Some(_) => {}
        }
        while let Some(expected) = self.expected.front() {
            if *expected == Expected::Sync {
                break;
            }
            match self.expected.pop_front() {
                Some(Expected::Parse(Some(name))) => {
                    self.fates.push(StatementFate::NotParsed(name));
                }
                Some(Expected::Close(Some(name))) => {
                    self.fates.push(StatementFate::NotClosed(name));
                }
                _ => {}
            }
        }
        Verdict::Relay
    }

    fn ready(&mut self) -> Verdict {
        self.copying_in = false;
        match self.expected.pop_front() {
            Some(Expected::Own) => Verdict::OwnEnded {
                succeeded: !std::mem::take(&mut self.own_failed),
            },
            Some(Expected::Query | Expected::FunctionCall | Expected::Sync) => Verdict::Relay,
            _ => {
                self.out_of_step = true;
                Verdict::Relay
            }
        }
    }

    /// The database takes the data of a COPY now. It ignores every `Sync` up to the end
    /// of the data.
    fn copy_in(&mut self) -> Verdict {
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
        Verdict::Relay
    }
}

/// Messages that may come at any time and answer nothing.
fn is_asynchronous(tag: u8) -> bool {
    matches!(
        tag,
        backend::NOTICE | backend::NOTIFICATION | backend::PARAMETER_STATUS
    )
}
