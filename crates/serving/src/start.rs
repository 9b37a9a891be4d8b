//! How a node that starts learns what the store holds without reading all of it.
//!
//! After a loss of power the whole fleet starts at once, and a listing for each node would fill
//! the store's link for seconds. So a node reads the records of the few members of its own part
//! of the zone. The first of them lists the store; the others take everything from it along a
//! tree, as followers do.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hookpoint_coordination::serving::feed::start_upstreams;
use hookpoint_coordination::serving::homes::HomeCandidate;
use tokio::time::sleep;

use crate::feed::{self, Everything};
use crate::follower::note_reachable;
use crate::homes::Peer;
use crate::node::Node;
use crate::ports::{ReadFreshness, StoreChanges, StoreError, StoreRecord};
use crate::records::{MemberRecord, decode, member_part};
use crate::registration;

/// Time within which processes that lost power together start: until then a peer that refuses
/// connections may be about to run.
const STARTED_TOGETHER: Duration = Duration::from_millis(400);
/// How long a node waits for peers that answer and know nothing yet: they wait for others, who
/// list the store.
const PEERS_KNOW: Duration = Duration::from_secs(4);
/// Pause before the peers are asked again.
const ASK_AGAIN: Duration = Duration::from_millis(50);
/// Pause before each read when the whole fleet starts for the first time. That is long before it
/// has callers, so a node can wait until the others have registered.
const FIRST_START_PAUSE: Duration = Duration::from_millis(2_000);
/// Such reads at the most: each may be seconds old.
const FIRST_START_READS: u32 = 3;

/// Everything that the store holds, from a peer. Nothing if this node is the one to list the
/// store, or no peer is of help.
pub(crate) async fn take_from_peers(node: &Rc<Node>) -> Option<StoreChanges> {
    let near = match read_near(node).await {
        Ok(near) => near,
        Err(error) => {
            node.counters.count("store_followed", "near_not_read");
            node.log("near_not_read", &[("detail", error.to_string().into())]);
            return None;
        }
    };
    let candidates: Vec<HomeCandidate> = near.iter().map(candidate).collect();
    let upstreams: Vec<Peer> = start_upstreams(&node.as_candidate(), &candidates)
        .into_iter()
        .filter_map(|name| near.iter().find(|record| record.node == name))
        .map(peer)
        .collect();
    ask_in_turn(node, &upstreams).await
}

/// The registered nodes in this one's part of its zone. When the whole fleet starts for the
/// first time it waits until it is among them: the others have registered by then.
async fn read_near(node: &Rc<Node>) -> Result<Vec<MemberRecord>, StoreError> {
    let part = member_part(&node.settings.zone, &node.settings.name);
    let mut reads = 0;
    loop {
        if node.settings.first_start {
            sleep(FIRST_START_PAUSE).await;
        }
        reads += 1;
        let read = node.store.read_own(&part, ReadFreshness::MayBeOld).await?;
        node.feed.note_answered();
        find_own_lease(node, &read);
        note_reachable(node, true, "read");
        let near = member_records(read);
        let registered = near.iter().any(|record| record.node == node.settings.name);
        if registered || !node.settings.first_start || reads == FIRST_START_READS {
            return Ok(near);
        }
    }
}

/// Finds the lease of an earlier process of this node, so that it goes on with that: a lease of
/// its own and a new record would cost several calls more.
fn find_own_lease(node: &Rc<Node>, read: &StoreChanges) {
    let own = registration::own_record(node);
    let is_own = |value: &Option<Bytes>| value.as_deref().and_then(decode) == Some(own.clone());
    let lease = read.changes.iter().find_map(|change| match &change.record {
        StoreRecord::Own { value, lease, .. } if is_own(value) => *lease,
        _ => None,
    });
    node.lease_found.set(lease);
}

fn member_records(read: StoreChanges) -> Vec<MemberRecord> {
    let record = |record| match record {
        StoreRecord::Own { value, .. } => value.as_deref().and_then(decode),
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

/// Asks the upstreams until one knows everything, for as long as that may help.
async fn ask_in_turn(node: &Rc<Node>, upstreams: &[Peer]) -> Option<StoreChanges> {
    if upstreams.is_empty() {
        return None;
    }
    let began = node.now();
    loop {
        let mut some_answer = false;
        for upstream in upstreams {
            match feed::ask_for_everything(node, upstream).await {
                Everything::Told(everything) => return Some(everything),
                Everything::NotYet => some_answer = true,
                Everything::NotAnswered => {}
            }
        }
        let waited = node.now().since(began);
        let longest = if some_answer {
            PEERS_KNOW
        } else {
            STARTED_TOGETHER
        };
        if waited >= longest {
            return None;
        }
        sleep(ASK_AGAIN).await;
    }
}
