//! The member table with its digests and probe rings.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use hookpoint_state::{NodeId, Timestamp};
use rand::Rng;

use super::member::{Member, MemberInfo, MemberState};
use super::ring::ProbeRing;

/// Network distance of a member from this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proximity {
    /// In the same zone.
    SameZone,
    /// In another zone of the same region.
    SameRegion,
    /// In another region.
    Remote,
}

/// Other members by identifier. This node itself is not in the table.
#[derive(Clone, Debug)]
pub struct MemberTable {
    own: Arc<MemberInfo>,
    members: BTreeMap<NodeId, Member>,
    addresses: BTreeMap<SocketAddr, NodeId>,
    rings: [ProbeRing; 3],
    dead: BTreeSet<(Timestamp, NodeId)>,
    present: usize,
    digests: [u64; BUCKETS],
}

/// Number of parts of the table that have their own digests and are compared separately.
pub const BUCKETS: usize = 64;

/// Returns the part that a member belongs to: the highest bits of its identifier.
fn bucket_of(node: NodeId) -> usize {
    (node.0 >> (u64::BITS - BUCKETS.ilog2())) as usize
}

/// Returns the first and last identifier of a part.
fn bucket_range(bucket: usize) -> (NodeId, NodeId) {
    let shift = u64::BITS - BUCKETS.ilog2();
    let first = (bucket as u64) << shift;
    (NodeId(first), NodeId(first | ((1 << shift) - 1)))
}

