//! Explores breadth first all executions of up to three concurrent rolls: requests that
//! are refused, answers that are lost, requests that take effect after their sender
//! counted them as failed, and operators who give up at any point.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use hookpoint_state::{BundleVersion, Outcome};

use crate::rollout::roll::{PointerView, RollEvent, RollMachine, RollResult, RollStep};

type Attempt = u8;
/// A version to roll, and the version that its operator expects to be in force.
type Roll = (u64, Option<u64>);

/// Defect injected into the model, to prove that the search detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    /// The transaction does not compare the revision.
    NoComparison,
    /// A lost answer counts as a refusal.
    LostIsNotRun,
    /// The history of the version is not read when the comparison fails.
    NoHistory,
}

/// A transmitted transaction that its sender no longer waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DelayedTransaction {
    operator: usize,
    unchanged_since: i64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct State {
    operators: Vec<RollMachine<Attempt>>,
    versions: Vec<BundleVersion>,
    pointer: Option<PointerView<Attempt>>,
    revision: i64,
    history: BTreeMap<BundleVersion, PointerView<Attempt>>,
    applied: Vec<u8>,
    delayed_transactions: BTreeSet<DelayedTransaction>,
    /// How many more answers may be lost. Bounds the search.
    losses: u8,
}

impl State {
    fn new(rolls: &[Roll], losses: u8) -> Self {
        let machine = |(attempt, (version, expected)): (usize, &Roll)| {
            let version = BundleVersion(*version);
            RollMachine::new(version, expected.map(BundleVersion), attempt as Attempt)
        };
        Self {
            operators: rolls.iter().enumerate().map(machine).collect(),
            versions: rolls
                .iter()
                .map(|(version, _)| BundleVersion(*version))
                .collect(),
            pointer: None,
            revision: 0,
            history: BTreeMap::new(),
            applied: vec![0; rolls.len()],
            delayed_transactions: BTreeSet::new(),
            losses,
        }
    }

    /// Runs a transaction in the model of the store.
    fn transact(
        &mut self,
        transaction: DelayedTransaction,
        mutation: Mutation,
    ) -> RollEvent<Attempt> {
        let holds = transaction.unchanged_since == self.revision;
        let version = self.versions[transaction.operator];
        if !holds && mutation != Mutation::NoComparison {
            let past = self.history.get(&version).cloned();
            return RollEvent::NotMoved {
                pointer: self.pointer.clone(),
                historical: past.filter(|_| mutation != Mutation::NoHistory),
            };
        }
        let view = PointerView {
            version,
            attempt: transaction.operator as Attempt,
        };
        self.revision += 1;
        self.applied[transaction.operator] += 1;
        self.history.insert(version, view.clone());
        self.pointer = Some(view);
        RollEvent::Moved
    }

    fn deliver(&self, operator: usize, event: RollEvent<Attempt>) -> Self {
        let mut next = self.clone();
        next.operators[operator].handle(event);
        next
    }

    /// Returns all possible next states.
    fn successors(&self, mutation: Mutation) -> Vec<State> {
        let mut successors = Vec::new();
        for transaction in &self.delayed_transactions {
            let mut next = self.clone();
            next.delayed_transactions.remove(transaction);
            next.transact(*transaction, mutation);
            successors.push(next);
        }
        for operator in 0..self.operators.len() {
            self.operator_steps(operator, mutation, &mut successors);
        }
        successors
    }

    fn operator_steps(&self, operator: usize, mutation: Mutation, successors: &mut Vec<State>) {
        match *self.operators[operator].step() {
            RollStep::Finished(_) => return,
            RollStep::ReadPointer => {
                let event = RollEvent::PointerRead {
                    pointer: self.pointer.clone(),
                    revision: self.revision,
                };
                successors.push(self.deliver(operator, event));
            }
            RollStep::MovePointer {
                unchanged_since, ..
            } => {
                let transaction = DelayedTransaction {
                    operator,
                    unchanged_since,
                };
                self.push_transaction_outcomes(transaction, mutation, successors);
            }
        }
        successors.push(self.deliver(operator, RollEvent::TimedOut));
    }

