//! The answer to one unit on its way to the caller: what is held back, what may flow,
//! and where messages that the proxy answers by itself are put in order.

use std::collections::VecDeque;

use hookpoint_protocol::errors::BackendError;
use hookpoint_protocol::frame::Frame;
use hookpoint_protocol::reply::{self, TransactionStatus};
use hookpoint_protocol::tags::backend;

/// Bytes of an answer that are held in memory before the connection is no longer read,
/// or, past a `COMMIT`, before the connection is given up.
pub const HOLD_LIMIT: usize = 256 * 1024;

const COMMIT_TAG: &str = "COMMIT";
const ROLLBACK_TAG: &str = "ROLLBACK";
const PREPARE_TRANSACTION_TAG: &str = "PREPARE TRANSACTION";

/// One expected part of the answer to a unit of extended messages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The proxy answers by itself once everything before it is answered.
    Synthesised {
        /// The message.
        frame: Frame,
        /// Name of the statement that this says is parsed.
        parsed: Option<String>,
    },
    /// One message without rows: `ParseComplete`, `BindComplete`, `CloseComplete`.
    Single,
    /// A description, ended by `RowDescription` or `NoData`.
    Description,
    /// Rows, up to `CommandComplete`, `EmptyQueryResponse` or `PortalSuspended`.
    Rows,
    /// `ReadyForQuery`.
    Sync,
}

/// How an answer ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ending {
    /// State of the session afterwards.
    pub status: TransactionStatus,
    /// SQLSTATE of the first error.
    pub sqlstate: Option<String>,
    /// Whether something was committed by an explicit statement.
    pub committed: bool,
    /// Whether the last transaction statement was a rollback.
    pub rolled_back: bool,
}

/// The answer to one unit.
#[derive(Debug, Default)]
pub struct Answer {
    steps: VecDeque<Step>,
    simple: bool,
    hold_end: bool,
    in_end: bool,
    skipping: bool,
    lookahead: Option<Frame>,
    ready: Vec<Frame>,
    ready_bytes: usize,
    end: Vec<Frame>,
    end_bytes: usize,
    delivering: bool,
    flowed: bool,
    copying: bool,
    parse_failures: Vec<String>,
    ending: Ending,
    complete: bool,
}

impl Answer {
    /// An answer to a simple query, or to extended messages with these steps. With
    /// `hold_end` its end is held back until [`Answer::release_end`].
    pub fn new(simple: bool, steps: VecDeque<Step>, hold_end: bool) -> Self {
        Self {
            simple,
            steps,
            hold_end,
            ..Self::default()
        }
    }

    /// Takes one message of the database.
    pub fn push(&mut self, frame: Frame) {
        match frame.tag {
            backend::NOTIFICATION => {}
            backend::NOTICE | backend::PARAMETER_STATUS => self.emit(frame),
            backend::READY_FOR_QUERY => self.finish(&frame),
            backend::ERROR => self.fail(frame),
            _ if self.simple => self.push_simple(frame),
            _ => self.push_extended(frame),
        }
    }

    /// Adds a step of an open unit; after an error only the end is expected.
    pub fn expect(&mut self, step: Step) {
        if !self.skipping || step == Step::Sync {
            self.steps.push_back(step);
        }
    }

    /// The caller sent everything it had to for a COPY.
    pub fn copy_ended(&mut self) {
        self.copying = false;
    }

    /// Whether the database waits for COPY data.
    pub fn is_copying(&self) -> bool {
        self.copying
    }

    /// Lets the answer flow.
    pub fn deliver(&mut self) {
        self.delivering = true;
    }

    /// Whether the answer may flow.
    pub fn is_delivering(&self) -> bool {
        self.delivering
    }

    /// Whether any of it has flowed.
    pub fn has_flowed(&self) -> bool {
        self.flowed
    }

    /// Lets the end flow too.
    pub fn release_end(&mut self) {
        self.hold_end = false;
    }

    /// Messages that may flow now.
    pub fn take_ready(&mut self) -> Vec<Frame> {
        if !self.delivering || self.ready.is_empty() {
            return Vec::new();
        }
        self.flowed = true;
        self.ready_bytes = 0;
        std::mem::take(&mut self.ready)
    }

    /// Messages of the end, once the answer is complete and nothing holds it.
    pub fn take_end(&mut self) -> Vec<Frame> {
        self.end_bytes = 0;
        std::mem::take(&mut self.end)
    }

    /// Replaces the end by `error`, because the commit put behind the unit failed.
    pub fn fail_end(&mut self, error: Frame, status: TransactionStatus) {
        if self.ending.sqlstate.is_none() {
            self.ending.sqlstate = BackendError::from_frame(&error).map(|error| error.sqlstate);
        }
        self.end = vec![error];
        self.ending.status = status;
    }

    /// The session's state is another one than the unit itself ended with.
    pub fn set_status(&mut self, status: TransactionStatus) {
        self.ending.status = status;
    }

