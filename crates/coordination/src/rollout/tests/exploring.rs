//! Every way in which three operators' rolls can go, breadth first: requests that are
//! refused, answers that are lost, requests that take effect later than their sender
//! believes, and operators who give up at any moment.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use hookpoint_state::{BundleVersion, Outcome};

use crate::rollout::roll::{PointerView, RollEvent, RollMachine, RollResult, RollStep};

type Attempt = u8;
/// A version to roll, and the version that its operator saw.
type Roll = (u64, Option<u64>);

/// What the model leaves out on purpose, to see the search find it missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    /// The transaction does not compare the revision.
    NoComparison,
    /// A lost answer is taken for a refusal.
    LostIsNotRun,
    /// The history of the version is not read when the comparison fails.
    NoHistory,
}

/// A sending of a transaction that nobody waits for any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Late {
    operator: usize,
    unchanged_since: i64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct World {
    operators: Vec<RollMachine<Attempt>>,
    versions: Vec<BundleVersion>,
    pointer: Option<PointerView<Attempt>>,
    revision: i64,
    history: BTreeMap<BundleVersion, PointerView<Attempt>>,
    applied: Vec<u8>,
    late: BTreeSet<Late>,
    /// How many more answers may be lost; bounds the search.
    losses: u8,
}

impl World {
    fn new(rolls: &[Roll], losses: u8) -> Self {
        let machine = |(attempt, (version, seen)): (usize, &Roll)| {
            let version = BundleVersion(*version);
            RollMachine::new(version, seen.map(BundleVersion), attempt as Attempt)
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
            late: BTreeSet::new(),
            losses,
        }
    }

    /// Runs a transaction in the store.
    fn transact(&mut self, sending: Late, mutation: Mutation) -> RollEvent<Attempt> {
        let holds = sending.unchanged_since == self.revision;
        let version = self.versions[sending.operator];
        if !holds && mutation != Mutation::NoComparison {
            let past = self.history.get(&version).cloned();
            return RollEvent::NotMoved {
                pointer: self.pointer.clone(),
                past: past.filter(|_| mutation != Mutation::NoHistory),
            };
        }
        let view = PointerView {
            version,
            attempt: sending.operator as Attempt,
        };
        self.revision += 1;
        self.applied[sending.operator] += 1;
        self.history.insert(version, view.clone());
        self.pointer = Some(view);
        RollEvent::Moved
    }

    fn tell(&self, operator: usize, event: RollEvent<Attempt>) -> Self {
        let mut next = self.clone();
        next.operators[operator].handle(event);
        next
    }

    /// Every world that may follow.
    fn successors(&self, mutation: Mutation) -> Vec<World> {
        let mut successors = Vec::new();
        for sending in &self.late {
            let mut next = self.clone();
            next.late.remove(sending);
            next.transact(*sending, mutation);
            successors.push(next);
        }
        for operator in 0..self.operators.len() {
            self.operator_steps(operator, mutation, &mut successors);
        }
        successors
    }

    fn operator_steps(&self, operator: usize, mutation: Mutation, successors: &mut Vec<World>) {
        match *self.operators[operator].step() {
            RollStep::Finished(_) => return,
            RollStep::ReadPointer => {
                let event = RollEvent::PointerRead {
                    pointer: self.pointer.clone(),
                    revision: self.revision,
                };
                successors.push(self.tell(operator, event));
            }
            RollStep::MovePointer {
                unchanged_since, ..
            } => {
                let sending = Late {
                    operator,
                    unchanged_since,
                };
                self.transactions(sending, mutation, successors);
            }
        }
        successors.push(self.tell(operator, RollEvent::GaveUp));
    }

    fn transactions(&self, sending: Late, mutation: Mutation, successors: &mut Vec<World>) {
        let lost = RollEvent::Failed {
            outcome: if mutation == Mutation::LostIsNotRun {
                Outcome::NotRun
            } else {
                Outcome::Unknown
            },
        };
        let mut answered = self.clone();
        let answer = answered.transact(sending, mutation);
        successors.push(answered.tell(sending.operator, answer));
        if self.losses == 0 {
            return;
        }
        answered.losses -= 1;
        successors.push(answered.tell(sending.operator, lost.clone()));
        let mut delayed = self.clone();
        delayed.losses -= 1;
        delayed.late.insert(sending);
        successors.push(delayed.tell(sending.operator, lost));
    }

    /// The first promise that this world breaks.
    fn broken(&self, before: Option<&World>) -> Option<&'static str> {
        if self.applied.iter().any(|count| *count > 1) {
            return Some("an attempt was applied twice");
        }
        let version = |world: &World| world.pointer.as_ref().map(|pointer| pointer.version);
        if before.is_some_and(|before| version(before) > version(self)) {
            return Some("the pointer went back to an older version");
        }
        for (operator, machine) in self.operators.iter().enumerate() {
            let applied = self.applied[operator] > 0;
            let RollStep::Finished(result) = machine.step() else {
                continue;
            };
            let truthful = match result {
                RollResult::Rolled { .. } => applied,
                RollResult::Unknown => true,
                RollResult::Conflict { .. } | RollResult::NotNewer { .. } | RollResult::NotRun => {
                    !applied
                }
            };
            if !truthful {
                return Some("an operator was told something untrue");
            }
        }
        None
    }
}

/// Visits every world that can be reached. Returns how many there are, or the first
/// promise found broken.
fn explore(start: World, mutation: Mutation) -> Result<usize, &'static str> {
    let mut visited = BTreeSet::from([start.clone()]);
    let mut queue = VecDeque::from([start]);
    while let Some(world) = queue.pop_front() {
        for next in world.successors(mutation) {
            if let Some(promise) = next.broken(Some(&world)) {
                return Err(promise);
            }
            if visited.insert(next.clone()) {
                queue.push_back(next);
            }
        }
    }
    Ok(visited.len())
}

/// Rolls at the same time, and how many answers are lost.
const CASES: &[(&[Roll], u8)] = &[
    (&[(1, Some(0))], 4),
    (&[(1, Some(0)), (2, Some(0))], 4),
    (&[(2, Some(0)), (1, None)], 4),
    (&[(1, None), (1, None)], 4),
    (&[(1, None), (2, Some(1)), (3, None)], 4),
    (&[(3, None), (2, None), (1, None)], 4),
];

#[test]
fn no_order_of_three_rolls_and_their_losses_breaks_a_promise() {
    let mut worlds = 0;
    for (rolls, losses) in CASES {
        let explored = explore(World::new(rolls, *losses), Mutation::None);
        worlds += explored.unwrap_or_else(|promise| panic!("{rolls:?}: {promise}"));
    }
    assert!(
        worlds > 10_000,
        "{worlds} worlds are too few to mean anything"
    );
}

#[test]
fn the_search_finds_each_mutation() {
    let mutations = [
        Mutation::NoComparison,
        Mutation::LostIsNotRun,
        Mutation::NoHistory,
    ];
    for mutation in mutations {
        let found = CASES
            .iter()
            .any(|(rolls, losses)| explore(World::new(rolls, *losses), mutation).is_err());
        assert!(found, "{mutation:?} is found");
    }
}
