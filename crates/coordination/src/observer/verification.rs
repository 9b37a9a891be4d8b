//! Evaluation of one round of status queries.

use std::collections::BTreeMap;

use hookpoint_state::{DatabaseName, Position, Term};

use crate::status::{BackendStatus, Role};

/// State of a verification round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VerificationState {
    /// Further answers may still decide the round.
    Open,
    /// A majority answered after the round had started, and the primary of the highest
    /// term among the answers was one of them. Holds the position it reported.
    Verified(Position),
    /// Every database has answered or failed to answer, and the term is not verified.
    Failed,
}

/// One round of status queries to all databases of a group.
///
/// This is sound because a primary of a higher term than any answer shows must have been
/// elected by a majority before the round started. That majority shares a database with
/// the majority that answered, and that database would have reported the higher term.
#[derive(Clone, Debug)]
pub struct Verification {
    answers: BTreeMap<DatabaseName, Option<BackendStatus>>,
    members: usize,
}

impl Verification {
    /// Creates a round that queries `members` databases, which must be all of the group.
    pub fn new(members: usize) -> Self {
        Self {
            answers: BTreeMap::new(),
            members,
        }
    }

    /// Records the answer of `database`, or `None` if it did not answer.
    pub fn record_answer(&mut self, database: DatabaseName, status: Option<BackendStatus>) {
        self.answers.insert(database, status);
    }

    /// Returns the state of the round.
    pub fn state(&self) -> VerificationState {
        let statuses = || self.answers.values().flatten();
        let term = statuses().map(|status| status.term).max();
        let verified = term
            .filter(|_| statuses().count() > self.members / 2)
            .and_then(|term| self.primary_of(term));
        match verified {
            Some(position) => VerificationState::Verified(position),
            None if self.answers.len() >= self.members => VerificationState::Failed,
            None => VerificationState::Open,
        }
    }

    fn primary_of(&self, term: Term) -> Option<Position> {
        let statuses = self.answers.values().flatten();
        statuses
            .filter(|status| status.term == term && status.role == Role::Primary)
            .map(BackendStatus::log_position)
            .next()
    }
}