    /// Whether the whole answer may flow and has arrived.
    pub fn is_deliverable(&self) -> bool {
        self.complete && self.delivering && !self.hold_end
    }

    /// How it ended, once it has.
    pub fn ending(&self) -> Option<&Ending> {
        self.complete.then_some(&self.ending)
    }

    /// Whether it holds an error.
    pub fn has_failed(&self) -> bool {
        self.ending.sqlstate.is_some()
    }

    /// Names of statements whose `ParseComplete` was never given.
    pub fn take_parse_failures(&mut self) -> Vec<String> {
        std::mem::take(&mut self.parse_failures)
    }

    /// Whether the connection may be read further.
    pub fn has_room(&self) -> bool {
        self.ready_bytes < HOLD_LIMIT
    }

    /// Whether more had to be held than memory allows.
    pub fn overflowed(&self) -> bool {
        self.end_bytes > HOLD_LIMIT
    }

    fn push_simple(&mut self, frame: Frame) {
        if let Some(held) = self.lookahead.take() {
            self.leave_lookahead(held);
        }
        match frame.tag {
            backend::COMMAND_COMPLETE => {
                self.note_tag(&frame);
                if self.hold_end && !self.in_end {
                    self.lookahead = Some(frame);
                    return;
                }
            }
            backend::COPY_IN_RESPONSE => self.copying = true,
            _ => {}
        }
        self.emit(frame);
    }

    /// Something follows a `CommandComplete`. After a `COMMIT` it tells the caller
    /// that the commit is done, so it is held as well.
    fn leave_lookahead(&mut self, held: Frame) {
        if self.ending.committed {
            self.in_end = true;
        }
        self.emit(held);
    }

    fn push_extended(&mut self, frame: Frame) {
        self.emit_synthesised();
        let ends = match (self.steps.front(), frame.tag) {
            (Some(Step::Single), _) => true,
            (Some(Step::Description), tag) => {
                matches!(tag, backend::ROW_DESCRIPTION | backend::NO_DATA)
            }
            (Some(Step::Rows), tag) => matches!(
                tag,
                backend::COMMAND_COMPLETE | backend::EMPTY_QUERY | backend::PORTAL_SUSPENDED
            ),
            _ => false,
        };
        if frame.tag == backend::COMMAND_COMPLETE {
            self.note_tag(&frame);
        }
        if frame.tag == backend::COPY_IN_RESPONSE {
            self.copying = true;
        }
        if ends {
            let rows = self.steps.pop_front() == Some(Step::Rows);
            if rows && self.hold_end && self.is_last_execute() {
                self.in_end = true;
            }
        }
        self.emit(frame);
    }

    /// Whether nothing is executed after what just ended, or a commit has happened.
    fn is_last_execute(&self) -> bool {
        let closed = self.steps.back() == Some(&Step::Sync);
        self.ending.committed || (closed && !self.steps.contains(&Step::Rows))
    }

    fn emit_synthesised(&mut self) {
        while let Some(Step::Synthesised { .. }) = self.steps.front() {
            if let Some(Step::Synthesised { frame, .. }) = self.steps.pop_front() {
                self.emit(frame);
            }
        }
    }

    fn note_tag(&mut self, frame: &Frame) {
        match reply::command_tag(frame) {
            Some(COMMIT_TAG | PREPARE_TRANSACTION_TAG) => {
                self.ending.committed = true;
                self.ending.rolled_back = false;
            }
            Some(ROLLBACK_TAG) => self.ending.rolled_back = true,
            _ => {}
        }
    }

    fn fail(&mut self, frame: Frame) {
        if let Some(held) = self.lookahead.take() {
            self.leave_lookahead(held);
        }
        if self.ending.sqlstate.is_none() {
            self.ending.sqlstate = BackendError::from_frame(&frame).map(|error| error.sqlstate);
        }
        self.copying = false;
        if !self.simple {
            self.drop_steps();
        }
        self.emit(frame);
    }

    fn drop_steps(&mut self) {
        self.skipping = true;
        while let Some(step) = self.steps.pop_front() {
            match step {
                Step::Sync => {
                    self.steps.push_front(Step::Sync);
                    return;
                }
                Step::Synthesised {
                    parsed: Some(name), ..
                } => self.parse_failures.push(name),
                _ => {}
            }
        }
    }

    fn finish(&mut self, frame: &Frame) {
        self.emit_synthesised();
        if let Some(held) = self.lookahead.take() {
            self.in_end = true;
            self.emit(held);
        }
        self.steps.clear();
        self.copying = false;
        self.ending.status = TransactionStatus::read(frame).unwrap_or_default();
        self.complete = true;
    }

    fn emit(&mut self, frame: Frame) {
        if self.in_end {
            self.end_bytes += frame.wire_length();
            self.end.push(frame);
        } else {
            self.ready_bytes += frame.wire_length();
            self.ready.push(frame);
        }
    }
}
