//! Sending of datagrams with piggybacked claims, and bursts of gossip.

use std::time::Duration;

use hookpoint_state::{BundleVersion, NodeId, Timestamp};

use super::datagram::{Datagram, DatagramBody};
use super::machine::{Membership, MembershipAction};
use super::member::{MemberState, MemberUpdate};

/// Bytes of a datagram besides its updates: IP and UDP headers, sealing and sender.
pub const DATAGRAM_OVERHEAD_BYTES: usize = 140;
/// Number of members notified immediately when this node leaves.
const LEAVING_FANOUT: usize = 8;
/// Number of members notified immediately when a bundle comes into force on this node.
const ANNOUNCEMENT_FANOUT: usize = 4;
/// Number of bursts of gossip that then notify further members.
const ANNOUNCEMENTS: u32 = 3;
/// Number of queued changes above which changes already known to another member are
/// dropped from the queue.
const MANY_CHANGES: usize = 64;
/// Incarnation at which a claim includes zone, region and address: that of a joining
/// member. A receiver that lacks them sends a lookup.
const INTRODUCING_INCARNATION: u32 = 0;

/// Token bucket of bytes that fills at a constant rate.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    available: f64,
    per_second: f64,
    burst: f64,
    filled_at: Timestamp,
}

impl ByteBudget {
    /// Creates a full bucket.
    pub fn new(now: Timestamp, bytes_per_second: u32, burst_bytes: u32) -> Self {
        let burst = f64::from(burst_bytes);
        Self {
            available: burst,
            per_second: f64::from(bytes_per_second),
            burst,
            filled_at: now,
        }
    }

    /// Returns whether anything may be sent now, that is, whether the bucket is not
    /// empty. A datagram may overdraw the bucket.
    pub fn allows(&mut self, now: Timestamp) -> bool {
        let passed: Duration = now.since(self.filled_at);
        self.filled_at = now;
        let filled = self.available + passed.as_secs_f64() * self.per_second;
        self.available = filled.min(self.burst);
        self.available > 0.0
    }

    /// Takes `bytes` out of the bucket.
    pub fn take(&mut self, bytes: usize) {
        self.available -= bytes as f64;
    }
}

impl Membership {
    /// Sends a datagram to a member, with as many queued claims as fit into a probe.
    pub(super) fn send(
        &mut self,
        to: NodeId,
        body: DatagramBody,
        with_info: bool,
        actions: &mut Vec<MembershipAction>,
    ) {
        let updates = self.collect_updates(to, self.settings.probe_update_bytes);
        self.send_with(to, body, with_info, updates, actions);
    }

    /// Sends a datagram to a member with exactly these claims.
    pub(super) fn send_with(
        &mut self,
        to: NodeId,
        body: DatagramBody,
        with_info: bool,
        updates: Vec<MemberUpdate>,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(member) = self.table.get(to) else {
            return;
        };
        let datagram = Datagram {
            sender: self.sender(with_info),
            receiver: Some(to),
            body,
            updates,
        };
        actions.push(MembershipAction::Send {
            to: member.info.address,
            datagram: Box::new(datagram),
        });
    }

    /// Collects claims for `to`: first the suspicion or death of `to` itself, if any, so
    /// that it can refute it, and then queued claims while all of them fit into `room`
    /// bytes. The claim about `to` is included even if it does not fit.
    pub(super) fn collect_updates(&mut self, to: NodeId, room: usize) -> Vec<MemberUpdate> {
        let mut updates = Vec::new();
        let mut used = 0;
        if let Some(member) = self.table.get(to)
            && matches!(member.state, MemberState::Suspect | MemberState::Dead)
        {
            updates.push(member.update(false));
            used += updates[0].encoded_bound();
        }
        let mut sent = Vec::new();
        for node in self.queue.iter() {
            let Some(update) = self.queued_update(node) else {
                sent.push(node);
                continue;
            };
            used += update.encoded_bound();
            if used > room {
                break;
            }
            if node != to {
                updates.push(update);
                sent.push(node);
            }
        }
        let join_transmissions = self.join_transmissions();
        for node in sent {
            let joining = self.is_joining(node);
            let factor = if joining {
                1
            } else {
                self.settings.retransmit_factor
            };
            self.queue
                .record_transmission(node, join_transmissions * factor);
        }
        updates
    }

