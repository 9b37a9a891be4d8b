//! Claims the coordinator record in the store while it is free, and renews it.
//!
//! The record is attached to a lease of its own that is much shorter than a member's: while no
//! node is the coordinator, no primary is replaced.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hookpoint_coordination::serving::coordinator::{
    CoordinatorRecord, RECORD_TTL, lease_valid_until,
};
use hookpoint_coordination::serving::departure::REWRITE_TIME;
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

/// Pause between two renewals of the record's lease.
const RENEWAL_PERIOD: Duration = Duration::from_millis(400);
/// Timeout of one renewal request.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(700);
/// Interval at which the claim and renewal loops check the record.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Pause after a failed claim.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Additional delay per rank before a node claims a free record, so that the nodes do not all
/// write at once.
const RANK_DELAY: Duration = Duration::from_millis(50);
/// Highest rank that adds a delay; nodes of a higher or unknown rank use this one.
const MAX_RANK: usize = 6;

/// Claims the record while it is free and renews it, until the node shuts down.
pub async fn serve(node: Rc<Node>, peers: Rc<Peers>) {
    let mut free_since = None;
    loop {
        let _ = timeout(POLL_INTERVAL, node.configuration_changed.notified()).await;
        if node.stopping_since.get().is_some() {
            return;
        }
        if !may_claim(&node) {
            free_since = None;
            continue;
        }
        let now = node.now();
        let since = *free_since.get_or_insert(now);
        let stale_revision = stale_record_revision(&node);
        let unreadable_revision = node.coordinator.borrow().unreadable_revision();
        let mut pause = claim_backoff(&node);
        if unreadable_revision.is_some() {
            // Until the record's lease expires, the node whose record was there may rely on it.
            pause += RECORD_TTL;
        }
        if stale_revision.is_none() && now.since(since) < pause {
            continue;
        }
        match claim(&node, stale_revision.or(unreadable_revision)).await {
            Some((lease, revision)) => {
                primary_lease::announce_coordinator(&node, &peers, revision);
                renew_until_ended(&node, lease, revision).await;
            }
            None => sleep(RETRY_PAUSE).await,
        }
        free_since = None;
    }
}

/// Returns whether this node may claim the record: the store shows it as free, and this node has
/// caught up with the store, without which it may not know of a holder.
fn may_claim(node: &Rc<Node>) -> bool {
    let free = node.coordinator.borrow().holder().is_none();
    let free_for_long = free && node.claim_delay.get().is_over(node.now());
    let claimable = stale_record_revision(node).is_some() || free_for_long;
    claimable
        && node.store_reachable.get()
        && feed::is_fresh(node)
        && node.configuration().is_some()
}

/// Returns the revision of a record that an earlier process of this node wrote. That process no
/// longer coordinates, so this one need not wait until the record's lease expires.
fn stale_record_revision(node: &Rc<Node>) -> Option<StoreRevision> {
    let view = node.coordinator.borrow();
    let own_lease = node.coordinator_lease.get();
    view.stale_record(&node.settings.name, own_lease)?;
    Some(view.revision())
}

/// Returns how long this node leaves a free record to the nodes of a lower rank.
fn claim_backoff(node: &Rc<Node>) -> Duration {
    let nodes = node.registered_nodes();
    let rank = claim_order(&nodes)
        .iter()
        .position(|name| *name == node.settings.name);
    let rank = rank.unwrap_or(MAX_RANK).min(MAX_RANK);
    RANK_DELAY * u32::try_from(rank).unwrap_or_default()
}

