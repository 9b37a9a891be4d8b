//! The coordinator's record in the store: claiming it while it is free, and keeping it.
//!
//! The record goes with a lease of its own, much shorter than a member's: while nobody
//! coordinates, no primary is replaced.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hookpoint_coordination::serving::coordinator::{
    CoordinatorRecord, RECORD_TIME, relied_on_until,
};
use hookpoint_coordination::serving::departure::WRITTEN_AGAIN;
use hookpoint_coordination::serving::fencing::FencingToken;
use hookpoint_coordination::serving::homes::claim_order;
use hookpoint_coordination::serving::lease_grantor::Predecessors;
use hookpoint_state::{StoreEra, StoreRevision, Timestamp};
use tokio::time::{sleep, timeout};

use crate::feed;
use crate::node::Node;
use crate::peers::Peers;
use crate::ports::{ConditionalWrite, LeaseId, StoreError, WriteOutcome};
use crate::primary_lease;
use crate::records::{coordinator_key, encode, settled_era_key};
use crate::registration;

/// Pause between two renewals.
const RENEWAL_PERIOD: Duration = Duration::from_millis(400);
/// Limit for a renewal's answer.
const RENEWAL_LIMIT: Duration = Duration::from_millis(700);
/// Pause between looks at the record.
const LOOK: Duration = Duration::from_millis(50);
/// Pause after a claim that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// How much later than the node before it in rank a node claims a free record, so that
/// they do not all write at once.
const RANK_PAUSE: Duration = Duration::from_millis(50);
/// Ranks that are told apart.
const RANKS: usize = 6;

/// Claims the record while it is free and keeps it, for as long as the node lives.
pub async fn serve(node: Rc<Node>, peers: Rc<Peers>) {
    let mut free_since = None;
    loop {
        let _ = timeout(LOOK, node.configuration_changed.notified()).await;
        if node.stopping_since.get().is_some() {
            return;
        }
        if !may_claim(&node) {
            free_since = None;
            continue;
        }
        let now = node.now();
        let since = *free_since.get_or_insert(now);
        let left_behind = left_behind(&node);
        if left_behind.is_none() && now.since(since) < own_turn(&node) {
            continue;
        }
        match claim(&node, left_behind).await {
            Some((lease, revision)) => {
                primary_lease::tell_coordinator(&node, &peers, revision);
                hold(&node, lease, revision).await;
            }
            None => sleep(RETRY_PAUSE).await,
        }
        free_since = None;
    }
}

/// Whether the record is free as the store shows it at present. A node that has not caught up
/// since it started may just not know of the holder.
fn may_claim(node: &Rc<Node>) -> bool {
    let free = node.coordinator.borrow().holder().is_none();
    let free_for_long = free && node.claim_delay.get().is_over(node.now());
    let claimable = left_behind(node).is_some() || free_for_long;
    claimable
        && node.store_reachable.get()
        && feed::is_fresh(node)
        && node.configuration().is_some()
}

/// Revision of a record that an earlier process of this node left behind. It coordinates
/// no more, so this one need not wait until the record lapses.
fn left_behind(node: &Rc<Node>) -> Option<StoreRevision> {
    let view = node.coordinator.borrow();
    let own_lease = node.coordinator_lease.get();
    view.left_behind(&node.settings.name, own_lease)?;
    Some(view.revision())
}

/// How long this node leaves a free record to those before it.
fn own_turn(node: &Rc<Node>) -> Duration {
    let nodes = node.registered_nodes();
    let place = claim_order(&nodes)
        .iter()
        .position(|name| *name == node.settings.name);
    let rank = place.unwrap_or(RANKS).min(RANKS);
    RANK_PAUSE * u32::try_from(rank).unwrap_or_default()
}

/// Writes the record, over one that was left behind if there is such. Its lease and its
/// revision.
async fn claim(
    node: &Rc<Node>,
    left_behind: Option<StoreRevision>,
) -> Option<(LeaseId, StoreRevision)> {
    let asked_at = node.now();
    let era = node.feed.revision().era();
    let lease = node.store.grant_lease(RECORD_TIME).await.ok()?;
    let record = CoordinatorRecord {
        node: node.settings.name.clone(),
        lease: lease.0,
    };
    let write = ConditionalWrite {
        key: coordinator_key(era),
        expected: left_behind,
        value: encode(&record),
        lease: Some(lease),
    };
    let claimed_at = node.now();
    let written = match node.store.write(write).await {
        Ok(WriteOutcome::Written(revision)) if revision.era() == era => Some(revision),
        _ => None,
    };
    let Some(revision) = written else {
        registration::end_lease(node, lease).await;
        return None;
    };
    node.coordinator_lease.set(Some(lease.0));
    node.promotions_ordered.set(0);
    note_held(node, asked_at);
    node.grantor
        .borrow_mut()
        .begin_coordinating(revision, claimed_at, predecessors(node));
    node.coordinator
        .borrow_mut()
        .take_record(revision, Some(record));
    node.log(
        "coordinator_claimed",
        &[("revision", revision.to_string().into())],
    );
    let told_before = node.claim_delay.get().is_settled() && !node.settings.first_start;
    if !told_before {
        tokio::task::spawn_local(tell_settled_era(Rc::clone(node), era));
    }
    Some((lease, revision))
}

