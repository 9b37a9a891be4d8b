//! Shutdown in stages: readiness is withdrawn first, then idle sessions are closed, then
//! transactions are ended.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::node::Node;

/// How long callers may still be routed to this node after its readiness was withdrawn.
const READINESS_WITHDRAWAL_TIME: Duration = Duration::from_millis(2_200);
/// Interval between checks of the open sessions.
const SESSION_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The stage of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopStage {
    /// No shutdown was requested.
    Running,
    /// The node reports that it is not ready, but continues to serve.
    Withdrawn,
    /// Sessions without an open transaction are closed.
    CloseIdle,
    /// Sessions that are idle in a transaction are closed as well.
    EndTransactions,
}

impl Node {
    /// Returns the present stage of the shutdown.
    pub fn stop_stage(&self) -> StopStage {
        let Some(since) = self.stopping_since.get() else {
            return StopStage::Running;
        };
        let elapsed = self.now().since(since);
        if elapsed >= self.changeable().grace_period / 2 {
            StopStage::EndTransactions
        } else if elapsed >= READINESS_WITHDRAWAL_TIME.min(self.changeable().grace_period / 3) {
            StopStage::CloseIdle
        } else {
            StopStage::Withdrawn
        }
    }
}

/// Shuts the node down. Returns when no session is open and no connection is leased to a peer, or
/// when the grace period is about to end.
pub async fn stop(node: &Rc<Node>) {
    if node.stopping_since.get().is_some() {
        return;
    }
    let began = node.now();
    node.stopping_since.set(Some(began));
    node.log(
        "stop_requested",
        &[("sessions", node.sessions.get().into())],
    );
    let limit = node.changeable().grace_period * 9 / 10;
    loop {
        sleep(SESSION_CHECK_INTERVAL).await;
        node.stop_advanced.notify_waiters();
        let elapsed = node.now().since(began);
        let idle_closed = node.stop_stage() >= StopStage::CloseIdle;
        let unused = node.sessions.get() == 0 && node.connections_leased_to_peers.get() == 0;
        if elapsed >= limit || (idle_closed && unused) {
            break;
        }
    }
    node.log("stopped", &[("sessions", node.sessions.get().into())]);
}
