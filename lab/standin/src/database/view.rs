//! The replication state of a database and the system views that expose it.

use rusqlite::{Connection, params};

use super::position::Lsn;
use super::timestamp;

/// State of a replica as reported by its primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaView {
    /// Name of the replica.
    pub name: String,
    /// End position of the entries that the replica has flushed.
    pub flushed: Lsn,
    /// End position of the entries that the replica has replayed.
    pub replayed: Lsn,
    /// Time of its last message, in microseconds since 1970.
    pub last_message_at: i64,
}

/// Snapshot of the replication state of a database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SystemView {
    /// Whether the database is not a primary.
    pub in_recovery: bool,
    /// Timeline that the database writes or follows.
    pub timeline: u64,
    /// End position of the local log.
    pub flushed: Lsn,
    /// End position of the entries that have been replayed locally.
    pub replayed: Lsn,
    /// On a replica, the name of the primary from which it receives messages.
    pub primary: Option<String>,
    /// On a primary, the replicas from which it receives messages.
    pub replicas: Vec<ReplicaView>,
}

/// Names of the views; a statement that contains one of them reads the views.
pub const NAMES: [&str; 3] = [
    "pg_stat_replication",
    "pg_stat_wal_receiver",
    "pg_control_checkpoint",
];

impl SystemView {
    /// Returns the `flushed` column of the proxies' status query.
    pub fn flushed_list(&self) -> String {
        let replicas: Vec<String> = self
            .replicas
            .iter()
            .map(|replica| format!("{}={}", replica.name, replica.flushed))
            .collect();
        replicas.join(",")
    }
}

/// Creates the views as temporary tables.
pub fn create(connection: &Connection) -> rusqlite::Result<()> {
    connection.execute_batch(
        "CREATE TEMP TABLE pg_stat_replication (
             pid INT4, application_name TEXT, state TEXT, sent_lsn PG_LSN, write_lsn PG_LSN,
             flush_lsn PG_LSN, replay_lsn PG_LSN, sync_state TEXT, reply_time TIMESTAMPTZ);
         CREATE TEMP TABLE pg_stat_wal_receiver (
             pid INT4, status TEXT, received_tli INT4, flushed_lsn PG_LSN, written_lsn PG_LSN,
             latest_end_lsn PG_LSN, sender_host TEXT);
         CREATE TEMP TABLE pg_control_checkpoint (
             checkpoint_lsn PG_LSN, redo_lsn PG_LSN, timeline_id INT4);",
    )
}

/// Replaces the contents of the views.
pub fn refresh(connection: &Connection, view: &SystemView) -> rusqlite::Result<()> {
    connection.execute_batch(
        "DELETE FROM temp.pg_stat_replication; DELETE FROM temp.pg_stat_wal_receiver;
         DELETE FROM temp.pg_control_checkpoint;",
    )?;
    let flushed = view.flushed.to_string();
    for (number, replica) in view.replicas.iter().enumerate() {
        connection.execute(
            "INSERT INTO temp.pg_stat_replication
             VALUES (?1, ?2, 'streaming', ?3, ?4, ?4, ?5, 'quorum', ?6)",
            params![
                number as i64 + 1,
                replica.name,
                flushed,
                replica.flushed.to_string(),
                replica.replayed.to_string(),
                timestamp::format(replica.last_message_at),
            ],
        )?;
    }
    if let Some(primary) = &view.primary {
        connection.execute(
            "INSERT INTO temp.pg_stat_wal_receiver VALUES (1, 'streaming', ?1, ?2, ?2, ?2, ?3)",
            params![view.timeline as i64, flushed, primary],
        )?;
    }
    connection.execute(
        "INSERT INTO temp.pg_control_checkpoint VALUES (?1, ?1, ?2)",
        params![view.replayed.to_string(), view.timeline as i64],
    )?;
    Ok(())
}
