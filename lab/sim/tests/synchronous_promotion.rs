//! No explored promotion in a synchronous group loses an acknowledged commit, and removing any of
//! the protections is detected.

use hookpoint_sim::models::explore::{Exploration, Model, explore};
use hookpoint_sim::models::synchronous_promotion::{Mutation, Step, SynchronousPromotionModel};

/// Maximum number of steps explored: more than the counterexamples of the controls need.
const DEPTH: usize = 14;
/// Maximum number of states explored.
const STATES: usize = 60_000;

fn explored(mutation: Option<Mutation>) -> Exploration {
    explore(&SynchronousPromotionModel { mutation }, DEPTH, STATES)
}

#[test]
fn no_promotion_loses_an_acknowledged_commit() {
    let result = explored(None);
    assert_eq!(result.counterexample, None, "{result:#?}");
    assert!(result.states > 50_000, "{result:?}");
}

#[test]
fn removing_a_protection_is_detected() {
    let controls = [
        Mutation::WithholdNothing,
        Mutation::CompareBeforeAnnouncement,
        Mutation::IgnorePreviousOrders,
        Mutation::RevertAfterOrder,
    ];
    for mutation in controls {
        let result = explored(Some(mutation));
        let reached = (result.states, result.depth);
        assert!(result.counterexample.is_some(), "{mutation:?}: {reached:?}");
    }
}

/// The first and the third order name one replica and the second order names the other. All are
/// carried out late, and writes are permitted between the first two effects.
fn confirmed_between_effects() -> Vec<Step> {
    let mut steps = Vec::new();
    for candidate in [1, 2, 1] {
        steps.extend([
            Step::Choose(candidate),
            Step::Announce,
            Step::Verify(0),
            Step::Send(0),
        ]);
    }
    steps.extend([
        Step::CarryOut(0),
        Step::CarryOut(0),
        Step::TakeEffect,
        Step::Confirm(0),
        Step::Commit { replica: 0 },
        Step::TakeEffect,
    ]);
    steps
}

/// Returns whether the state after these steps violates the invariant. Steps that the model does
/// not allow are left out.
fn violates(model: &SynchronousPromotionModel, steps: &[Step]) -> bool {
    let mut state = model.initial();
    for step in steps {
        if model.steps(&state).contains(step) {
            model.apply(&mut state, step);
        }
    }
    model.violation(&state).is_some()
}

/// Checks a fixed path that is too long for the exploration.
#[test]
fn writes_permitted_before_orders_have_settled_are_detected() {
    for (mutation, violated) in [(None, false), (Some(Mutation::ConfirmAtOnce), true)] {
        let model = SynchronousPromotionModel { mutation };
        let steps = confirmed_between_effects();
        assert_eq!(violates(&model, &steps), violated, "{mutation:?}");
    }
}
