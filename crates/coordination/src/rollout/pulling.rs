//! Pulling a change from another node.

use std::time::Duration;

use bytes::Bytes;
use hookpoint_state::{BundleVersion, NodeId, Timestamp};
use rand::Rng;

use super::event::{ChangeSource, RolloutAction};
use super::machine::{Fetch, PEER_WAIT, Pull, RolloutMachine};
use super::message::RolloutMessage;
use super::store::BundleStore;

/// Maximum random delay before the first pull of a version, so that its first holders do
/// not receive the pulls of all nodes at once.
pub(super) const MAXIMUM_PULL_DELAY: Duration = Duration::from_millis(40);
/// Maximum random delay before the next pull after a busy answer.
const BUSY_DELAY: Duration = Duration::from_millis(60);
/// How long to wait for the answer to a pull.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);
/// Upper limit of the maximum delay after an unanswered pull; the delay doubles from
/// [`BUSY_DELAY`].
const MAXIMUM_RETRY_DELAY: Duration = Duration::from_secs(2);

impl<Store: BundleStore> RolloutMachine<Store> {
    pub(super) fn handle_peer_version(
        &mut self,
        now: Timestamp,
        node: NodeId,
        version: BundleVersion,
    ) {
        if version <= self.store.version() {
            return;
        }
        self.highest_peer_version = version.max(self.highest_peer_version);
        self.holders.record(node, version);
        if self.pull == Pull::Idle {
            self.schedule_pull(now, MAXIMUM_PULL_DELAY, None);
        }
    }

    pub(super) fn schedule_pull(
        &mut self,
        now: Timestamp,
        maximum_delay: Duration,
        avoid: Option<NodeId>,
    ) {
        if !self.holders.is_empty() {
            let at = now + maximum_delay.mul_f64(self.random.random());
            self.pull = Pull::Scheduled { at, avoid };
            return;
        }
        self.pull = Pull::Idle;
        if self.highest_peer_version > self.store.version() && self.fetch == Fetch::Idle {
            let at = now + PEER_WAIT.mul_f64(self.random.random());
            self.fetch = Fetch::Scheduled { at };
        }
    }

    /// Schedules another pull after an unanswered one. The holder is kept, as only the
    /// membership decides whether it is gone.
    pub(super) fn schedule_pull_after_timeout(&mut self, now: Timestamp, node: NodeId) {
        let factor = 1_u32 << self.pull_failures.min(8);
        self.pull_failures += 1;
        let maximum_delay = (BUSY_DELAY * factor).min(MAXIMUM_RETRY_DELAY);
        self.schedule_pull(now, maximum_delay, Some(node));
    }

    pub(super) fn remove_peer(&mut self, now: Timestamp, node: NodeId) {
        self.holders.remove(node);
        if matches!(self.pull, Pull::Pending { node: pending, .. } if pending == node) {
            self.schedule_pull(now, Duration::ZERO, None);
        }
    }

    pub(super) fn handle_answer(
        &mut self,
        now: Timestamp,
        from: NodeId,
        answer: RolloutMessage,
        actions: &mut Vec<RolloutAction>,
    ) {
        let expected = matches!(self.pull, Pull::Pending { node, .. } if node == from);
        if !expected {
            return;
        }
        match answer {
            RolloutMessage::Change(change) => {
                self.handle_pulled_change(now, from, &change, actions)
            }
            RolloutMessage::Busy => self.schedule_pull(now, BUSY_DELAY, Some(from)),
            RolloutMessage::NothingNewer
            | RolloutMessage::Pull { .. }
            | RolloutMessage::Leaving(_) => {
                self.holders.remove(from);
                self.schedule_pull(now, BUSY_DELAY, None);
            }
        }
    }

    pub(super) fn handle_pulled_change(
        &mut self,
        now: Timestamp,
        from: NodeId,
        change: &Bytes,
        actions: &mut Vec<RolloutAction>,
    ) {
        self.pull = Pull::Idle;
        let before = self.store.version();
        let accepted = self.apply_change(now, change, ChangeSource::Peer(from), actions);
        let retry_full = !accepted && self.pull_full;
        if self.store.version() == before && !retry_full {
            self.holders.remove(from);
        }
        if self.pull == Pull::Idle {
            self.schedule_pull(now, BUSY_DELAY, None);
        }
    }

    pub(super) fn send_pull(
        &mut self,
        now: Timestamp,
        avoid: Option<NodeId>,
        actions: &mut Vec<RolloutAction>,
    ) {
        let Some(node) = self.holders.choose(avoid, &mut self.random) else {
            self.schedule_pull(now, Duration::ZERO, None);
            return;
        };
        let have = if self.pull_full {
            BundleVersion(0)
        } else {
            self.store.version()
        };
        self.pull = Pull::Pending {
            node,
            deadline: now + PULL_TIMEOUT,
        };
        let message = RolloutMessage::Pull { have };
        actions.push(RolloutAction::SendPeer { to: node, message });
    }
}
