//! `hookpoint-lab demo`: runs a complete deployment with its workload and faults, and
//! checks the history.

pub mod baseline;
pub mod report;
pub mod sessions;
pub mod timeline;

use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, anyhow};
use hookpoint_coordination::request::SafetyChecks;
use hookpoint_state::GroupName;
use hookpoint_workload::audit::final_state;
use hookpoint_workload::checker::check;
use hookpoint_workload::deployment::Deployment;
use hookpoint_workload::failover::{FailoverGap, PrimaryChange, failover_gap};
use hookpoint_workload::history::{FinalState, History, PlannedStop, ProxyIndex, Record, Recorder};
use parking_lot::{Mutex, RwLock};
use tokio::task::JoinSet;

use crate::demo::baseline::{Baseline, BaselineAddresses};
use crate::demo::report::{DemoReport, Measurements, RunIdentity};
use crate::demo::sessions::{SessionPlan, caller_credentials};
use crate::demo::timeline::{Step, TimedStep, timeline};
use crate::fault::Fault;
use crate::fleet::direct_link;
use crate::laboratory::{Laboratory, LaboratoryOptions};
use crate::stack::{DatabaseOptions, database_credentials};

/// Number of measured rounds of the baseline.
const BASELINE_ROUNDS: u64 = 60;
/// Index of the zone of the baseline's clients.
const BASELINE_ZONE: usize = 0;
/// Timeout for sessions to end.
const FINISH_TIMEOUT: Duration = Duration::from_secs(40);
/// Timeout for a group to have a primary before the audit.
const PRIMARY_TIMEOUT: Duration = Duration::from_secs(20);
/// Polling interval.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for groups to stabilize between the end of all faults and the audit.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Settings of a demo.
#[derive(Clone, Debug)]
pub struct DemoSettings {
    /// Deployment to run.
    pub deployment: Arc<Deployment>,
    /// Duration of the workload.
    pub length: Duration,
    /// Seed of all randomness.
    pub seed: u64,
    /// Number of sessions per database.
    pub clients_per_database: usize,
    /// Replay lag of replicas; `None` uses the deployment's lag.
    pub replica_lag: Option<Duration>,
    /// Schedule of faults and rolls.
    pub schedule: Schedule,
    /// Whether the proxy's added latency is measured before the workload.
    pub baseline: bool,
    /// Protection to disable as a negative control.
    pub without: Option<Protection>,
}

/// Schedule of faults and rolls in a run.
#[derive(Clone, Debug, PartialEq)]
pub enum Schedule {
    /// No steps.
    Empty,
    /// The steps of [`timeline()`], which need three groups and three proxies.
    Timeline,
    /// The given steps, in the order of time.
    Steps(Vec<TimedStep>),
}

/// A safety check that a negative control disables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protection {
    /// The check that the database of a read has replayed the position that the session
    /// requires.
    Check,
    /// The evidence that a majority holds a commit on the same term, required before it is
    /// acknowledged.
    Term,
    /// The ledger of requests that must not run twice.
    Guard,
}

impl Protection {
    /// Returns the protection of that name, as given on the command line.
    pub fn by_name(name: &str) -> Option<Self> {
        match name {
            "check" => Some(Protection::Check),
            "term" => Some(Protection::Term),
            "guard" => Some(Protection::Guard),
            _ => None,
        }
    }
}

fn checks_without(protection: Option<Protection>) -> SafetyChecks {
    SafetyChecks {
        position: protection != Some(Protection::Check),
        majority: protection != Some(Protection::Term),
        ledger: protection != Some(Protection::Guard),
    }
}

/// Result of a demo.
pub struct DemoOutcome {
    /// Report of the run.
    pub report: DemoReport,
    /// History that the report was computed from.
    pub history: History,
}

/// Results of the steps that are not part of the history.
#[derive(Default)]
struct StepResults {
    planned_stops: Vec<PlannedStop>,
    bundle_in_force: Vec<Duration>,
}

