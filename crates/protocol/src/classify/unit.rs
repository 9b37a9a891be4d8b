//! Classification of a whole unit from the classes of its statements.

use hookpoint_coordination::request::Access;

use super::comment::{self, MAXIMUM_REQUEST_ID_BYTES};
use super::statement::{self, StatementClass};
use super::text;
use super::{MAXIMUM_ANALYSED_BYTES, SessionEffect, StatementKind, TransactionEnd, UnitClass};

/// Classifies `sql` without using the cache.
pub(super) fn classify(sql: &str) -> UnitClass {
    let mut class = if sql.len() > MAXIMUM_ANALYSED_BYTES {
        unanalysed(sql)
    } else {
        match text::split(sql) {
            Ok(split) => {
                let statements: Vec<StatementClass> =
                    split.statements.iter().map(statement::classify).collect();
                let mut class = combine(&statements);
                class.request_id = split
                    .comments
                    .iter()
                    .find_map(|body| comment::request_id_of(body));
                class
            }
            Err(_) => unanalysed(sql),
        }
    };
    refuse_bad_request_id(&mut class);
    class
}

/// Returns the class of a unit that is not split into tokens.
fn unanalysed(sql: &str) -> UnitClass {
    let mut class = UnitClass::unknown();
    class.request_id = comment::request_id_in_raw(sql);
    class
}

/// Marks a unit with an empty or too long request identifier as unsupported, because an
/// identifier that cannot be honoured must not be ignored silently.
fn refuse_bad_request_id(class: &mut UnitClass) {
    let Some(id) = &class.request_id else {
        return;
    };
    if id.as_str().is_empty() || id.as_str().len() > MAXIMUM_REQUEST_ID_BYTES {
        class.unsupported = Some("a request_id that is empty or too long".to_owned());
    }
}

fn combine(statements: &[StatementClass]) -> UnitClass {
    let read = statements.iter().all(|statement| statement.read);
    let show = match statements {
        [only] => only.show.clone(),
        _ => None,
    };
    UnitClass {
        statements: statements.iter().map(|statement| statement.kind).collect(),
        access: if read { Access::Read } else { Access::Write },
        may_commit: may_commit(statements, false),
        may_commit_in_block: may_commit(statements, true),
        opens_transaction: statements
            .iter()
            .rev()
            .find_map(|statement| statement.opens),
        ends_transaction: statements.iter().rev().find_map(transaction_end),
        session_effect: statements
            .iter()
            .map(|statement| statement.effect)
            .max()
            .unwrap_or(SessionEffect::None),
        settings: statements
            .iter()
            .flat_map(|statement| statement.settings.iter().cloned())
            .collect(),
        show,
        unsupported: statements
            .iter()
            .find_map(|statement| statement.unsupported.clone()),
        request_id: None,
        copy: statements.iter().rev().find_map(|statement| statement.copy),
    }
}

fn transaction_end(statement: &StatementClass) -> Option<TransactionEnd> {
    match statement.kind {
        StatementKind::Commit | StatementKind::PrepareTransaction => Some(TransactionEnd::Commit),
        StatementKind::Rollback => Some(TransactionEnd::Rollback),
        _ => None,
    }
}

/// Returns whether running the unit may commit changes, given whether a transaction block
/// is open before it. A block that is already open may hold earlier writes, so its commit
/// always counts.
fn may_commit(statements: &[StatementClass], starts_in_block: bool) -> bool {
    let mut in_block = starts_in_block;
    let mut pending_writes = starts_in_block;
    for statement in statements {
        match statement.kind {
            StatementKind::Begin => in_block = true,
            StatementKind::Commit if pending_writes || !in_block => return true,
            StatementKind::Commit => in_block = false,
            StatementKind::PrepareTransaction | StatementKind::FinishPrepared => return true,
            StatementKind::Rollback => {
                in_block = false;
                pending_writes = false;
            }
            StatementKind::Other if !statement.read && !in_block => return true,
            _ => pending_writes |= !statement.read,
        }
    }
    pending_writes && !in_block
}
