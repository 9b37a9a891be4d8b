//! Report of a demo run.

use hdrhistogram::Histogram;
use hookpoint_workload::checker::{Findings, Totals, Violation};
use hookpoint_workload::failover::FailoverGap;
use hookpoint_workload::history::{Operation, OperationResult, Record};
use hookpoint_workload::load::{self, Latency};
use serde::Serialize;

use crate::demo::baseline::{Baseline, median};

/// Maximum number of violations that a report lists.
const LISTED_VIOLATIONS: usize = 50;

/// Measurements that are not part of the history.
#[derive(Clone, Debug, Default)]
pub struct Measurements {
    /// Latencies with and without a proxy.
    pub baseline: Baseline,
    /// Gaps in writes at changes of primary.
    pub failovers: Vec<FailoverGap>,
    /// Longest time from the roll of a bundle until it is in force on every proxy, in
    /// milliseconds; `None` if none was rolled.
    pub bundle_in_force_ms: Option<f64>,
    /// Round trip from the proxies to a database of another zone, in milliseconds.
    pub database_round_trip_ms: f64,
}

/// The report of one run.
#[derive(Clone, Debug, Serialize)]
pub struct DemoReport {
    /// Name of the deployment.
    pub deployment: String,
    /// Seed of the run.
    pub seed: u64,
    /// Duration of the workload, in seconds.
    pub seconds: f64,
    /// Number of client sessions.
    pub sessions: usize,
    /// Name of the protection that was disabled, if any.
    pub without: Option<String>,
    /// Number of requests, whatever their result.
    pub requests: u64,
    /// Number of acknowledged writes.
    pub writes_acknowledged: u64,
    /// Acknowledged writes that are missing from the final state.
    pub writes_lost: u64,
    /// Writes that ran more than once.
    pub writes_doubled: u64,
    /// Reads that did not return what their session had written or read before.
    pub stale_reads: u64,
    /// Transactions that were mixed with others or applied partially.
    pub mixed_transactions: u64,
    /// Answers that belong to another request or cannot result from the request.
    pub wrong_answers: u64,
    /// Requests that were reported as not run, but had run.
    pub false_not_run: u64,
    /// Requests that a planned stop interrupted.
    pub in_flight_cut: u64,
    /// Fraction of answered reads that replicas answered.
    pub replica_read_share: f64,
    /// Median gap in writes over all changes of primary, in milliseconds.
    pub failover_gap_ms: Option<f64>,
    /// Median part of the gap before the group had elected a primary, in milliseconds.
    pub failover_election_ms: Option<f64>,
    /// Gap in writes at each change of primary.
    pub failovers: Vec<FailoverGap>,
    /// Longest time from the roll of a bundle until it is in force on every proxy, in
    /// milliseconds; `None` if none was rolled.
    pub bundle_in_force_ms: Option<f64>,
    /// Median latency of answered requests, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of answered requests, in milliseconds.
    pub p99_ms: f64,
    /// Latency of answered reads.
    pub reads: Latency,
    /// Latency of answered writes.
    pub writes: Latency,
    /// Median latency that a proxy adds to a read, in milliseconds.
    pub added_latency_p50_ms: f64,
    /// Median latency that a proxy and its wait for a majority add to a write, in
    /// milliseconds.
    pub added_write_latency_p50_ms: f64,
    /// Round trip from the proxies to a database of another zone, in milliseconds.
    pub database_round_trip_ms: f64,
    /// Latencies with and without a proxy.
    pub baseline: Baseline,
    /// Counts of requests by their result.
    pub totals: Totals,
    /// The first violations; the list is limited.
    pub violations: Vec<Violation>,
    /// Whether there was any violation.
    pub violated: bool,
}

/// Identification of the run that a report describes.
#[derive(Clone, Debug)]
pub struct RunIdentity {
    /// Name of the deployment.
    pub deployment: String,
    /// Seed of the run.
    pub seed: u64,
    /// Duration of the workload, in seconds.
    pub seconds: f64,
    /// Number of client sessions.
    pub sessions: usize,
    /// Name of the protection that was disabled, if any.
    pub without: Option<String>,
}

