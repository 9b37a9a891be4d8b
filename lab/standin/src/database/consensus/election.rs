//! Elections: requesting, granting and counting votes.

use std::collections::BTreeSet;
use std::time::Instant;

use super::{Action, Consensus, Member, Message, Role};
use crate::database::position::FIRST_LSN;
use crate::database::timestamp;

impl Consensus {
    pub(super) fn start_election(
        &mut self,
        now: Instant,
        pre_vote: bool,
        planned: bool,
        actions: &mut Vec<Action>,
    ) {
        self.postpone_election(now);
        self.role = Role::Candidate;
        self.pre_vote = pre_vote;
        self.votes = BTreeSet::from([self.member]);
        if !pre_vote {
            self.term += 1;
            self.vote = Some(self.member);
            self.primary = None;
        }
        let (last_term, length) = self.last();
        let term = if pre_vote { self.term + 1 } else { self.term };
        for member in 0..self.members() {
            if member != self.member {
                let message = Message::RequestVote {
                    term,
                    pre_vote,
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
    pub(super) fn handle_vote_request(
        &mut self,
        now: Instant,
        from: Member,
        term: u64,
        pre_vote: bool,
        planned: bool,
        last: (u64, usize),
        actions: &mut Vec<Action>,
    ) -> Message {
        let has_primary = self.role == Role::Replica && self.reachable_primary(now).is_some();
        let leads_majority = self.role == Role::Primary && self.reaches_majority(now);
        let rejects = (has_primary || leads_majority) && !planned;
        if term > self.term && !pre_vote && !rejects {
            self.enter_term(term, actions);
        }
        let vote_available = if pre_vote {
            term > self.term
        } else {
            term == self.term && self.vote.is_none_or(|vote| vote == from)
        };
        let granted =
            vote_available && !rejects && last >= self.last() && self.role != Role::Primary;
        if granted && !pre_vote {
            self.vote = Some(from);
            self.postpone_election(now);
        }
        Message::Vote {
            term: if granted { term } else { self.term },
            pre_vote,
            granted,
        }
    }

    fn reaches_majority(&self, now: Instant) -> bool {
        let reachable = self.peers.iter().filter(|peer| {
            peer.last_message_at
                .is_some_and(|at| now.saturating_duration_since(at) < self.timing.election_timeout)
        });
        self.is_majority(reachable.count() + 1)
    }

    pub(super) fn handle_vote(
        &mut self,
        now: Instant,
        from: Member,
        term: u64,
        pre_vote: bool,
        granted: bool,
        actions: &mut Vec<Action>,
    ) {
        if !granted && term > self.term {
            self.enter_term(term, actions);
            self.postpone_election(now);
            return;
        }
        let expected_term = if self.pre_vote {
            self.term + 1
        } else {
            self.term
        };
        let is_valid = granted
            && self.role == Role::Candidate
            && pre_vote == self.pre_vote
            && term == expected_term;
        if is_valid {
            self.votes.insert(from);
            self.count_votes(now, actions);
        }
    }

    fn count_votes(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.is_majority(self.votes.len()) {
            return;
        }
        if self.pre_vote {
            self.start_election(now, false, false, actions);
        } else {
            self.become_primary(now, actions);
        }
    }

    fn become_primary(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.role = Role::Primary;
        self.primary = Some(self.member);
        self.votes.clear();
        self.heartbeat_at = now + self.timing.heartbeat_interval;
        let length = self.log.len();
        for peer in &mut self.peers {
            peer.next = length;
            peer.flushed = 0;
            peer.last_message_at = None;
            peer.replayed = FIRST_LSN;
        }
        actions.push(Action::BecamePrimary);
        // An empty entry of the new term lets entries of older terms count as
        // flushed by a majority.
        actions.extend(self.append(timestamp::now_micros(), Vec::new()));
    }
}
