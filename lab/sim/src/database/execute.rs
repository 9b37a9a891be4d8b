//! Execution of units on a connection.

use std::sync::Arc;

use hookpoint_state::Timestamp;

use super::Database;
use super::log::Entry;
use super::unit::{Answer, AnswerBody, AttemptId, UnitCall, Work, Write};

/// SQLSTATE `read_only_sql_transaction`.
const READ_ONLY: &str = "25006";
/// SQLSTATE `in_failed_sql_transaction`.
const FAILED_TRANSACTION: &str = "25P02";
/// SQLSTATE `unique_violation`.
pub(crate) const UNIQUE_VIOLATION: &str = "23505";

/// An open transaction block.
#[derive(Clone, Debug)]
pub(crate) struct Block {
    owner: AttemptId,
    read_only: bool,
    failed: bool,
    writes: Vec<Write>,
    ledger: Option<u64>,
}

impl Block {
    fn new(owner: AttemptId, read_only: bool) -> Self {
        Self {
            owner,
            read_only,
            failed: false,
            writes: Vec::new(),
            ledger: None,
        }
    }
}

impl Database {
    /// Runs a unit; `block` is the connection's open transaction block.
    pub(crate) fn execute(
        &mut self,
        now: Timestamp,
        block: &mut Option<Block>,
        call: UnitCall,
    ) -> Answer {
        self.replay(now);
        let body = match call.work {
            Work::Begin | Work::BeginReadOnly => {
                let read_only = call.work == Work::BeginReadOnly;
                block.get_or_insert_with(|| Block::new(call.attempt, read_only));
                AnswerBody::Done
            }
            Work::Commit => self.commit(now, block.take()),
            Work::Read(_) | Work::Append(_) | Work::AppendOnce(..) => match block {
                Some(block) => self.run_in(block, call),
                None => self.run_alone(now, call),
            },
        };
        Answer {
            call,
            body,
            in_transaction: block.is_some(),
            by_primary: self.is_primary(),
        }
    }

    fn run_alone(&mut self, now: Timestamp, call: UnitCall) -> AnswerBody {
        let mut block = Block::new(call.attempt, false);
        let body = self.run_in(&mut block, call);
        if matches!(call.work, Work::Read(_)) || block.failed {
            return body;
        }
        self.commit(now, Some(block))
    }

    fn run_in(&mut self, block: &mut Block, call: UnitCall) -> AnswerBody {
        if block.failed {
            return AnswerBody::Error(FAILED_TRANSACTION);
        }
        let body = self.statement(block, call);
        block.failed = matches!(body, AnswerBody::Error(_));
        body
    }

    fn statement(&self, block: &mut Block, call: UnitCall) -> AnswerBody {
        let key = match call.work {
            Work::Read(key) => {
                let mut rows = self.log.tables().rows(key);
                let own = block.writes.iter().filter(|write| write.key == key);
                rows.extend(own.map(|write| write.attempt));
                return AnswerBody::Rows(key, rows);
            }
            Work::Append(key) | Work::AppendOnce(key, _) => key,
            Work::Begin | Work::BeginReadOnly | Work::Commit => return AnswerBody::Done,
        };
        if block.read_only || !self.is_primary() {
            return AnswerBody::Error(READ_ONLY);
        }
        if let Work::AppendOnce(_, request) = call.work {
            if self.log.tables().in_ledger(request) {
                return AnswerBody::Error(UNIQUE_VIOLATION);
            }
            block.ledger = Some(request);
        }
        block.writes.push(Write {
            key,
            attempt: call.attempt,
        });
        AnswerBody::Done
    }

    fn commit(&mut self, now: Timestamp, block: Option<Block>) -> AnswerBody {
        let Some(block) = block else {
            return AnswerBody::Done;
        };
        if block.failed {
            return AnswerBody::Error(FAILED_TRANSACTION);
        }
        if block.writes.is_empty() {
            return AnswerBody::Done;
        }
        if !self.is_primary() {
            return AnswerBody::Error(READ_ONLY);
        }
        if block
            .ledger
            .is_some_and(|id| self.log.tables().in_ledger(id))
        {
            return AnswerBody::Error(UNIQUE_VIOLATION);
        }
        let entry = Entry {
            term: self.timeline,
            owner: Some(block.owner),
            writes: block.writes,
            ledger: block.ledger,
        };
        self.log.push(now, Arc::new(entry));
        self.replay(now);
        AnswerBody::Done
    }
}