/// Runs a demo and checks its history.
///
/// # Errors
/// Fails if a component does not start or the final state cannot be read. Violations are
/// not errors; the report lists them.
pub async fn run(settings: &DemoSettings) -> anyhow::Result<DemoOutcome> {
    let options = LaboratoryOptions {
        databases: DatabaseOptions {
            seed: settings.seed,
            replica_lag: settings.replica_lag,
            ..DatabaseOptions::default()
        },
        proxies: None,
        checks: checks_without(settings.without),
    };
    print_progress("starting stand-ins and proxies");
    let laboratory = Laboratory::start(settings.deployment.clone(), options).await?;
    let laboratory = Arc::new(laboratory);
    let baseline = match settings.baseline {
        true => measure_baseline(&laboratory).await?,
        false => Baseline::default(),
    };
    let recorder = Recorder::new();
    let plan = SessionPlan {
        deployment: &settings.deployment,
        proxies: Arc::new(RwLock::new(laboratory.fleet.entries())),
        clients_per_database: settings.clients_per_database,
        seed: settings.seed,
        recorder: recorder.clone(),
    };
    let sessions = plan.start();
    let count = sessions.count;
    print_progress(&format!(
        "{count} sessions for {:.0} s",
        settings.length.as_secs_f64()
    ));
    let step_results = run_schedule(settings, &laboratory, &recorder).await;
    print_progress("waiting for the sessions to finish");
    let unfinished = sessions.finish(FINISH_TIMEOUT).await;
    if unfinished > 0 {
        print_progress(&format!("{unfinished} sessions did not end in time"));
    }
    let records = recorder.snapshot();
    let failovers = failovers(&laboratory, &recorder, &records);
    let step_results = step_results?;
    let history = History {
        records,
        planned_stops: step_results.planned_stops,
        final_states: audit(&laboratory).await?,
    };
    let findings = check(&history);
    let identity = RunIdentity {
        deployment: settings.deployment.name.to_owned(),
        seed: settings.seed,
        seconds: settings.length.as_secs_f64(),
        sessions: count,
        without: settings
            .without
            .map(|protection| format!("{protection:?}").to_lowercase()),
    };
    let slowest = step_results.bundle_in_force.iter().max();
    let measurements = Measurements {
        baseline,
        failovers,
        bundle_in_force_ms: slowest.map(|slowest| slowest.as_secs_f64() * 1_000.0),
        database_round_trip_ms: round_trip_ms(&settings.deployment),
    };
    let report = DemoReport::new(identity, &history.records, &findings, measurements)?;
    Ok(DemoOutcome { report, history })
}

/// Runs the scheduled steps at their times, until the workload's duration is over and all
/// steps have ended.
async fn run_schedule(
    settings: &DemoSettings,
    laboratory: &Arc<Laboratory>,
    recorder: &Recorder,
) -> anyhow::Result<StepResults> {
    let begin = Instant::now();
    let steps = match &settings.schedule {
        Schedule::Empty => Vec::new(),
        Schedule::Timeline => timeline(&laboratory.stack),
        Schedule::Steps(steps) => steps.clone(),
    };
    let step_results = Arc::new(Mutex::new(StepResults::default()));
    let mut running = JoinSet::new();
    for TimedStep { at, step } in steps {
        let due = begin + settings.length.mul_f64(at);
        tokio::time::sleep_until(due.into()).await;
        let requests = recorder.len();
        print_progress(&format!(
            "{:5.1} s, {requests} requests: {}",
            begin.elapsed().as_secs_f64(),
            describe(&step)
        ));
        let (laboratory, recorder) = (laboratory.clone(), recorder.clone());
        let step_results = step_results.clone();
        running.spawn(async move { run_step(&laboratory, &recorder, step, &step_results).await });
    }
    tokio::time::sleep_until((begin + settings.length).into()).await;
    while let Some(ended) = running.join_next().await {
        ended.context("a task of the schedule panicked")??;
    }
    let step_results = std::mem::take(&mut *step_results.lock());
    Ok(step_results)
}

async fn run_step(
    laboratory: &Laboratory,
    recorder: &Recorder,
    step: Step,
    step_results: &Mutex<StepResults>,
) -> anyhow::Result<()> {
    match step {
        Step::Roll => {
            let (version, took) = laboratory.roll("rolled during the run").await?;
            step_results.lock().bundle_in_force.push(took);
            print_progress(&format!(
                "bundle {} was in force on every proxy after {:.0} ms",
                version.0,
                took.as_secs_f64() * 1_000.0
            ));
        }
        Step::Inject(fault) => {
            let from = recorder.now();
            laboratory
                .inject(&fault)
                .await
                .with_context(|| format!("fault {fault:?}"))?;
            if let Fault::StopProxy(index) = fault {
                let to = recorder.now();
                print_progress(&format!(
                    "proxy {index} stopped after {} ms",
                    (to - from) / 1_000
                ));
                step_results.lock().planned_stops.push(PlannedStop {
                    proxy: ProxyIndex(index),
                    from,
                    to,
                });
            }
        }
    }
    Ok(())
}

