//! Execution of request units on a database connection.

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

/// An open transaction block of a connection.
#[derive(Clone, Debug)]
pub(crate) struct TransactionBlock {
    owner: AttemptId,
    read_only: bool,
    failed: bool,
    writes: Vec<Write>,
    ledger: Option<u64>,
}

impl TransactionBlock {
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
    /// Executes a unit and returns its answer. `block` is the connection's open transaction
    /// block, if any; the unit may open or end it.
    pub(crate) fn execute(
        &mut self,
        now: Timestamp,
        block: &mut Option<TransactionBlock>,
        call: UnitCall,
    ) -> Answer {
        self.replay(now);
        let body = match call.work {
            Work::Begin | Work::BeginReadOnly => {
                let read_only = call.work == Work::BeginReadOnly;
                block.get_or_insert_with(|| TransactionBlock::new(call.attempt, read_only));
                AnswerBody::Done
            }
            Work::Commit => self.commit(now, block.take()),
            Work::Read(_) | Work::Append(_) | Work::AppendOnce(..) => match block {
                Some(block) => self.run_in_block(block, call),
                None => self.run_autocommit(now, call),
            },
        };
        Answer {
            call,
            body,
            in_transaction: block.is_some(),
            by_primary: self.is_primary(),
        }
    }

    fn run_autocommit(&mut self, now: Timestamp, call: UnitCall) -> AnswerBody {
        let mut block = TransactionBlock::new(call.attempt, false);
        let body = self.run_in_block(&mut block, call);
        if matches!(call.work, Work::Read(_)) || block.failed {
            return body;
        }
        self.commit(now, Some(block))
    }

    fn run_in_block(&mut self, block: &mut TransactionBlock, call: UnitCall) -> AnswerBody {
        if block.failed {
            return AnswerBody::Error(FAILED_TRANSACTION);
        }
        let body = self.run_statement(block, call);
        block.failed = matches!(body, AnswerBody::Error(_));
        body
    }

    fn run_statement(&self, block: &mut TransactionBlock, call: UnitCall) -> AnswerBody {
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
            if self.log.tables().ledger_contains(request) {
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

    fn commit(&mut self, now: Timestamp, block: Option<TransactionBlock>) -> AnswerBody {
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
            .is_some_and(|id| self.log.tables().ledger_contains(id))
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
