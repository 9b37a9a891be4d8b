//! The invariants of the small models hold in all explored states, and removing a safety check
//! is detected.

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
fn versions_increase_and_operators_get_correct_results() {
    let result = explore(&RolloutModel::default(), 7, 60_000);
    assert_eq!(result.counterexample, None, "{result:#?}");
    assert!(result.states > 5_000, "{result:?}");
}

#[test]
fn accepting_older_bundles_and_retrying_without_reading_are_detected() {
    let accept_older = RolloutModel {
        accept_older: true,
        ..RolloutModel::default()
    };
    let retry_without_reading = RolloutModel {
        retry_without_reading: true,
        ..RolloutModel::default()
    };
    for (model, word) in [(accept_older, "newer"), (retry_without_reading, "twice")] {
        let result = explore(&model, 9, 60_000);
        let found = result.counterexample.expect(word);
        assert!(found.detail.contains(word), "{found:#?}");
    }
}

/// Model that reports an acknowledged write as a violation, to show that such a state is
/// reachable and the invariant of [`AcknowledgeModel`] is not vacuous.
struct AcknowledgementReached(AcknowledgeModel);

impl Model for AcknowledgementReached {
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

    fn violation(&self, state: &State) -> Option<String> {
        state.is_acknowledged().then(|| "acknowledged".to_owned())
    }
}

#[test]
fn a_write_can_be_acknowledged() {
    let result = explore(
        &AcknowledgementReached(AcknowledgeModel::default()),
        60,
        400_000,
    );
    let path = result.counterexample.expect("a path to an acknowledgement");
    assert!(
        path.steps.iter().any(|step| step.starts_with("Confirm")),
        "{path:#?}"
    );
}
