//! Loads the store's contents from peers when the node starts.
//!
//! After a power failure the whole fleet starts at once, and one listing per node would saturate
//! the store's link for seconds. Therefore a node reads only the records of the few members in its
//! own part of the zone. The first of these members lists the store; the others obtain everything
//! from it along a tree, as followers do.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hookpoint_coordination::serving::feed::start_upstreams;
use hookpoint_coordination::serving::homes::HomeCandidate;
use tokio::time::sleep;

use crate::feed::{self, ListingReply};
use crate::follower::note_reachable;
use crate::homes::Peer;
use crate::node::Node;
use crate::ports::{ReadFreshness, StoreChanges, StoreError, StoreRecord};
use crate::records::{MemberRecord, decode, member_part_prefix};
use crate::registration;

/// Time within which processes that lost power together start. Until then a peer that refuses
/// connections may be about to start.
const SIMULTANEOUS_START_WINDOW: Duration = Duration::from_millis(400);
/// How long a node waits for peers that answer but know nothing yet: they are waiting for other
/// peers, which list the store.
const UNINFORMED_PEERS_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause before the peers are asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Pause before each read when the whole fleet starts for the first time. At that time it has no
/// callers yet, so a node can wait until the others have registered.
const FIRST_START_PAUSE: Duration = Duration::from_millis(2_000);
/// Maximum number of such reads; each may return a state that is seconds old.
const MAX_FIRST_START_READS: u32 = 3;

/// Obtains the store's contents from a peer. Returns `None` if this node is the one to list the
/// store, or if no peer can supply them.
pub(crate) async fn load_from_peers(node: &Rc<Node>) -> Option<StoreChanges> {
    let nearby = match read_nearby_members(node).await {
        Ok(nearby) => nearby,
        Err(error) => {
            node.counters.count("store_followed", "near_not_read");
            node.log("near_not_read", &[("detail", error.to_string().into())]);
            return None;
        }
    };
    let candidates: Vec<HomeCandidate> = nearby.iter().map(candidate).collect();
    let upstreams: Vec<Peer> = start_upstreams(&node.as_candidate(), &candidates)
        .into_iter()
        .filter_map(|name| nearby.iter().find(|record| record.node == name))
        .map(peer)
        .collect();
    ask_until_answered(node, &upstreams).await
}

/// Returns the registered nodes in this node's part of its zone. When the whole fleet starts for
/// the first time, reads up to [`MAX_FIRST_START_READS`] times until this node is among them, as
/// the others have registered by then.
async fn read_nearby_members(node: &Rc<Node>) -> Result<Vec<MemberRecord>, StoreError> {
    let part = member_part_prefix(&node.settings.zone, &node.settings.name);
    let mut reads = 0;
    loop {
        if node.settings.first_start {
            sleep(FIRST_START_PAUSE).await;
        }
        reads += 1;
        let read = node
            .store
            .read_fleet_records(&part, ReadFreshness::Stale)
            .await?;
        node.feed.note_answered();
        find_own_lease(node, &read);
        note_reachable(node, true, "read");
        let nearby = member_records(read);
        let registered = nearby
            .iter()
            .any(|record| record.node == node.settings.name);
        if registered || !node.settings.first_start || reads == MAX_FIRST_START_READS {
            return Ok(nearby);
        }
    }
}

/// Finds the lease of an earlier process of this node, so that it can be resumed: taking a new
/// lease and writing a new record would cost several more calls.
fn find_own_lease(node: &Rc<Node>, read: &StoreChanges) {
    let own = registration::own_member_record(node);
    let is_own = |value: &Option<Bytes>| value.as_deref().and_then(decode) == Some(own.clone());
    let lease = read.changes.iter().find_map(|change| match &change.record {
        StoreRecord::Fleet { value, lease, .. } if is_own(value) => *lease,
        _ => None,
    });
    node.lease_found.set(lease);
}

fn member_records(read: StoreChanges) -> Vec<MemberRecord> {
    let record = |record| match record {
        StoreRecord::Fleet { value, .. } => value.as_deref().and_then(decode),
        _ => None,
    };
    let changes = read.changes.into_iter();
    changes.filter_map(|change| record(change.record)).collect()
}

fn candidate(record: &MemberRecord) -> HomeCandidate {
    HomeCandidate {
        node: record.node.clone(),
        zone: record.zone.clone(),
        bandwidth_mbps: record.bandwidth_mbps,
    }
}

fn peer(record: &MemberRecord) -> Peer {
    Peer {
        name: record.node.clone(),
        address: record.peer_address,
    }
}

/// Asks the upstreams repeatedly until one supplies the store's contents or waiting longer cannot
/// help.
async fn ask_until_answered(node: &Rc<Node>, upstreams: &[Peer]) -> Option<StoreChanges> {
    if upstreams.is_empty() {
        return None;
    }
    let began = node.now();
    loop {
        let mut any_answered = false;
        for upstream in upstreams {
            match feed::request_listing(node, upstream).await {
                ListingReply::Listing(everything) => return Some(everything),
                ListingReply::NotYet => any_answered = true,
                ListingReply::NotAnswered => {}
            }
        }
        let waited = node.now().since(began);
        let longest = if any_answered {
            UNINFORMED_PEERS_TIMEOUT
        } else {
            SIMULTANEOUS_START_WINDOW
        };
        if waited >= longest {
            return None;
        }
        sleep(RETRY_PAUSE).await;
    }
}
