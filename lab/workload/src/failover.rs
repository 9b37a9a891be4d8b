//! How long writes could not proceed around a change of primary, as callers saw it.

use hookpoint_state::GroupName;
use serde::Serialize;

use crate::history::{Operation, OperationResult, Record};

/// A change of primary, in microseconds since the run's origin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrimaryChange {
    /// The group.
    pub group: GroupName,
    /// When the old primary was lost.
    pub lost: u64,
    /// When the new one began to lead.
    pub elected: u64,
}

/// The gap in the writes of one group.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FailoverGap {
    /// The group.
    pub group: GroupName,
    /// From the first write that could not proceed to the first one acknowledged by
    /// the new primary, in milliseconds.
    pub gap_ms: f64,
    /// The part of it before the group had elected, in milliseconds.
    pub election_ms: f64,
    /// Writes that took longer than the election or failed.
    pub held_writes: u64,
}

/// The gap that `change` left in `records`; none if no write met it.
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
    let first = *blocked.iter().min()?;
    Some(FailoverGap {
        group: change.group.clone(),
        gap_ms: milliseconds(recovered.saturating_sub(first)),
        election_ms: milliseconds(change.elected.saturating_sub(first)),
        held_writes: blocked.len() as u64,
    })
}

fn acknowledged(record: &Record) -> bool {
    matches!(record.result, OperationResult::Written { .. })
}

fn milliseconds(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}
