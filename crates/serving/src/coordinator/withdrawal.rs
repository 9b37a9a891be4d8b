//! Waiting until no node uses a primary any more that is to be replaced.

use std::rc::Rc;
use std::time::Duration;

use hookpoint_state::{DatabaseName, GroupName, StoreRevision, Timestamp};
use serde_json::Value;
use tokio::time::sleep;

use crate::node::Node;
use crate::peer_message::PeerMessage;
use crate::peers::Peers;
use crate::primary_lease::{Announcement, take_announcement};
use crate::units::millis;

/// Pause before an announcement is sent again to who has not acknowledged it.
const ANNOUNCEMENT_PAUSE: Duration = Duration::from_millis(40);
/// How often it is logged who has not acknowledged.
const WITHDRAWAL_TOLD: Duration = Duration::from_millis(500);

/// Why the leases on a primary were not withdrawn.
pub(super) enum WithdrawalError {
    /// This node coordinates no more.
    NotCoordinator,
    /// The primary that counted as lost answers this node.
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
    let mut told_at = began;
    let outcome = loop {
        if !node.coordinates() {
            break Err(WithdrawalError::NotCoordinator);
        }
        if is_back(node, &announcement.group, replaced, began) {
            break Err(WithdrawalError::PrimaryIsBack);
        }
        if take_announcement(node, coordinator, &node.settings.name, announcement) {
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
                &told(node, announcement, &missing, began),
            );
            break Ok(());
        }
        if now.since(told_at) >= WITHDRAWAL_TOLD {
            told_at = now;
            node.log(
                "primary_leases_awaited",
                &told(node, announcement, &missing, began),
            );
        }
        announce_to(node, peers, coordinator, announcement, &missing);
        sleep(ANNOUNCEMENT_PAUSE).await;
    };
    peers.end_acknowledgements(announcement.revision);
    outcome
}

/// Whether a primary that counted as lost has proved to this node that it leads, asked
/// after `began`.
fn is_back(
    node: &Rc<Node>,
    group: &GroupName,
    replaced: Option<&DatabaseName>,
    began: Timestamp,
) -> bool {
    node.with_group(group, |state| {
        let proof = state.overruled.as_ref();
        proof.is_some_and(|(name, asked_at)| Some(name) == replaced && *asked_at > began)
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
    };
    for member in names.iter().filter_map(|name| members.get(*name)) {
        if member.peer_address != node.settings.peer_address {
            peers.send(&message, member.peer_address);
        }
    }
}

fn names(nodes: &[&String]) -> Vec<String> {
    nodes.iter().map(|name| (*name).clone()).collect()
}

/// What is logged of a withdrawal.
fn told(
    node: &Rc<Node>,
    announcement: &Announcement,
    missing: &[&String],
    began: Timestamp,
) -> [(&'static str, Value); 4] {
    [
        ("group", announcement.group.as_str().into()),
        ("candidate", announcement.candidate.as_str().into()),
        ("unacknowledged", names(missing).into()),
        ("waited_ms", millis(node.now().since(began)).into()),
    ]
}
