//! Orders promotions. Where the promotion service does not fence, every node learns of the
//! promotion first.

use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::fencing::FencingToken;
use hookpoint_state::{DatabaseName, GroupName};
use tokio::time::{sleep, timeout};

use super::SETTLE_TIME;
use super::replicas::sync_replicas;
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

/// Orders a promotion, repeating the request under the same token while it is not answered.
pub(super) async fn order(
    node: &Rc<Node>,
    peers: &Rc<Peers>,
    group: &GroupName,
    candidate: &DatabaseName,
    replaced: Option<&DatabaseName>,
    authority: Authority,
) -> Result<(), OrderError> {
    let fencing_token = next_token(node, group).ok_or(OrderError::Rejected)?;
    let order = PromotionOrder {
        group: group.clone(),
        candidate: candidate.clone(),
        holder: node.settings.name.clone(),
        fencing_token,
    };
    if node.changeable().fenced_promotions {
        tokio::task::spawn_local(announce(Rc::clone(node), order.clone()));
    } else {
        replace_unfenced(node, peers, &order, replaced).await?;
    }
    let began = node.now();
    // The replicas of a synchronous group stay paused until the order is answered: an order
    // carried out after they resumed would roll back acknowledged commits.
    let synchronous = sync_replicas(node, group) > 0;
    loop {
        if authority == Authority::Lease && !node.coordinates() {
            return Err(OrderError::Unanswered);
        }
        log_order(node, &order, "promotion_ordered", authority_name(authority));
        let answer = timeout(PROMOTION_TIMEOUT, node.promotions.promote(&order)).await;
        let outcome = answer.unwrap_or(Err(PromotionError::NoAnswer));
        let answer_text = match &outcome {
            Ok(()) => "confirmed".to_owned(),
            Err(error) => error.to_string(),
        };
        log_order(node, &order, "promotion_answered", &answer_text);
        match outcome {
            Ok(()) => return Ok(()),
            Err(PromotionError::Rejected) => return Err(OrderError::Rejected),
            Err(PromotionError::NoAnswer | PromotionError::Unavailable)
                if synchronous || node.now().since(began) < SETTLE_TIME =>
            {
                sleep(REPEAT_PAUSE).await;
            }
            Err(_) => return Err(OrderError::Unanswered),
        }
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
    let announcement = announce(Rc::clone(node), order.clone())
        .await
        .ok_or(OrderError::Rejected)?;
    if replaced.is_none() {
        step_down_in_background(node, order);
    }
    match withdraw_leases(node, peers, &announcement, replaced).await {
        Ok(()) => {}
        Err(WithdrawalError::NotCoordinator) => return Err(OrderError::Rejected),
        Err(WithdrawalError::PrimaryIsBack) => {
            revert_announcement(node, order, replaced).await;
            return Err(OrderError::Rejected);
        }
    }
    if replaced.is_some() {
        step_down_in_background(node, order);
    }
    Ok(())
}

/// Announces the present primary again in place of the candidate, whose promotion has not been
/// ordered yet.
async fn revert_announcement(
    node: &Rc<Node>,
    order: &PromotionOrder,
    present: Option<&DatabaseName>,
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
    log_order(
        node,
        &order,
        "promotion_taken_back",
        "the primary answers again",
    );
    announce(Rc::clone(node), order).await;
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
async fn announce(node: Rc<Node>, order: PromotionOrder) -> Option<Announcement> {
    let record = PromotionRecord {
        group: order.group.clone(),
        candidate: order.candidate.clone(),
        fencing_token: order.fencing_token,
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
    };
    node.with_group(&announcement.group, |state| {
        let token = announcement.token;
        state.announcement_listed = Some(ListedAnnouncement { token, revision });
    });
    node.learn_promotion(&announcement);
    Some(announcement)
}
