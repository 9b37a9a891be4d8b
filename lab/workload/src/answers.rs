//! Converts answers of the client library into the results that the history records.

use tokio_postgres::{Row, SimpleQueryMessage};

use crate::connection::{affected, rows};
use crate::history::OperationResult;

/// One row of a read: the echoed nonce, whether a replica answered, and a sequence.
type ReadRow = (String, bool, Option<u64>);

/// Returns the result for an answer whose shape does not fit its request.
pub fn malformed(reason: &str) -> OperationResult {
    OperationResult::Malformed {
        reason: reason.to_owned(),
    }
}

/// Parses the answer to a write sent by the simple query protocol.
pub fn parse_write(messages: &[SimpleQueryMessage]) -> OperationResult {
    match affected(messages) {
        Some(rows) => OperationResult::Written { rows },
        None => malformed("the answer to a write has no row count"),
    }
}

/// Parses the answer to a read sent by the simple query protocol.
pub fn parse_read(messages: &[SimpleQueryMessage]) -> OperationResult {
    let parsed = rows(messages).map(|row| -> Option<ReadRow> {
        let sequence = match row.get("sequence") {
            None => None,
            Some(text) => Some(text.parse().ok()?),
        };
        let replica = row.get("replica")?.starts_with('t');
        Some((row.get("echo")?.to_owned(), replica, sequence))
    });
    read_result(parsed.collect())
}

/// Parses the rows of a read sent by the extended query protocol.
pub fn parse_read_rows(rows: &[Row]) -> OperationResult {
    let parsed = rows.iter().map(|row| -> Option<ReadRow> {
        let sequence: Option<i64> = row.try_get("sequence").ok()?;
        let sequence = match sequence {
            None => None,
            Some(number) => Some(u64::try_from(number).ok()?),
        };
        let replica = row.try_get("replica").ok()?;
        Some((row.try_get("echo").ok()?, replica, sequence))
    });
    read_result(parsed.collect())
}

fn read_result(rows: Option<Vec<ReadRow>>) -> OperationResult {
    let Some(rows) = rows else {
        return malformed("a row of a read lacks the expected columns");
    };
    let Some((echo, replica, _)) = rows.first().cloned() else {
        return malformed("a read returned no row");
    };
    if rows.iter().any(|(other, _, _)| *other != echo) {
        return malformed("rows of one read echo different nonces");
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

/// Parses the row count and the backend process ID from the answer to
/// [`BillingLine::count`](crate::sql::BillingLine::count).
pub fn parse_billing_count(messages: &[SimpleQueryMessage]) -> Option<(u64, i64)> {
    let row = rows(messages).next()?;
    let counted = row.get("counted")?.parse().ok()?;
    let backend = row.get("backend")?.parse().ok()?;
    Some((counted, backend))
}
