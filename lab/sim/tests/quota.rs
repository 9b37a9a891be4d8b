//! A tenant's limit holds in every state of a small model; each protection taken out is
//! noticed.

use hookpoint_sim::models::explore::{Exploration, Model, explore};
use hookpoint_sim::models::quota::{Mutation, QuotaModel, Step};

/// Steps explored.
const DEPTH: usize = 14;
/// States explored at the most.
const STATES: usize = 150_000;

fn explored(mutation: Option<Mutation>) -> Exploration {
    explore(&QuotaModel { mutation }, DEPTH, STATES)
}

#[test]
fn no_window_holds_more_than_is_allowed() {
    let result = explored(None);
    assert_eq!(result.counterexample, None, "{result:#?}");
    assert!(result.states > 100_000, "{result:?}");
}

#[test]
fn holders_that_grant_the_whole_limit_are_noticed() {
    let result = explored(Some(Mutation::Undivided));
    assert!(result.counterexample.is_some(), "{:?}", result.states);
}

/// Both holders are asked, and what they grant is used, each time they are there again.
fn asked_after_each_restart() -> Vec<Step> {
    let mut steps = Vec::new();
    for _ in 0..3 {
        steps.extend([Step::Ask(0), Step::Ask(1), Step::Use]);
        steps.extend([Step::Kill(0), Step::Kill(1), Step::Tick, Step::Tick]);
        steps.extend([Step::Start(0), Step::Start(1)]);
    }
    steps
}

/// Tokens are asked for all the time, and used at the end.
fn hoarded() -> Vec<Step> {
    let mut steps = Vec::new();
    for _ in 0..12 {
        steps.extend([Step::Ask(0), Step::Ask(1), Step::Tick]);
    }
    steps.push(Step::Use);
    steps
}

/// Takes those of the steps that the model allows. Says whether a state was broken.
fn breaks(model: &QuotaModel, steps: &[Step]) -> bool {
    let mut state = model.initial();
    let mut broken = false;
    for step in steps {
        if model.steps(&state).contains(step) {
            model.apply(&mut state, step);
            broken |= model.broken(&state).is_some();
        }
    }
    broken
}

/// Ways too long for the exploration.
#[test]
fn tokens_that_stay_and_buckets_that_begin_full_are_noticed() {
    let controls = [
        (Mutation::TokensStay, hoarded()),
        (Mutation::BeginsFull, asked_after_each_restart()),
    ];
    for (mutation, steps) in controls {
        for (mutation, broken) in [(None, false), (Some(mutation), true)] {
            let model = QuotaModel { mutation };
            assert_eq!(breaks(&model, &steps), broken, "{mutation:?}");
        }
    }
}
