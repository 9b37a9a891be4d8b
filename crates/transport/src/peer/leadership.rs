//! Leadership of database groups (the term and the primary of each group): applies updates
//! from other nodes to the state shared by the workers of this proxy ([`Shared`]), and
//! reports changes that this proxy observes itself to its node state machine.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hookpoint_coordination::node::{LeadershipUpdate, NodeEvent};
use hookpoint_coordination::status::{BackendStatus, Role};
use hookpoint_state::GroupName;

use super::core::Core;
use crate::shared::Shared;

/// Minimum interval between two reads of the groups' leadership from [`Shared`].
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Applies a leadership change of a database group, received from another node, to
/// `shared`. An update with an older term than the known one has no effect.
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

/// Reports each change of a group's term or primary that this node observes to its node
/// state machine as [`NodeEvent::LeadershipObserved`]. Runs until the senders of view
/// changes are dropped.
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
