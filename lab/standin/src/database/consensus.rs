//! Agreement within a group: who is primary in which term, and which entries
//! of the log a majority has flushed. Deterministic: time and messages come
//! in, actions go out.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::entry::{Entry, LoggedStatement};
use super::position::{FIRST_LSN, Lsn};

mod election;
mod message;
#[cfg(test)]
mod tests;

pub use message::{Action, Member, Message, Role, Timing};

/// Entries sent in one message at most.
const BATCH: usize = 256;

/// What a primary knows of a replica.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Entries sent to it.
    next: usize,
    /// Entries that it has flushed.
    pub flushed: usize,
    /// End of what it has replayed.
    pub replayed: Lsn,
    /// When it was last heard in this term.
    pub heard_at: Option<Instant>,
}

/// The state of one member of a group.
pub struct Consensus {
    member: Member,
    timing: Timing,
    random: ChaCha8Rng,
    role: Role,
    term: u64,
    vote: Option<Member>,
    trial: bool,
    votes: BTreeSet<Member>,
    primary: Option<Member>,
    heard_at: Instant,
    deadline: Instant,
    heartbeat_at: Instant,
    peers: Vec<Peer>,
    log: Vec<Arc<Entry>>,
    majority: usize,
}

impl Consensus {
    /// Member `member` of `members`, all of which start with `first` as their
    /// log and with member 0 as the primary of the first term.
    pub fn new(
        member: Member,
        members: usize,
        first: Arc<Entry>,
        timing: Timing,
        seed: u64,
        now: Instant,
    ) -> Self {
        let mut consensus = Self {
            member,
            timing,
            random: ChaCha8Rng::seed_from_u64(seed),
            role: if member == 0 {
                Role::Primary
            } else {
                Role::Replica
            },
            term: first.term,
            vote: Some(0),
            trial: false,
            votes: BTreeSet::new(),
            primary: Some(0),
            heard_at: now,
            deadline: now,
            heartbeat_at: now,
            peers: vec![
                Peer {
                    next: 1,
                    flushed: 1,
                    replayed: first.end,
                    heard_at: None,
                };
                members
            ],
            log: vec![first],
            majority: 1,
        };
        consensus.postpone_election(now);
        consensus
    }

    /// What this member is.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The term this member is in.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The timeline that the log here belongs to: the term of its last entry.
    /// All of the log up to there is the same as that term's primary's.
    pub fn timeline(&self) -> u64 {
        self.log.last().map_or(0, |entry| entry.term)
    }

    /// The log.
    pub fn log(&self) -> &[Arc<Entry>] {
        &self.log
    }

    /// End of the log.
    pub fn flushed(&self) -> Lsn {
        self.position(self.log.len())
    }

    /// Position after the first `length` entries.
    pub fn position(&self, length: usize) -> Lsn {
        match length.checked_sub(1).and_then(|last| self.log.get(last)) {
            Some(entry) => entry.end,
            None => FIRST_LSN,
        }
    }

    /// How many entries a majority is known to have flushed.
    pub fn majority(&self) -> usize {
        self.majority
    }

    /// What the primary knows of each member.
    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    /// When a primary was last heard here.
    pub fn heard_at(&self) -> Instant {
        self.heard_at
    }

    /// The primary that this replica heard within its election timeout.
    pub fn heard_primary(&self, now: Instant) -> Option<Member> {
        let heard = now.saturating_duration_since(self.heard_at) < self.timing.election_timeout;
        self.primary.filter(|_| heard && self.role == Role::Replica)
    }

