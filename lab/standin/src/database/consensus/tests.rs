//! Random runs of whole groups in virtual time, with losses, delays, cuts and
//! restarts; each run follows from its seed.

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

/// One group of which every message passes through a lossy network that keeps
/// the order on each link.
struct Run {
    now: Instant,
    random: ChaCha8Rng,
    members: Vec<Consensus>,
    cut: Vec<bool>,
    /// Links cut in one direction.
    cut_links: BTreeSet<(Member, Member)>,
    links: BTreeMap<(Member, Member), Vec<(Instant, Message)>>,
    /// Who led each term.
    primaries: BTreeMap<u64, Member>,
    /// Entries that some primary knew to be flushed by a majority.
    safe: BTreeMap<usize, Arc<Entry>>,
    /// How many entries each member has told to be safe.
    noted: Vec<usize>,
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
            cut: vec![false; members],
            cut_links: BTreeSet::new(),
            links: BTreeMap::new(),
            primaries: BTreeMap::from([(1, 0)]),
            safe: BTreeMap::new(),
            noted: vec![0; members],
            written: 0,
        }
    }

    fn act(&mut self, member: Member, actions: Vec<Action>) {
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
                Action::MajorityAdvanced => self.note_safe(member),
                Action::Truncated(_) | Action::Flushed | Action::SteppedDown => {}
            }
        }
    }

    fn note_safe(&mut self, member: Member) {
        let consensus = &self.members[member];
        let start = std::mem::replace(&mut self.noted[member], consensus.majority());
        for at in start..consensus.majority() {
            let entry = &consensus.log()[at];
            let known = self.safe.entry(at).or_insert_with(|| entry.clone());
            assert_eq!(known, entry, "two safe entries at {at}");
        }
    }

    /// A new primary must hold every safe entry.
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
            self.act(member, actions);
        }
        self.deliver();
        if self.random.random_bool(0.3) {
            self.write();
        }
        if self.random.random_bool(0.01) {
            self.disturb();
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
            let cut = self.cut[from] || self.cut[to] || self.cut_links.contains(&(from, to));
            let lost = cut || self.random.random_bool(0.02);
            if !lost {
                let actions = self.members[to].receive(self.now, from, message, Lsn(0));
                self.act(to, actions);
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
            self.act(member, actions);
        }
    }

    fn disturb(&mut self) {
        let member = self.random.random_range(0..self.members.len());
        let other = self.random.random_range(0..self.members.len());
        match self.random.random_range(0..6) {
            0 => self.cut[member] = true,
            1 => self.cut[member] = false,
            2 => drop(self.cut_links.insert((member, other))),
            3 => drop(self.cut_links.remove(&(member, other))),
            4 => self.mend(),
            _ => {
                let actions = self.members[member].restart(self.now);
                self.act(member, actions);
            }
        }
    }

    fn mend(&mut self) {
        self.cut.fill(false);
        self.cut_links.clear();
    }

    /// With all links whole, everybody ends with the same log.
    fn settle(&mut self) {
        self.mend();
        for _ in 0..3000 {
            self.now += STEP;
            for member in 0..self.members.len() {
                let actions = self.members[member].tick(self.now);
                self.act(member, actions);
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

#[test]
fn safe_entries_survive_and_terms_have_one_primary() {
    let mut terms = 0;
    let mut safe = 0;
    for seed in 0..RUNS {
        for members in [3, 5] {
            let mut run = Run::new(members, seed);
            for _ in 0..STEPS {
                run.step();
            }
            run.settle();
            terms += run.primaries.len();
            safe += run.safe.len();
        }
    }
    // The runs must have had something to check.
    assert!(terms > 5 * RUNS as usize, "{terms} terms");
    assert!(safe > 500 * RUNS as usize, "{safe} safe entries");
}

/// Has member 0 elected by a vote of member 1.
fn elect_first(consensus: &mut Consensus, now: Instant) {
    consensus.tick(now);
    for trial in [true, false] {
        let vote = Message::Vote {
            term: consensus.term() + u64::from(trial),
            trial,
            granted: true,
        };
        consensus.receive(now, 1, vote, Lsn(0));
    }
    assert_eq!(consensus.role(), Role::Primary);
}

#[test]
fn an_older_terms_entry_is_safe_only_with_one_of_the_present_term() {
    let mut run = Run::new(3, 1);
    let consensus = &mut run.members[0];
    consensus.append(0, Vec::new());
    let later = run.now + Duration::from_secs(1);
    consensus.restart(run.now);
    elect_first(consensus, later);
    assert_eq!((consensus.term(), consensus.log().len()), (2, 3));
    // How many entries member 1 has flushed, and how many are safe then.
    for (flushed, safe) in [(1, 1), (2, 1), (3, 3)] {
        let answer = Message::Appended {
            term: 2,
            flushed: Some(flushed),
            hint: 0,
            replayed: Lsn(0),
        };
        consensus.receive(later, 1, answer, Lsn(0));
        assert_eq!(consensus.majority(), safe, "{flushed} flushed");
    }
}
