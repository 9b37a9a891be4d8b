//! The rollout's way to the other nodes.

use std::sync::Arc;

use hookpoint_coordination::rollout::{RolloutEvent, RolloutMessage};
use hookpoint_protocol::platform::records::MachineRecord;
use hookpoint_state::NodeId;
use hookpoint_state::bundle::TrustedKeys;
use hookpoint_transport::platform::{PlatformCommand, PlatformEvent, RolloutDriver, RolloutLinks};
use hookpoint_transport::shared::Shared;
use tokio::sync::mpsc;

/// Every node watches the platform by itself until nodes have links.
struct NoLinks;

impl RolloutLinks for NoLinks {
    fn machines(&self, _machines: Vec<MachineRecord>) {}

    fn send(&self, _to: NodeId, _message: RolloutMessage) {}
}

/// Starts the rollout of this node on this thread.
pub(super) fn start(
    shared: Arc<Shared>,
    trusted: TrustedKeys,
    commands: mpsc::Sender<PlatformCommand>,
    events: mpsc::Receiver<PlatformEvent>,
) {
    let links = Arc::new(NoLinks);
    let rollout = RolloutDriver::start(shared, trusted, commands, events, links);
    rollout.tell(RolloutEvent::ZoneRank(0));
}
