//! No explored state of the primary lease model uses a replaced primary, and removing any of its
//! protections is detected.

use hookpoint_sim::models::explore::{Exploration, Model, explore};
use hookpoint_sim::models::primary_lease::{Mutation, PrimaryLeaseModel, Step};

/// Maximum number of steps explored: more than the counterexamples of the controls need.
const DEPTH: usize = 12;
/// Maximum number of states explored.
const STATES: usize = 30_000;

fn explored(mutation: Option<Mutation>, taken_over: bool) -> Exploration {
    let model = PrimaryLeaseModel {
        mutation,
        taken_over,
    };
    explore(&model, DEPTH, STATES)
}

#[test]
fn no_node_uses_a_replaced_primary() {
    for taken_over in [false, true] {
        let result = explored(None, taken_over);
        assert_eq!(result.counterexample, None, "{result:#?}");
        assert!(result.states > 20_000, "{result:?}");
    }
}

#[test]
fn removing_a_protection_is_detected() {
    let controls = [
        (Mutation::MajoritySuffices, false),
        (Mutation::IgnorePredecessor, false),
    ];
    for (mutation, taken_over) in controls {
        let result = explored(Some(mutation), taken_over);
        let reached = (result.states, result.depth);
        assert!(result.counterexample.is_some(), "{mutation:?}: {reached:?}");
    }
}

/// Indices of the model's nodes.
const FIRST: usize = 0;
const SECOND: usize = 1;
const THIRD: usize = 2;

fn exchange(node: usize) -> [Step; 3] {
    [
        Step::SendRequest(node),
        Step::AnswerRequest(node),
        Step::ReceiveAnswer(node),
    ]
}

/// The first node gets a lease by the vote of the third node, which then acknowledges the
/// withdrawal at once.
fn acknowledged_just_after_a_vote() -> Vec<Step> {
    let mut steps = Vec::new();
    for node in [THIRD, THIRD, FIRST, FIRST] {
        steps.extend(exchange(node));
    }
    steps.extend([
        Step::Announce,
        Step::Inform(SECOND),
        Step::Inform(THIRD),
        Step::OrderPromotion,
    ]);
    steps
}

/// After the promotion was ordered, the third node, which acknowledged it, sends its lease
/// requests to the first node, which has not received the announcement, and votes for it.
fn voted_after_the_order() -> Vec<Step> {
    let mut steps = vec![
        Step::Announce,
        Step::Inform(SECOND),
        Step::Inform(THIRD),
        Step::OrderPromotion,
    ];
    for _ in 0..2 {
        steps.extend([Step::SendRequest(THIRD), Step::Tick]);
    }
    steps.extend(exchange(THIRD));
    steps.extend(exchange(THIRD));
    for _ in 0..2 {
        steps.extend([Step::SendRequest(FIRST), Step::Tick]);
        steps.extend(exchange(THIRD));
    }
    steps.extend(exchange(FIRST));
    steps.extend(exchange(FIRST));
    steps
}

/// Applies those of the steps that the model allows. Returns whether a state violated the
/// invariant.
fn violates(model: &PrimaryLeaseModel, steps: &[Step]) -> bool {
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
fn votes_delay_acknowledgements_and_carry_announcements() {
    let controls = [
        (
            Mutation::AcknowledgeDespiteVotes,
            acknowledged_just_after_a_vote(),
        ),
        (Mutation::NoAnnouncementsInVotes, voted_after_the_order()),
    ];
    for (mutation, steps) in controls {
        for (mutation, violated) in [(None, false), (Some(mutation), true)] {
            let model = PrimaryLeaseModel {
                mutation,
                taken_over: true,
            };
            assert_eq!(violates(&model, &steps), violated, "{mutation:?}");
        }
    }
}