    fn push_transaction_outcomes(
        &self,
        transaction: DelayedTransaction,
        mutation: Mutation,
        successors: &mut Vec<State>,
    ) {
        let lost = RollEvent::Failed {
            outcome: if mutation == Mutation::LostIsNotRun {
                Outcome::NotRun
            } else {
                Outcome::Unknown
            },
        };
        let mut answered = self.clone();
        let answer = answered.transact(transaction, mutation);
        successors.push(answered.deliver(transaction.operator, answer));
        if self.losses == 0 {
            return;
        }
        answered.losses -= 1;
        successors.push(answered.deliver(transaction.operator, lost.clone()));
        let mut delayed = self.clone();
        delayed.losses -= 1;
        delayed.delayed_transactions.insert(transaction);
        successors.push(delayed.deliver(transaction.operator, lost));
    }

    /// Returns the first invariant that this state violates, if any.
    fn violated_invariant(&self, before: Option<&State>) -> Option<&'static str> {
        if self.applied.iter().any(|count| *count > 1) {
            return Some("an attempt was applied twice");
        }
        let version = |state: &State| state.pointer.as_ref().map(|pointer| pointer.version);
        if before.is_some_and(|before| version(before) > version(self)) {
            return Some("the pointer went back to an older version");
        }
        for (operator, machine) in self.operators.iter().enumerate() {
            let applied = self.applied[operator] > 0;
            let RollStep::Finished(result) = machine.step() else {
                continue;
            };
            let correct = match result {
                RollResult::Rolled { .. } => applied,
                RollResult::Unknown => true,
                RollResult::Conflict { .. } | RollResult::NotNewer { .. } | RollResult::NotRun => {
                    !applied
                }
            };
            if !correct {
                return Some("an operator got a wrong result");
            }
        }
        None
    }
}

/// Visits every reachable state. Returns the number of states, or the first violated
/// invariant.
fn explore(start: State, mutation: Mutation) -> Result<usize, &'static str> {
    let mut visited = BTreeSet::from([start.clone()]);
    let mut queue = VecDeque::from([start]);
    while let Some(state) = queue.pop_front() {
        for next in state.successors(mutation) {
            if let Some(invariant) = next.violated_invariant(Some(&state)) {
                return Err(invariant);
            }
            if visited.insert(next.clone()) {
                queue.push_back(next);
            }
        }
    }
    Ok(visited.len())
}

/// Concurrent rolls, and how many answers may be lost.
const CASES: &[(&[Roll], u8)] = &[
    (&[(1, Some(0))], 4),
    (&[(1, Some(0)), (2, Some(0))], 4),
    (&[(2, Some(0)), (1, None)], 4),
    (&[(1, None), (1, None)], 4),
    (&[(1, None), (2, Some(1)), (3, None)], 4),
    (&[(3, None), (2, None), (1, None)], 4),
];

#[test]
fn no_execution_of_three_rolls_violates_an_invariant() {
    let mut states = 0;
    for (rolls, losses) in CASES {
        let explored = explore(State::new(rolls, *losses), Mutation::None);
        states += explored.unwrap_or_else(|invariant| panic!("{rolls:?}: {invariant}"));
    }
    assert!(
        states > 10_000,
        "{states} states are too few for a meaningful search"
    );
}

#[test]
fn the_search_detects_each_mutation() {
    let mutations = [
        Mutation::NoComparison,
        Mutation::LostIsNotRun,
        Mutation::NoHistory,
    ];
    for mutation in mutations {
        let found = CASES
            .iter()
            .any(|(rolls, losses)| explore(State::new(rolls, *losses), mutation).is_err());
        assert!(found, "{mutation:?} is not detected");
    }
}
