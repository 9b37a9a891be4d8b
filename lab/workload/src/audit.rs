//! Reads what a group's primary holds in the end, straight from the database.

use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;
use tokio_postgres::{SimpleQueryMessage, SimpleQueryRow};

use crate::connection::{ClientConnection, Credentials, Failure, TokenDelivery, rows};
use crate::deployment::Application;
use crate::history::{EntryRow, FinalState, LineRow, SessionNumber};
use crate::sql;

/// Patience with one statement of the audit.
const PATIENCE: Duration = Duration::from_secs(30);

/// Why a final state could not be read.
#[derive(Debug, Error)]
pub enum AuditError {
    /// The database did not answer.
    #[error("the database did not answer the audit: {0}")]
    Failed(#[from] Failure),
    /// A row has not the expected columns.
    #[error("a row of the audit has not the expected columns")]
    Malformed,
}

/// Reads the final state of a group from its primary at `address`.
///
/// # Errors
/// An [`AuditError`]; the run cannot be judged without the state.
pub async fn final_state(
    address: SocketAddr,
    credentials: &Credentials,
    application: Application,
) -> Result<FinalState, AuditError> {
    let mut connection =
        ClientConnection::open(address, credentials, &TokenDelivery::None, PATIENCE).await?;
    let entries = connection.simple(&sql::audit_entries(application)).await?;
    let lines = connection.simple(&sql::audit_lines()).await?;
    Ok(FinalState {
        entries: collect(&entries, entry_of)?,
        lines: collect(&lines, line_of)?,
    })
}

fn collect<T>(
    messages: &[SimpleQueryMessage],
    row_of: impl Fn(&SimpleQueryRow) -> Option<T>,
) -> Result<Vec<T>, AuditError> {
    rows(messages)
        .map(|row| row_of(row).ok_or(AuditError::Malformed))
        .collect()
}

fn entry_of(row: &SimpleQueryRow) -> Option<EntryRow> {
    Some(EntryRow {
        session: SessionNumber(row.get("session")?.parse().ok()?),
        sequence: row.get("sequence")?.parse().ok()?,
        attempt: row.get("attempt")?.parse().ok()?,
    })
}

fn line_of(row: &SimpleQueryRow) -> Option<LineRow> {
    Some(LineRow {
        session: SessionNumber(row.get("session")?.parse().ok()?),
        run: row.get("run")?.parse().ok()?,
        attempt: row.get("attempt")?.parse().ok()?,
        line: row.get("line")?.parse().ok()?,
    })
}
