//! `hookpoint-lab demo`: a whole deployment with its workload and faults.

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

/// Turns of the baseline, each way.
const BASELINE_TURNS: u64 = 60;
/// Zone of the baseline's client.
const BASELINE_ZONE: usize = 0;
/// Longest wait for sessions to end.
const FINISH_LIMIT: Duration = Duration::from_secs(40);
/// Longest wait for a primary before the audit.
const PRIMARY_WAIT: Duration = Duration::from_secs(20);
/// Pause between two looks.
const POLL_PAUSE: Duration = Duration::from_millis(20);
/// Time for healed groups to settle before the audit.
const SETTLE: Duration = Duration::from_secs(1);

/// What a demo is run with.
#[derive(Clone, Debug)]
pub struct DemoSettings {
    /// Deployment.
    pub deployment: Arc<Deployment>,
    /// Length of the workload.
    pub length: Duration,
    /// Seed of all chance.
    pub seed: u64,
    /// Sessions for each database.
    pub clients_per_database: usize,
    /// How far replicas run behind, if not as the deployment says.
    pub replica_lag: Option<Duration>,
    /// What goes wrong, and when.
    pub script: Script,
    /// Whether added latency is measured first.
    pub baseline: bool,
    /// A protection to switch off, as a negative control.
    pub without: Option<Protection>,
}

/// What goes wrong in a run.
#[derive(Clone, Debug, PartialEq)]
pub enum Script {
    /// Nothing.
    Calm,
    /// The demo's own timeline, on three groups and three proxies.
    Full,
    /// These steps.
    Steps(Vec<TimedStep>),
}

/// What a negative control switches off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protection {
    /// The check that a read's database holds what the session requires.
    Check,
    /// The evidence of a majority, on the same term, behind a commit.
    Term,
    /// The ledger of requests that are not repeatable.
    Guard,
}

impl Protection {
    /// The protection of that name.
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

/// What a demo leaves.
pub struct DemoOutcome {
    /// The report.
    pub report: DemoReport,
    /// The history it was made from.
    pub history: History,
}

/// What the timeline leaves besides the history.
#[derive(Default)]
struct Notes {
    planned_stops: Vec<PlannedStop>,
    bundle_in_force: Vec<Duration>,
}

/// Runs a demo.
///
/// # Errors
/// When a part does not start or the final state cannot be read. Violations are no
/// errors; the report tells them.
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
    say("starting stand-ins and proxies");
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
    say(&format!(
        "{count} sessions for {:.0} s",
        settings.length.as_secs_f64()
    ));
    let notes = play(settings, &laboratory, &recorder).await;
    say("letting the sessions finish");
    let left = sessions.finish(FINISH_LIMIT).await;
    if left > 0 {
        say(&format!("{left} sessions did not end in time"));
    }
    let records = recorder.snapshot();
    let failovers = failovers(&laboratory, &recorder, &records);
    let notes = notes?;
    let history = History {
        records,
        planned_stops: notes.planned_stops,
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
            .map(|check| format!("{check:?}").to_lowercase()),
    };
    let slowest = notes.bundle_in_force.iter().max();
    let measurements = Measurements {
        baseline,
        failovers,
        bundle_in_force_ms: slowest.map(|slowest| slowest.as_secs_f64() * 1_000.0),
        database_round_trip_ms: round_trip_ms(&settings.deployment),
    };
    let report = DemoReport::new(identity, &history.records, &findings, measurements)?;
    Ok(DemoOutcome { report, history })
}

