//! Breadth-first exploration of all states of a small model.

use std::collections::{BTreeSet, VecDeque};
use std::fmt::Debug;

/// A model with finitely many steps from each state.
pub trait Model {
    /// State of the model.
    type State: Clone;
    /// A step from one state to another.
    type Step: Clone + Debug;

    /// Returns the state from which the exploration starts.
    fn initial(&self) -> Self::State;
    /// Returns the key that identifies a state; states with equal keys are visited once.
    fn key(&self, state: &Self::State) -> String;
    /// Returns the steps that are possible in `state`.
    fn steps(&self, state: &Self::State) -> Vec<Self::Step>;
    /// Applies a step to `state`.
    fn apply(&self, state: &mut Self::State, step: &Self::Step);
    /// Returns a description of the invariant that `state` violates, if any.
    fn violation(&self, state: &Self::State) -> Option<String>;
}

/// A shortest path to a state that violates an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counterexample {
    /// Debug forms of the steps from the initial state.
    pub steps: Vec<String>,
    /// Description of the violation in the last state.
    pub detail: String,
}

/// Result of an exploration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exploration {
    /// Number of distinct states reached.
    pub states: usize,
    /// Largest number of steps on a shortest path to a visited state.
    pub depth: usize,
    /// Whether no state was left out because of the bounds.
    pub complete: bool,
    /// Path to the first violation found, if any; the exploration stops there.
    pub counterexample: Option<Counterexample>,
}

struct Visit<S> {
    state: S,
    depth: usize,
    /// Index of the preceding visit and the step taken from there; `None` for the initial
    /// state.
    origin: Option<(usize, String)>,
}

/// Explores a model breadth first, up to `maximum_states` states and `maximum_depth` steps from
/// the initial state.
pub fn explore<M: Model>(model: &M, maximum_depth: usize, maximum_states: usize) -> Exploration {
    let initial = model.initial();
    let mut known = BTreeSet::from([model.key(&initial)]);
    let mut origins: Vec<Option<(usize, String)>> = Vec::new();
    let mut queue = VecDeque::from([Visit {
        state: initial,
        depth: 0,
        origin: None,
    }]);
    let mut result = Exploration {
        states: 1,
        depth: 0,
        complete: true,
        counterexample: None,
    };
    while let Some(visit) = queue.pop_front() {
        let index = origins.len();
        origins.push(visit.origin);
        result.depth = result.depth.max(visit.depth);
        if let Some(detail) = model.violation(&visit.state) {
            let steps = path_to(&origins, index);
            result.counterexample = Some(Counterexample { steps, detail });
            return result;
        }
        for step in model.steps(&visit.state) {
            let mut state = visit.state.clone();
            model.apply(&mut state, &step);
            let key = model.key(&state);
            if known.contains(&key) {
                continue;
            }
            if visit.depth == maximum_depth || known.len() >= maximum_states {
                result.complete = false;
                continue;
            }
            known.insert(key);
            result.states += 1;
            queue.push_back(Visit {
                state,
                depth: visit.depth + 1,
                origin: Some((index, format!("{step:?}"))),
            });
        }
    }
    result
}

fn path_to(origins: &[Option<(usize, String)>], end: usize) -> Vec<String> {
    let mut steps = Vec::new();
    let mut index = end;
    while let Some((origin, step)) = &origins[index] {
        steps.push(step.clone());
        index = *origin;
    }
    steps.reverse();
    steps
}