impl DemoReport {
    /// Creates the report of a run from its records, findings and measurements.
    ///
    /// # Errors
    /// Fails if a histogram cannot be created or a latency exceeds its range.
    pub fn new(
        identity: RunIdentity,
        records: &[Record],
        findings: &Findings,
        measurements: Measurements,
    ) -> anyhow::Result<Self> {
        let (reads, writes) = latencies(records)?;
        let mut all = reads.clone();
        all += &writes;
        let overall = Latency::of(&all);
        let totals = findings.totals;
        let gaps = |of: fn(&FailoverGap) -> f64| {
            let values: Vec<f64> = measurements.failovers.iter().map(of).collect();
            (!values.is_empty()).then(|| median(values))
        };
        Ok(Self {
            deployment: identity.deployment,
            seed: identity.seed,
            seconds: identity.seconds,
            sessions: identity.sessions,
            without: identity.without,
            requests: totals.requests,
            writes_acknowledged: totals.writes_acknowledged,
            writes_lost: findings.count(|found| matches!(found, Violation::WriteLost { .. })),
            writes_doubled: findings.count(|found| matches!(found, Violation::WriteDoubled { .. })),
            stale_reads: findings.count(|found| matches!(found, Violation::StaleRead { .. })),
            mixed_transactions: findings
                .count(|found| matches!(found, Violation::MixedTransaction { .. })),
            wrong_answers: findings.count(|found| matches!(found, Violation::WrongAnswer { .. })),
            false_not_run: findings.count(|found| matches!(found, Violation::FalseNotRun { .. })),
            in_flight_cut: findings.count(|found| matches!(found, Violation::InFlightCut { .. })),
            replica_read_share: totals.replica_reads as f64 / totals.reads.max(1) as f64,
            failover_gap_ms: gaps(|gap| gap.gap_ms),
            failover_election_ms: gaps(|gap| gap.election_ms),
            failovers: measurements.failovers,
            bundle_in_force_ms: measurements.bundle_in_force_ms,
            p50_ms: overall.p50_ms,
            p99_ms: overall.p99_ms,
            reads: Latency::of(&reads),
            writes: Latency::of(&writes),
            added_latency_p50_ms: measurements.baseline.reads.added_p50_ms,
            added_write_latency_p50_ms: measurements.baseline.writes.added_p50_ms,
            database_round_trip_ms: measurements.database_round_trip_ms,
            baseline: measurements.baseline,
            totals,
            violations: findings
                .violations
                .iter()
                .take(LISTED_VIOLATIONS)
                .cloned()
                .collect(),
            violated: !findings.violations.is_empty(),
        })
    }

    /// Formats the report as a table for a terminal.
    pub fn table(&self) -> String {
        let optional = |value: Option<f64>| match value {
            Some(value) => format!("{value:.1}"),
            None => "-".to_owned(),
        };
        let rows = [
            ("requests", self.requests.to_string()),
            ("writes acknowledged", self.writes_acknowledged.to_string()),
            ("writes lost", self.writes_lost.to_string()),
            ("writes doubled", self.writes_doubled.to_string()),
            ("stale reads", self.stale_reads.to_string()),
            ("mixed transactions", self.mixed_transactions.to_string()),
            ("wrong answers", self.wrong_answers.to_string()),
            ("false \"not run\"", self.false_not_run.to_string()),
            ("requests cut by a stop", self.in_flight_cut.to_string()),
            ("told not run", self.totals.not_run.to_string()),
            ("told unknown", self.totals.unknown.to_string()),
            ("without an answer", self.totals.unanswered.to_string()),
            ("refused by an error", self.totals.rejected.to_string()),
            (
                "replica share of reads",
                format!("{:.1}%", self.replica_read_share * 100.0),
            ),
            ("failover gap ms", optional(self.failover_gap_ms)),
            ("  of it election ms", optional(self.failover_election_ms)),
            ("bundle in force ms", optional(self.bundle_in_force_ms)),
            ("p50 ms", format!("{:.2}", self.p50_ms)),
            ("p99 ms", format!("{:.2}", self.p99_ms)),
            (
                "read added p50 ms",
                format!("{:.2}", self.added_latency_p50_ms),
            ),
            (
                "write added p50 ms",
                format!("{:.2}", self.added_write_latency_p50_ms),
            ),
        ];
        let lines: Vec<String> = rows
            .iter()
            .map(|(name, value)| format!("{name:<26}{value:>12}"))
            .collect();
        lines.join("\n")
    }
}

/// Returns histograms of the latencies of answered reads and writes, in microseconds.
fn latencies(records: &[Record]) -> anyhow::Result<(Histogram<u64>, Histogram<u64>)> {
    let mut reads = load::histogram()?;
    let mut writes = load::histogram()?;
    for record in records {
        let micros = (record.ended - record.started).max(1);
        match (&record.operation, &record.result) {
            (Operation::Write { .. }, OperationResult::Written { .. }) => writes.record(micros)?,
            (_, OperationResult::Read { .. }) => reads.record(micros)?,
            _ => {}
        }
    }
    Ok((reads, writes))
}
