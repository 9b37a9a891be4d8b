//! Log replication and primary election among the databases of one group.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use hookpoint_state::Timestamp;

use super::log::Entry;
use super::{Database, ELECTION_TIMEOUT, ElectionState, HEARTBEAT_INTERVAL};

/// A message between databases of one group.
#[derive(Clone, Debug)]
pub(crate) enum Replication {
    /// Log entries from a primary; a heartbeat if there are none.
    Append {
        term: u32,
        start: usize,
        start_term: u32,
        entries: Vec<Arc<Entry>>,
    },
    /// Reply to `Append`: the length of the replica's log. `matches` is false if the replica's
    /// log does not contain the entry before the sent ones.
    Confirm {
        term: u32,
        length: usize,
        matches: bool,
    },
    /// A candidate's request for a vote.
    RequestVote {
        term: u32,
        last_term: u32,
        length: usize,
    },
    /// A vote for the candidate of this term.
    Vote { term: u32 },
}

/// Effect of a message on the database's role, apart from the messages it sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RoleChange {
    /// The role did not change in a way that concerns connections.
    None,
    /// The database became primary.
    Promoted,
    /// The database restarted as a replica, which closes its connections.
    Restarted,
}

/// Messages to send, each with the index of the receiving database.
pub(crate) type Outbox = Vec<(usize, Replication)>;

impl Database {
    /// Checks the timers: a primary sends due heartbeats, any other database starts an
    /// election when its timeout has passed.
    pub(crate) fn tick(
        &mut self,
        now: Timestamp,
        others: &[usize],
        election_delay: Duration,
        outbox: &mut Outbox,
    ) {
        if self.is_primary() {
            if now >= self.heartbeat_at {
                self.send_log(now, others, outbox);
            }
        } else if now.since(self.election_timer_start) >= self.election_timeout {
            self.start_election(now, others, election_delay, outbox);
        }
    }

    fn start_election(
        &mut self,
        now: Timestamp,
        others: &[usize],
        election_delay: Duration,
        outbox: &mut Outbox,
    ) {
        self.current_term += 1;
        self.voted_for = Some(self.id);
        self.election_timer_start = now;
        self.election_timeout = ELECTION_TIMEOUT + election_delay;
        self.election_state = ElectionState::Candidate {
            votes: BTreeSet::from([self.id]),
        };
        let request = Replication::RequestVote {
            term: self.current_term,
            last_term: self.log.term_at(self.log.len()),
            length: self.log.len(),
        };
        outbox.extend(others.iter().map(|other| (*other, request.clone())));
    }

    /// Sends every replica the log entries that it has not yet confirmed.
    pub(crate) fn send_log(&mut self, now: Timestamp, others: &[usize], outbox: &mut Outbox) {
        self.heartbeat_at = now + HEARTBEAT_INTERVAL;
        let ElectionState::Primary { next, .. } = &self.election_state else {
            return;
        };
        for other in others {
            let start = next.get(other).copied().unwrap_or(0).min(self.log.len());
            let append = Replication::Append {
                term: self.current_term,
                start,
                start_term: self.log.term_at(start),
                entries: self.log.entries()[start..].to_vec(),
            };
            outbox.push((*other, append));
        }
    }

    /// Handles a message from another database.
    pub(crate) fn receive(
        &mut self,
        now: Timestamp,
        from: usize,
        message: Replication,
        others: &[usize],
        outbox: &mut Outbox,
    ) -> RoleChange {
        let term = match &message {
            Replication::Append { term, .. }
            | Replication::Confirm { term, .. }
            | Replication::RequestVote { term, .. }
            | Replication::Vote { term } => *term,
        };
        let stepped_down = self.adopt_newer_term(term);
        let role_change = match message {
            Replication::Append {
                term,
                start,
                start_term,
                entries,
            } => self.handle_append(now, from, (term, start, start_term), entries, outbox),
            Replication::Confirm {
                term,
                length,
                matches,
            } => {
                self.handle_confirm(from, term, length, matches);
                RoleChange::None
            }
            Replication::RequestVote {
                term,
                last_term,
                length,
            } => {
                self.handle_vote_request(now, from, (term, last_term, length), outbox);
                RoleChange::None
            }
            Replication::Vote { term } => self.handle_vote(now, from, term, others, outbox),
        };
        if stepped_down {
            RoleChange::Restarted
        } else {
            role_change
        }
    }

    /// Adopts a higher term and steps down. Returns whether the database was primary before.
    fn adopt_newer_term(&mut self, term: u32) -> bool {
        if term <= self.current_term {
            return false;
        }
        let was_primary = self.is_primary();
        self.current_term = term;
        self.voted_for = None;
        self.election_state = ElectionState::Replica;
        was_primary
    }

