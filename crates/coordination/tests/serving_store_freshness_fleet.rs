//! Simulation of a small fleet of nodes that forward store updates while the store rejects some of
//! them: no node takes old knowledge for newer than it is, and every node that can obtain updates
//! receives them in time.

use std::time::Duration;

use hookpoint_coordination::serving::feed::{Regions, store_upstreams, try_order};
use hookpoint_coordination::serving::homes::HomeCandidate;
use hookpoint_coordination::serving::store_freshness::{
    FreshnessLimits, Reply, StoreFreshness, watch_timeout,
};
use hookpoint_state::{Timestamp, ZoneName};
use quickcheck::{Gen, QuickCheck, TestResult};

/// One-way delay between nodes, and to the store.
const DELAY: Duration = Duration::from_millis(20);
const TICK: Duration = Duration::from_millis(10);
/// How late the answer to a long watch may be before the call counts as rejected.
const ANSWER_SLACK: Duration = Duration::from_millis(400);
/// Number of upstreams that a node asks before it checks whether to try the store itself.
const ASKED_IN_A_ROUND: usize = 5;
/// Time within which a configuration has to be in force.
const LIMIT: Duration = Duration::from_millis(6_000);
/// Maximum age of knowledge, which leaves time to forward a configuration and to apply it.
const MAX_AGE: Duration = Duration::from_millis(4_000);
/// When the store begins to reject nodes, and when a simulation ends.
const LOST_AT: u64 = 10_000;
const END_AT: u64 = 24_000;

/// How the store rejects calls: with an error, or by not answering.
#[derive(Clone, Copy, PartialEq)]
enum Refusal {
    WithError,
    NoAnswer,
}

/// The protection that is disabled.
#[derive(Clone, Copy, PartialEq)]
enum Control {
    None,
    /// Nodes that the store rejects forward what other nodes report, and any answer counts.
    ForwardAnything,
    /// The time in transit of an answer does not count as age.
    IgnoreTransitTime,
}

enum Activity {
    Next,
    Watch {
        ends_at: Timestamp,
        due_at: Timestamp,
        answered: bool,
    },
    Ask {
        asked: Vec<usize>,
        asked_at: Timestamp,
    },
    Pause {
        until: Timestamp,
    },
}

struct Query {
    from: usize,
    known_at: Timestamp,
    until: Timestamp,
    asked_at: Timestamp,
}

enum Message {
    Query {
        from: usize,
        age: Duration,
        hold: Duration,
    },
    Answer {
        reply: Reply,
        age: Duration,
        held: Duration,
        actual_as_of: Timestamp,
    },
}

struct Machine {
    freshness: StoreFreshness,
    /// Time at which the store really had the state that this node knows. The simulation compares
    /// it with the node's own estimate in `freshness`.
    actual_as_of: Timestamp,
    activity: Activity,
    held: Vec<Query>,
}

struct Fleet {
    nodes: Vec<HomeCandidate>,
    regions: Regions,
    machines: Vec<Machine>,
    wire: Vec<(Timestamp, usize, Message)>,
    /// Nodes whose calls the store rejects.
    refused: Vec<bool>,
    refusal: Refusal,
    control: Control,
    now: Timestamp,
}

fn at(time_ms: u64) -> Timestamp {
    Timestamp::from_millis(60_000 + time_ms)
}

impl Fleet {
    fn new(sizes: &[usize], refusal: Refusal, control: Control) -> Self {
        let mut nodes = Vec::new();
        for (region, size) in sizes.iter().enumerate() {
            nodes.extend((0..*size).map(|index| HomeCandidate {
                node: format!("r{region}-{index}"),
                zone: ZoneName::new(format!("r{region}")),
                bandwidth_mbps: 4,
            }));
        }
        let machines = nodes.iter().map(|_| Machine {
            freshness: StoreFreshness::default(),
            actual_as_of: Timestamp::default(),
            activity: Activity::Next,
            held: Vec::new(),
        });
        Self {
            machines: machines.collect(),
            refused: vec![false; nodes.len()],
            nodes,
            regions: Regions::new(),
            wire: Vec::new(),
            refusal,
            control,
            now: at(0),
        }
    }

