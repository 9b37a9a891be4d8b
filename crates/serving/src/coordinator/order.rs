//! Orders promotions. Where the promotion service does not fence, and in synchronous groups, every
//! node learns of the promotion first.

mod synchronous;

use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::fencing::FencingToken;
use hookpoint_coordination::serving::withheld_commits::WithheldCommits;
use hookpoint_state::{DatabaseName, GroupName, Term};
use tokio::time::{sleep, timeout};

pub(super) use self::synchronous::confirm_settled;
use super::SETTLE_TIME;
use super::replicas::Eligible;
use super::step_down::step_down_in_background;
use super::withdrawal::{WithdrawalError, withdraw_leases};
use crate::node::{ListedAnnouncement, Node};
use crate::peers::Peers;
use crate::ports::{ConditionalWrite, PromotionError, PromotionOrder, WriteOutcome};
use crate::primary_lease::Announcement;
use crate::records::{PROMOTION_PREFIX, PromotionRecord, encode};

/// Timeout of a promotion request. A request without an answer is repeated with the same token and
/// candidate, so carrying it out twice has no further effect.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(350);
/// Pause between two requests for the same promotion.
const REPEAT_PAUSE: Duration = Duration::from_millis(100);

/// Why an announcement is reverted: the primary that counted as lost answers.
const PRIMARY_IS_BACK: &str = "the primary answers again";

/// The basis on which a promotion is ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Authority {
    /// This node holds a valid coordinator lease.
    Lease,
    /// The lease may have expired, but a majority of the fleet cannot reach the store and none of
    /// these nodes knows another coordinator, so no other node can have taken over.
    Quorum,
}

/// The reason why a promotion was not confirmed.
pub(super) enum OrderError {
    /// The promotion will not be carried out.
    Rejected,
    /// The promotion may still be carried out.
    Unanswered,
}

/// Returns the next fencing token of this coordinator, or `None` if its tokens are used up.
///
/// A coordinator record is written once per tenure, with a conditional write, so its revision
/// identifies the tenure.
fn next_token(node: &Rc<Node>, group: &GroupName) -> Option<FencingToken> {
    let claim = node.coordinator_revision()?;
    let number = node.promotions_ordered.get() + 1;
    let token = FencingToken::new(claim, number);
    if token.is_none() {
        node.log(
            "tokens_used_up",
            &[
                ("group", group.as_str().into()),
                ("claim", claim.to_string().into()),
                ("ordered", (number - 1).into()),
            ],
        );
    }
    node.promotions_ordered.set(number);
    token
}

/// A decided replacement of a group's primary.
pub(super) struct Replacement<'a> {
    /// The group whose primary is replaced.
    pub(super) group: &'a GroupName,
    /// The database that is to become the primary.
    pub(super) candidate: DatabaseName,
    /// The present primary, if one is known.
    pub(super) present: Option<&'a DatabaseName>,
    /// Why it is replaced.
    pub(super) cause: Cause,
    /// Newest term that a database of the group reported.
    pub(super) newest_term: Term,
    /// The replicas that may become the primary.
    pub(super) eligible: Eligible<'a>,
    /// The basis on which the promotion is ordered.
    pub(super) authority: Authority,
}

/// Why a primary is replaced, as far as ordering the promotion depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Cause {
    /// It counts as lost, and stays the primary if it answers before the order.
    Lost,
    /// It serves until the promotion takes effect.
    Planned,
    /// An earlier promotion was announced and has not taken effect.
    Pending,
}

impl Replacement<'_> {
    /// Returns the primary that stays if it answers before the order.
    fn lost(&self) -> Option<&DatabaseName> {
        self.present.filter(|_| self.cause == Cause::Lost)
    }

    fn next_order(&self, node: &Rc<Node>) -> Result<PromotionOrder, OrderError> {
        let fencing_token = next_token(node, self.group).ok_or(OrderError::Rejected)?;
        Ok(PromotionOrder {
            group: self.group.clone(),
            candidate: self.candidate.clone(),
            holder: node.settings.name.clone(),
            fencing_token,
        })
    }
}

/// Orders a promotion, repeating the request under the same token while it is not answered.
/// Returns the order that was confirmed.
pub(super) async fn order(
    node: &Rc<Node>,
    peers: &Rc<Peers>,
    replacement: Replacement<'_>,
) -> Result<PromotionOrder, OrderError> {
    if node.is_synchronous(replacement.group) {
        return synchronous::order(node, peers, replacement).await;
    }
    let order = replacement.next_order(node)?;
    if node.changeable().fenced_promotions {
        let announced = announce(Rc::clone(node), order.clone(), WithheldCommits::None);
        tokio::task::spawn_local(announced);
    } else {
        replace_unfenced(node, peers, &order, replacement.lost()).await?;
    }
    let limit = Some(SETTLE_TIME);
    match send(node, &order, replacement.authority, limit).await {
        Ok(()) => Ok(order),
        Err(SendError::Rejected { .. }) => Err(OrderError::Rejected),
        Err(SendError::Unanswered) => Err(OrderError::Unanswered),
    }
}

/// The reason why the promotion service did not confirm an order.
enum SendError {
    /// The last request was rejected. `after_unanswered`: an earlier request with the same token
    /// was not answered and may still be carried out.
    Rejected { after_unanswered: bool },
    /// The order may still be carried out.
    Unanswered,
}