async fn measure_baseline(laboratory: &Laboratory) -> anyhow::Result<Baseline> {
    print_progress("measuring the latency that a proxy adds");
    let deployment = &laboratory.stack.deployment;
    let group = deployment.groups[0].name.clone();
    let running = laboratory.stack.databases.group(&group);
    let running = running.ok_or_else(|| anyhow!("group {group} does not exist"))?;
    let (_, primary_zone, primary) = running
        .primary()
        .ok_or_else(|| anyhow!("group {group} has no primary"))?;
    let zone = &deployment.zones[BASELINE_ZONE].zone;
    let nearest = running.databases.iter().find(|(_, other)| other == zone);
    let (nearest, nearest_zone) = nearest.ok_or_else(|| anyhow!("no database in {zone}"))?;
    let nearest = (nearest_zone, running.group.address(nearest.as_str()));
    let links = &laboratory.stack.links;
    let (direct_read, _read_relays) = direct_link(links, deployment, BASELINE_ZONE, nearest)?;
    let primary = (&primary_zone, primary);
    let (direct_write, _write_relays) = direct_link(links, deployment, BASELINE_ZONE, primary)?;
    let addresses = BaselineAddresses {
        direct_read,
        direct_write,
        proxied: laboratory.fleet.entries()[BASELINE_ZONE],
    };
    baseline::measure(
        &addresses,
        &database_credentials(&group),
        &caller_credentials(&group, 0),
        deployment.application,
        BASELINE_ROUNDS,
    )
    .await
}

fn failovers(laboratory: &Laboratory, recorder: &Recorder, records: &[Record]) -> Vec<FailoverGap> {
    let origin = recorder.instant(0);
    let micros = |at: Instant| at.saturating_duration_since(origin).as_micros() as u64;
    let mut gaps = Vec::new();
    for (group, running) in laboratory.stack.databases.iter() {
        for election in running.group.elections() {
            let Some(lost) = election.old_primary_lost_at else {
                continue;
            };
            let change = PrimaryChange {
                group: group.clone(),
                lost: micros(lost),
                elected: micros(election.at),
            };
            gaps.extend(failover_gap(records, &change));
        }
    }
    gaps
}

/// Ends all faults, stops the proxies and reads the final state of each group from its
/// primary.
async fn audit(
    laboratory: &Laboratory,
) -> anyhow::Result<std::collections::BTreeMap<GroupName, FinalState>> {
    print_progress("ending all faults and reading the primaries");
    laboratory.inject(&Fault::Heal).await?;
    for index in 0..laboratory.fleet.entries().len() {
        // The slot may be empty after the schedule.
        let _ = laboratory.fleet.stop_proxy(index).await;
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let application = laboratory.stack.deployment.application;
    let mut states = std::collections::BTreeMap::new();
    for (group, running) in laboratory.stack.databases.iter() {
        let begin = Instant::now();
        let primary = loop {
            if let Some((_, _, address)) = running.primary() {
                break address;
            }
            if begin.elapsed() > PRIMARY_TIMEOUT {
                return Err(anyhow!("group {group} has no primary to audit"));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        };
        let credentials = database_credentials(group);
        let state = final_state(primary, &credentials, application)
            .await
            .with_context(|| format!("group {group}"))?;
        states.insert(group.clone(), state);
    }
    Ok(states)
}

fn round_trip_ms(deployment: &Deployment) -> f64 {
    let zones = &deployment.zones;
    let one_way = deployment.latency(&zones[0].zone, &zones[1].zone);
    one_way.as_secs_f64() * 2_000.0
}

fn describe(step: &Step) -> String {
    match step {
        Step::Roll => "a bundle is rolled".to_owned(),
        Step::Inject(fault) => format!("{fault:?}"),
    }
}

fn print_progress(text: &str) {
    eprintln!("demo: {text}.");
}
