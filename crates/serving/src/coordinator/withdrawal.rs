//! Waits until no node uses a primary that is about to be replaced.

use std::rc::Rc;
use std::time::Duration;

use hookpoint_state::{DatabaseName, GroupName, StoreRevision, Timestamp};
use serde_json::Value;
use tokio::time::sleep;

use crate::node::Node;
use crate::peer_message::PeerMessage;
use crate::peers::Peers;
use crate::primary_lease::{Announcement, handle_announcement};
use crate::units::millis;

/// Pause before an announcement is sent again to nodes that have not acknowledged it.
const ANNOUNCEMENT_PAUSE: Duration = Duration::from_millis(40);
/// Interval at which the nodes that have not acknowledged are logged.
const WITHDRAWAL_LOG_INTERVAL: Duration = Duration::from_millis(500);

/// The reason why the leases on a primary were not withdrawn.
pub(super) enum WithdrawalError {
    /// This node is no longer the coordinator.
    NotCoordinator,
    /// The primary that was considered lost answers this node again.
    PrimaryIsBack,
}

/// Waits until no node can use the primary that an announcement replaces.
pub(super) async fn withdraw_leases(
    node: &Rc<Node>,
    peers: &Rc<Peers>,
    announcement: &Announcement,
    replaced: Option<&DatabaseName>,
) -> Result<(), WithdrawalError> {
    let coordinator = node
        .coordinator_revision()
        .ok_or(WithdrawalError::NotCoordinator)?;
    let began = node.now();
    let withdrawal = node.grantor.borrow().withdraw();
    let mut withdrawal = withdrawal.ok_or(WithdrawalError::NotCoordinator)?;
    peers.await_acknowledgements(announcement.revision);
    let mut logged_at = began;
    let outcome = loop {
        if !node.coordinates() {
            break Err(WithdrawalError::NotCoordinator);
        }
        if has_returned(node, &announcement.group, replaced, began) {
            break Err(WithdrawalError::PrimaryIsBack);
        }
        if handle_announcement(node, coordinator, &node.settings.name, announcement) {
            withdrawal.acknowledge(&node.settings.name, node.voted_for_others());
        }
        for (peer, voted) in peers.take_acknowledgements(announcement.revision) {
            withdrawal.acknowledge(&peer, voted);
        }
        let voters = node.voters();
        let now = node.now();
        let missing = withdrawal.missing(&voters);
        if withdrawal.is_complete(&voters, now) {
            node.log(
                "primary_leases_withdrawn",
                &event_fields(node, announcement, &missing, began),
            );
            break Ok(());
        }
        if now.since(logged_at) >= WITHDRAWAL_LOG_INTERVAL {
            logged_at = now;
            node.log(
                "primary_leases_awaited",
                &event_fields(node, announcement, &missing, began),
            );
        }
        announce_to(node, peers, coordinator, announcement, &missing);
        sleep(ANNOUNCEMENT_PAUSE).await;
    };
    peers.end_acknowledgements(announcement.revision);
    outcome
}

/// Returns whether the primary that was considered lost has proved to this node that it leads, in
/// answer to a request sent after `began`.
fn has_returned(
    node: &Rc<Node>,
    group: &GroupName,
    replaced: Option<&DatabaseName>,
    began: Timestamp,
) -> bool {
    node.with_group(group, |state| {
        let proof = state.overruled_proof.as_ref();
        let overruled =
            proof.is_some_and(|(name, asked_at)| Some(name) == replaced && *asked_at > began);
        let leadership = &state.leadership;
        let confirmed = replaced.is_some()
            && leadership.leader() == replaced
            && leadership.confirmed_at() > began;
        overruled || confirmed
    })
}

fn announce_to(
    node: &Rc<Node>,
    peers: &Rc<Peers>,
    coordinator: StoreRevision,
    announcement: &Announcement,
    names: &[&String],
) {
    let members = node.members.borrow();
    let message = PeerMessage::Announce {
        coordinator,
        node: node.settings.name.clone(),
        announcement: announcement.clone(),
        withheld: announcement.withheld,
    };
    for member in names.iter().filter_map(|name| members.get(*name)) {
        if member.peer_address != node.settings.peer_address {
            peers.send(&message, member.peer_address);
        }
    }
}

fn owned_names(nodes: &[&String]) -> Vec<String> {
    nodes.iter().map(|name| (*name).clone()).collect()
}

/// Returns the event fields that describe the state of a withdrawal.
fn event_fields(
    node: &Rc<Node>,
    announcement: &Announcement,
    missing: &[&String],
    began: Timestamp,
) -> [(&'static str, Value); 4] {
    [
        ("group", announcement.group.as_str().into()),
        ("candidate", announcement.candidate.as_str().into()),
        ("unacknowledged", owned_names(missing).into()),
        ("waited_ms", millis(node.now().since(began)).into()),
    ]
}
