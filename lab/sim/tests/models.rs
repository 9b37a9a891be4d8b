//! The small models hold in all their states, and notice what is switched off.

use hookpoint_coordination::request::SafetyChecks;
use hookpoint_sim::models::acknowledge::{AcknowledgeModel, State, Step};
use hookpoint_sim::models::explore::{Model, explore};
use hookpoint_sim::models::rollout::RolloutModel;

#[test]
fn a_write_is_acknowledged_only_when_every_later_primary_holds_it() {
    let result = explore(&AcknowledgeModel::default(), 60, 400_000);
    assert_eq!(result.counterexample, None, "{result:#?}");
    assert!(result.complete, "{result:?}");
    assert!(result.states > 1_000, "{result:?}");
}

#[test]
fn without_evidence_an_acknowledged_write_is_lost() {
    let checks = SafetyChecks {
        majority: false,
        ..SafetyChecks::default()
    };
    let result = explore(&AcknowledgeModel { checks }, 60, 400_000);
    let found = result.counterexample.expect("a lost write");
    assert!(found.detail.contains("acknowledged"), "{found:#?}");
}

#[test]
fn versions_never_fall_and_rolls_are_told_rightly() {
    let result = explore(&RolloutModel::default(), 7, 60_000);
    assert_eq!(result.counterexample, None, "{result:#?}");
    assert!(result.states > 5_000, "{result:?}");
}

#[test]
fn forgetful_nodes_and_careless_operators_are_noticed() {
    let forgetful = RolloutModel {
        forgetful: true,
        ..RolloutModel::default()
    };
    let careless = RolloutModel {
        careless: true,
        ..RolloutModel::default()
    };
    for (model, word) in [(forgetful, "newer"), (careless, "twice")] {
        let result = explore(&model, 9, 60_000);
        let found = result.counterexample.expect(word);
        assert!(found.detail.contains(word), "{found:#?}");
    }
}

/// Looks for an acknowledged write, so that the model above is not empty.
struct Reaches(AcknowledgeModel);

impl Model for Reaches {
    type State = State;
    type Step = Step;

    fn initial(&self) -> State {
        self.0.initial()
    }

    fn key(&self, state: &State) -> String {
        self.0.key(state)
    }

    fn steps(&self, state: &State) -> Vec<Step> {
        self.0.steps(state)
    }

    fn apply(&self, state: &mut State, step: &Step) {
        self.0.apply(state, step);
    }

    fn broken(&self, state: &State) -> Option<String> {
        state.is_acknowledged().then(|| "acknowledged".to_owned())
    }
}

#[test]
fn a_write_can_be_acknowledged() {
    let result = explore(&Reaches(AcknowledgeModel::default()), 60, 400_000);
    let way = result.counterexample.expect("a way to an acknowledgement");
    assert!(
        way.steps.iter().any(|step| step.starts_with("Confirm")),
        "{way:#?}"
    );
}