/// Returns a member's contribution to the digest: a hash of its identifier, its
/// incarnation and whether it is leaving. Suspicions are excluded, as they are too
/// short-lived.
fn digest_of(node: NodeId, incarnation: u32, leaving: bool) -> u64 {
    let mut value = node.0 ^ (u64::from(incarnation) << 1 | u64::from(leaving)).rotate_left(32);
    // The finalizer of SplitMix64.
    value = (value ^ (value >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    value ^ (value >> 31)
}

impl MemberTable {
    /// Creates a table without other members.
    pub fn new(own: Arc<MemberInfo>) -> Self {
        Self {
            own,
            members: BTreeMap::new(),
            addresses: BTreeMap::new(),
            rings: Default::default(),
            dead: BTreeSet::new(),
            present: 0,
            digests: [0; BUCKETS],
        }
    }

    /// Returns a member, which may be dead.
    pub fn get(&self, node: NodeId) -> Option<&Member> {
        self.members.get(&node)
    }

    /// Returns a member's record for changes to anything but its state; use
    /// [`MemberTable::change`] for the state.
    pub fn get_mut(&mut self, node: NodeId) -> Option<&mut Member> {
        self.members.get_mut(&node)
    }

    /// Returns the number of members that are not dead.
    pub fn present(&self) -> usize {
        self.present
    }

    /// Returns the members in the order of their identifiers, including dead ones.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the members after `after` in the order of their identifiers, from the
    /// parts whose bits are set in `parts`.
    pub fn members_after(
        &self,
        after: Option<NodeId>,
        parts: u64,
    ) -> impl Iterator<Item = &Member> {
        let first_part = after.map_or(0, bucket_of);
        (first_part..BUCKETS)
            .filter(move |bucket| parts & (1 << bucket) != 0)
            .flat_map(move |bucket| {
                let (first, last) = bucket_range(bucket);
                self.members.range(first..=last)
            })
            .map(|(_, member)| member)
            .skip_while(move |member| after.is_some_and(|after| member.info.node <= after))
    }

    /// Returns the digest of the members that are not dead, including this node.
    pub fn digest(&self, own_incarnation: u32, leaving: bool) -> u64 {
        let others = self.digests.iter().fold(0, |sum, digest| sum ^ digest);
        others ^ digest_of(self.own.node, own_incarnation, leaving)
    }

    /// Returns the digests of the parts of the table, including this node.
    pub fn digests(&self, own_incarnation: u32, leaving: bool) -> [u64; BUCKETS] {
        let mut digests = self.digests;
        digests[bucket_of(self.own.node)] ^= digest_of(self.own.node, own_incarnation, leaving);
        digests
    }

    /// Returns whether a member that is not dead, or this node, has this address.
    pub fn has_address(&self, address: SocketAddr) -> bool {
        address == self.own.address
            || self
                .addresses
                .get(&address)
                .and_then(|node| self.members.get(node))
                .is_some_and(|member| member.state != MemberState::Dead)
    }

    /// Returns the network distance of a member from this node.
    pub fn proximity(&self, info: &MemberInfo) -> Proximity {
        if info.zone == self.own.zone {
            Proximity::SameZone
        } else if info.region == self.own.region {
            Proximity::SameRegion
        } else {
            Proximity::Remote
        }
    }

    /// Adds a member that is not in the table.
    pub fn insert(&mut self, mut member: Member, random: &mut impl Rng) {
        let node = member.info.node;
        self.addresses.insert(member.info.address, node);
        if member.state == MemberState::Dead {
            self.dead.insert((member.changed_at, node));
        } else {
            self.present += 1;
            self.enter_ring(&mut member, random);
            let leaving = member.state == MemberState::Leaving;
            self.digests[bucket_of(node)] ^= digest_of(node, member.incarnation, leaving);
        }
        self.members.insert(node, member);
    }

    /// Replaces the state of a known member.
    pub fn change(
        &mut self,
        now: Timestamp,
        node: NodeId,
        (incarnation, state): (u32, MemberState),
        local_only: bool,
        random: &mut impl Rng,
    ) {
        let Some(member) = self.members.get_mut(&node) else {
            return;
        };
        let before = (member.incarnation, member.state);
        let changed_at = member.changed_at;
        member.incarnation = incarnation;
        member.state = state;
        member.local_only = local_only;
        member.changed_at = now;
        let address = member.info.address;
        if before.1 == MemberState::Dead {
            self.dead.remove(&(changed_at, node));
        } else {
            let leaving = before.1 == MemberState::Leaving;
            self.digests[bucket_of(node)] ^= digest_of(node, before.0, leaving);
        }
        if state == MemberState::Dead {
            self.dead.insert((now, node));
            if before.1 != MemberState::Dead {
                self.present -= 1;
            }
        } else {
            let leaving = state == MemberState::Leaving;
            self.digests[bucket_of(node)] ^= digest_of(node, incarnation, leaving);
            if before.1 == MemberState::Dead {
                self.addresses.insert(address, node);
                self.present += 1;
                self.reenter_ring(node, random);
            }
        }
    }

    fn reenter_ring(&mut self, node: NodeId, random: &mut impl Rng) {
        if let Some(mut member) = self.members.remove(&node) {
            self.enter_ring(&mut member, random);
            self.members.insert(node, member);
        }
    }

    fn enter_ring(&mut self, member: &mut Member, random: &mut impl Rng) {
        if !member.in_ring {
            member.in_ring = true;
            let ring = self.proximity(&member.info) as usize;
            self.rings[ring].insert(member.info.node, random);
        }
    }

    /// Removes members that died before `before`.
    pub fn forget_dead(&mut self, before: Timestamp) {
        while let Some((died_at, node)) = self.dead.first().copied() {
            if died_at >= before {
                return;
            }
            self.dead.remove(&(died_at, node));
            if let Some(member) = self.members.remove(&node)
                && self.addresses.get(&member.info.address) == Some(&node)
            {
                self.addresses.remove(&member.info.address);
            }
        }
    }

    /// Returns whether the table contains dead members.
    pub fn has_dead(&self) -> bool {
        !self.dead.is_empty()
    }

    /// Returns a random dead member, drawn by time of death.
    pub fn random_dead(&self, random: &mut impl Rng) -> Option<NodeId> {
        let (first, _) = *self.dead.first()?;
        let (last, _) = *self.dead.last()?;
        let drawn = Timestamp(random.random_range(first.0..=last.0));
        let pivot = NodeId(random.random());
        let later = self.dead.range((drawn, pivot)..).next();
        later.or_else(|| self.dead.first()).map(|(_, node)| *node)
    }

    /// Returns the next member of a ring that is not dead.
    pub fn next_in(&mut self, proximity: Proximity, random: &mut impl Rng) -> Option<NodeId> {
        let members = &mut self.members;
        let ring = &mut self.rings[proximity as usize];
        ring.next(random, |node| {
            let present = is_present(members, node);
            if !present && let Some(member) = members.get_mut(&node) {
                member.in_ring = false;
            }
            present
        })
    }

    /// Returns a random member of a ring that is not dead.
    pub fn random_in(&self, proximity: Proximity, random: &mut impl Rng) -> Option<NodeId> {
        let ring = &self.rings[proximity as usize];
        const ATTEMPTS: usize = 4;
        (0..ATTEMPTS)
            .filter_map(|_| ring.random(random))
            .find(|node| is_present(&self.members, *node))
    }
}

fn is_present(members: &BTreeMap<NodeId, Member>, node: NodeId) -> bool {
    members
        .get(&node)
        .is_some_and(|member| member.state != MemberState::Dead)
}
