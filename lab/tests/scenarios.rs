//! Faults under load on one group. The checker decides on the result; no timing is
//! asserted.

mod laboratory_support;

use std::sync::Arc;
use std::time::Duration;

use hookpoint_lab::demo::timeline::{Step, TimedStep};
use hookpoint_lab::demo::{self, DemoOutcome, DemoSettings, Protection, Schedule};
use hookpoint_lab::fault::Fault;
use hookpoint_workload::checker::Violation;
use hookpoint_workload::deployment::Deployment;

/// Number of client sessions per database; there are three databases.
const CLIENTS: usize = 12;
/// Duration of a scenario's workload.
const LENGTH: Duration = Duration::from_secs(6);
/// Minimum number of acknowledged writes in a scenario, low enough for a slow machine.
const MIN_WRITES: u64 = 10;

fn settings(deployment: Arc<Deployment>, steps: &[(f64, &str)]) -> DemoSettings {
    let steps = steps.iter().map(|(at, text)| TimedStep {
        at: *at,
        step: match *text {
            "roll" => Step::Roll,
            text => Step::Inject(text.parse::<Fault>().expect("a fault")),
        },
    });
    DemoSettings {
        deployment,
        length: LENGTH,
        seed: 1,
        clients_per_database: CLIENTS,
        replica_lag: None,
        schedule: Schedule::Steps(steps.collect()),
        baseline: false,
        without: None,
    }
}

async fn run_scenario(steps: &[(f64, &str)]) -> anyhow::Result<DemoOutcome> {
    demo::run(&settings(
        laboratory_support::single_group_deployment(),
        steps,
    ))
    .await
}

async fn assert_no_violations(steps: &[(f64, &str)]) -> anyhow::Result<DemoOutcome> {
    let outcome = run_scenario(steps).await?;
    assert_eq!(outcome.report.violations, Vec::new(), "{steps:?}");
    let writes = outcome.report.writes_acknowledged;
    assert!(writes >= MIN_WRITES, "{writes} writes with {steps:?}");
    Ok(outcome)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_primary_causes_no_lost_or_doubled_writes() -> anyhow::Result<()> {
    let steps = [
        (0.2, "kill primary mensajes-1"),
        (0.7, "restart mensajes-1-a"),
    ];
    let outcome = assert_no_violations(&steps).await?;
    assert_eq!(outcome.report.failovers.len(), 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_primary_loses_no_acknowledged_writes() -> anyhow::Result<()> {
    let steps = [
        (0.2, "isolate primary mensajes-1"),
        (0.7, "rejoin mensajes-1-a"),
    ];
    let outcome = assert_no_violations(&steps).await?;
    assert_eq!(outcome.report.failovers.len(), 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn lagging_replicas_cause_no_stale_reads() -> anyhow::Result<()> {
    let steps = [
        (0.1, "lag mensajes-1-b 2000"),
        (0.1, "lag mensajes-1-c 2000"),
    ];
    assert_no_violations(&steps).await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn proxies_stop_and_start_during_a_platform_outage() -> anyhow::Result<()> {
    let steps = [
        (0.1, "platform down"),
        (0.2, "stop proxy 2"),
        (0.5, "start proxy 2"),
        (0.6, "kill proxy 1"),
        (0.8, "platform up"),
    ];
    let outcome = assert_no_violations(&steps).await?;
    assert_eq!(outcome.history.planned_stops.len(), 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn cutting_off_the_primary_zone_causes_no_violations() -> anyhow::Result<()> {
    assert_no_violations(&[(0.2, "cut zone sj-sala-a"), (0.6, "heal zone sj-sala-a")]).await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn cutting_off_a_replica_zone_causes_no_violations() -> anyhow::Result<()> {
    assert_no_violations(&[(0.2, "cut zone al-sala-b"), (0.6, "heal zone al-sala-b")]).await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_and_resumed_primary_causes_no_violations() -> anyhow::Result<()> {
    let steps = [
        (0.2, "pause primary mensajes-1"),
        (0.6, "resume mensajes-1-a"),
    ];
    assert_no_violations(&steps).await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_switchover_causes_no_violations() -> anyhow::Result<()> {
    assert_no_violations(&[(0.3, "switchover mensajes-1 mensajes-1-b")]).await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn bundles_come_into_force_under_load() -> anyhow::Result<()> {
    let outcome = assert_no_violations(&[(0.3, "roll"), (0.6, "roll")]).await?;
    assert!(outcome.report.bundle_in_force_ms.is_some());
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn without_majority_evidence_an_isolated_primary_loses_writes() -> anyhow::Result<()> {
    let steps = [
        (0.2, "isolate primary mensajes-1"),
        (0.7, "rejoin mensajes-1-a"),
    ];
    let mut settings = settings(laboratory_support::single_group_deployment(), &steps);
    settings.without = Some(Protection::Term);
    let outcome = demo::run(&settings).await?;
    let lost = |found: &Violation| matches!(found, Violation::WriteLost { .. });
    assert!(outcome.report.violations.iter().any(lost));
    Ok(())
}