    fn upstreams(&self, own: usize, own_may_forward: bool, use_exclusions: bool) -> Vec<usize> {
        let may_forward = |name: &str| {
            if name == self.nodes[own].node {
                own_may_forward
            } else {
                !use_exclusions || self.machines[own].freshness.may_forward(name, self.now)
            }
        };
        store_upstreams(&self.nodes[own], &self.nodes, &self.regions, may_forward)
            .into_iter()
            .map(|name| {
                self.nodes
                    .iter()
                    .position(|node| node.node == name)
                    .unwrap()
            })
            .collect()
    }

    fn tick(&mut self) {
        self.now = self.now + TICK;
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.wire)
            .into_iter()
            .partition(|(arrival, ..)| *arrival <= now);
        self.wire = later;
        for (_, to, message) in due {
            self.deliver(to, message);
        }
        for index in 0..self.machines.len() {
            self.advance(index);
            self.answer_held(index);
        }
    }

    fn deliver(&mut self, to: usize, message: Message) {
        let now = self.now;
        match message {
            Message::Query { from, age, hold } => self.machines[to].held.push(Query {
                from,
                known_at: now - age,
                until: now + hold,
                asked_at: now,
            }),
            Message::Answer {
                reply,
                age,
                held,
                actual_as_of,
            } => {
                self.take_answer(to, reply, age, held, actual_as_of);
            }
        }
    }

    fn take_answer(
        &mut self,
        to: usize,
        reply: Reply,
        age: Duration,
        held: Duration,
        actual_as_of: Timestamp,
    ) {
        let now = self.now;
        let control = self.control;
        let machine = &mut self.machines[to];
        let Activity::Ask { asked, asked_at } = &mut machine.activity else {
            return;
        };
        let upstream = asked[asked.len() - 1];
        let transit_time = match control {
            Control::IgnoreTransitTime => Duration::ZERO,
            _ => now.since(*asked_at).saturating_sub(held),
        };
        match reply {
            Reply::Update => {
                machine
                    .freshness
                    .note_upstream_answer(now - age - transit_time);
                machine.actual_as_of = machine.actual_as_of.max(actual_as_of);
                machine.activity = Activity::Next;
            }
            Reply::StoreLost => {
                let name = &self.nodes[upstream].node;
                machine.freshness.exclude(name, now);
                self.continue_search(to);
            }
            _ => self.continue_search(to),
        }
    }

    /// Continues after an upstream that did not help: tries the store if it is this node's turn,
    /// and asks the next upstream otherwise.
    fn continue_search(&mut self, index: usize) {
        self.machines[index].freshness.note_no_update(self.now);
        if self.own_try_is_due(index) {
            return self.watch(index);
        }
        self.ask_next(index);
    }

    fn own_try_is_due(&self, index: usize) -> bool {
        let order = try_order(&self.nodes[index], &self.nodes, &self.regions);
        self.machines[index].freshness.try_is_due(order, self.now)
    }

    fn answer_held(&mut self, index: usize) {
        let now = self.now;
        let machine = &mut self.machines[index];
        let mut waiting = Vec::new();
        for query in std::mem::take(&mut machine.held) {
            let mut reply = machine
                .freshness
                .reply(query.known_at, false, query.until, now);
            if self.control == Control::ForwardAnything && reply != Reply::Wait {
                reply = Reply::Update;
            }
            if reply == Reply::Wait {
                waiting.push(query);
                continue;
            }
            let answer = Message::Answer {
                reply,
                age: machine.freshness.age(now),
                held: now.since(query.asked_at),
                actual_as_of: machine.actual_as_of,
            };
            self.wire.push((now + DELAY, query.from, answer));
        }
        machine.held = waiting;
    }

    fn advance(&mut self, index: usize) {
        let now = self.now;
        match self.machines[index].activity {
            Activity::Next => self.begin(index),
            Activity::Pause { until } if now >= until => self.begin(index),
            Activity::Watch {
                ends_at,
                due_at,
                answered,
            } if now >= ends_at => {
                let machine = &mut self.machines[index];
                if answered {
                    machine.freshness.note_store_answer(due_at.min(now));
                    machine.actual_as_of = ends_at - DELAY;
                    machine.activity = Activity::Pause {
                        until: now + Duration::from_millis(40),
                    };
                } else {
                    machine.freshness.note_rejected(now);
                    let until = now + machine.freshness.search_pause(now);
                    machine.activity = Activity::Pause { until };
                }
            }
            _ => {}
        }
    }

    fn begin(&mut self, index: usize) {
        let now = self.now;
        let watches = self.machines[index].freshness.watches(now);
        if watches && self.upstreams(index, true, true).is_empty() {
            return self.watch(index);
        }
        self.machines[index].activity = Activity::Ask {
            asked: Vec::new(),
            asked_at: now,
        };
        self.ask_next(index);
    }

    /// Returns the next upstream to ask in a round.
    fn next_upstream(&self, index: usize, asked: &[usize]) -> Option<usize> {
        if asked.len() == ASKED_IN_A_ROUND {
            return None;
        }
        let rejected = self.machines[index].freshness.is_rejected(self.now);
        let upstreams = self.upstreams(index, !rejected, true);
        upstreams
            .into_iter()
            .find(|upstream| !asked.contains(upstream))
    }

    /// Asks the next upstream, or ends the round if there is none.
    fn ask_next(&mut self, index: usize) {
        let now = self.now;
        let Activity::Ask { asked, .. } = &self.machines[index].activity else {
            return;
        };
        let next = self.next_upstream(index, asked);
        let machine = &mut self.machines[index];
        let Activity::Ask { asked, asked_at } = &mut machine.activity else {
            return;
        };
        if let Some(upstream) = next {
            *asked_at = now;
            asked.push(upstream);
            let query = Message::Query {
                from: index,
                age: machine.freshness.age(now),
                hold: machine
                    .freshness
                    .upstream_timeout(now, FreshnessLimits::of(LIMIT)),
            };
            self.wire.push((now + DELAY, upstream, query));
            return;
        }
        if asked.is_empty() {
            machine.freshness.clear_excluded();
        }
        machine.freshness.note_no_update(now);
        let is_first = self.upstreams(index, true, false).is_empty();
        if is_first || self.own_try_is_due(index) {
            return self.watch(index);
        }
        let machine = &mut self.machines[index];
        let until = now + machine.freshness.search_pause(now);
        machine.activity = Activity::Pause { until };
    }

    fn watch(&mut self, index: usize) {
        let now = self.now;
        let longest = FreshnessLimits::of(LIMIT).watch;
        let wait = self.machines[index].freshness.watch_wait(longest, now);
        let answered = !self.refused[index];
        let watch_time = match (answered, self.refusal) {
            (true, _) => wait + DELAY * 2,
            (false, Refusal::WithError) => DELAY * 2,
            (false, Refusal::NoAnswer) => watch_timeout(wait),
        };
        self.machines[index].activity = Activity::Watch {
            ends_at: now + watch_time,
            due_at: now + wait,
            answered,
        };
    }

    /// Starts to reject the nodes in `refused`, including those whose watch is open.
    fn refuse(&mut self, refused: &[bool]) {
        self.refused = refused.to_vec();
        for (machine, refused) in self.machines.iter_mut().zip(refused) {
            if let Activity::Watch {
                ends_at,
                due_at,
                answered,
            } = &mut machine.activity
                && *refused
            {
                *answered = false;
                *ends_at = match self.refusal {
                    Refusal::WithError => self.now,
                    Refusal::NoAnswer => *due_at + ANSWER_SLACK,
                };
            }
        }
    }
}