/// Writes the record, replacing the one at `replaced_revision` if that is given: a record of an
/// earlier process, or one that cannot be decoded. Returns the record's lease and revision, or
/// `None` if the claim failed.
async fn claim(
    node: &Rc<Node>,
    replaced_revision: Option<StoreRevision>,
) -> Option<(LeaseId, StoreRevision)> {
    let asked_at = node.now();
    let era = node.feed.revision().era();
    let lease = node.store.grant_lease(RECORD_TTL).await.ok()?;
    let record = CoordinatorRecord {
        node: node.settings.name.clone(),
        lease: lease.0,
    };
    let write = ConditionalWrite {
        key: coordinator_key(era),
        expected: replaced_revision,
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
    extend_tenure(node, asked_at);
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
    let already_written = node.claim_delay.get().is_settled() && !node.settings.first_start;
    if !already_written {
        tokio::task::spawn_local(write_settled_era(Rc::clone(node), era));
    }
    Some((lease, revision))
}

/// Records the era that a response of the store carries.
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

/// Records that the store's era has settled, if `era` is the present one. An era that has not begun
/// has not settled, whatever the store contains.
pub(crate) fn note_settled_era(node: &Node, era: StoreEra) {
    if node.store_era.get().is_none_or(|present| present < era) {
        return;
    }
    let mut claim_delay = node.claim_delay.get();
    claim_delay.settle(era);
    node.claim_delay.set(claim_delay);
    if claim_delay.is_settled() {
        node.feed.note_settled();
    }
}

/// Writes to the store that an era has settled, for nodes that start later, after the time within
/// which the records lost with the previous era are written again.
async fn write_settled_era(node: Rc<Node>, era: StoreEra) {
    sleep(REWRITE_TIME).await;
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

/// Returns whether the store may have lost announcements of promotions since its era began.
fn predecessors(node: &Node) -> Predecessors {
    if node.claim_delay.get().is_settled() {
        Predecessors::Listed
    } else {
        Predecessors::MaybeLost
    }
}

fn extend_tenure(node: &Rc<Node>, asked_at: Timestamp) {
    node.coordinator_lease_valid_until
        .set(lease_valid_until(asked_at));
}

/// Renews the lease until it expires, another node holds the record, or the node stops. A renewal
/// in a later era does not extend the tenure, because the record was written in the era before.
async fn renew_until_ended(node: &Rc<Node>, lease: LeaseId, claim: StoreRevision) {
    while node.coordinator_revision().is_some() {
        let asked_at = node.now();
        let renewal = node.store.renew_lease(lease);
        match timeout(RENEWAL_TIMEOUT, renewal).await {
            Ok(Ok(era)) if era == claim.era() => {
                extend_tenure(node, asked_at);
                node.store_answered_at.set(node.now());
                node.grantor.borrow_mut().note_renewed(asked_at);
            }
            Ok(Ok(era)) => {
                note_era(node, era);
                break;
            }
            Ok(Err(StoreError::LeaseExpired)) => break,
            Ok(Err(_)) | Err(_) => {}
        }
        sleep(
            RENEWAL_PERIOD
                .saturating_sub(node.now().since(asked_at))
                .max(POLL_INTERVAL),
        )
        .await;
        if node.stopping_since.get().is_some() || tokens_exhausted(node) {
            registration::end_lease(node, lease).await;
            break;
        }
    }
    end_tenure(node);
}

/// Returns whether this tenure has no fencing token left for a further promotion.
fn tokens_exhausted(node: &Rc<Node>) -> bool {
    node.promotions_ordered.get() + 1 >= FencingToken::ORDERS_PER_CLAIM
}

fn end_tenure(node: &Rc<Node>) {
    node.coordinator_lease.set(None);
    node.coordinator_lease_valid_until.set(Timestamp::default());
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
    /// Returns the revision of the coordinator record, if this process wrote it and no newer
    /// record is known.
    pub fn coordinator_revision(&self) -> Option<StoreRevision> {
        let view = self.coordinator.borrow();
        let holder = view.holder()?;
        let own =
            holder.node == self.settings.name && Some(holder.lease) == self.coordinator_lease.get();
        let newest = self.primary_lease.borrow().coordinator() <= view.revision();
        (own && newest).then_some(view.revision())
    }

    /// Returns whether this node's lease allows it to order promotions now.
    pub fn coordinates(&self) -> bool {
        self.coordinator_revision().is_some()
            && self.now() < self.coordinator_lease_valid_until.get()
    }
}