    fn handle_append(
        &mut self,
        now: Timestamp,
        from: usize,
        (term, start, start_term): (u32, usize, u32),
        entries: Vec<Arc<Entry>>,
        outbox: &mut Outbox,
    ) -> RoleChange {
        if term < self.current_term {
            let refusal = Replication::Confirm {
                term: self.current_term,
                length: 0,
                matches: false,
            };
            outbox.push((from, refusal));
            return RoleChange::None;
        }
        self.election_state = ElectionState::Replica;
        self.election_timer_start = now;
        let log_matches = start <= self.log.len() && self.log.term_at(start) == start_term;
        let mut lost = false;
        if log_matches {
            lost = self.append_entries(now, term, start, entries);
        }
        let answer = Replication::Confirm {
            term,
            length: self.log.len(),
            matches: log_matches,
        };
        outbox.push((from, answer));
        if lost {
            RoleChange::Restarted
        } else {
            RoleChange::None
        }
    }

    /// Adds entries that continue the database's own log. The first append of a new term also
    /// truncates the log after these entries, since the new primary does not have the rest.
    /// Returns whether replayed entries were removed.
    fn append_entries(
        &mut self,
        now: Timestamp,
        term: u32,
        start: usize,
        entries: Vec<Arc<Entry>>,
    ) -> bool {
        let mut lost = false;
        let end = start + entries.len();
        for (offset, entry) in entries.into_iter().enumerate() {
            let index = start + offset;
            if self
                .log
                .entries()
                .get(index)
                .is_some_and(|own| own.term != entry.term)
            {
                lost |= self.log.truncate(index);
            }
            if index >= self.log.len() {
                self.log.push(now, entry);
            }
        }
        if self.timeline != term {
            lost |= self.log.truncate(end);
            self.timeline = term;
        }
        lost
    }

    fn handle_confirm(&mut self, from: usize, term: u32, length: usize, matches: bool) {
        if term != self.current_term {
            return;
        }
        let own_length = self.log.len();
        let ElectionState::Primary { confirmed, next } = &mut self.election_state else {
            return;
        };
        if matches {
            let known = confirmed.entry(from).or_default();
            *known = (*known).max(length.min(own_length));
            next.insert(from, *known);
        } else {
            let start = next.entry(from).or_default();
            *start = length.min(start.saturating_sub(1));
        }
    }

    fn handle_vote_request(
        &mut self,
        now: Timestamp,
        from: usize,
        (term, last_term, length): (u32, u32, usize),
        outbox: &mut Outbox,
    ) {
        let vote_available = self.voted_for.is_none_or(|candidate| candidate == from);
        let own = (self.log.term_at(self.log.len()), self.log.len());
        if term == self.current_term
            && vote_available
            && !self.is_primary()
            && (last_term, length) >= own
        {
            self.voted_for = Some(from);
            self.election_timer_start = now;
            outbox.push((from, Replication::Vote { term }));
        }
    }

    fn handle_vote(
        &mut self,
        now: Timestamp,
        from: usize,
        term: u32,
        others: &[usize],
        outbox: &mut Outbox,
    ) -> RoleChange {
        if term != self.current_term {
            return RoleChange::None;
        }
        let ElectionState::Candidate { votes } = &mut self.election_state else {
            return RoleChange::None;
        };
        votes.insert(from);
        if votes.len() * 2 <= others.len() + 1 {
            return RoleChange::None;
        }
        self.become_primary(now, others, outbox);
        RoleChange::Promoted
    }

    /// Becomes the primary of the current term.
    pub(crate) fn become_primary(&mut self, now: Timestamp, others: &[usize], outbox: &mut Outbox) {
        let length = self.log.len();
        self.timeline = self.current_term;
        self.election_state = ElectionState::Primary {
            confirmed: BTreeMap::new(),
            next: others.iter().map(|other| (*other, length)).collect(),
        };
        let term_start_entry = Entry {
            term: self.timeline,
            owner: None,
            writes: Vec::new(),
            ledger: None,
        };
        self.log.push(now, Arc::new(term_start_entry));
        self.replay(now);
        self.send_log(now, others, outbox);
    }

    /// Steps down for a planned switchover and delays its own next candidacy by
    /// [`ELECTION_TIMEOUT`].
    pub(crate) fn step_down(&mut self, now: Timestamp) {
        self.election_state = ElectionState::Replica;
        self.election_timer_start = now + ELECTION_TIMEOUT;
    }
}
