//! The node's lease in the store, its member record and its claim to coordinate.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::node::Node;
use crate::ports::{ConditionalWrite, LeaseId, StoreError, WriteOutcome};
use crate::records::{COORDINATOR_KEY, CoordinatorRecord, MEMBER_PREFIX, MemberRecord, encode};

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Pause between looks at the coordinator's record.
const CLAIM_LOOK: Duration = Duration::from_millis(100);
/// Part of the lease time after which it is renewed.
const RENEWAL_DIVISOR: u32 = 3;
/// Time before the end of a lease from which it is not relied on any more.
const LEASE_MARGIN: Duration = Duration::from_millis(300);

/// Keeps the node registered for as long as it lives.
pub async fn register(node: Rc<Node>) {
    loop {
        match take_lease(&node).await {
            Ok(lease) => {
                hold(&node, lease).await;
                node.lease_until.set(Default::default());
                node.log("lease_lost", &[]);
            }
            Err(error) => {
                node.log("lease_refused", &[("detail", error.to_string().into())]);
            }
        }
        sleep(RETRY_PAUSE).await;
    }
}

async fn take_lease(node: &Rc<Node>) -> Result<LeaseId, StoreError> {
    let asked_at = node.now();
    let lease = node.store.grant_lease(node.settings.lease_time).await?;
    write_member(node, lease).await?;
    node.own_lease.set(Some(lease.0));
    node.lease_until
        .set(asked_at + node.settings.lease_time - LEASE_MARGIN);
    node.log("lease_taken", &[("lease", lease.0.into())]);
    Ok(lease)
}

async fn write_member(node: &Rc<Node>, lease: LeaseId) -> Result<(), StoreError> {
    let key = format!("{MEMBER_PREFIX}{}", node.settings.name);
    let record = MemberRecord {
        node: node.settings.name.clone(),
        zone: node.settings.zone.clone(),
        peer_address: node.settings.peer_address,
    };
    let mut expected_revision = 0;
    loop {
        let write = ConditionalWrite {
            key: key.clone(),
            expected_revision,
            value: encode(&record),
            lease: Some(lease),
        };
        match node.store.write(write).await? {
            WriteOutcome::Written(_) => return Ok(()),
            WriteOutcome::Conflict => {
                let present = node.store.read(&key).await?;
                expected_revision = present.map_or(0, |(revision, _)| revision);
            }
        }
    }
}

/// Renews the lease and claims the coordinator's record while it is free.
async fn hold(node: &Rc<Node>, lease: LeaseId) {
    let period = node.settings.lease_time / RENEWAL_DIVISOR;
    let mut renewed_at = node.now();
    loop {
        sleep(CLAIM_LOOK).await;
        let now = node.now();
        if now.since(renewed_at) >= period {
            renewed_at = now;
            match node.store.renew_lease(lease).await {
                Ok(()) => node
                    .lease_until
                    .set(now + node.settings.lease_time - LEASE_MARGIN),
                Err(StoreError::LeaseOver) => return,
                Err(_) => {}
            }
        }
        if node.stopping_since.get().is_some() {
            let _ = node.store.end_lease(lease).await;
            node.lease_until.set(Default::default());
            std::future::pending::<()>().await;
        }
        claim_if_free(node, lease).await;
    }
}

async fn claim_if_free(node: &Rc<Node>, lease: LeaseId) {
    let free = node.coordinator.borrow().holder.is_none();
    let valid = node.now() < node.lease_until.get();
    if !free || !valid || !node.store_reachable.get() || node.configuration().is_none() {
        return;
    }
    let record = CoordinatorRecord {
        node: node.settings.name.clone(),
        lease: lease.0,
    };
    let write = ConditionalWrite {
        key: COORDINATOR_KEY.to_owned(),
        expected_revision: 0,
        value: encode(&record),
        lease: Some(lease),
    };
    match node.store.write(write).await {
        Ok(WriteOutcome::Written(revision)) => {
            let mut view = node.coordinator.borrow_mut();
            view.revision = revision;
            view.holder = Some(record);
            drop(view);
            node.log("coordinator_claimed", &[("revision", revision.into())]);
        }
        Ok(WriteOutcome::Conflict) | Err(_) => sleep(RETRY_PAUSE).await,
    }
}

impl Node {
    /// The revision of the coordinator's record, if this life of this node wrote it.
    pub fn coordinator_revision(&self) -> Option<u64> {
        let view = self.coordinator.borrow();
        let holder = view.holder.as_ref()?;
        let own = holder.node == self.settings.name && Some(holder.lease) == self.own_lease.get();
        own.then_some(view.revision)
    }

    /// Whether this node may order promotions on the strength of its lease.
    pub fn coordinates(&self) -> bool {
        self.coordinator_revision().is_some() && self.now() < self.lease_until.get()
    }
}