/// Lets the time pass, with its faults.
async fn play(
    settings: &DemoSettings,
    laboratory: &Arc<Laboratory>,
    recorder: &Recorder,
) -> anyhow::Result<Notes> {
    let begin = Instant::now();
    let steps = match &settings.script {
        Script::Calm => Vec::new(),
        Script::Full => timeline(&laboratory.stack),
        Script::Steps(steps) => steps.clone(),
    };
    let notes = Arc::new(Mutex::new(Notes::default()));
    let mut running = JoinSet::new();
    for TimedStep { at, step } in steps {
        let due = begin + settings.length.mul_f64(at);
        tokio::time::sleep_until(due.into()).await;
        let requests = recorder.len();
        say(&format!(
            "{:5.1} s, {requests} requests: {}",
            begin.elapsed().as_secs_f64(),
            describe(&step)
        ));
        let (laboratory, recorder) = (laboratory.clone(), recorder.clone());
        let notes = notes.clone();
        running.spawn(async move { take(&laboratory, &recorder, step, &notes).await });
    }
    tokio::time::sleep_until((begin + settings.length).into()).await;
    while let Some(ended) = running.join_next().await {
        ended.context("a step of the timeline broke")??;
    }
    let notes = std::mem::take(&mut *notes.lock());
    Ok(notes)
}

async fn take(
    laboratory: &Laboratory,
    recorder: &Recorder,
    step: Step,
    notes: &Mutex<Notes>,
) -> anyhow::Result<()> {
    match step {
        Step::Roll => {
            let (version, took) = laboratory.roll("rolled during the run").await?;
            notes.lock().bundle_in_force.push(took);
            say(&format!(
                "bundle {} was in force everywhere after {:.0} ms",
                version.0,
                took.as_secs_f64() * 1_000.0
            ));
        }
        Step::Strike(fault) => {
            let from = recorder.now();
            laboratory
                .strike(&fault)
                .await
                .with_context(|| format!("fault {fault:?}"))?;
            if let Fault::StopProxy(index) = fault {
                let to = recorder.now();
                say(&format!(
                    "proxy {index} stopped after {} ms",
                    (to - from) / 1_000
                ));
                notes.lock().planned_stops.push(PlannedStop {
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
    say("measuring what a proxy adds");
    let deployment = &laboratory.stack.deployment;
    let group = deployment.groups[0].name.clone();
    let running = laboratory.stack.databases.group(&group);
    let running = running.ok_or_else(|| anyhow!("there is no group {group}"))?;
    let (_, primary_zone, primary) = running
        .primary()
        .ok_or_else(|| anyhow!("group {group} has no primary"))?;
    let zone = &deployment.zones[BASELINE_ZONE].zone;
    let near = running.databases.iter().find(|(_, other)| other == zone);
    let (near, near_zone) = near.ok_or_else(|| anyhow!("no database in {zone}"))?;
    let near = (near_zone, running.group.address(near.as_str()));
    let links = &laboratory.stack.links;
    let (direct_read, _read_relays) = direct_link(links, deployment, BASELINE_ZONE, near)?;
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
        BASELINE_TURNS,
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

/// Heals everything, stops the proxies and reads what the primaries hold.
async fn audit(
    laboratory: &Laboratory,
) -> anyhow::Result<std::collections::BTreeMap<GroupName, FinalState>> {
    say("healing everything and reading the primaries");
    laboratory.strike(&Fault::Heal).await?;
    for index in 0..laboratory.fleet.entries().len() {
        // A place may be empty after the timeline.
        let _ = laboratory.fleet.stop_proxy(index).await;
    }
    tokio::time::sleep(SETTLE).await;
    let application = laboratory.stack.deployment.application;
    let mut states = std::collections::BTreeMap::new();
    for (group, running) in laboratory.stack.databases.iter() {
        let begin = Instant::now();
        let primary = loop {
            if let Some((_, _, address)) = running.primary() {
                break address;
            }
            if begin.elapsed() > PRIMARY_WAIT {
                return Err(anyhow!("group {group} has no primary to audit"));
            }
            tokio::time::sleep(POLL_PAUSE).await;
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
        Step::Strike(fault) => format!("{fault:?}"),
    }
}

fn say(text: &str) {
    eprintln!("demo: {text}.");
}
