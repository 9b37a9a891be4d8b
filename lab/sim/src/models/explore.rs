//! Breadth-first exploration of all states of a small model.

use std::collections::{BTreeSet, VecDeque};
use std::fmt::Debug;

/// A model with finitely many steps from each state.
pub trait Model {
    /// A state.
    type State: Clone;
    /// A step from one state to another.
    type Step: Clone + Debug;

    /// Where the exploration starts.
    fn initial(&self) -> Self::State;
    /// What tells states apart; equal keys count as one state.
    fn key(&self, state: &Self::State) -> String;
    /// The steps that `state` allows.
    fn steps(&self, state: &Self::State) -> Vec<Self::Step>;
    /// Takes a step.
    fn apply(&self, state: &mut Self::State, step: &Self::Step);
    /// What is wrong with `state`, if anything.
    fn broken(&self, state: &Self::State) -> Option<String>;
}

/// The shortest way to a broken state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counterexample {
    /// The steps.
    pub steps: Vec<String>,
    /// What is wrong at their end.
    pub detail: String,
}

/// What an exploration found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exploration {
    /// Different states reached.
    pub states: usize,
    /// Steps of the longest shortest way.
    pub depth: usize,
    /// Whether all states were reached within the bounds.
    pub complete: bool,
    /// The first broken state.
    pub counterexample: Option<Counterexample>,
}

struct Visit<S> {
    state: S,
    depth: usize,
    /// Index of the visit it came from, and the step.
    origin: Option<(usize, String)>,
}

/// Explores at most `maximum_states` states, at most `maximum_depth` steps away.
pub fn explore<M: Model>(model: &M, maximum_depth: usize, maximum_states: usize) -> Exploration {
    let initial = model.initial();
    let mut known = BTreeSet::from([model.key(&initial)]);
    let mut ways: Vec<Option<(usize, String)>> = Vec::new();
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
        let index = ways.len();
        ways.push(visit.origin);
        result.depth = result.depth.max(visit.depth);
        if let Some(detail) = model.broken(&visit.state) {
            let steps = way_to(&ways, index);
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

fn way_to(ways: &[Option<(usize, String)>], end: usize) -> Vec<String> {
    let mut steps = Vec::new();
    let mut index = end;
    while let Some((origin, step)) = &ways[index] {
        steps.push(step.clone());
        index = *origin;
    }
    steps.reverse();
    steps
}
