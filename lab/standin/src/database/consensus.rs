//! Consensus within a group: the primary of each term and the log entries that a
//! majority has flushed. The state machine is deterministic: it takes time and
//! messages as input and returns actions.

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

/// Maximum number of entries per message.
const MAX_BATCH_ENTRIES: usize = 256;

/// Replication progress of a replica, as tracked by the primary.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Number of entries sent to the replica; the next entry to send.
    next: usize,
    /// Number of entries that the replica is known to have flushed.
    pub flushed: usize,
    /// End position of the entries that the replica has replayed.
    pub replayed: Lsn,
    /// Time of its last message in this term.
    pub last_message_at: Option<Instant>,
}

/// The consensus state of one member of a group.
pub struct Consensus {
    member: Member,
    timing: Timing,
    random: ChaCha8Rng,
    role: Role,
    term: u64,
    vote: Option<Member>,
    pre_vote: bool,
    votes: BTreeSet<Member>,
    primary: Option<Member>,
    last_primary_message_at: Instant,
    deadline: Instant,
    heartbeat_at: Instant,
    peers: Vec<Peer>,
    log: Vec<Arc<Entry>>,
    majority_flushed: usize,
}

impl Consensus {
    /// Creates the state of member `member` in a group of `members`. All members
    /// start with `first` as their log and member 0 as the primary of the first
    /// term.
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
            pre_vote: false,
            votes: BTreeSet::new(),
            primary: Some(0),
            last_primary_message_at: now,
            deadline: now,
            heartbeat_at: now,
            peers: vec![
                Peer {
                    next: 1,
                    flushed: 1,
                    replayed: first.end,
                    last_message_at: None,
                };
                members
            ],
            log: vec![first],
            majority_flushed: 1,
        };
        consensus.postpone_election(now);
        consensus
    }

    /// Returns the role of this member.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the current term of this member.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the timeline of the local log, which is the term of its last entry.
    /// The log up to that entry is identical to that of the term's primary.
    pub fn timeline(&self) -> u64 {
        self.log.last().map_or(0, |entry| entry.term)
    }

    /// Returns the log.
    pub fn log(&self) -> &[Arc<Entry>] {
        &self.log
    }

    /// Returns the end position of the log.
    pub fn flushed(&self) -> Lsn {
        self.position(self.log.len())
    }

    /// Returns the position after the first `length` entries.
    pub fn position(&self, length: usize) -> Lsn {
        match length.checked_sub(1).and_then(|last| self.log.get(last)) {
            Some(entry) => entry.end,
            None => FIRST_LSN,
        }
    }

    /// Returns the number of entries that a majority is known to have flushed.
    pub fn majority_flushed(&self) -> usize {
        self.majority_flushed
    }

    /// Returns the replication progress of each member.
    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    /// Returns the time of the last message from a primary.
    pub fn last_primary_message_at(&self) -> Instant {
        self.last_primary_message_at
    }

    /// Returns the primary from which this replica received a message within its
    /// election timeout.
    pub fn reachable_primary(&self, now: Instant) -> Option<Member> {
        let is_recent = now.saturating_duration_since(self.last_primary_message_at)
            < self.timing.election_timeout;
        self.primary
            .filter(|_| is_recent && self.role == Role::Replica)
    }

    /// Returns when [`Self::tick`] must be called next.
    pub fn next_tick(&self) -> Instant {
        match self.role {
            Role::Primary => self.heartbeat_at,
            _ => self.deadline,
        }
    }

    /// Sends heartbeats or starts an election if either is due at `now`.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        if now < self.next_tick() {
            return actions;
        }
        if self.role == Role::Primary {
            self.heartbeat_at = now + self.timing.heartbeat_interval;
            self.send_entries(&mut actions, true);
        } else {
            self.start_election(now, true, false, &mut actions);
        }
        actions
    }

    /// Resets the volatile state, as a restart does. Term, vote and log are kept.
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

    /// Appends a committed transaction to the log; must be called on a primary only.
    pub fn append(&mut self, timestamp: i64, statements: Vec<LoggedStatement>) -> Vec<Action> {
        let mut actions = Vec::new();
        let entry = Entry::new(self.term, self.flushed(), timestamp, statements);
        self.log.push(Arc::new(entry));
        actions.push(Action::Flushed);
        self.advance_majority_flushed(&mut actions);
        self.send_entries(&mut actions, false);
        actions
    }

    /// Requests `target` to take over; `target` must have the complete log.
    pub fn hand_over(&mut self, target: Member) -> Vec<Action> {
        vec![Action::Send(target, Message::TakeOver { term: self.term })]
    }

    /// Handles a message from another member; `replayed` is the local replay
    /// position.
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
                    .then(|| self.append_matching(length, last_term, entries, &mut actions))
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
            } => self.handle_appended(now, from, term, flushed, hint, replayed, &mut actions),
            Message::RequestVote {
                term,
                pre_vote,
                planned,
                last_term,
                length,
            } => {
                let vote = self.handle_vote_request(
                    now,
                    from,
                    term,
                    pre_vote,
                    planned,
                    (last_term, length),
                    &mut actions,
                );
                actions.push(Action::Send(from, vote));
            }
            Message::Vote {
                term,
                pre_vote,
                granted,
            } => self.handle_vote(now, from, term, pre_vote, granted, &mut actions),
            Message::TakeOver { term } => {
                if term == self.term && self.role == Role::Replica {
                    self.start_election(now, false, true, &mut actions);
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
        self.last_primary_message_at = now;
        self.postpone_election(now);
    }

    /// Appends entries if the log matches the primary's at `length`. Returns the
    /// number of entries that are now identical to the primary's.
    fn append_matching(
        &mut self,
        length: usize,
        last_term: u64,
        entries: Vec<Arc<Entry>>,
        actions: &mut Vec<Action>,
    ) -> Option<usize> {
        let matches = length <= self.log.len()
            && length
                .checked_sub(1)
                .is_none_or(|last| self.log[last].term == last_term);
        if !matches {
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

    /// Returns the length from which the primary continues after a mismatch at
    /// `length`: before all local entries of the conflicting term.
    fn hint(&self, length: usize) -> usize {
        let Some(last) = length.checked_sub(1).and_then(|last| self.log.get(last)) else {
            return self.log.len();
        };
        self.log.partition_point(|entry| entry.term < last.term)
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    fn handle_appended(
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
        peer.last_message_at = Some(now);
        peer.replayed = replayed;
        match flushed {
            Some(flushed) => {
                peer.flushed = peer.flushed.max(flushed);
                peer.next = peer.next.max(flushed);
            }
            None => peer.next = hint.max(peer.flushed),
        }
        self.advance_majority_flushed(actions);
        if flushed.is_none() {
            self.send_to(from, true, actions);
        }
    }

    fn advance_majority_flushed(&mut self, actions: &mut Vec<Action>) {
        let own = self.log.len();
        let mut flushed: Vec<usize> = self.peers.iter().map(|peer| peer.flushed).collect();
        flushed[self.member] = own;
        flushed.sort_unstable();
        let majority_flushed = flushed[(self.members() - 1) / 2];
        // Entries of an older term count as flushed by a majority only once an
        // entry of the current term after them does.
        let can_advance = majority_flushed > self.majority_flushed
            && self.log[majority_flushed - 1].term == self.term;
        if can_advance {
            self.majority_flushed = majority_flushed;
            actions.push(Action::MajorityFlushedAdvanced);
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
        let end = (length + MAX_BATCH_ENTRIES).min(self.log.len());
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
