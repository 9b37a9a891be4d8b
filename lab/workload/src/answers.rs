//! Answers as the history has them.

use tokio_postgres::{Row, SimpleQueryMessage};

use crate::connection::{affected, rows};
use crate::history::OperationResult;

/// One row of a read: the echo, whether a replica answered, and a sequence.
type ReadRow = (String, bool, Option<u64>);

/// An answer of an impossible shape.
pub fn malformed(reason: &str) -> OperationResult {
    OperationResult::Malformed {
        reason: reason.to_owned(),
    }
}

/// The answer to a write by the simple protocol.
pub fn written(messages: &[SimpleQueryMessage]) -> OperationResult {
    match affected(messages) {
        Some(rows) => OperationResult::Written { rows },
        None => malformed("a write has no count"),
    }
}

/// The answer to a read by the simple protocol.
pub fn read(messages: &[SimpleQueryMessage]) -> OperationResult {
    let parsed = rows(messages).map(|row| -> Option<ReadRow> {
        let sequence = match row.get("sequence") {
            None => None,
            Some(text) => Some(text.parse().ok()?),
        };
        let replica = row.get("replica")?.starts_with('t');
        Some((row.get("echo")?.to_owned(), replica, sequence))
    });
    read_of(parsed.collect())
}

/// The answer to a read by the extended protocol.
pub fn read_rows(rows: &[Row]) -> OperationResult {
    let parsed = rows.iter().map(|row| -> Option<ReadRow> {
        let sequence: Option<i64> = row.try_get("sequence").ok()?;
        let sequence = match sequence {
            None => None,
            Some(number) => Some(u64::try_from(number).ok()?),
        };
        let replica = row.try_get("replica").ok()?;
        Some((row.try_get("echo").ok()?, replica, sequence))
    });
    read_of(parsed.collect())
}

fn read_of(rows: Option<Vec<ReadRow>>) -> OperationResult {
    let Some(rows) = rows else {
        return malformed("a row of a read has not the expected columns");
    };
    let Some((echo, replica, _)) = rows.first().cloned() else {
        return malformed("a read has no row");
    };
    if rows.iter().any(|(other, _, _)| *other != echo) {
        return malformed("rows of one read echo different texts");
    }
    OperationResult::Read {
        echo,
        sequences: rows
            .iter()
            .filter_map(|(_, _, sequence)| *sequence)
            .collect(),
        replica,
    }
}

/// The count and the connection in the answer to the count of a billing run.
pub fn counted_rows(messages: &[SimpleQueryMessage]) -> Option<(u64, i64)> {
    let row = rows(messages).next()?;
    let counted = row.get("counted")?.parse().ok()?;
    let backend = row.get("backend")?.parse().ok()?;
    Some((counted, backend))
}
