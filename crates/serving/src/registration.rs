//! Maintains the node's lease in the store and its member record.

use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::feed::staggered_delay;
use tokio::time::sleep;

use crate::node::Node;
use crate::ports::{ConditionalWrite, LeaseId, StoreError, WriteOutcome};
use crate::records::{MemberRecord, encode, member_key};

/// Pause after the first failed call; doubles with each further failure.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Upper bound of that pause.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(1_000);
/// Time over which nodes whose leases expired together in an outage register again. The store
/// accepts a bounded number of writes per second, and members without a record continue to count
/// for longer than this.
const REREGISTRATION_SPREAD: Duration = Duration::from_millis(1_000);
/// Interval between checks whether the store is reachable.
const STORE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between checks of the lease.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The lease is renewed after this fraction of its time: each renewal costs a store call, and a
/// failed one is retried sooner.
const RENEWAL_DIVISOR: u32 = 2;
/// A failed renewal is retried after this fraction of the lease time, so that three attempts fit
/// before the lease expires.
const RETRY_DIVISOR: u32 = 6;

/// Keeps the node registered until it shuts down.
pub async fn register(node: Rc<Node>) {
    let mut pause = RETRY_PAUSE;
    loop {
        await_store(&node).await;
        match take_lease(&node).await {
            Ok(lease) => {
                renew_until_expired(&node, lease).await;
                node.log("lease_lost", &[]);
                pause = staggered_delay(&node.settings.name, REREGISTRATION_SPREAD);
            }
            Err(error) => {
                pause = pause.max(RETRY_PAUSE);
                node.log("lease_refused", &[("detail", error.to_string().into())]);
                pause = (pause * 2).min(MAX_RETRY_PAUSE);
            }
        }
        sleep(pause).await;
    }
}

/// Waits until the follower reaches the store: until then a call of this task would only add cost.
async fn await_store(node: &Rc<Node>) {
    while !node.store_reachable.get() {
        sleep(STORE_POLL_INTERVAL).await;
    }
}

/// Resumes the lease of an earlier process of this node, or takes a new one and writes the member
/// record.
async fn take_lease(node: &Rc<Node>) -> Result<LeaseId, StoreError> {
    if let Some(lease) = node.lease_found.take() {
        match node.store.renew_lease(lease).await {
            Ok(_) => {
                node.lease_renewed_at.set(node.now());
                node.log("lease_resumed", &[("lease", lease.0.into())]);
                return Ok(lease);
            }
            // The lease has expired: the attempt cost no more than one cheap call.
            Err(StoreError::LeaseExpired) => {}
            Err(error) => return Err(error),
        }
    }
    let lease = node.store.grant_lease(node.settings.lease_time).await?;
    write_member(node, lease).await?;
    node.lease_renewed_at.set(node.now());
    node.log("lease_taken", &[("lease", lease.0.into())]);
    Ok(lease)
}

/// Returns the member record of this node.
pub(crate) fn own_member_record(node: &Rc<Node>) -> MemberRecord {
    MemberRecord {
        node: node.settings.name.clone(),
        zone: node.settings.zone.clone(),
        peer_address: node.settings.peer_address,
        bandwidth_mbps: node.settings.bandwidth_mbps,
    }
}

async fn write_member(node: &Rc<Node>, lease: LeaseId) -> Result<(), StoreError> {
    let key = member_key(&node.settings.zone, &node.settings.name);
    let record = own_member_record(node);
    // An earlier process of this node may have left a record.
    let mut expected = node.own_record_revision.get();
    loop {
        let write = ConditionalWrite {
            key: key.clone(),
            expected,
            value: encode(&record),
            lease: Some(lease),
        };
        match node.store.write(write).await? {
            WriteOutcome::Written(_) => return Ok(()),
            WriteOutcome::Conflict => {
                let present = node.store.read(&key).await?;
                expected = present.map(|(revision, _)| revision);
            }
        }
    }
}

/// Ends a lease that is no longer needed. If the call fails, the lease expires by itself.
pub(crate) async fn end_lease(node: &Rc<Node>, lease: LeaseId) {
    if let Err(error) = node.store.end_lease(lease).await {
        node.log("lease_left", &[("detail", error.to_string().into())]);
    }
}

/// Renews the lease until it has expired. If the record attached to it vanishes, the lease may
/// have expired as well, so it is renewed immediately to find out.
async fn renew_until_expired(node: &Rc<Node>, lease: LeaseId) {
    let lease_time = node.settings.lease_time;
    let mut due_at = node.now() + lease_time / RENEWAL_DIVISOR;
    let mut record_seen = false;
    loop {
        sleep(LEASE_POLL_INTERVAL).await;
        if node.stopping_since.get().is_some() {
            end_lease(node, lease).await;
            std::future::pending::<()>().await;
        }
        if !node.store_reachable.get() {
            continue;
        }
        let record_present = node.own_record_revision.get().is_some();
        let record_vanished = record_seen && !record_present;
        record_seen = record_present;
        let now = node.now();
        if now < due_at && !record_vanished {
            continue;
        }
        let renewed = renew(node, lease, record_vanished).await;
        due_at = match renewed {
            Ok(()) => now + lease_time / RENEWAL_DIVISOR,
            Err(StoreError::LeaseExpired) => return,
            Err(_) => {
                node.counters.count("lease_renewals", "failed");
                now + lease_time / RETRY_DIVISOR
            }
        };
    }
}

/// Renews the lease, and writes the record again if it vanished although the lease is still valid.
async fn renew(node: &Rc<Node>, lease: LeaseId, record_vanished: bool) -> Result<(), StoreError> {
    let asked_at = node.now();
    node.store.renew_lease(lease).await?;
    node.lease_renewed_at.set(asked_at);
    if record_vanished {
        write_member(node, lease).await?;
    }
    Ok(())
}
