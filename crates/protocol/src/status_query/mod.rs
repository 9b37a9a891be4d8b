//! The status query, whose result is one row with the role, the term and the position of a
//! database and the positions that its replicas have flushed.

mod collector;

pub use collector::{StatusCollector, StatusQueryError};

/// SQL text of the status query, sent as a simple query. Its result is one row of four
/// columns in text form: `in_recovery`, `term`, `position` and `flushed`, a comma-separated
/// list of `name=position`.
pub const STATUS_QUERY: &str = "SELECT pg_is_in_recovery() AS in_recovery, CASE WHEN pg_is_in_recovery() THEN (SELECT timeline_id FROM pg_control_checkpoint()) ELSE ('x' || substr(pg_walfile_name(pg_current_wal_lsn()), 1, 8))::bit(32)::int END AS term, CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() ELSE pg_current_wal_flush_lsn() END AS position, COALESCE((SELECT string_agg(application_name || '=' || flush_lsn::text, ',') FROM pg_stat_replication), '') AS flushed";
