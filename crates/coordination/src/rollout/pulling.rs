//! Pulling a change from another node.

use std::time::Duration;

use bytes::Bytes;
use hookpoint_state::{BundleVersion, NodeId, Timestamp};
use rand::Rng;

use super::event::{ChangeSource, RolloutAction};
use super::machine::{Fetch, LONELY_WAIT, Pull, RolloutMachine};
use super::message::RolloutMessage;
use super::store::BundleStore;

/// Longest wait before the first pull of a version, so that its first holders are not
/// asked by everyone at once.
pub(super) const PULL_SPREAD: Duration = Duration::from_millis(40);
/// Longest wait before another holder is asked after a busy one.
const BUSY_PAUSE: Duration = Duration::from_millis(60);
/// Longest wait for the answer to a pull.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest pause after a pull without an answer; it doubles from [`BUSY_PAUSE`].
const LONGEST_PULL_PAUSE: Duration = Duration::from_secs(2);

impl<Store: BundleStore> RolloutMachine<Store> {
    pub(super) fn take_peer_version(
        &mut self,
        now: Timestamp,
        node: NodeId,
        version: BundleVersion,
    ) {
        if version <= self.store.version() {
            return;
        }
        self.heard_version = version.max(self.heard_version);
        self.holders.note(node, version);
        if self.pull == Pull::Idle {
            self.plan_pull(now, PULL_SPREAD, None);
        }
    }

    pub(super) fn plan_pull(&mut self, now: Timestamp, spread: Duration, avoid: Option<NodeId>) {
        if !self.holders.is_empty() {
            let at = now + spread.mul_f64(self.random.random());
            self.pull = Pull::Planned { at, avoid };
            return;
        }
        self.pull = Pull::Idle;
        if self.heard_version > self.store.version() && self.fetch == Fetch::Idle {
            let at = now + LONELY_WAIT.mul_f64(self.random.random());
            self.fetch = Fetch::Planned { at };
        }
    }

    /// Plans another attempt after a pull without an answer. The holder stays known:
    /// whether it is gone is the membership's to say.
    pub(super) fn plan_pull_after_silence(&mut self, now: Timestamp, node: NodeId) {
        let factor = 1_u32 << self.pull_failures.min(8);
        self.pull_failures += 1;
        let spread = (BUSY_PAUSE * factor).min(LONGEST_PULL_PAUSE);
        self.plan_pull(now, spread, Some(node));
    }

    pub(super) fn lose_peer(&mut self, now: Timestamp, node: NodeId) {
        self.holders.remove(node);
        if matches!(self.pull, Pull::Asked { node: asked, .. } if asked == node) {
            self.plan_pull(now, Duration::ZERO, None);
        }
    }

    pub(super) fn take_answer(
        &mut self,
        now: Timestamp,
        from: NodeId,
        answer: RolloutMessage,
        actions: &mut Vec<RolloutAction>,
    ) {
        let expected = matches!(self.pull, Pull::Asked { node, .. } if node == from);
        if !expected {
            return;
        }
        match answer {
            RolloutMessage::Change(change) => self.take_pulled(now, from, &change, actions),
            RolloutMessage::Busy => self.plan_pull(now, BUSY_PAUSE, Some(from)),
            RolloutMessage::NothingNewer
            | RolloutMessage::Pull { .. }
            | RolloutMessage::Leaving(_) => {
                self.holders.remove(from);
                self.plan_pull(now, BUSY_PAUSE, None);
            }
        }
    }

    pub(super) fn take_pulled(
        &mut self,
        now: Timestamp,
        from: NodeId,
        change: &Bytes,
        actions: &mut Vec<RolloutAction>,
    ) {
        self.pull = Pull::Idle;
        let before = self.store.version();
        let accepted = self.take_change(now, change, ChangeSource::Peer(from), actions);
        let retry_whole = !accepted && self.pull_whole;
        if self.store.version() == before && !retry_whole {
            self.holders.remove(from);
        }
        if self.pull == Pull::Idle {
            self.plan_pull(now, BUSY_PAUSE, None);
        }
    }

    pub(super) fn ask(
        &mut self,
        now: Timestamp,
        avoid: Option<NodeId>,
        actions: &mut Vec<RolloutAction>,
    ) {
        let Some(node) = self.holders.choose(avoid, &mut self.random) else {
            self.plan_pull(now, Duration::ZERO, None);
            return;
        };
        let have = if self.pull_whole {
            BundleVersion(0)
        } else {
            self.store.version()
        };
        self.pull = Pull::Asked {
            node,
            deadline: now + PULL_TIMEOUT,
        };
        let message = RolloutMessage::Pull { have };
        actions.push(RolloutAction::SendPeer { to: node, message });
    }
}
