//! Orders promotions in synchronous groups: see
//! [`hookpoint_coordination::serving::withheld_commits`].
//!
//! Every node stops acknowledging commits of the present primary before the replicas are compared,
//! so the candidate of the order holds every acknowledged commit, whenever the order is carried
//! out and whatever the replicas receive until then.

use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::withheld_commits::{
    PreviousPromotion, PromotionHistory, WithheldCommits,
};
use hookpoint_state::{DatabaseName, Timestamp};
use tokio::time::sleep;

use super::{
    AnnouncementError, OrderError, PRIMARY_IS_BACK, Replacement, SendError, announce_to_all,
    revert_announcement, send,
};
use crate::coordinator::replicas::{ask_all, find_candidate};
use crate::message::Command;
use crate::node::Node;
use crate::peers::Peers;
use crate::ports::PromotionOrder;

/// Number of candidates that are announced in turn, while the comparison after each announcement
/// finds that another replica holds more.
const MAX_CANDIDATES: usize = 3;
/// Number of comparisons after which a candidate that lacks commits is given up. Commits in transit
/// to it when the nodes stopped writing arrive within the first pause.
const COMPARISONS: usize = 4;
/// Pause between two comparisons.
const COMPARISON_PAUSE: Duration = Duration::from_millis(50);

/// An announced promotion that was not ordered yet.
struct Announced<'a> {
    replacement: &'a Replacement<'a>,
    order: PromotionOrder,
    withheld: WithheldCommits,
    /// Whether no earlier order can still take effect, so that the present primary may stay if this
    /// one is not sent.
    only_order: bool,
}

/// Announces a promotion, verifies that the candidate holds every acknowledged commit, and orders
/// the promotion until the order is answered.
pub(super) async fn order(
    node: &Rc<Node>,
    peers: &Rc<Peers>,
    mut replacement: Replacement<'_>,
) -> Result<PromotionOrder, OrderError> {
    if !node.knows_announcements() {
        return Err(OrderError::Rejected);
    }
    let history = promotion_history(node, &replacement);
    for candidates in 1.. {
        let announced = Announced {
            order: replacement.next_order(node)?,
            withheld: history.withheld_by(&replacement.candidate),
            only_order: history.is_settled(),
            replacement: &replacement,
        };
        announced.announce(node, peers).await?;
        match announced.compare_again(node).await {
            Some(best) if best == replacement.candidate => return announced.send(node).await,
            Some(best) if candidates < MAX_CANDIDATES => replacement.candidate = best,
            _ => {
                announced.revert(node, "no candidate").await;
                break;
            }
        }
    }
    Err(OrderError::Rejected)
}

fn promotion_history(node: &Rc<Node>, replacement: &Replacement<'_>) -> PromotionHistory {
    let previous = node.with_group(replacement.group, |state| {
        let announced = state.announced?;
        let (candidate, _) = state.promoting.as_ref()?;
        Some(PreviousPromotion {
            candidate: candidate.clone(),
            withheld: state.withheld,
            took_effect: state.took_effect == Some(announced),
        })
    });
    let known_here = node.with_group(replacement.group, |state| state.newest_term);
    PromotionHistory {
        previous,
        newest_term: replacement.newest_term.max(known_here),
    }
}

impl Announced<'_> {
    async fn announce(&self, node: &Rc<Node>, peers: &Rc<Peers>) -> Result<(), OrderError> {
        let lost = self.replacement.lost().filter(|_| self.only_order);
        match announce_to_all(node, peers, &self.order, self.withheld, lost).await {
            Ok(()) => Ok(()),
            Err(AnnouncementError::PrimaryIsBack) => {
                self.revert(node, PRIMARY_IS_BACK).await;
                Err(OrderError::Rejected)
            }
            Err(AnnouncementError::NotWritten | AnnouncementError::NotCoordinator) => {
                Err(OrderError::Rejected)
            }
        }
    }

    /// Compares the replicas after the last commit that may be acknowledged. Returns the best
    /// candidate, which is the announced one as soon as that holds as much as any other.
    ///
    /// A primary that leads by a promotion which has not settled holds every acknowledged commit,
    /// as none has been acknowledged since.
    async fn compare_again(&self, node: &Rc<Node>) -> Option<DatabaseName> {
        let candidate = &self.order.candidate;
        if self.withheld == WithheldCommits::All && self.replacement.present == Some(candidate) {
            return Some(candidate.clone());
        }
        let Replacement {
            group,
            present,
            eligible,
            ..
        } = *self.replacement;
        let mut best = None;
        for _ in 0..COMPARISONS {
            let found = find_candidate(node, group, present, eligible).await;
            best = found.map(|found| found.replica.name);
            if best.as_ref() == Some(candidate) {
                break;
            }
            sleep(COMPARISON_PAUSE).await;
        }
        best
    }

    async fn send(self, node: &Rc<Node>) -> Result<PromotionOrder, OrderError> {
        match send(node, &self.order, self.replacement.authority, None).await {
            Ok(()) => Ok(self.order),
            Err(SendError::Unanswered) => Err(OrderError::Unanswered),
            Err(SendError::Rejected { after_unanswered }) => {
                if !after_unanswered {
                    self.revert(node, "rejected").await;
                }
                Err(OrderError::Rejected)
            }
        }
    }

    /// Lets the present primary continue, unless an earlier order may still take effect.
    async fn revert(&self, node: &Rc<Node>, detail: &str) {
        let WithheldCommits::UpTo(ended) = self.withheld else {
            return;
        };
        if self.only_order {
            let present = self.replacement.present.unwrap_or(&self.order.candidate);
            let withheld = WithheldCommits::after_settling(ended);
            revert_announcement(node, &self.order, Some(present), withheld, detail).await;
        }
    }
}

/// Lets the primary that a confirmed promotion named take writes if it was announced while an
/// earlier order could still take effect. By now that order has taken effect, or is rejected for its
/// lower token.
pub(crate) async fn confirm_settled(
    node: &Rc<Node>,
    order: &PromotionOrder,
    settled_at: Timestamp,
) {
    let is_withheld = || {
        node.with_group(&order.group, |state| {
            state.withheld == WithheldCommits::All && state.announced == Some(order.fencing_token)
        })
    };
    if !is_withheld() {
        return;
    }
    sleep(settled_at.since(node.now())).await;
    if !is_withheld() {
        return;
    }
    let candidate = std::slice::from_ref(&order.candidate);
    let answers = ask_all(node, candidate, &Command::Status).await;
    let leading = answers.iter().find(|(_, status)| status.primary);
    if let Some((name, status)) = leading {
        let withheld = WithheldCommits::after_settling(status.term);
        revert_announcement(node, order, Some(name), withheld, "settled").await;
    }
}
