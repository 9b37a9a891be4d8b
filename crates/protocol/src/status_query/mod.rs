//! The status query: one row that says role, term, position and what replicas hold.

mod collector;

pub use collector::{StatusCollector, StatusQueryError};

/// The query, sent as a simple query. Its answer is one row of four columns in text
/// form: `in_recovery`, `term`, `position` and `flushed`, the last a list
/// `name=position` parted by commas.
pub const STATUS_QUERY: &str = "SELECT pg_is_in_recovery() AS in_recovery, CASE WHEN pg_is_in_recovery() THEN (SELECT timeline_id FROM pg_control_checkpoint()) ELSE ('x' || substr(pg_walfile_name(pg_current_wal_lsn()), 1, 8))::bit(32)::int END AS term, CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() ELSE pg_current_wal_flush_lsn() END AS position, COALESCE((SELECT string_agg(application_name || '=' || flush_lsn::text, ',') FROM pg_stat_replication), '') AS flushed";
