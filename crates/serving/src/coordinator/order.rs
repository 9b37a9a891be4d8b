//! Ordering a promotion, after every node knows of it where the service does not fence.

use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::fencing::FencingToken;
use hookpoint_state::{DatabaseName, GroupName};
use tokio::time::{sleep, timeout};

use super::SETTLING;
use super::replicas::sync_replicas;
use super::step_down::step_down_in_background;
use super::withdrawal::{WithdrawalError, withdraw_leases};
use crate::node::{ListedAnnouncement, Node};
use crate::peers::Peers;
use crate::ports::{ConditionalWrite, PromotionError, PromotionOrder, WriteOutcome};
use crate::primary_lease::Announcement;
use crate::records::{PROMOTION_PREFIX, PromotionRecord, encode};

/// Limit for a promotion's answer. One without an answer is ordered again: the token and
/// the candidate are the same, so being carried out twice changes nothing.
const PROMOTION_LIMIT: Duration = Duration::from_millis(350);
/// Pause between two orders of the same promotion.
const REPEAT_PAUSE: Duration = Duration::from_millis(100);

/// On what strength a promotion is ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Authority {
    /// The node's lease holds.
    Lease,
    /// The lease may have run out, but the store is away for a majority of the fleet and
    /// none of them knows of another coordinator, so nobody can have taken over.
    Quorum,
}

/// Why a promotion was not confirmed.
pub(super) enum OrderError {
    /// It will not be carried out.
    Rejected,
    /// It may be carried out yet.
    Unanswered,
}

/// The next token of this coordinator.
///
/// A coordinator's record is written once in its life, under a condition, so its revision
/// is this life's own.
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

/// Orders a promotion, again under the same token while it is not answered.
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
    // The replicas of a synchronous group stay paused until the order is answered: one
    // that is carried out after they receive again would roll back acknowledged commits.
    let synchronous = sync_replicas(node, group) > 0;
    loop {
        if authority == Authority::Lease && !node.coordinates() {
            return Err(OrderError::Unanswered);
        }
        log_order(node, &order, "promotion_ordered", authority_name(authority));
        let answer = timeout(PROMOTION_LIMIT, node.promotions.promote(&order)).await;
        let outcome = answer.unwrap_or(Err(PromotionError::NoAnswer));
        let told = match &outcome {
            Ok(()) => "confirmed".to_owned(),
            Err(error) => error.to_string(),
        };
        log_order(node, &order, "promotion_answered", &told);
        match outcome {
            Ok(()) => return Ok(()),
            Err(PromotionError::Rejected) => return Err(OrderError::Rejected),
            Err(PromotionError::NoAnswer | PromotionError::Unavailable)
                if synchronous || node.now().since(began) < SETTLING =>
            {
                sleep(REPEAT_PAUSE).await;
            }
            Err(_) => return Err(OrderError::Unanswered),
        }
    }
}

/// Before an order that the service does not fence: every node is told which database
/// leads next, and no lease may be left under which one of them uses the present primary.
/// That is told to step down as well, so that it no longer takes itself for the primary.
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
            take_back(node, order, replaced).await;
            return Err(OrderError::Rejected);
        }
    }
    if replaced.is_some() {
        step_down_in_background(node, order);
    }
    Ok(())
}

/// Announces the present primary instead of the candidate, which was not ordered yet.
async fn take_back(node: &Rc<Node>, order: &PromotionOrder, present: Option<&DatabaseName>) {
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
    log_order(node, &order, "promotion_taken_back", "the primary answers");
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

/// Tells the other nodes of an order through the store, as far as that is to be had.
/// Nothing if it was not written.
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