/// Sends an order until it is answered, this node may no longer order promotions, or `limit` has
/// passed.
async fn send(
    node: &Rc<Node>,
    order: &PromotionOrder,
    authority: Authority,
    limit: Option<Duration>,
) -> Result<(), SendError> {
    let began = node.now();
    let mut after_unanswered = false;
    loop {
        if authority == Authority::Lease && !node.coordinates() {
            return Err(SendError::Unanswered);
        }
        log_order(node, order, "promotion_ordered", authority_name(authority));
        let answer = timeout(PROMOTION_TIMEOUT, node.promotions.promote(order)).await;
        let outcome = answer.unwrap_or(Err(PromotionError::NoAnswer));
        let answer_text = match &outcome {
            Ok(()) => "confirmed".to_owned(),
            Err(error) => error.to_string(),
        };
        log_order(node, order, "promotion_answered", &answer_text);
        match outcome {
            Ok(()) => return Ok(()),
            Err(PromotionError::Rejected) => return Err(SendError::Rejected { after_unanswered }),
            Err(PromotionError::NoAnswer) => after_unanswered = true,
            Err(PromotionError::Unavailable) => {}
        }
        if limit.is_some_and(|limit| node.now().since(began) >= limit) {
            return Err(SendError::Unanswered);
        }
        sleep(REPEAT_PAUSE).await;
    }
}

/// Prepares a promotion that the service does not fence: informs every node of the next primary
/// and waits until no lease covers the use of the present one. The present primary is also ordered
/// to step down, so that it no longer considers itself the primary.
async fn replace_unfenced(
    node: &Rc<Node>,
    peers: &Rc<Peers>,
    order: &PromotionOrder,
    replaced: Option<&DatabaseName>,
) -> Result<(), OrderError> {
    let withheld = WithheldCommits::None;
    match announce_to_all(node, peers, order, withheld, replaced).await {
        Ok(()) => Ok(()),
        Err(AnnouncementError::PrimaryIsBack) => {
            revert_announcement(node, order, replaced, withheld, PRIMARY_IS_BACK).await;
            Err(OrderError::Rejected)
        }
        Err(AnnouncementError::NotWritten | AnnouncementError::NotCoordinator) => {
            Err(OrderError::Rejected)
        }
    }
}

/// The reason why a promotion must not be ordered although it was to be announced.
enum AnnouncementError {
    /// The announcement could not be written to the store.
    NotWritten,
    /// This node is no longer the coordinator.
    NotCoordinator,
    /// The primary that was considered lost answers this node again.
    PrimaryIsBack,
}

/// Announces a promotion and waits until every node knows of it or can no longer use the present
/// primary. `lost` is the primary that stays if it answers meanwhile.
async fn announce_to_all(
    node: &Rc<Node>,
    peers: &Rc<Peers>,
    order: &PromotionOrder,
    withheld: WithheldCommits,
    lost: Option<&DatabaseName>,
) -> Result<(), AnnouncementError> {
    let steps_down = !node.changeable().fenced_promotions;
    let announcement = announce(Rc::clone(node), order.clone(), withheld)
        .await
        .ok_or(AnnouncementError::NotWritten)?;
    if steps_down && lost.is_none() {
        step_down_in_background(node, order);
    }
    match withdraw_leases(node, peers, &announcement, lost).await {
        Ok(()) => {}
        Err(WithdrawalError::NotCoordinator) => return Err(AnnouncementError::NotCoordinator),
        Err(WithdrawalError::PrimaryIsBack) => return Err(AnnouncementError::PrimaryIsBack),
    }
    if steps_down && lost.is_some() {
        step_down_in_background(node, order);
    }
    Ok(())
}

/// Announces the present primary again in place of the candidate, whose promotion will not take
/// effect.
async fn revert_announcement(
    node: &Rc<Node>,
    order: &PromotionOrder,
    present: Option<&DatabaseName>,
    withheld: WithheldCommits,
    detail: &str,
) {
    let Some(present) = present else {
        return;
    };
    let Some(fencing_token) = next_token(node, &order.group) else {
        return;
    };
    let order = PromotionOrder {
        candidate: present.clone(),
        fencing_token,
        ..order.clone()
    };
    log_order(node, &order, "promotion_taken_back", detail);
    announce(Rc::clone(node), order, withheld).await;
}

fn authority_name(authority: Authority) -> &'static str {
    match authority {
        Authority::Lease => "lease",
        Authority::Quorum => "quorum",
    }
}

fn log_order(node: &Rc<Node>, order: &PromotionOrder, event: &'static str, detail: &str) {
    node.log(
        event,
        &[
            ("group", order.group.as_str().into()),
            ("candidate", order.candidate.as_str().into()),
            ("token", u64::from(order.fencing_token).into()),
            ("detail", detail.into()),
        ],
    );
}

/// Writes an order's announcement to the store, from where the other nodes read it. Returns `None`
/// if the write failed.
async fn announce(
    node: Rc<Node>,
    order: PromotionOrder,
    withheld: WithheldCommits,
) -> Option<Announcement> {
    let record = PromotionRecord {
        group: order.group.clone(),
        candidate: order.candidate.clone(),
        fencing_token: order.fencing_token,
        withheld,
    };
    let listed = node.with_group(&order.group, |state| state.announcement_listed);
    let write = ConditionalWrite {
        key: format!("{PROMOTION_PREFIX}{}", order.group),
        expected: listed.map(|listed| listed.revision),
        value: encode(&record),
        lease: None,
    };
    let Ok(WriteOutcome::Written(revision)) = node.store.write(write).await else {
        node.counters.count("promotion_records", "failed");
        return None;
    };
    let announcement = Announcement {
        group: order.group,
        candidate: order.candidate,
        token: order.fencing_token,
        revision,
        withheld,
    };
    node.with_group(&announcement.group, |state| {
        let token = announcement.token;
        state.announcement_listed = Some(ListedAnnouncement { token, revision });
    });
    node.learn_promotion(&announcement);
    Some(announcement)
}
