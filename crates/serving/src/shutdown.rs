//! A stop in stages: not ready at once, then idle sessions close, then transactions end.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::node::Node;

/// How long callers may still be sent here after readiness was withdrawn.
const WITHDRAWAL: Duration = Duration::from_millis(2_200);
/// Pause between looks at the open sessions.
const LOOK: Duration = Duration::from_millis(50);

/// How far a stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopStage {
    /// No stop was asked for.
    Running,
    /// The node says that it is not ready and serves on.
    Withdrawn,
    /// Sessions without a transaction close.
    CloseIdle,
    /// Sessions that rest inside a transaction close as well.
    EndTransactions,
}

impl Node {
    /// How far the stop has come.
    pub fn stop_stage(&self) -> StopStage {
        let Some(since) = self.stopping_since.get() else {
            return StopStage::Running;
        };
        let elapsed = self.now().since(since);
        if elapsed >= self.changeable().grace_period / 2 {
            StopStage::EndTransactions
        } else if elapsed >= WITHDRAWAL.min(self.changeable().grace_period / 3) {
            StopStage::CloseIdle
        } else {
            StopStage::Withdrawn
        }
    }
}

/// Stops the node: returns when no session is open and no connection is lent, or the grace period nears its end.
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
        sleep(LOOK).await;
        node.stop_advanced.notify_waiters();
        let elapsed = node.now().since(began);
        let idle_closed = node.stop_stage() >= StopStage::CloseIdle;
        let unused = node.sessions.get() == 0 && node.lent_connections.get() == 0;
        if elapsed >= limit || (idle_closed && unused) {
            break;
        }
    }
    node.log("stopped", &[("sessions", node.sessions.get().into())]);
}