    fn queued_update(&self, node: NodeId) -> Option<MemberUpdate> {
        if node == self.own.node {
            return Some(self.own_update());
        }
        let member = self.table.get(node)?;
        let introduce = member.incarnation == INTRODUCING_INCARNATION
            && matches!(member.state, MemberState::Alive | MemberState::Leaving);
        Some(member.update(introduce))
    }

    /// Drops the queued changes of a fleet that has just started or merged, once another
    /// member has the same digest and thus knows all of them. Suspicions are not covered
    /// by the digest and stay queued.
    pub(super) fn drop_known_changes(&mut self) {
        if self.queue.len() <= MANY_CHANGES {
            return;
        }
        let table = &self.table;
        let is_suspect = |node: NodeId| {
            let member = table.get(node);
            member.is_some_and(|member| member.state == MemberState::Suspect)
        };
        let known: Vec<NodeId> = self
            .queue
            .iter()
            .filter(|node| !is_suspect(*node))
            .collect();
        for node in known {
            self.queue.remove(node);
        }
    }

    /// Returns whether the only known change of a node is its join. A member that misses
    /// a join learns of it when tables are compared, and works without it until then.
    fn is_joining(&self, node: NodeId) -> bool {
        let member = self.table.get(node);
        member.is_some_and(|member| {
            member.incarnation == INTRODUCING_INCARNATION && member.state == MemberState::Alive
        })
    }

    /// Returns how often one node transmits a join: log2 of the number of members.
    fn join_transmissions(&self) -> u32 {
        let members = self.table.present() as u32 + 1;
        u32::BITS - members.leading_zeros()
    }

    /// Sends queued claims to a few random members, within the bandwidth limit.
    pub(super) fn gossip(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        if self.announcements > 0 {
            self.announcements -= 1;
            self.announce_bundle(self.settings.gossip_fanout, actions);
        }
        self.gossip_to(now, self.settings.gossip_fanout, actions);
    }

    /// Notifies some members immediately that this node is leaving.
    pub(super) fn announce_leaving(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        self.gossip_to(now, LEAVING_FANOUT, actions);
    }

    /// Records that a bundle came into force on this node and notifies a few members
    /// immediately. Each of them does the same, so that the version spreads in a few
    /// steps.
    pub(super) fn set_bundle(
        &mut self,
        now: Timestamp,
        version: BundleVersion,
        actions: &mut Vec<MembershipAction>,
    ) {
        if version <= self.bundle {
            return;
        }
        self.bundle = version;
        self.announcements = ANNOUNCEMENTS;
        self.announce_bundle(ANNOUNCEMENT_FANOUT, actions);
        self.gossip_at = self.gossip_at.max(now);
    }

    fn announce_bundle(&mut self, fanout: usize, actions: &mut Vec<MembershipAction>) {
        for node in self.draw_members(fanout, None) {
            let is_behind = self
                .table
                .get(node)
                .is_some_and(|member| member.bundle < self.bundle);
            if is_behind {
                self.send(node, DatagramBody::Gossip, false, actions);
            }
        }
    }

    fn gossip_to(&mut self, now: Timestamp, fanout: usize, actions: &mut Vec<MembershipAction>) {
        if self.queue.is_empty() {
            return;
        }
        for node in self.draw_members(fanout, None) {
            if !self.budget.allows(now) {
                return;
            }
            let updates = self.collect_updates(node, self.settings.update_bytes);
            if updates.is_empty() {
                continue;
            }
            let bytes: usize = updates.iter().map(MemberUpdate::encoded_bound).sum();
            self.budget.take(bytes + DATAGRAM_OVERHEAD_BYTES);
            self.send_with(node, DatagramBody::Gossip, false, updates, actions);
        }
    }
}
