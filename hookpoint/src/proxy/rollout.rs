//! Connects the rollout of bundles with the links to other nodes.

use std::sync::Arc;

use hookpoint_state::bundle::TrustedKeys;
use hookpoint_transport::peer::FleetHandle;
use hookpoint_transport::platform::{PlatformCommand, PlatformEvent, RolloutDriver, RolloutHandle};
use hookpoint_transport::shared::Shared;
use tokio::sync::mpsc;

/// Starts this node's rollout driver on the current thread and registers it with the fleet.
pub(super) fn start(
    shared: Arc<Shared>,
    trusted: TrustedKeys,
    commands: mpsc::Sender<PlatformCommand>,
    events: mpsc::Receiver<PlatformEvent>,
    fleet: FleetHandle,
) -> RolloutHandle {
    let links = Arc::new(fleet.clone());
    let rollout = RolloutDriver::start(shared, trusted, commands, events, links);
    fleet.set_rollout(rollout.clone());
    rollout
}