/// Results of a simulation.
#[derive(Debug, Default)]
struct Outcome {
    /// Whether a node took its knowledge for newer than it was.
    too_new: bool,
    /// Maximum age of a node's knowledge after the fleet had started.
    max_age: Duration,
}

fn simulate(sizes: &[usize], refused: &[bool], refusal: Refusal, control: Control) -> Outcome {
    let mut fleet = Fleet::new(sizes, refusal, control);
    let mut outcome = Outcome::default();
    while fleet.now < at(END_AT) {
        if fleet.now == at(LOST_AT) {
            fleet.refuse(refused);
        }
        fleet.tick();
        for machine in &fleet.machines {
            outcome.too_new |= machine.freshness.known_at() > machine.actual_as_of;
            if fleet.now >= at(LOST_AT) {
                outcome.max_age = outcome.max_age.max(fleet.now.since(machine.actual_as_of));
            }
        }
    }
    outcome
}

/// Returns every subset of the nodes except the whole set.
fn sets(nodes: usize) -> impl Iterator<Item = Vec<bool>> {
    (0..(1_u32 << nodes) - 1)
        .map(move |bits| (0..nodes).map(|node| bits >> node & 1 == 1).collect())
}

#[test]
fn whichever_nodes_are_rejected_all_have_updates_in_time() {
    for refusal in [Refusal::WithError, Refusal::NoAnswer] {
        for refused in sets(6) {
            let outcome = simulate(&[6], &refused, refusal, Control::None);
            assert!(!outcome.too_new, "{refused:?}");
            assert!(
                outcome.max_age <= MAX_AGE,
                "{refused:?}: {:?}",
                outcome.max_age
            );
        }
    }
}

