//! The rollout's way to the other nodes.

use std::sync::Arc;

use hookpoint_coordination::node::PlatformMachine;
use hookpoint_coordination::rollout::{RolloutEvent, RolloutMessage};
use hookpoint_protocol::platform::records::{MachineRecord, MachineState};
use hookpoint_state::NodeId;
use hookpoint_state::bundle::TrustedKeys;
use hookpoint_transport::peer::FleetHandle;
use hookpoint_transport::platform::{
    PlatformCommand, PlatformEvent, RolloutDriver, RolloutHandle, RolloutLinks,
};
use hookpoint_transport::shared::Shared;
use tokio::sync::mpsc;

struct FleetLinks {
    fleet: FleetHandle,
}

impl RolloutLinks for FleetLinks {
    fn machines(&self, machines: &[MachineRecord]) {
        let machines = machines.iter().map(platform_machine).collect();
        self.fleet.platform_machines(machines);
    }

    fn tell_zone(&self, _message: RolloutMessage) {}

    fn send(&self, _to: NodeId, _message: RolloutMessage) {}
}

fn platform_machine(record: &MachineRecord) -> PlatformMachine {
    PlatformMachine {
        address: record.peer_address,
        leaving: record.state == MachineState::Leaving,
    }
}

/// Starts the rollout of this node on this thread.
pub(super) fn start(
    shared: Arc<Shared>,
    trusted: TrustedKeys,
    commands: mpsc::Sender<PlatformCommand>,
    events: mpsc::Receiver<PlatformEvent>,
    fleet: FleetHandle,
) -> RolloutHandle {
    let links = Arc::new(FleetLinks { fleet });
    let rollout = RolloutDriver::start(shared, trusted, commands, events, links);
    rollout.tell(RolloutEvent::ZoneRank(0));
    rollout
}
