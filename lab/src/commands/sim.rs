//! The `hookpoint-lab sim` command: the simulator, its negative controls and the exhaustive
//! models.

use std::io::IsTerminal;
use std::num::NonZero;
use std::path::Path;
use std::process::ExitCode;

use anyhow::{Context, anyhow, bail};
use hookpoint_sim::models::acknowledge::AcknowledgeModel;
use hookpoint_sim::models::explore::{Exploration, explore};
use hookpoint_sim::models::rollout::RolloutModel;
use hookpoint_sim::{
    Mutation, RangeReport, SimDeployment, SimSettings, replay, run_range, search_mutation,
};

use crate::commands::write_json;
use crate::flags;

/// Default range of seeds.
const DEFAULT_SEEDS: &str = "1..101";
/// Maximum number of faults in a run, for `--faults all`.
const ALL_FAULTS: usize = 8;
/// Number of seeds between two updates of the progress.
const PROGRESS_STEP: u64 = 100;
/// Bounds of the acknowledge model: maximum depth in steps, and maximum number of states.
const ACKNOWLEDGE_BOUNDS: (usize, usize) = (60, 1_000_000);
/// Bounds of the rollout model: maximum depth in steps, and maximum number of states.
const ROLLOUT_BOUNDS: (usize, usize) = (8, 1_000_000);

/// Runs the simulations, replay, mutations or models that the arguments select. The exit
/// code is 1 if an invariant is violated, a replay differs or a mutation is not found.
///
/// # Errors
/// Fails if the arguments are invalid, or a file cannot be read or written.
pub fn sim(arguments: flags::Sim) -> anyhow::Result<ExitCode> {
    let report = arguments.report.clone();
    let report = report.as_deref();
    if arguments.models {
        return run_models();
    }
    let settings = settings_of(&arguments)?;
    if let Some(file) = &arguments.replay {
        return run_replay(file);
    }
    let (first, count) = seeds_of(arguments.seeds.as_deref().unwrap_or(DEFAULT_SEEDS))?;
    let threads = arguments.threads.unwrap_or_else(processors);
    if arguments.mutations {
        return run_mutations(&settings, (first, count), threads, report);
    }
    let result = run_range(&settings, first, count, threads, show_progress(count));
    print_range(&result);
    if let Some(path) = report {
        write_json(path, &result)?;
    }
    Ok(code_of(result.failures.is_empty()))
}

fn settings_of(arguments: &flags::Sim) -> anyhow::Result<SimSettings> {
    let deployment = match arguments.deployment.as_deref() {
        None | Some("costa-rica") => SimDeployment::CostaRica,
        Some("greece") => SimDeployment::Greece,
        Some(other) => bail!("unknown deployment {other}; known are costa-rica and greece"),
    };
    let faults = match arguments.faults.as_deref() {
        None | Some("all") => ALL_FAULTS,
        Some("none") => 0,
        Some(number) => number
            .parse()
            .with_context(|| format!("{number} is neither all, none nor a number of faults"))?,
    };
    let mutation = arguments.mutation.as_deref().map(mutation_of).transpose()?;
    Ok(SimSettings {
        faults,
        mutation,
        ..SimSettings::standard(deployment)
    })
}

fn mutation_of(name: &str) -> anyhow::Result<Mutation> {
    serde_json::from_value(serde_json::Value::from(name))
        .with_context(|| format!("unknown mutation {name}"))
}

/// Parses `A..B`, B excluded, into the first seed and the number of seeds.
fn seeds_of(text: &str) -> anyhow::Result<(u64, u64)> {
    let invalid = || anyhow!("{text} is not a range of seeds such as 1..101");
    let (first, end) = text.split_once("..").ok_or_else(invalid)?;
    let first: u64 = first.parse().map_err(|_| invalid())?;
    let end: u64 = end.parse().map_err(|_| invalid())?;
    let count = end.checked_sub(first).filter(|count| *count > 0);
    Ok((first, count.ok_or_else(invalid)?))
}

fn processors() -> usize {
    std::thread::available_parallelism().map_or(1, NonZero::get)
}

