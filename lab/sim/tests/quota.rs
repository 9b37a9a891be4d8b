//! A tenant's limit holds in every explored state of the quota model, and removing any of its
//! protections is detected.

use hookpoint_sim::models::explore::{Exploration, Model, explore};
use hookpoint_sim::models::quota::{Mutation, QuotaModel, Step};

/// Maximum number of steps explored.
const DEPTH: usize = 14;
/// Maximum number of states explored.
const STATES: usize = 150_000;

fn explored(mutation: Option<Mutation>) -> Exploration {
    explore(&QuotaModel { mutation }, DEPTH, STATES)
}

#[test]
fn no_window_exceeds_the_limit() {
    let result = explored(None);
    assert_eq!(result.counterexample, None, "{result:#?}");
    assert!(result.states > 100_000, "{result:?}");
}

#[test]
fn holders_that_grant_the_whole_limit_are_detected() {
    let result = explored(Some(Mutation::WholeLimitPerHolder));
    assert!(result.counterexample.is_some(), "{:?}", result.states);
}

/// After each restart both holders grant tokens, which are used at once.
fn used_after_each_restart() -> Vec<Step> {
    let mut steps = Vec::new();
    for _ in 0..3 {
        steps.extend([
            Step::RequestToken(0),
            Step::RequestToken(1),
            Step::UseTokens,
        ]);
        steps.extend([Step::Kill(0), Step::Kill(1), Step::Tick, Step::Tick]);
        steps.extend([Step::Start(0), Step::Start(1)]);
    }
    steps
}

/// Tokens are requested throughout and all used at the end.
fn all_used_at_the_end() -> Vec<Step> {
    let mut steps = Vec::new();
    for _ in 0..12 {
        steps.extend([Step::RequestToken(0), Step::RequestToken(1), Step::Tick]);
    }
    steps.push(Step::UseTokens);
    steps
}

/// Applies those of the steps that the model allows. Returns whether a state violated the
/// invariant.
fn violates(model: &QuotaModel, steps: &[Step]) -> bool {
    let mut state = model.initial();
    let mut violated = false;
    for step in steps {
        if model.steps(&state).contains(step) {
            model.apply(&mut state, step);
            violated |= model.violation(&state).is_some();
        }
    }
    violated
}

/// Checks fixed paths that are too long for the exploration.
#[test]
fn tokens_that_never_expire_and_new_buckets_that_are_full_are_detected() {
    let controls = [
        (Mutation::TokensNeverExpire, all_used_at_the_end()),
        (Mutation::NewBucketFull, used_after_each_restart()),
    ];
    for (mutation, steps) in controls {
        for (mutation, violated) in [(None, false), (Some(mutation), true)] {
            let model = QuotaModel { mutation };
            assert_eq!(violates(&model, &steps), violated, "{mutation:?}");
        }
    }
}
