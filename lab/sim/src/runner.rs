//! Runs single seeds and ranges of seeds, and shrinks failing runs.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::faults::{self, Fault};
use crate::report::{Counts, Invariant, MutationReport, RangeReport, SimReport};
use crate::settings::{Mutation, SimSettings};
use crate::world::World;

/// XORed into the seed of the fault schedule, so that its random numbers differ from those of
/// the run.
const FAULT_SEED_MASK: u64 = 0x6661_756c_7473;

/// Runs one seed with the faults drawn from it. A failing run is shrunk if the settings ask
/// for it.
pub fn run_seed(settings: &SimSettings, seed: u64) -> SimReport {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ FAULT_SEED_MASK);
    let faults = faults::draw(settings, &mut random);
    let report = replay(settings, seed, &faults);
    match report.violations.first() {
        Some(violation) if settings.shrink => shrink(settings, &report, violation.invariant),
        _ => report,
    }
}

/// Runs one seed with exactly the given faults.
pub fn replay(settings: &SimSettings, seed: u64, faults: &[Fault]) -> SimReport {
    let result = World::new(settings, seed, faults.to_vec()).run();
    SimReport {
        seed,
        trace: result.trace,
        counts: result.counts,
        violations: result.violations,
        faults: faults.to_vec(),
        decisions: result.decisions,
    }
}

/// Removes faults one at a time as long as the same invariant is still violated.
fn shrink(settings: &SimSettings, failure: &SimReport, invariant: Invariant) -> SimReport {
    let mut smallest = failure.clone();
    let mut index = 0;
    while index < smallest.faults.len() {
        let mut fewer = smallest.faults.clone();
        fewer.remove(index);
        let report = replay(settings, failure.seed, &fewer);
        let same = |violation: &crate::Violation| violation.invariant == invariant;
        if report.violations.iter().any(same) {
            smallest = report;
            index = 0;
        } else {
            index += 1;
        }
    }
    smallest
}

/// Runs `seeds` consecutive seeds, starting with `first`, on up to `threads` threads. The
/// report does not depend on the number of threads. `progress` is called with the number of
/// seeds done so far.
pub fn run_range(
    settings: &SimSettings,
    first: u64,
    seeds: u64,
    threads: usize,
    progress: impl Fn(u64) + Sync,
) -> RangeReport {
    let next = AtomicU64::new(0);
    let done = AtomicU64::new(0);
    let results = Mutex::new((Counts::default(), Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| {
                loop {
                    let offset = next.fetch_add(1, Ordering::Relaxed);
                    if offset >= seeds {
                        return;
                    }
                    let report = run_seed(settings, first + offset);
                    let mut results = lock(&results);
                    results.0.add(&report.counts);
                    if !report.violations.is_empty() {
                        results.1.push(report);
                    }
                    drop(results);
                    progress(done.fetch_add(1, Ordering::Relaxed) + 1);
                }
            });
        }
    });
    let (counts, mut failures) = results
        .into_inner()
        .unwrap_or_else(|error| error.into_inner());
    failures.sort_by_key(|report| report.seed);
    RangeReport {
        settings: settings.clone(),
        first_seed: first,
        seeds,
        counts,
        failures,
    }
}

/// Runs `seeds` consecutive seeds, starting with `first`, with `mutation` switched on and
/// reports which of them detect it.
pub fn search_mutation(
    settings: &SimSettings,
    mutation: Mutation,
    first: u64,
    seeds: u64,
    threads: usize,
) -> MutationReport {
    let settings = SimSettings {
        mutation: Some(mutation),
        shrink: false,
        ..settings.clone()
    };
    let range = run_range(&settings, first, seeds, threads, |_| {});
    let mut invariants = BTreeMap::new();
    for violation in range
        .failures
        .iter()
        .filter_map(|report| report.violations.first())
    {
        *invariants.entry(violation.invariant).or_default() += 1;
    }
    MutationReport {
        mutation,
        seeds_to_find: range.failures.first().map(|report| report.seed - first + 1),
        found_by: range.failures.len() as u64,
        seeds,
        invariants,
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