    /// When [`Self::tick`] must be called next.
    pub fn next_tick(&self) -> Instant {
        match self.role {
            Role::Primary => self.heartbeat_at,
            _ => self.deadline,
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        if now < self.next_tick() {
            return actions;
        }
        if self.role == Role::Primary {
            self.heartbeat_at = now + self.timing.heartbeat_interval;
            self.send_entries(&mut actions, true);
        } else {
            self.ask(now, true, false, &mut actions);
        }
        actions
    }

    /// Forgets everything that a restart forgets: all but term, vote and log.
    pub fn restart(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.role == Role::Primary {
            actions.push(Action::SteppedDown);
        }
        self.role = Role::Replica;
        self.primary = None;
        self.votes.clear();
        self.postpone_election(now);
        actions
    }

    /// Adds a committed transaction; only for a primary.
    pub fn append(&mut self, timestamp: i64, statements: Vec<LoggedStatement>) -> Vec<Action> {
        let mut actions = Vec::new();
        let entry = Entry::new(self.term, self.flushed(), timestamp, statements);
        self.log.push(Arc::new(entry));
        actions.push(Action::Flushed);
        self.advance_majority(&mut actions);
        self.send_entries(&mut actions, false);
        actions
    }

    /// Asks `target` to take over, which must have the whole log.
    pub fn hand_over(&mut self, target: Member) -> Vec<Action> {
        vec![Action::Send(target, Message::TakeOver { term: self.term })]
    }

    /// Takes in a message.
    pub fn receive(
        &mut self,
        now: Instant,
        from: Member,
        message: Message,
        replayed: Lsn,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        match message {
            Message::Append {
                term,
                length,
                last_term,
                entries,
            } => {
                if term >= self.term {
                    self.follow(now, term, from, &mut actions);
                }
                let hint = self.hint(length);
                let flushed = (term == self.term)
                    .then(|| self.add(length, last_term, entries, &mut actions))
                    .flatten();
                let reply = Message::Appended {
                    term: self.term,
                    flushed,
                    hint,
                    replayed,
                };
                actions.push(Action::Send(from, reply));
            }
            Message::Appended {
                term,
                flushed,
                hint,
                replayed,
            } => self.take_answer(now, from, term, flushed, hint, replayed, &mut actions),
            Message::Ask {
                term,
                trial,
                planned,
                last_term,
                length,
            } => {
                let vote = self.vote_on(
                    now,
                    from,
                    term,
                    trial,
                    planned,
                    (last_term, length),
                    &mut actions,
                );
                actions.push(Action::Send(from, vote));
            }
            Message::Vote {
                term,
                trial,
                granted,
            } => self.take_vote(now, from, term, trial, granted, &mut actions),
            Message::TakeOver { term } => {
                if term == self.term && self.role == Role::Replica {
                    self.ask(now, false, true, &mut actions);
                }
            }
        }
        actions
    }

    fn postpone_election(&mut self, now: Instant) {
        let base = self.timing.election_timeout.as_micros() as u64;
        let jitter = self.random.random_range(0..=base);
        self.deadline = now + Duration::from_micros(base + jitter);
    }

    fn members(&self) -> usize {
        self.peers.len()
    }

    fn is_majority(&self, count: usize) -> bool {
        count * 2 > self.members()
    }

    fn last(&self) -> (u64, usize) {
        (self.timeline(), self.log.len())
    }

    fn step_down(&mut self, actions: &mut Vec<Action>) {
        if self.role == Role::Primary {
            actions.push(Action::SteppedDown);
        }
        self.role = Role::Replica;
        self.votes.clear();
    }

    fn enter_term(&mut self, term: u64, actions: &mut Vec<Action>) {
        self.step_down(actions);
        self.term = term;
        self.vote = None;
        self.primary = None;
    }

    fn follow(&mut self, now: Instant, term: u64, primary: Member, actions: &mut Vec<Action>) {
        if term > self.term {
            self.enter_term(term, actions);
        }
        self.step_down(actions);
        self.primary = Some(primary);
        self.heard_at = now;
        self.postpone_election(now);
    }

    /// Adds entries if they fit; returns how many entries are now the same as
    /// the primary's.
    fn add(
        &mut self,
        length: usize,
        last_term: u64,
        entries: Vec<Arc<Entry>>,
        actions: &mut Vec<Action>,
    ) -> Option<usize> {
        let fits = length <= self.log.len()
            && length
                .checked_sub(1)
                .is_none_or(|last| self.log[last].term == last_term);
        if !fits {
            return None;
        }
        let mut at = length;
        let mut added = false;
        for entry in entries {
            let known = self.log.get(at).map(|known| known.term);
            if known.is_some_and(|term| term != entry.term) {
                self.log.truncate(at);
                actions.push(Action::Truncated(at));
            }
            if at >= self.log.len() {
                self.log.push(entry);
                added = true;
            }
            at += 1;
        }
        if added {
            actions.push(Action::Flushed);
        }
        Some(at)
    }

    /// Where a primary goes on after a message that did not fit behind
    /// `length` entries: before all of the term that differs there.
    fn hint(&self, length: usize) -> usize {
        let Some(last) = length.checked_sub(1).and_then(|last| self.log.get(last)) else {
            return self.log.len();
        };
        self.log.partition_point(|entry| entry.term < last.term)
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    fn take_answer(
        &mut self,
        now: Instant,
        from: Member,
        term: u64,
        flushed: Option<usize>,
        hint: usize,
        replayed: Lsn,
        actions: &mut Vec<Action>,
    ) {
        if term > self.term {
            self.enter_term(term, actions);
            self.postpone_election(now);
            return;
        }
        if term < self.term || self.role != Role::Primary {
            return;
        }
        let peer = &mut self.peers[from];
        peer.heard_at = Some(now);
        peer.replayed = replayed;
        match flushed {
            Some(flushed) => {
                peer.flushed = peer.flushed.max(flushed);
                peer.next = peer.next.max(flushed);
            }
            None => peer.next = hint.max(peer.flushed),
        }
        self.advance_majority(actions);
        if flushed.is_none() {
            self.send_to(from, true, actions);
        }
    }

    fn advance_majority(&mut self, actions: &mut Vec<Action>) {
        let own = self.log.len();
        let mut flushed: Vec<usize> = self.peers.iter().map(|peer| peer.flushed).collect();
        flushed[self.member] = own;
        flushed.sort_unstable();
        let majority = flushed[(self.members() - 1) / 2];
        // An older term's entries count only with one of this term after them.
        let of_this_term = majority > self.majority && self.log[majority - 1].term == self.term;
        if of_this_term {
            self.majority = majority;
            actions.push(Action::MajorityAdvanced);
        }
    }

    fn send_entries(&mut self, actions: &mut Vec<Action>, heartbeat: bool) {
        for member in 0..self.members() {
            if member != self.member {
                self.send_to(member, heartbeat, actions);
            }
        }
    }

    fn send_to(&mut self, member: Member, heartbeat: bool, actions: &mut Vec<Action>) {
        let length = self.peers[member].next.min(self.log.len());
        let end = (length + BATCH).min(self.log.len());
        if length == end && !heartbeat {
            return;
        }
        let message = Message::Append {
            term: self.term,
            length,
            last_term: length.checked_sub(1).map_or(0, |last| self.log[last].term),
            entries: self.log[length..end].to_vec(),
        };
        self.peers[member].next = end;
        actions.push(Action::Send(member, message));
    }
}
