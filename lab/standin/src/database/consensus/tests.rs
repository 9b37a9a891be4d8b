//! Randomized simulations of whole groups in virtual time, with message loss,
//! delays, cuts and restarts. Each run is determined by its seed.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Action, Consensus, Member, Message, Role, Timing};
use crate::database::entry::{Entry, LoggedStatement};
use crate::database::position::{FIRST_LSN, Lsn};

const RUNS: u64 = 25;
const STEPS: usize = 4000;
const STEP: Duration = Duration::from_millis(1);

/// A group whose messages pass through a lossy network that preserves the order
/// on each link.
struct Run {
    now: Instant,
    random: ChaCha8Rng,
    members: Vec<Consensus>,
    isolated: Vec<bool>,
    /// Links that are cut, each in one direction.
    cut_links: BTreeSet<(Member, Member)>,
    links: BTreeMap<(Member, Member), Vec<(Instant, Message)>>,
    /// Primary of each term.
    primaries: BTreeMap<u64, Member>,
    /// Entries that a primary reported as flushed by a majority.
    safe: BTreeMap<usize, Arc<Entry>>,
    /// Number of entries that each member has reported as safe.
    recorded: Vec<usize>,
    written: u64,
}

impl Run {
    fn new(members: usize, seed: u64) -> Self {
        let now = Instant::now();
        let timing = Timing {
            election_timeout: Duration::from_millis(100),
            heartbeat_interval: Duration::from_millis(20),
        };
        let first = Arc::new(Entry::new(1, FIRST_LSN, 0, Vec::new()));
        let new = |member| {
            let own_seed = seed * 100 + member as u64;
            Consensus::new(member, members, first.clone(), timing, own_seed, now)
        };
        Self {
            now,
            random: ChaCha8Rng::seed_from_u64(seed),
            members: (0..members).map(new).collect(),
            isolated: vec![false; members],
            cut_links: BTreeSet::new(),
            links: BTreeMap::new(),
            primaries: BTreeMap::from([(1, 0)]),
            safe: BTreeMap::new(),
            recorded: vec![0; members],
            written: 0,
        }
    }

    fn apply(&mut self, member: Member, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) => {
                    let delay = Duration::from_micros(self.random.random_range(100..3000));
                    let link = self.links.entry((member, to)).or_default();
                    let after = link.last().map_or(self.now, |(due, _)| *due);
                    link.push((after.max(self.now + delay), message));
                }
                Action::BecamePrimary => {
                    let term = self.members[member].term();
                    let known = *self.primaries.entry(term).or_insert(member);
                    assert_eq!(known, member, "two primaries of term {term}");
                    self.check_safe(member);
                }
                Action::MajorityFlushedAdvanced => self.record_safe(member),
                Action::Truncated(_) | Action::Flushed | Action::SteppedDown => {}
            }
        }
    }

    fn record_safe(&mut self, member: Member) {
        let consensus = &self.members[member];
        let start = std::mem::replace(&mut self.recorded[member], consensus.majority_flushed());
        for at in start..consensus.majority_flushed() {
            let entry = &consensus.log()[at];
            let known = self.safe.entry(at).or_insert_with(|| entry.clone());
            assert_eq!(known, entry, "two safe entries at {at}");
        }
    }

    /// Checks that a new primary has every safe entry.
    fn check_safe(&self, member: Member) {
        for (at, entry) in &self.safe {
            assert_eq!(
                self.members[member].log().get(*at),
                Some(entry),
                "entry {at} is lost"
            );
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        for member in 0..self.members.len() {
            let actions = self.members[member].tick(self.now);
            self.apply(member, actions);
        }
        self.deliver();
        if self.random.random_bool(0.3) {
            self.write();
        }
        if self.random.random_bool(0.01) {
            self.inject_fault();
        }
    }

    fn deliver(&mut self) {
        let mut due = Vec::new();
        for ((from, to), link) in &mut self.links {
            let ready = link.iter().take_while(|(at, _)| *at <= self.now).count();
            due.extend(
                link.drain(..ready)
                    .map(|(_, message)| (*from, *to, message)),
            );
        }
        for (from, to, message) in due {
            let cut =
                self.isolated[from] || self.isolated[to] || self.cut_links.contains(&(from, to));
            let lost = cut || self.random.random_bool(0.02);
            if !lost {
                let actions = self.members[to].receive(self.now, from, message, Lsn(0));
                self.apply(to, actions);
            }
        }
    }

    fn write(&mut self) {
        let leading: Vec<Member> = (0..self.members.len())
            .filter(|member| self.members[*member].role() == Role::Primary)
            .collect();
        if let Some(member) = leading.choose(&mut self.random).copied() {
            self.written += 1;
            let statement = LoggedStatement {
                text: String::new(),
                sql: self.written.to_string(),
                parameters: Vec::new(),
                seed: 0,
            };
            let actions = self.members[member].append(0, vec![statement]);
            self.apply(member, actions);
        }
    }

    fn inject_fault(&mut self) {
        let member = self.random.random_range(0..self.members.len());
        let other = self.random.random_range(0..self.members.len());
        match self.random.random_range(0..6) {
            0 => self.isolated[member] = true,
            1 => self.isolated[member] = false,
            2 => drop(self.cut_links.insert((member, other))),
            3 => drop(self.cut_links.remove(&(member, other))),
            4 => self.heal(),
            _ => {
                let actions = self.members[member].restart(self.now);
                self.apply(member, actions);
            }
        }
    }

    fn heal(&mut self) {
        self.isolated.fill(false);
        self.cut_links.clear();
    }

    /// Heals all links and checks that all members then end with the same log and
    /// that exactly one of them is primary.
    fn heal_and_check_convergence(&mut self) {
        self.heal();
        for _ in 0..3000 {
            self.now += STEP;
            for member in 0..self.members.len() {
                let actions = self.members[member].tick(self.now);
                self.apply(member, actions);
            }
            self.deliver();
        }
        let log = self.members[0].log();
        assert!(
            self.members.iter().all(|member| member.log() == log),
            "logs differ"
        );
        let leading = self
            .members
            .iter()
            .filter(|member| member.role() == Role::Primary);
        assert_eq!(leading.count(), 1, "one primary is left");
    }
}

