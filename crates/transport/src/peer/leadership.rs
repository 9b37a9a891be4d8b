//! Passing leadership changes between the shared tables and the node machine.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hookpoint_coordination::node::{LeadershipNews, NodeEvent};
use hookpoint_coordination::status::{BackendStatus, Role};
use hookpoint_state::GroupName;

use super::core::Core;
use crate::shared::Shared;

/// Shortest time between two looks at the tables.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// Puts news from another node into the shared tables; older terms change nothing there.
pub(super) fn learn(shared: &Shared, news: &LeadershipNews) {
    shared.learn_term(&news.group, news.term);
    let Some(primary) = &news.primary else {
        return;
    };
    let status = BackendStatus {
        role: Role::Primary,
        term: news.term,
        position: news.place.lsn,
        flushed: Vec::new(),
    };
    shared.observe(&news.group, primary, &status);
}

/// Tells the machine of each change that this node observes itself.
pub(super) async fn watch(core: Arc<Core>) {
    let mut changes = core.shared.view_changes();
    let mut told: BTreeMap<GroupName, LeadershipNews> = BTreeMap::new();
    loop {
        for news in core.shared.leaderships() {
            let before = told.get(&news.group);
            if before.is_none_or(|before| news.is_newer_than(before)) {
                told.insert(news.group.clone(), news.clone());
                core.tell(NodeEvent::LeadershipObserved(news));
            }
        }
        tokio::time::sleep(LOOK_PERIOD).await;
        if changes.changed().await.is_err() {
            return;
        }
    }
}