/// Guards against nodes that ask other nodes for too long before they try the store themselves.
/// These are the sets of rejected nodes, in a fleet of one small and two large regions, for which
/// that happened.
#[test]
fn nodes_try_the_store_before_they_have_asked_many_others() {
    for bits in [63_096_u16, 7_282, 9_976, 30_456, 30_335] {
        let refused: Vec<bool> = (0..14).map(|node| bits >> node & 1 == 1).collect();
        let outcome = simulate(&[6, 5, 3], &refused, Refusal::NoAnswer, Control::None);
        assert!(
            !outcome.too_new && outcome.max_age <= MAX_AGE,
            "{bits}: {outcome:?}"
        );
    }
}

#[test]
fn nodes_of_several_regions_have_updates_in_time() {
    fn holds(bits: u16, silent: bool) -> TestResult {
        let refused: Vec<bool> = (0..14).map(|node| bits >> node & 1 == 1).collect();
        if refused.iter().all(|refused| *refused) {
            return TestResult::discard();
        }
        let refusal = if silent {
            Refusal::NoAnswer
        } else {
            Refusal::WithError
        };
        let outcome = simulate(&[6, 5, 3], &refused, refusal, Control::None);
        TestResult::from_bool(!outcome.too_new && outcome.max_age <= MAX_AGE)
    }
    QuickCheck::new()
        .tests(60)
        .rng(Gen::from_size_and_seed(100, 5))
        .quickcheck(holds as fn(u16, bool) -> TestResult);
}

/// Negative control: with the protection disabled, some set of rejected nodes breaks the bound.
#[test]
fn forwarding_anything_lets_nodes_follow_each_other_until_knowledge_is_too_old() {
    let breaks = sets(6).any(|refused| {
        let outcome = simulate(&[6], &refused, Refusal::WithError, Control::ForwardAnything);
        outcome.max_age > MAX_AGE
    });
    assert!(breaks);
}

#[test]
fn knowledge_looks_newer_if_transit_time_is_ignored() {
    let refused = [false; 6];
    let outcome = simulate(
        &[6],
        &refused,
        Refusal::WithError,
        Control::IgnoreTransitTime,
    );
    assert!(outcome.too_new);
}
