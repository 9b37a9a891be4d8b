//! Exchange of leadership changes between the shared tables and the node machine.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hookpoint_coordination::node::{LeadershipUpdate, NodeEvent};
use hookpoint_coordination::status::{BackendStatus, Role};
use hookpoint_state::GroupName;

use super::core::Core;
use crate::shared::Shared;

/// Shortest time between two reads of the tables.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Applies a leadership change from another node to the shared tables; older terms have
/// no effect there.
pub(super) fn apply(shared: &Shared, update: &LeadershipUpdate) {
    shared.raise_term(&update.group, update.term);
    let Some(primary) = &update.primary else {
        return;
    };
    let status = BackendStatus {
        role: Role::Primary,
        term: update.term,
        position: update.position.lsn,
        flushed: Vec::new(),
    };
    shared.apply_status(&update.group, primary, &status);
}

/// Passes each leadership change that this node observes itself to the node machine.
pub(super) async fn watch(core: Arc<Core>) {
    let mut changes = core.shared.view_changes();
    let mut reported: BTreeMap<GroupName, LeadershipUpdate> = BTreeMap::new();
    loop {
        for update in core.shared.leaderships() {
            let before = reported.get(&update.group);
            if before.is_none_or(|before| update.is_newer_than(before)) {
                reported.insert(update.group.clone(), update.clone());
                core.handle_event(NodeEvent::LeadershipObserved(update));
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
        if changes.changed().await.is_err() {
            return;
        }
    }
}
