//! Measures how long writes were blocked during a change of primary, as callers observed.

use hookpoint_state::GroupName;
use serde::Serialize;

use crate::history::{Operation, OperationResult, Record};

/// A change of primary. Times are in microseconds since the run's origin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrimaryChange {
    /// Group whose primary changed.
    pub group: GroupName,
    /// When the old primary was lost.
    pub lost: u64,
    /// When the new primary was elected.
    pub elected: u64,
}

/// The period during which writes of one group were blocked.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FailoverGap {
    /// Group whose primary changed.
    pub group: GroupName,
    /// Time from the first blocked write to the first write acknowledged by the new primary,
    /// in milliseconds.
    pub gap_ms: f64,
    /// Part of the gap up to the election of the new primary, in milliseconds.
    pub election_ms: f64,
    /// Number of blocked writes: those that failed or ended only after the election.
    pub held_writes: u64,
}

/// Returns the write gap that `change` caused in `records`. `None` when no write was blocked
/// or none was acknowledged after the election.
pub fn failover_gap(records: &[Record], change: &PrimaryChange) -> Option<FailoverGap> {
    let writes: Vec<&Record> = records
        .iter()
        .filter(|record| record.group == change.group)
        .filter(|record| matches!(record.operation, Operation::Write { .. }))
        .collect();
    let recovered = writes
        .iter()
        .filter(|record| acknowledged(record) && record.ended >= change.elected)
        .map(|record| record.ended)
        .min()?;
    let blocked: Vec<u64> = writes
        .iter()
        .filter(|record| record.ended >= change.lost && record.started <= recovered)
        .filter(|record| !acknowledged(record) || record.ended >= change.elected)
        .map(|record| record.started.max(change.lost))
        .collect();
    let first_blocked = *blocked.iter().min()?;
    Some(FailoverGap {
        group: change.group.clone(),
        gap_ms: milliseconds(recovered.saturating_sub(first_blocked)),
        election_ms: milliseconds(change.elected.saturating_sub(first_blocked)),
        held_writes: blocked.len() as u64,
    })
}

fn acknowledged(record: &Record) -> bool {
    matches!(record.result, OperationResult::Written { .. })
}

fn milliseconds(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}
