//! A replaced primary is used no more, in every state of a small model; each protection
//! taken out is noticed.

use hookpoint_sim::models::explore::{Exploration, Model, explore};
use hookpoint_sim::models::primary_lease::{Mutation, PrimaryLeaseModel, Step};

/// Steps explored: more than the counterexamples of the controls take.
const DEPTH: usize = 12;
/// States explored at the most.
const STATES: usize = 30_000;

fn explored(mutation: Option<Mutation>, taken_over: bool) -> Exploration {
    let model = PrimaryLeaseModel {
        mutation,
        taken_over,
    };
    explore(&model, DEPTH, STATES)
}

#[test]
fn nobody_uses_a_replaced_primary() {
    for taken_over in [false, true] {
        let result = explored(None, taken_over);
        assert_eq!(result.counterexample, None, "{result:#?}");
        assert!(result.states > 20_000, "{result:?}");
    }
}

#[test]
fn a_protection_taken_out_is_noticed() {
    let controls = [
        (Mutation::NoWaiting, false),
        (Mutation::NoPredecessor, false),
    ];
    for (mutation, taken_over) in controls {
        let result = explored(Some(mutation), taken_over);
        let reached = (result.states, result.depth);
        assert!(result.counterexample.is_some(), "{mutation:?}: {reached:?}");
    }
}

/// The nodes.
const FIRST: usize = 0;
const SECOND: usize = 1;
const THIRD: usize = 2;

fn exchange(node: usize) -> [Step; 3] {
    [Step::Ask(node), Step::Serve(node), Step::Take(node)]
}

/// The first node gets a lease by the third one's vote, which then acknowledges at once.
fn acknowledged_just_after_a_vote() -> Vec<Step> {
    let mut steps = Vec::new();
    for node in [THIRD, THIRD, FIRST, FIRST] {
        steps.extend(exchange(node));
    }
    steps.extend([
        Step::Announce,
        Step::Inform(SECOND),
        Step::Inform(THIRD),
        Step::Order,
    ]);
    steps
}

/// After the order the third node, which acknowledged, turns to the first one, which knows
/// nothing, and votes for it.
fn voted_after_the_order() -> Vec<Step> {
    let mut steps = vec![
        Step::Announce,
        Step::Inform(SECOND),
        Step::Inform(THIRD),
        Step::Order,
    ];
    for _ in 0..2 {
        steps.extend([Step::Ask(THIRD), Step::Tick]);
    }
    steps.extend(exchange(THIRD));
    steps.extend(exchange(THIRD));
    for _ in 0..2 {
        steps.extend([Step::Ask(FIRST), Step::Tick]);
        steps.extend(exchange(THIRD));
    }
    steps.extend(exchange(FIRST));
    steps.extend(exchange(FIRST));
    steps
}

/// Takes those of the steps that the model allows. Says whether a state was broken.
fn breaks(model: &PrimaryLeaseModel, steps: &[Step]) -> bool {
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
fn votes_bind_and_tell_of_announcements() {
    let controls = [
        (Mutation::VotesDoNotBind, acknowledged_just_after_a_vote()),
        (Mutation::VotesTellNothing, voted_after_the_order()),
    ];
    for (mutation, steps) in controls {
        for (mutation, broken) in [(None, false), (Some(mutation), true)] {
            let model = PrimaryLeaseModel {
                mutation,
                taken_over: true,
            };
            assert_eq!(breaks(&model, &steps), broken, "{mutation:?}");
        }
    }
}
