//! The node's lease in the store and its member record.

use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::feed::share_of;
use tokio::time::sleep;

use crate::node::Node;
use crate::ports::{ConditionalWrite, LeaseId, StoreError, WriteOutcome};
use crate::records::{MemberRecord, encode, member_key};

/// Pause after the first failed call; it doubles with each further one.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_000);
/// Time over which nodes register again whose leases lapsed together in an outage: the store
/// takes a bounded number of writes a second, and members count for longer without a record
/// than this.
const LAPSED_TOGETHER: Duration = Duration::from_millis(1_000);
/// Pause between looks whether the store is reachable.
const STORE_LOOK: Duration = Duration::from_millis(10);
/// Pause between looks at the lease.
const LOOK: Duration = Duration::from_millis(100);
/// Part of the lease time after which it is renewed: each renewal costs, and one that fails
/// is made again sooner.
const RENEWAL_DIVISOR: u32 = 2;
/// Part of the lease time after which a renewal that failed is made again: three fit before
/// the lease is over.
const REPEAT_DIVISOR: u32 = 6;

/// Keeps the node registered for as long as it lives.
pub async fn register(node: Rc<Node>) {
    let mut pause = RETRY_PAUSE;
    loop {
        await_store(&node).await;
        match take_lease(&node).await {
            Ok(lease) => {
                hold(&node, lease).await;
                node.log("lease_lost", &[]);
                pause = share_of(&node.settings.name, LAPSED_TOGETHER);
            }
            Err(error) => {
                pause = pause.max(RETRY_PAUSE);
                node.log("lease_refused", &[("detail", error.to_string().into())]);
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
        sleep(pause).await;
    }
}

/// Waits until the follower reaches the store: while it does not, a call of this node's own
/// would only cost.
async fn await_store(node: &Rc<Node>) {
    while !node.store_reachable.get() {
        sleep(STORE_LOOK).await;
    }
}

/// Goes on with the lease of an earlier process of this node, or takes one.
async fn take_lease(node: &Rc<Node>) -> Result<LeaseId, StoreError> {
    if let Some(lease) = node.lease_found.take() {
        match node.store.renew_lease(lease).await {
            Ok(_) => {
                node.lease_renewed_at.set(node.now());
                node.log("lease_resumed", &[("lease", lease.0.into())]);
                return Ok(lease);
            }
            // It lapsed: nothing was lost but a cheap call.
            Err(StoreError::LeaseOver) => {}
            Err(error) => return Err(error),
        }
    }
    let lease = node.store.grant_lease(node.settings.lease_time).await?;
    write_member(node, lease).await?;
    node.lease_renewed_at.set(node.now());
    node.log("lease_taken", &[("lease", lease.0.into())]);
    Ok(lease)
}

/// What this node's member record says.
pub(crate) fn own_record(node: &Rc<Node>) -> MemberRecord {
    MemberRecord {
        node: node.settings.name.clone(),
        zone: node.settings.zone.clone(),
        peer_address: node.settings.peer_address,
        bandwidth_mbps: node.settings.bandwidth_mbps,
    }
}

async fn write_member(node: &Rc<Node>, lease: LeaseId) -> Result<(), StoreError> {
    let key = member_key(&node.settings.zone, &node.settings.name);
    let record = own_record(node);
    // An earlier process may have left a record behind.
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

/// Ends a lease that is not needed any more. One that cannot be ended runs out by itself.
pub(crate) async fn end_lease(node: &Rc<Node>, lease: LeaseId) {
    if let Err(error) = node.store.end_lease(lease).await {
        node.log("lease_left", &[("detail", error.to_string().into())]);
    }
}

/// Renews the lease until it is over. If the record that goes with it vanishes, the lease
/// may be over as well, which is then found out at once.
async fn hold(node: &Rc<Node>, lease: LeaseId) {
    let lease_time = node.settings.lease_time;
    let mut due_at = node.now() + lease_time / RENEWAL_DIVISOR;
    let mut record_seen = false;
    loop {
        sleep(LOOK).await;
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
            Err(StoreError::LeaseOver) => return,
            Err(_) => {
                node.counters.count("lease_renewals", "failed");
                now + lease_time / REPEAT_DIVISOR
            }
        };
    }
}

/// Renews the lease, and writes the record again if that vanished without the lease.
async fn renew(node: &Rc<Node>, lease: LeaseId, record_vanished: bool) -> Result<(), StoreError> {
    let asked_at = node.now();
    node.store.renew_lease(lease).await?;
    node.lease_renewed_at.set(asked_at);
    if record_vanished {
        write_member(node, lease).await?;
    }
    Ok(())
}
