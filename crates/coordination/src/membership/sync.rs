//! Anti-entropy: comparison of whole member tables page by page, on joining and when
//! digests differ although no queued changes are left.

use std::time::Duration;

use hookpoint_state::{NodeId, Timestamp};
use rand::Rng;

use super::datagram::DatagramBody;
use super::gossip::DATAGRAM_OVERHEAD_BYTES;
use super::machine::{Membership, MembershipAction};
use super::member::{MemberState, MemberUpdate};

/// Maximum number of requests for one page before the comparison is abandoned.
const PAGE_ATTEMPTS: u32 = 3;

/// State of the running table comparison. At most one runs at a time.
#[derive(Clone, Debug)]
pub struct RunningSync {
    /// Member whose table is being read.
    pub peer: NodeId,
    /// Last member of the previous page.
    pub after: Option<NodeId>,
    /// Parts that differ, one bit each; `None` before the first page.
    parts: Option<u64>,
    /// Whether this is the node's first comparison, made when it joins.
    pub joining: bool,
    with_info: bool,
    /// When the requested page counts as late.
    pub deadline: Timestamp,
    attempts: u32,
}

impl Membership {
    /// Starts a comparison with the table of `peer`, unless one is running or the
    /// minimum interval has not passed.
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
        self.request_page(Vec::new(), actions);
    }

    /// Returns a random duration between `interval` and twice `interval`.
    fn jittered(&mut self, interval: Duration) -> Duration {
        interval + interval.mul_f64(self.random.random::<f64>())
    }

    fn request_page(
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

    /// Requests the current page again, with zone, region and address of each member.
    /// Returns false if the page already included them or is not being read from `from`.
    pub(super) fn request_page_with_info(
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
        self.request_page(Vec::new(), actions);
        true
    }

    /// Returns the parts whose digests differ from this node's, one bit each.
    pub(super) fn differing_parts(&self, digests: &[u64]) -> u64 {
        let own = self.table.digests(self.incarnation, self.leaving);
        let differing = own
            .iter()
            .enumerate()
            .filter(|(part, digest)| digests.get(*part) != Some(digest));
        differing.fold(0, |parts, (part, _)| parts | 1 << part)
    }

    /// Requests a late page again, or abandons the comparison.
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
        self.request_page(Vec::new(), actions);
    }

    /// Sends one page of the table, unless the budget for pages is exhausted.
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
        for member in self.table.members_after(after, parts) {
            let node = member.info.node;
            let included = member.state != MemberState::Dead && !member.local_only && node != to;
            if included {
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

    /// Handles the end of a page whose entries are already merged. `corrections` are
    /// newer claims held by this node, to be sent back.
    pub(super) fn handle_page(
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
        self.request_page(corrections, actions);
    }

    /// Returns this node's claim about a member if it is newer than `update`.
    pub(super) fn correction(&self, update: &MemberUpdate) -> Option<MemberUpdate> {
        if update.node == self.own.node {
            let known = (update.incarnation, update.state) >= (self.incarnation, self.own_state());
            return (!known).then(|| self.own_update());
        }
        let member = self.table.get(update.node)?;
        let newer = (member.incarnation, member.state) > (update.incarnation, update.state);
        (newer && !member.local_only).then(|| member.update(false))
    }
}
