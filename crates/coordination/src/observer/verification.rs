//! The judgement of one round of status queries.

use std::collections::BTreeMap;

use hookpoint_state::{DatabaseName, Position, Term};

use crate::status::{BackendStatus, Role};

/// What a round has come to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VerificationState {
    /// Answers are missing.
    Open,
    /// A majority answered after the round had started, and the primary of the highest
    /// term among the answers said so itself. It was at this position.
    Verified(Position),
    /// No further answer can bring that about.
    Failed,
}

/// One round of status queries to all databases of a group.
///
/// A primary of a higher term than any answer shows would have been made by a majority
/// before the round started; that majority shares a database with the one that answered,
/// which would have shown the higher term.
#[derive(Clone, Debug)]
pub struct Verification {
    answers: BTreeMap<DatabaseName, Option<BackendStatus>>,
    members: usize,
}

impl Verification {
    /// A round that asks `members` databases: all of the group.
    pub fn new(members: usize) -> Self {
        Self {
            answers: BTreeMap::new(),
            members,
        }
    }

    /// Takes the answer of `database`, or none if it gave none.
    pub fn answered(&mut self, database: DatabaseName, status: Option<BackendStatus>) {
        self.answers.insert(database, status);
    }

    /// What the round has come to.
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
            .map(BackendStatus::place)
            .next()
    }
}
