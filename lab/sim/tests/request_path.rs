//! The request path in the simulator: runs replay exactly, invariants hold, and the checker
//! detects every deliberate defect.

use hookpoint_sim::{
    Invariant, Mutation, SimDeployment, SimSettings, replay, run_range, run_seed, search_mutation,
};

const THREADS: usize = 4;
/// Number of seeds within which each mutation must be detected.
const MAX_SEARCH_SEEDS: u64 = 60;

/// Settings of a run that an unoptimised build completes in a fraction of a second.
fn small(deployment: SimDeployment) -> SimSettings {
    SimSettings {
        sessions_per_group: 24,
        load_ms: 6_000,
        think_ms: 250,
        ..SimSettings::standard(deployment)
    }
}

#[test]
fn a_seed_replays_event_by_event() {
    for deployment in [SimDeployment::CostaRica, SimDeployment::Greece] {
        let settings = small(deployment);
        let first = run_seed(&settings, 7);
        let again = run_seed(&settings, 7);
        assert_eq!(first, again);
        assert!(first.counts.events > 5_000, "{:?}", first.counts);
        assert_ne!(first.trace, run_seed(&settings, 8).trace);
        assert_eq!(replay(&settings, 7, &first.faults).trace, first.trace);
    }
}

#[test]
fn no_seed_breaks_an_invariant() {
    for deployment in [SimDeployment::CostaRica, SimDeployment::Greece] {
        let report = run_range(&small(deployment), 1, 24, THREADS, |_| {});
        assert!(report.failures.is_empty(), "{:#?}", report.failures);
        assert!(report.counts.acknowledged > 1_000, "{:?}", report.counts);
        assert!(report.counts.replica_reads > 1_000, "{:?}", report.counts);
        assert!(report.counts.elections > 24, "{:?}", report.counts);
    }
}

#[test]
fn the_report_does_not_depend_on_the_number_of_threads() {
    let settings = SimSettings {
        mutation: Some(Mutation::FalseNotRun),
        shrink: false,
        ..small(SimDeployment::CostaRica)
    };
    let one = run_range(&settings, 1, 6, 1, |_| {});
    let many = run_range(&settings, 1, 6, THREADS, |_| {});
    assert_eq!(one.counts, many.counts);
    assert_eq!(one.failures, many.failures);
}

#[test]
fn a_run_without_faults_serves_every_request() {
    let settings = SimSettings {
        faults: 0,
        ..small(SimDeployment::Greece)
    };
    let report = run_seed(&settings, 1);
    assert!(report.violations.is_empty(), "{report:#?}");
    let counts = report.counts;
    assert_eq!(
        (counts.not_run, counts.unknown, counts.interrupted),
        (0, 0, 0)
    );
}

#[test]
fn every_mutation_is_found() {
    let expected = [
        (Mutation::SkipPositionCheck, Invariant::OwnWritesVisible),
        (
            Mutation::SkipEvidence,
            Invariant::NoAcknowledgementByReplaced,
        ),
        (Mutation::EmptyToken, Invariant::OwnWritesVisible),
        (Mutation::SkipVerification, Invariant::OwnWritesVisible),
        (Mutation::DoubleGrant, Invariant::OwnAnswer),
        (Mutation::NoLedger, Invariant::AtMostOnce),
        (Mutation::FalseNotRun, Invariant::NotRunIsTrue),
        (Mutation::ReuseUndrained, Invariant::OwnAnswer),
        (
            Mutation::ReuseOpenTransaction,
            Invariant::TransactionsUnmixed,
        ),
        (Mutation::IgnoreDrain, Invariant::DrainHonoured),
        (Mutation::CutOnStop, Invariant::StopCutsNothing),
        (Mutation::AcceptOlderBundle, Invariant::BundleInForce),
        (Mutation::ResendUnknown, Invariant::AtMostOnce),
    ];
    assert_eq!(expected.len(), Mutation::ALL.len());
    let settings = small(SimDeployment::Greece);
    for (mutation, invariant) in expected {
        let mut found = false;
        for first in (1..=MAX_SEARCH_SEEDS).step_by(6) {
            let report = search_mutation(&settings, mutation, first, 6, THREADS);
            found |= report.invariants.contains_key(&invariant);
            if found {
                break;
            }
        }
        assert!(
            found,
            "{mutation:?} was not detected as a violation of {invariant:?}"
        );
    }
}

#[test]
fn a_failure_is_shrunk_to_faults_that_replay_it() {
    let settings = SimSettings {
        mutation: Some(Mutation::CutOnStop),
        ..small(SimDeployment::CostaRica)
    };
    let report = run_range(&settings, 1, 30, THREADS, |_| {});
    let failure = report.failures.first().expect("a planned stop in 30 seeds");
    assert_eq!(failure.faults.len(), 1, "{:?}", failure.faults);
    let again = replay(&settings, failure.seed, &failure.faults);
    assert_eq!(&again, failure);
}
