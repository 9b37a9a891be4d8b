//! An operator's roll: moves the platform's pointer to another version over requests
//! whose answers may be lost.
//!
//! The pointer is moved by one transaction that compares the revision at which the
//! pointer was read. The transaction may be resent after a lost answer, because the
//! comparison succeeds at most once. When the comparison fails, the attempt identifier
//! found in the store shows whether an earlier transmission took effect. Once the
//! comparison has failed, no transmission still in flight can take effect.

use hookpoint_state::{BundleVersion, Outcome};

/// The platform's pointer as read from the store.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PointerView<Attempt> {
    /// Version that the pointer names.
    pub version: BundleVersion,
    /// Attempt that set the pointer.
    pub attempt: Attempt,
}

/// Result of a roll's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RollEvent<Attempt> {
    /// The pointer was read. Answers [`RollStep::ReadPointer`].
    PointerRead {
        /// The pointer; `None` before the first roll.
        pointer: Option<PointerView<Attempt>>,
        /// Revision of the pointer's latest change; 0 when the pointer does not exist.
        revision: i64,
    },
    /// The transaction ran and its comparison succeeded. Answers
    /// [`RollStep::MovePointer`].
    Moved,
    /// The transaction ran and its comparison failed; it read this state instead.
    /// Answers [`RollStep::MovePointer`].
    NotMoved {
        /// Current pointer.
        pointer: Option<PointerView<Attempt>>,
        /// Pointer that named the version to be rolled, from the history.
        historical: Option<PointerView<Attempt>>,
    },
    /// The request got no answer.
    Failed {
        /// What is known about the execution of the request.
        outcome: Outcome,
    },
    /// The operator's time limit has passed.
    TimedOut,
}

/// Next step of a roll.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RollStep<Attempt> {
    /// Read the platform's pointer.
    ReadPointer,
    /// Move the pointer if its latest change still has this revision.
    MovePointer {
        /// Revision to compare with.
        unchanged_since: i64,
        /// Version that the pointer names before the move.
        previous: BundleVersion,
    },
    /// The roll has finished with this result.
    Finished(RollResult<Attempt>),
}

/// Result of a roll.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RollResult<Attempt> {
    /// The version was put in force.
    Rolled {
        /// Version that was in force before.
        previous: BundleVersion,
        /// Whether another version has been rolled since.
        superseded: bool,
    },
    /// Another roll came first, or the expected version was not in force. This roll
    /// changed nothing and will not take effect later.
    Conflict {
        /// Pointer set by the other roll; `None` if there is no pointer.
        conflicting: Option<PointerView<Attempt>>,
    },
    /// The version is not newer than the one in force; nothing was changed.
    NotNewer {
        /// Version in force.
        active: BundleVersion,
    },
    /// No request took effect, and none will take effect later.
    NotRun,
    /// A request may have taken effect, or may still take effect.
    Unknown,
}

/// One attempt to roll a version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RollMachine<Attempt> {
    version: BundleVersion,
    expected: Option<BundleVersion>,
    attempt: Attempt,
    step: RollStep<Attempt>,
    /// Whether a transmission of the transaction may have taken effect.
    uncertain: bool,
}

impl<Attempt: Clone + PartialEq> RollMachine<Attempt> {
    /// Creates a roll of `version`. With `expected`, the roll conflicts unless that
    /// version is in force when the pointer is read; with `None`, any version is
    /// accepted.
    pub fn new(version: BundleVersion, expected: Option<BundleVersion>, attempt: Attempt) -> Self {
        Self {
            version,
            expected,
            attempt,
            step: RollStep::ReadPointer,
            uncertain: false,
        }
    }

    /// Returns the next step.
    pub fn step(&self) -> &RollStep<Attempt> {
        &self.step
    }

    /// Processes an event. Events that do not answer the current step are ignored.
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
            (
                RollStep::MovePointer { previous, .. },
                RollEvent::NotMoved {
                    pointer,
                    historical,
                },
            ) => self.resolve(*previous, pointer, historical.as_ref()),
            (RollStep::MovePointer { .. }, RollEvent::Failed { outcome }) => {
                self.uncertain |= outcome != Outcome::NotRun;
                return;
            }
            (_, RollEvent::TimedOut) if self.uncertain => RollResult::Unknown,
            (_, RollEvent::TimedOut) => RollResult::NotRun,
            (RollStep::ReadPointer | RollStep::MovePointer { .. }, _) => return,
        };
        self.step = RollStep::Finished(result);
    }

    fn plan_move(&mut self, pointer: Option<PointerView<Attempt>>, revision: i64) {
        let active = pointer.as_ref().map(|pointer| pointer.version);
        let active = active.unwrap_or_default();
        self.step = if self.expected.is_some_and(|expected| expected != active) {
            RollStep::Finished(RollResult::Conflict {
                conflicting: pointer,
            })
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
        historical: Option<&PointerView<Attempt>>,
    ) -> RollResult<Attempt> {
        let is_own = |view: &PointerView<Attempt>| view.attempt == self.attempt;
        let in_force = pointer.as_ref().is_some_and(is_own);
        if in_force || historical.is_some_and(is_own) {
            return RollResult::Rolled {
                previous,
                superseded: !in_force,
            };
        }
        RollResult::Conflict {
            conflicting: pointer,
        }
    }
}
