//! Replication and election.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use hookpoint_state::Timestamp;

use super::log::Entry;
use super::{Database, ELECTION_TIMEOUT, HEARTBEAT, Standing};

/// A message between databases of one group.
#[derive(Clone, Debug)]
pub(crate) enum Replication {
    /// Log from a primary.
    Append {
        term: u32,
        start: usize,
        start_term: u32,
        entries: Vec<Arc<Entry>>,
    },
    /// What a replica has of it; `matches` is false when its log does not join.
    Confirm {
        term: u32,
        length: usize,
        matches: bool,
    },
    /// A candidate asks for a vote.
    AskVote {
        term: u32,
        last_term: u32,
        length: usize,
    },
    /// A vote for the candidate of this term.
    Vote { term: u32 },
}

/// What happened besides messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Upheaval {
    /// Nothing.
    None,
    /// It leads now.
    Promoted,
    /// It had to start anew as a replica, which ends its connections.
    Restarted,
}

/// Messages to other databases.
pub(crate) type Outbox = Vec<(usize, Replication)>;

impl Database {
    /// Looks at the timers.
    pub(crate) fn tick(
        &mut self,
        now: Timestamp,
        others: &[usize],
        patience: Duration,
        outbox: &mut Outbox,
    ) {
        if self.is_primary() {
            if now >= self.heartbeat_at {
                self.send_log(now, others, outbox);
            }
        } else if now.since(self.heard_at) >= self.patience {
            self.stand(now, others, patience, outbox);
        }
    }

    fn stand(&mut self, now: Timestamp, others: &[usize], patience: Duration, outbox: &mut Outbox) {
        self.promised += 1;
        self.voted_for = Some(self.id);
        self.heard_at = now;
        self.patience = ELECTION_TIMEOUT + patience;
        self.standing = Standing::Candidate {
            votes: BTreeSet::from([self.id]),
        };
        let ask = Replication::AskVote {
            term: self.promised,
            last_term: self.log.term_at(self.log.len()),
            length: self.log.len(),
        };
        outbox.extend(others.iter().map(|other| (*other, ask.clone())));
    }

    /// Sends every other database what it may lack.
    pub(crate) fn send_log(&mut self, now: Timestamp, others: &[usize], outbox: &mut Outbox) {
        self.heartbeat_at = now + HEARTBEAT;
        let Standing::Primary { next, .. } = &self.standing else {
            return;
        };
        for other in others {
            let start = next.get(other).copied().unwrap_or(0).min(self.log.len());
            let append = Replication::Append {
                term: self.promised,
                start,
                start_term: self.log.term_at(start),
                entries: self.log.entries()[start..].to_vec(),
            };
            outbox.push((*other, append));
        }
    }

    /// Takes a message.
    pub(crate) fn receive(
        &mut self,
        now: Timestamp,
        from: usize,
        message: Replication,
        others: &[usize],
        outbox: &mut Outbox,
    ) -> Upheaval {
        let term = match &message {
            Replication::Append { term, .. }
            | Replication::Confirm { term, .. }
            | Replication::AskVote { term, .. }
            | Replication::Vote { term } => *term,
        };
        let stepped_down = self.notice_term(term);
        let upheaval = match message {
            Replication::Append {
                term,
                start,
                start_term,
                entries,
            } => self.append(now, from, (term, start, start_term), entries, outbox),
            Replication::Confirm {
                term,
                length,
                matches,
            } => {
                self.confirmed(from, term, length, matches);
                Upheaval::None
            }
            Replication::AskVote {
                term,
                last_term,
                length,
            } => {
                self.vote(now, from, (term, last_term, length), outbox);
                Upheaval::None
            }
            Replication::Vote { term } => self.voted(now, from, term, others, outbox),
        };
        if stepped_down {
            Upheaval::Restarted
        } else {
            upheaval
        }
    }

    /// Steps down before a higher term. Returns whether it led before.
    fn notice_term(&mut self, term: u32) -> bool {
        if term <= self.promised {
            return false;
        }
        let led = self.is_primary();
        self.promised = term;
        self.voted_for = None;
        self.standing = Standing::Replica;
        led
    }

    fn append(
        &mut self,
        now: Timestamp,
        from: usize,
        (term, start, start_term): (u32, usize, u32),
        entries: Vec<Arc<Entry>>,
        outbox: &mut Outbox,
    ) -> Upheaval {
        if term < self.promised {
            let refusal = Replication::Confirm {
                term: self.promised,
                length: 0,
                matches: false,
            };
            outbox.push((from, refusal));
            return Upheaval::None;
        }
        self.standing = Standing::Replica;
        self.heard_at = now;
        let joins = start <= self.log.len() && self.log.term_at(start) == start_term;
        let mut lost = false;
        if joins {
            lost = self.take_entries(now, term, start, entries);
        }
        let answer = Replication::Confirm {
            term,
            length: self.log.len(),
            matches: joins,
        };
        outbox.push((from, answer));
        if lost {
            Upheaval::Restarted
        } else {
            Upheaval::None
        }
    }

    /// Takes log that joins its own. The first log of a new term also cuts off what the
    /// new primary does not have. Returns whether replayed entries were lost.
    fn take_entries(
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

    fn confirmed(&mut self, from: usize, term: u32, length: usize, matches: bool) {
        if term != self.promised {
            return;
        }
        let own_length = self.log.len();
        let Standing::Primary { confirmed, next } = &mut self.standing else {
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

    fn vote(
        &mut self,
        now: Timestamp,
        from: usize,
        (term, last_term, length): (u32, u32, usize),
        outbox: &mut Outbox,
    ) {
        let free = self.voted_for.is_none_or(|candidate| candidate == from);
        let own = (self.log.term_at(self.log.len()), self.log.len());
        if term == self.promised && free && !self.is_primary() && (last_term, length) >= own {
            self.voted_for = Some(from);
            self.heard_at = now;
            outbox.push((from, Replication::Vote { term }));
        }
    }

    fn voted(
        &mut self,
        now: Timestamp,
        from: usize,
        term: u32,
        others: &[usize],
        outbox: &mut Outbox,
    ) -> Upheaval {
        if term != self.promised {
            return Upheaval::None;
        }
        let Standing::Candidate { votes } = &mut self.standing else {
            return Upheaval::None;
        };
        votes.insert(from);
        if votes.len() * 2 <= others.len() + 1 {
            return Upheaval::None;
        }
        self.lead(now, others, outbox);
        Upheaval::Promoted
    }

    /// Takes the lead of the promised term.
    pub(crate) fn lead(&mut self, now: Timestamp, others: &[usize], outbox: &mut Outbox) {
        let length = self.log.len();
        self.timeline = self.promised;
        self.standing = Standing::Primary {
            confirmed: BTreeMap::new(),
            next: others.iter().map(|other| (*other, length)).collect(),
        };
        let mark = Entry {
            term: self.timeline,
            owner: None,
            writes: Vec::new(),
            ledger: None,
        };
        self.log.push(now, Arc::new(mark));
        self.replay(now);
        self.send_log(now, others, outbox);
    }

    /// Gives up the lead in a planned way.
    pub(crate) fn resign(&mut self, now: Timestamp) {
        self.standing = Standing::Replica;
        self.heard_at = now + ELECTION_TIMEOUT;
    }
}