fn code_of(passed: bool) -> ExitCode {
    if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn show_progress(count: u64) -> impl Fn(u64) + Sync {
    let terminal = std::io::stderr().is_terminal();
    move |done| {
        if terminal && (done.is_multiple_of(PROGRESS_STEP) || done == count) {
            eprint!("\r{done} of {count} seeds");
        }
    }
}

fn print_range(result: &RangeReport) {
    let counts = result.counts;
    println!(
        "{} seeds from {}: {} with a violation",
        result.seeds,
        result.first_seed,
        result.failures.len()
    );
    println!(
        "{} requests, {} acknowledged writes, {} reads ({} by replicas), {} not run, {} unknown, \
         {} cut off with their session, {} elections, {} events",
        counts.requests,
        counts.acknowledged,
        counts.reads,
        counts.replica_reads,
        counts.not_run,
        counts.unknown,
        counts.interrupted,
        counts.elections,
        counts.events
    );
    for failure in &result.failures {
        println!("seed {} (trace {:016x}):", failure.seed, failure.trace);
        for fault in &failure.faults {
            println!("  fault {fault:?}");
        }
        for violation in &failure.violations {
            let (invariant, at) = (violation.invariant, violation.at_us);
            println!("  {invariant:?} at {at} us: {}", violation.detail);
        }
    }
}

/// Reruns the failures of an earlier report with the same seeds and faults, and compares
/// the results.
fn run_replay(file: &Path) -> anyhow::Result<ExitCode> {
    let text = std::fs::read_to_string(file)
        .with_context(|| format!("{} cannot be read", file.display()))?;
    let range: RangeReport = serde_json::from_str(&text)
        .with_context(|| format!("{} is not a report of this command", file.display()))?;
    let mut same = true;
    for failure in &range.failures {
        let again = replay(&range.settings, failure.seed, &failure.faults);
        let equal = again == *failure;
        same &= equal;
        let verdict = if equal { "replays" } else { "DIFFERS" };
        println!(
            "seed {} {verdict}, trace {:016x}",
            failure.seed, again.trace
        );
        for decision in &again.decisions {
            println!("  {decision}");
        }
    }
    Ok(code_of(same))
}

fn run_mutations(
    settings: &SimSettings,
    (first, count): (u64, u64),
    threads: usize,
    report: Option<&Path>,
) -> anyhow::Result<ExitCode> {
    let mut results = Vec::new();
    println!(
        "{:<24} {:>10} {:>10}  invariants",
        "mutation", "found in", "found by"
    );
    for mutation in Mutation::ALL {
        let result = search_mutation(settings, mutation, first, count, threads);
        let found = result
            .seeds_to_find
            .map_or("-".to_owned(), |n| n.to_string());
        println!(
            "{:<24} {found:>10} {:>10}  {:?}",
            format!("{mutation:?}"),
            result.found_by,
            result.invariants
        );
        results.push(result);
    }
    if let Some(path) = report {
        write_json(path, &results)?;
    }
    Ok(code_of(results.iter().all(|result| result.found_by > 0)))
}

fn run_models() -> anyhow::Result<ExitCode> {
    let (depth, states) = ACKNOWLEDGE_BOUNDS;
    let acknowledge = explore(&AcknowledgeModel::default(), depth, states);
    let (depth, states) = ROLLOUT_BOUNDS;
    let rollout = explore(&RolloutModel::default(), depth, states);
    let results = [("acknowledge", acknowledge), ("rollout", rollout)];
    for (name, result) in &results {
        print_exploration(name, result);
    }
    let passed = results
        .iter()
        .all(|(_, result)| result.counterexample.is_none());
    Ok(code_of(passed))
}

fn print_exploration(name: &str, result: &Exploration) {
    let extent = if result.complete { "all" } else { "bounded" };
    println!(
        "{name}: {} states ({extent}), depth {}",
        result.states, result.depth
    );
    if let Some(found) = &result.counterexample {
        println!("  {}", found.detail);
        for step in &found.steps {
            println!("  {step}");
        }
    }
}
