//! An operator's roll: moving the platform's pointer to another version, with answers
//! that may be lost.
//!
//! The pointer is moved by one transaction that compares the revision it was read at.
//! The transaction may be sent again after a lost answer: the comparison holds at most
//! once, and when it fails, the identifier of the attempt found in the store says
//! whether an earlier sending took effect. Once the comparison has failed, no sending
//! that is still under way can take effect any more.

use hookpoint_state::{BundleVersion, Outcome};

/// A pointer as it was read.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PointerView<Attempt> {
    /// Version it names.
    pub version: BundleVersion,
    /// The attempt that set it.
    pub attempt: Attempt,
}

/// What happened to a roll's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RollEvent<Attempt> {
    /// The pointer was read. Answers [`RollStep::ReadPointer`].
    PointerRead {
        /// The pointer, once anything was rolled.
        pointer: Option<PointerView<Attempt>>,
        /// Revision of its latest change; 0 when it does not exist.
        revision: i64,
    },
    /// The transaction ran and its comparison held. Answers [`RollStep::MovePointer`].
    Moved,
    /// The transaction ran and its comparison failed; this is what it read instead.
    /// Answers [`RollStep::MovePointer`].
    NotMoved {
        /// The pointer.
        pointer: Option<PointerView<Attempt>>,
        /// The pointer that once named the version to be rolled, from the history.
        past: Option<PointerView<Attempt>>,
    },
    /// The request brought no answer.
    Failed {
        /// What that says of it.
        outcome: Outcome,
    },
    /// The operator's time is over.
    GaveUp,
}

/// What a roll needs next.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RollStep<Attempt> {
    /// Read the pointer.
    ReadPointer,
    /// Move the pointer if its latest change still has this revision.
    MovePointer {
        /// The revision.
        unchanged_since: i64,
        /// Version that the pointer names until then.
        previous: BundleVersion,
    },
    /// Nothing; this is what it came to.
    Finished(RollResult<Attempt>),
}

/// What a roll came to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RollResult<Attempt> {
    /// The version was put in force.
    Rolled {
        /// Version that was in force before.
        previous: BundleVersion,
        /// Whether another version has been rolled since.
        superseded: bool,
    },
    /// Another roll came first; nothing was changed, and nothing will be.
    Conflict {
        /// The pointer that it set.
        winner: Option<PointerView<Attempt>>,
    },
    /// The version is not above the one in force; nothing was changed.
    NotNewer {
        /// Version in force.
        active: BundleVersion,
    },
    /// No request took effect, and none will.
    NotRun,
    /// A request may have taken effect, or may yet.
    Unknown,
}

/// One attempt to roll a version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RollMachine<Attempt> {
    version: BundleVersion,
    seen: Option<BundleVersion>,
    attempt: Attempt,
    step: RollStep<Attempt>,
    /// Whether a sending of the transaction may have taken effect.
    uncertain: bool,
}

impl<Attempt: Clone + PartialEq> RollMachine<Attempt> {
    /// A roll of `version` by an operator who has `seen` a version in force, or goes by
    /// what is read first.
    pub fn new(version: BundleVersion, seen: Option<BundleVersion>, attempt: Attempt) -> Self {
        Self {
            version,
            seen,
            attempt,
            step: RollStep::ReadPointer,
            uncertain: false,
        }
    }

    /// What is needed next.
    pub fn step(&self) -> &RollStep<Attempt> {
        &self.step
    }

    /// Takes an event; those that do not answer the present step change nothing.
    pub fn handle(&mut self, event: RollEvent<Attempt>) {
        let result = match (&self.step, event) {
            (RollStep::Finished(_), _) => return,
            (RollStep::ReadPointer, RollEvent::PointerRead { pointer, revision }) => {
                return self.plan_move(pointer, revision);
            }
            (RollStep::MovePointer { previous, .. }, RollEvent::Moved) => RollResult::Rolled {
                previous: *previous,
                superseded: false,
            },
            (RollStep::MovePointer { previous, .. }, RollEvent::NotMoved { pointer, past }) => {
                self.resolve(*previous, pointer, past.as_ref())
            }
            (RollStep::MovePointer { .. }, RollEvent::Failed { outcome }) => {
                self.uncertain |= outcome != Outcome::NotRun;
                return;
            }
            (_, RollEvent::GaveUp) if self.uncertain => RollResult::Unknown,
            (_, RollEvent::GaveUp) => RollResult::NotRun,
            (RollStep::ReadPointer | RollStep::MovePointer { .. }, _) => return,
        };
        self.step = RollStep::Finished(result);
    }

    fn plan_move(&mut self, pointer: Option<PointerView<Attempt>>, revision: i64) {
        let active = pointer.as_ref().map(|pointer| pointer.version);
        let active = active.unwrap_or_default();
        self.step = if self.seen.is_some_and(|seen| seen != active) {
            RollStep::Finished(RollResult::Conflict { winner: pointer })
        } else if self.version <= active {
            RollStep::Finished(RollResult::NotNewer { active })
        } else {
            RollStep::MovePointer {
                unchanged_since: revision,
                previous: active,
            }
        };
    }

    fn resolve(
        &self,
        previous: BundleVersion,
        pointer: Option<PointerView<Attempt>>,
        past: Option<&PointerView<Attempt>>,
    ) -> RollResult<Attempt> {
        let is_own = |view: &PointerView<Attempt>| view.attempt == self.attempt;
        let in_force = pointer.as_ref().is_some_and(is_own);
        if in_force || past.is_some_and(is_own) {
            return RollResult::Rolled {
                previous,
                superseded: !in_force,
            };
        }
        RollResult::Conflict { winner: pointer }
    }
}
