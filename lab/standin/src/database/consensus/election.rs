//! Elections: who asks for votes, who gives them, who leads.

use std::collections::BTreeSet;
use std::time::Instant;

use super::{Action, Consensus, Member, Message, Role};
use crate::database::position::FIRST_LSN;
use crate::database::timestamp;

impl Consensus {
    pub(super) fn ask(
        &mut self,
        now: Instant,
        trial: bool,
        planned: bool,
        actions: &mut Vec<Action>,
    ) {
        self.postpone_election(now);
        self.role = Role::Candidate;
        self.trial = trial;
        self.votes = BTreeSet::from([self.member]);
        if !trial {
            self.term += 1;
            self.vote = Some(self.member);
            self.primary = None;
        }
        let (last_term, length) = self.last();
        let term = if trial { self.term + 1 } else { self.term };
        for member in 0..self.members() {
            if member != self.member {
                let message = Message::Ask {
                    term,
                    trial,
                    planned,
                    last_term,
                    length,
                };
                actions.push(Action::Send(member, message));
            }
        }
        self.count_votes(now, actions);
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    pub(super) fn vote_on(
        &mut self,
        now: Instant,
        from: Member,
        term: u64,
        trial: bool,
        planned: bool,
        last: (u64, usize),
        actions: &mut Vec<Action>,
    ) -> Message {
        let content = self.role == Role::Replica && self.heard_primary(now).is_some();
        let leading = self.role == Role::Primary && self.hears_majority(now);
        let refuses = (content || leading) && !planned;
        if term > self.term && !trial && !refuses {
            self.enter_term(term, actions);
        }
        let free = if trial {
            term > self.term
        } else {
            term == self.term && self.vote.is_none_or(|vote| vote == from)
        };
        let granted = free && !refuses && last >= self.last() && self.role != Role::Primary;
        if granted && !trial {
            self.vote = Some(from);
            self.postpone_election(now);
        }
        Message::Vote {
            term: if granted { term } else { self.term },
            trial,
            granted,
        }
    }

    fn hears_majority(&self, now: Instant) -> bool {
        let heard = self.peers.iter().filter(|peer| {
            peer.heard_at
                .is_some_and(|at| now.saturating_duration_since(at) < self.timing.election_timeout)
        });
        self.is_majority(heard.count() + 1)
    }

    pub(super) fn take_vote(
        &mut self,
        now: Instant,
        from: Member,
        term: u64,
        trial: bool,
        granted: bool,
        actions: &mut Vec<Action>,
    ) {
        if !granted && term > self.term {
            self.enter_term(term, actions);
            self.postpone_election(now);
            return;
        }
        let asked = if self.trial { self.term + 1 } else { self.term };
        let counts =
            granted && self.role == Role::Candidate && trial == self.trial && term == asked;
        if counts {
            self.votes.insert(from);
            self.count_votes(now, actions);
        }
    }

    fn count_votes(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.is_majority(self.votes.len()) {
            return;
        }
        if self.trial {
            self.ask(now, false, false, actions);
        } else {
            self.lead(now, actions);
        }
    }

    fn lead(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.role = Role::Primary;
        self.primary = Some(self.member);
        self.votes.clear();
        self.heartbeat_at = now + self.timing.heartbeat_interval;
        let length = self.log.len();
        for peer in &mut self.peers {
            peer.next = length;
            peer.flushed = 0;
            peer.heard_at = None;
            peer.replayed = FIRST_LSN;
        }
        actions.push(Action::BecamePrimary);
        // An empty entry starts the term, so that the older ones count.
        actions.extend(self.append(timestamp::now_micros(), Vec::new()));
    }
}
