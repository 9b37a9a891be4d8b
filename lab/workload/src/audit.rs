//! Reads the final contents of a group's primary directly from the database.

use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;
use tokio_postgres::{SimpleQueryMessage, SimpleQueryRow};

use crate::connection::{ClientConnection, Credentials, Failure, TokenDelivery, rows};
use crate::deployment::Application;
use crate::history::{EntryRow, FinalState, LineRow, SessionNumber};
use crate::sql;

/// Timeout of connecting and of each statement of the audit.
const STATEMENT_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a final state could not be read.
#[derive(Debug, Error)]
pub enum AuditError {
    /// The database did not answer.
    #[error("the database did not answer the audit: {0}")]
    Failed(#[from] Failure),
    /// A row lacks the expected columns.
    #[error("a row of the audit lacks the expected columns")]
    Malformed,
}

/// Reads the final state of a group from its primary at `address`.
///
/// # Errors
/// An [`AuditError`] when the state cannot be read. A run cannot be checked without it.
pub async fn final_state(
    address: SocketAddr,
    credentials: &Credentials,
    application: Application,
) -> Result<FinalState, AuditError> {
    let mut connection = ClientConnection::open(
        address,
        credentials,
        &TokenDelivery::None,
        STATEMENT_TIMEOUT,
    )
    .await?;
    let entries = connection.simple(&sql::audit_entries(application)).await?;
    let lines = connection.simple(&sql::audit_lines()).await?;
    Ok(FinalState {
        entries: collect(&entries, parse_entry)?,
        lines: collect(&lines, parse_line)?,
    })
}

fn collect<T>(
    messages: &[SimpleQueryMessage],
    parse_row: impl Fn(&SimpleQueryRow) -> Option<T>,
) -> Result<Vec<T>, AuditError> {
    rows(messages)
        .map(|row| parse_row(row).ok_or(AuditError::Malformed))
        .collect()
}

fn parse_entry(row: &SimpleQueryRow) -> Option<EntryRow> {
    Some(EntryRow {
        session: SessionNumber(row.get("session")?.parse().ok()?),
        sequence: row.get("sequence")?.parse().ok()?,
        attempt: row.get("attempt")?.parse().ok()?,
    })
}

fn parse_line(row: &SimpleQueryRow) -> Option<LineRow> {
    Some(LineRow {
        session: SessionNumber(row.get("session")?.parse().ok()?),
        run: row.get("run")?.parse().ok()?,
        attempt: row.get("attempt")?.parse().ok()?,
        line: row.get("line")?.parse().ok()?,
    })
}