/// Takes notice of the era of an answer of the store.
pub(crate) fn note_era(node: &Node, era: StoreEra) {
    let fleet_is_new = node.settings.first_start && node.store_era.get().is_none();
    let no_other = node.coordinates() || fleet_is_new;
    let mut claim_delay = node.claim_delay.get();
    claim_delay.note_era(era, no_other, node.now());
    if fleet_is_new {
        claim_delay.settle(era);
    }
    node.claim_delay.set(claim_delay);
}

/// Takes notice that the store has been in an era for long.
pub(crate) fn note_settled_era(node: &Node, era: StoreEra) {
    let mut claim_delay = node.claim_delay.get();
    claim_delay.settle(era);
    node.claim_delay.set(claim_delay);
    if claim_delay.is_settled() {
        node.feed.note_settled();
    }
}

/// Writes that an era has settled, for nodes that start later, once it has for certain.
async fn tell_settled_era(node: Rc<Node>, era: StoreEra) {
    sleep(WRITTEN_AGAIN).await;
    if node.store_era.get() != Some(era) {
        return;
    }
    note_settled_era(&node, era);
    let write = ConditionalWrite {
        key: settled_era_key(era),
        expected: None,
        value: Bytes::new(),
        lease: None,
    };
    if let Err(error) = node.store.write(write).await {
        node.log(
            "settled_era_not_told",
            &[("detail", error.to_string().into())],
        );
    }
}

/// Whether the store can have lost announcements of promotions since its era began.
fn predecessors(node: &Node) -> Predecessors {
    if node.claim_delay.get().is_settled() {
        Predecessors::Listed
    } else {
        Predecessors::MaybeLost
    }
}

fn note_held(node: &Rc<Node>, asked_at: Timestamp) {
    node.coordinator_until.set(relied_on_until(asked_at));
}

/// Renews the record until it is over, another's, or the node stops. A renewal in a later era
/// keeps the lease at most: the record was written in the one before.
async fn hold(node: &Rc<Node>, lease: LeaseId, claim: StoreRevision) {
    while node.coordinator_revision().is_some() {
        let asked_at = node.now();
        let renewal = node.store.renew_lease(lease);
        match timeout(RENEWAL_LIMIT, renewal).await {
            Ok(Ok(era)) if era == claim.era() => {
                note_held(node, asked_at);
                node.store_heard_at.set(node.now());
                node.grantor.borrow_mut().note_renewed(asked_at);
            }
            Ok(Ok(era)) => {
                note_era(node, era);
                break;
            }
            Ok(Err(StoreError::LeaseOver)) => break,
            Ok(Err(_)) | Err(_) => {}
        }
        sleep(
            RENEWAL_PERIOD
                .saturating_sub(node.now().since(asked_at))
                .max(LOOK),
        )
        .await;
        if node.stopping_since.get().is_some() || tokens_used_up(node) {
            registration::end_lease(node, lease).await;
            break;
        }
    }
    leave(node);
}

/// Whether this tenure has no token left for a further order.
fn tokens_used_up(node: &Rc<Node>) -> bool {
    node.promotions_ordered.get() + 1 >= FencingToken::ORDERS_PER_CLAIM
}

fn leave(node: &Rc<Node>) {
    node.coordinator_lease.set(None);
    node.coordinator_until.set(Timestamp::default());
    node.grantor.borrow_mut().end_coordinating();
    let mut view = node.coordinator.borrow_mut();
    let own = view
        .holder()
        .is_some_and(|holder| holder.node == node.settings.name);
    if own {
        view.forget_record();
    }
    drop(view);
    node.log("coordinator_left", &[]);
}

impl Node {
    /// The revision of the coordinator's record, if this life of this node wrote it and no
    /// newer one is known of.
    pub fn coordinator_revision(&self) -> Option<StoreRevision> {
        let view = self.coordinator.borrow();
        let holder = view.holder()?;
        let own =
            holder.node == self.settings.name && Some(holder.lease) == self.coordinator_lease.get();
        let newest = self.primary_lease.borrow().coordinator() <= view.revision();
        (own && newest).then_some(view.revision())
    }

    /// Whether this node may order promotions on the strength of its lease.
    pub fn coordinates(&self) -> bool {
        self.coordinator_revision().is_some() && self.now() < self.coordinator_until.get()
    }
}