/// Guards against the loss of an entry that a majority has flushed and against two
/// primaries in one term. Groups of three and five members run under random message
/// loss, cut links, isolation and restarts.
#[test]
fn safe_entries_are_never_lost_and_each_term_has_one_primary() {
    let mut terms = 0;
    let mut safe = 0;
    for seed in 0..RUNS {
        for members in [3, 5] {
            let mut run = Run::new(members, seed);
            for _ in 0..STEPS {
                run.step();
            }
            run.heal_and_check_convergence();
            terms += run.primaries.len();
            safe += run.safe.len();
        }
    }
    // The runs must have produced something to check.
    assert!(terms > 5 * RUNS as usize, "{terms} terms");
    assert!(safe > 500 * RUNS as usize, "{safe} safe entries");
}

/// Lets member 0 win an election with the vote of member 1.
fn elect_member_0(consensus: &mut Consensus, now: Instant) {
    consensus.tick(now);
    for pre_vote in [true, false] {
        let vote = Message::Vote {
            term: consensus.term() + u64::from(pre_vote),
            pre_vote,
            granted: true,
        };
        consensus.receive(now, 1, vote, Lsn(0));
    }
    assert_eq!(consensus.role(), Role::Primary);
}

/// Guards against reporting an entry of an older term as safe as soon as a majority has
/// flushed it. Member 0 writes in term 1 and is elected again in term 2, where its first
/// entry must be flushed by member 1 before the older one counts.
#[test]
fn entry_of_an_older_term_is_safe_only_after_an_entry_of_the_current_term() {
    let mut run = Run::new(3, 1);
    let consensus = &mut run.members[0];
    consensus.append(0, Vec::new());
    let later = run.now + Duration::from_secs(1);
    consensus.restart(run.now);
    elect_member_0(consensus, later);
    assert_eq!((consensus.term(), consensus.log().len()), (2, 3));
    // Number of entries that member 1 has flushed, and number that are then safe.
    for (flushed, safe) in [(1, 1), (2, 1), (3, 3)] {
        let response = Message::Appended {
            term: 2,
            flushed: Some(flushed),
            hint: 0,
            replayed: Lsn(0),
        };
        consensus.receive(later, 1, response, Lsn(0));
        assert_eq!(consensus.majority_flushed(), safe, "{flushed} flushed");
    }
}
