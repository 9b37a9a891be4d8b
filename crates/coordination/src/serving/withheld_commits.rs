//! Which commits of a synchronous group are withheld from callers while its primary is replaced.
//!
//! A promotion takes effect some time after it was ordered, or much later if the order was delayed,
//! and the candidate then leads with the commits that it has received. Until then the present
//! primary answers commits as soon as any replica has received them, and that need not be the
//! candidate. Before an order is sent, all nodes therefore stop acknowledging the commits of the
//! term that it ends, and the candidate is compared with the other replicas only after that.
//!
//! Invariant: as long as an order may still take effect in a term, no commit of that term is
//! acknowledged unless the order's candidate holds it.

use hookpoint_state::{DatabaseName, Term};
use serde::{Deserialize, Serialize};

/// The commits of a group that nodes do not acknowledge.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum WithheldCommits {
    /// No commits: the group is not synchronous.
    #[default]
    None,
    /// The commits of this and of earlier terms.
    UpTo(Term),
    /// All commits, because an earlier order that names another candidate may still take effect.
    All,
}

impl WithheldCommits {
    /// Returns whether they include a commit after which the primary reported a position of `term`;
    /// `None` if its answer held no position.
    pub fn include(self, term: Option<Term>) -> bool {
        match self {
            WithheldCommits::None => false,
            WithheldCommits::UpTo(ended) => term.is_none_or(|term| term <= ended),
            WithheldCommits::All => true,
        }
    }

    /// Returns whether a promotion may still have to take effect, given the newest term in which a
    /// commit is known.
    pub fn are_pending(self, newest_term: Term) -> bool {
        match self {
            WithheldCommits::None => false,
            WithheldCommits::UpTo(ended) => newest_term <= ended,
            WithheldCommits::All => true,
        }
    }

    /// Returns the commits that remain withheld once a primary leads `term` and no order can take
    /// effect any more.
    pub fn after_settling(term: Term) -> Self {
        WithheldCommits::UpTo(Term(term.0.saturating_sub(1)))
    }
}

/// The newest promotion of a synchronous group that was announced before the present one.
#[derive(Clone, Debug)]
pub struct PreviousPromotion {
    /// The database that it names.
    pub candidate: DatabaseName,
    /// The commits withheld because of it.
    pub withheld: WithheldCommits,
    /// Whether its candidate has proved since that it leads.
    pub took_effect: bool,
}

/// Determines which commits to withhold because of a promotion.
#[derive(Clone, Debug)]
pub struct PromotionHistory {
    /// The newest announced promotion, if there is one.
    pub previous: Option<PreviousPromotion>,
    /// The newest term that any database of the group has reported.
    pub newest_term: Term,
}

impl PromotionHistory {
    /// Returns whether no earlier order can still take effect.
    pub fn is_settled(&self) -> bool {
        let Some(previous) = &self.previous else {
            return true;
        };
        match previous.withheld {
            WithheldCommits::UpTo(ended) => previous.took_effect || self.newest_term > ended,
            // Nothing is known of the orders given while the group was not synchronous.
            WithheldCommits::None | WithheldCommits::All => false,
        }
    }

    /// Returns the commits to withhold because of a promotion of `candidate`.
    ///
    /// Orders for the same candidate may take effect in any sequence: after the first, the others
    /// change nothing.
    pub fn withheld_by(&self, candidate: &DatabaseName) -> WithheldCommits {
        let Some(previous) = &self.previous else {
            return WithheldCommits::UpTo(self.newest_term);
        };
        match previous.withheld {
            // No later term than the one after `ended` has begun.
            WithheldCommits::UpTo(ended) if self.is_settled() => {
                WithheldCommits::UpTo(self.newest_term.max(ended.next()))
            }
            WithheldCommits::UpTo(ended) if previous.candidate == *candidate => {
                WithheldCommits::UpTo(ended)
            }
            _ => WithheldCommits::All,
        }
    }
}
