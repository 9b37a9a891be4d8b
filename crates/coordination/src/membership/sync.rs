//! Comparing whole tables page by page: on joining, and when digests differ although
//! nothing is left to pass on.

use std::time::Duration;

use hookpoint_state::{NodeId, Timestamp};
use rand::Rng;

use super::datagram::DatagramBody;
use super::gossip::DATAGRAM_OVERHEAD_BYTES;
use super::machine::{Membership, MembershipAction};
use super::member::{MemberState, MemberUpdate};

/// Times a page is asked for again before the comparison is given up.
const PAGE_ATTEMPTS: u32 = 3;

/// A comparison under way; one at a time.
#[derive(Clone, Debug)]
pub struct RunningSync {
    /// Member whose table is read.
    pub peer: NodeId,
    /// Last member of the page before.
    pub after: Option<NodeId>,
    /// The parts that differ, a bit each; none before the first page.
    parts: Option<u64>,
    /// Whether this is the first one since the node started.
    pub joining: bool,
    with_info: bool,
    /// When the page is late.
    pub deadline: Timestamp,
    attempts: u32,
}

impl Membership {
    /// Starts reading the table of `peer` if it is time.
    pub(super) fn start_sync(
        &mut self,
        now: Timestamp,
        peer: NodeId,
        joining: bool,
        actions: &mut Vec<MembershipAction>,
    ) {
        if self.sync.is_some() || now < self.sync_allowed_at {
            return;
        }
        self.sync_allowed_at = now + self.jittered(self.settings.sync_interval);
        self.sync = Some(RunningSync {
            peer,
            after: None,
            parts: None,
            joining,
            with_info: joining,
            deadline: now + self.settings.sync_timeout,
            attempts: 1,
        });
        self.ask_for_page(Vec::new(), actions);
    }

    /// Between once and twice `interval`.
    fn jittered(&mut self, interval: Duration) -> Duration {
        interval + interval.mul_f64(self.random.random::<f64>())
    }

    fn ask_for_page(
        &mut self,
        corrections: Vec<MemberUpdate>,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(sync) = &self.sync else {
            return;
        };
        let with_info = sync.with_info;
        let body = match sync.parts {
            Some(parts) => DatagramBody::SyncRequest {
                parts,
                after: sync.after,
                with_info,
            },
            None => DatagramBody::SyncStart {
                digests: self.table.digests(self.incarnation, self.leaving).to_vec(),
                with_info,
            },
        };
        self.send_with(sync.peer, body, true, corrections, actions);
    }

    /// Asks for the page at hand once more, with zone, region and address of each
    /// member. Returns false if it already had them, or was not asked for.
    pub(super) fn ask_again_with_info(
        &mut self,
        now: Timestamp,
        from: NodeId,
        actions: &mut Vec<MembershipAction>,
    ) -> bool {
        let timeout = self.settings.sync_timeout;
        let Some(sync) = &mut self.sync else {
            return false;
        };
        if sync.with_info || sync.peer != from {
            return false;
        }
        sync.with_info = true;
        sync.deadline = now + timeout;
        self.ask_for_page(Vec::new(), actions);
        true
    }

    /// The parts whose digests differ from this node's, a bit each.
    pub(super) fn differing_parts(&self, digests: &[u64]) -> u64 {
        let own = self.table.digests(self.incarnation, self.leaving);
        let differing = own
            .iter()
            .enumerate()
            .filter(|(part, digest)| digests.get(*part) != Some(digest));
        differing.fold(0, |parts, (part, _)| parts | 1 << part)
    }

    /// Asks again for a page that is late, or gives up.
    pub(super) fn expire_sync(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        let timeout = self.settings.sync_timeout;
        let Some(sync) = &mut self.sync else {
            return;
        };
        if now < sync.deadline {
            return;
        }
        if sync.attempts == PAGE_ATTEMPTS {
            self.sync = None;
            return;
        }
        sync.attempts += 1;
        sync.deadline = now + timeout;
        self.ask_for_page(Vec::new(), actions);
    }

    /// Answers with one page of the table.
    pub(super) fn send_page(
        &mut self,
        now: Timestamp,
        to: NodeId,
        after: Option<NodeId>,
        parts: u64,
        with_info: bool,
        actions: &mut Vec<MembershipAction>,
    ) {
        if !self.page_budget.allows(now) {
            return;
        }
        let mut updates = Vec::new();
        let mut used = 0;
        let mut next = None;
        let mut last = after;
        for member in self.table.behind(after, parts) {
            let node = member.info.node;
            let telling = member.state != MemberState::Dead && !member.private && node != to;
            if telling {
                let update = member.update(with_info);
                used += update.encoded_bound();
                if used > self.settings.update_bytes {
                    next = last;
                    break;
                }
                updates.push(update);
            }
            last = Some(node);
        }
        self.page_budget.take(used + DATAGRAM_OVERHEAD_BYTES);
        self.send_with(
            to,
            DatagramBody::SyncPage { parts, after, next },
            false,
            updates,
            actions,
        );
    }

    /// Takes a page: `entries` are already merged; `corrections` are what this node
    /// knows better.
    pub(super) fn take_page(
        &mut self,
        now: Timestamp,
        from: NodeId,
        parts: u64,
        (after, next): (Option<NodeId>, Option<NodeId>),
        corrections: Vec<MemberUpdate>,
        actions: &mut Vec<MembershipAction>,
    ) {
        let timeout = self.settings.sync_timeout;
        let Some(sync) = &mut self.sync else {
            return;
        };
        if sync.peer != from || sync.after != after {
            return;
        }
        if next.is_none() {
            self.sync = None;
            if !corrections.is_empty() {
                self.send_with(from, DatagramBody::Gossip, false, corrections, actions);
            }
            return;
        }
        sync.after = next;
        sync.parts = Some(parts);
        sync.attempts = 1;
        sync.deadline = now + timeout;
        self.ask_for_page(corrections, actions);
    }

    /// What this node holds against a claim that it did not take over.
    pub(super) fn correction(&self, update: &MemberUpdate) -> Option<MemberUpdate> {
        if update.node == self.own.node {
            let known = (update.incarnation, update.state) >= (self.incarnation, self.own_state());
            return (!known).then(|| self.own_update());
        }
        let member = self.table.get(update.node)?;
        let newer = (member.incarnation, member.state) > (update.incarnation, update.state);
        (newer && !member.private).then(|| member.update(false))
    }
}
