//! Faults under load on one group, judged by the checker and not by the clock.

mod running;

use std::sync::Arc;
use std::time::Duration;

use hookpoint_lab::demo::timeline::{Step, TimedStep};
use hookpoint_lab::demo::{self, DemoOutcome, DemoSettings, Protection, Script};
use hookpoint_lab::fault::Fault;
use hookpoint_workload::checker::Violation;
use hookpoint_workload::deployment::Deployment;

/// Sessions for each of the three databases.
const CLIENTS: usize = 12;
/// Length of a scenario.
const LENGTH: Duration = Duration::from_secs(6);
/// Acknowledged writes that a scenario has at least, on a machine that is slow.
const LEAST_WRITES: u64 = 10;

fn settings(deployment: Arc<Deployment>, steps: &[(f64, &str)]) -> DemoSettings {
    let steps = steps.iter().map(|(at, text)| TimedStep {
        at: *at,
        step: match *text {
            "roll" => Step::Roll,
            text => Step::Strike(text.parse::<Fault>().expect("a fault")),
        },
    });
    DemoSettings {
        deployment,
        length: LENGTH,
        seed: 1,
        clients_per_database: CLIENTS,
        replica_lag: None,
        script: Script::Steps(steps.collect()),
        baseline: false,
        without: None,
    }
}

async fn outcome_of(steps: &[(f64, &str)]) -> anyhow::Result<DemoOutcome> {
    demo::run(&settings(running::small(), steps)).await
}

async fn holds(steps: &[(f64, &str)]) -> anyhow::Result<DemoOutcome> {
    let outcome = outcome_of(steps).await?;
    assert_eq!(outcome.report.violations, Vec::new(), "{steps:?}");
    let writes = outcome.report.writes_acknowledged;
    assert!(writes >= LEAST_WRITES, "{writes} writes with {steps:?}");
    Ok(outcome)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_primary_loses_and_doubles_nothing() -> anyhow::Result<()> {
    let steps = [
        (0.2, "kill primary mensajes-1"),
        (0.7, "restart mensajes-1-a"),
    ];
    let outcome = holds(&steps).await?;
    assert_eq!(outcome.report.failovers.len(), 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_primary_that_believes_it_leads_gets_nothing_acknowledged() -> anyhow::Result<()> {
    let steps = [
        (0.2, "isolate primary mensajes-1"),
        (0.7, "rejoin mensajes-1-a"),
    ];
    let outcome = holds(&steps).await?;
    assert_eq!(outcome.report.failovers.len(), 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_far_behind_shows_nothing_stale() -> anyhow::Result<()> {
    let steps = [
        (0.1, "lag mensajes-1-b 2000"),
        (0.1, "lag mensajes-1-c 2000"),
    ];
    holds(&steps).await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn proxies_come_and_go_while_the_platform_is_away() -> anyhow::Result<()> {
    let steps = [
        (0.1, "platform down"),
        (0.2, "stop proxy 2"),
        (0.5, "start proxy 2"),
        (0.6, "kill proxy 1"),
        (0.8, "platform up"),
    ];
    let outcome = holds(&steps).await?;
    assert_eq!(outcome.history.planned_stops.len(), 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_cut_off_with_the_primary_loses_nothing() -> anyhow::Result<()> {
    holds(&[(0.2, "cut zone sj-sala-a"), (0.6, "heal zone sj-sala-a")]).await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_cut_off_with_a_replica_loses_nothing() -> anyhow::Result<()> {
    holds(&[(0.2, "cut zone al-sala-b"), (0.6, "heal zone al-sala-b")]).await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_primary_that_wakes_up_loses_nothing() -> anyhow::Result<()> {
    let steps = [
        (0.2, "pause primary mensajes-1"),
        (0.6, "resume mensajes-1-a"),
    ];
    holds(&steps).await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_change_of_primary_loses_nothing() -> anyhow::Result<()> {
    holds(&[(0.3, "switchover mensajes-1 mensajes-1-b")]).await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_bundle_comes_into_force_under_load() -> anyhow::Result<()> {
    let outcome = holds(&[(0.3, "roll"), (0.6, "roll")]).await?;
    assert!(outcome.report.bundle_in_force_ms.is_some());
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn without_evidence_a_cut_off_primary_loses_writes() -> anyhow::Result<()> {
    let steps = [
        (0.2, "isolate primary mensajes-1"),
        (0.7, "rejoin mensajes-1-a"),
    ];
    let mut settings = settings(running::small(), &steps);
    settings.without = Some(Protection::Term);
    let outcome = demo::run(&settings).await?;
    let lost = |found: &Violation| matches!(found, Violation::WriteLost { .. });
    assert!(outcome.report.violations.iter().any(lost));
    Ok(())
}
