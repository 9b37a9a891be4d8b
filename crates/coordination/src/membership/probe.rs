//! Direct and indirect probes of members.

use hookpoint_state::{NodeId, Timestamp};
use rand::Rng;

use super::datagram::DatagramBody;
use super::machine::{Membership, MembershipAction};
use super::member::MemberState;
use super::settings::MembershipSettings;
use super::table::Proximity;

/// Maximum number of concurrent probes. Only checks and lost links can cause that many.
const MAXIMUM_PROBES: usize = 64;
/// Maximum number of concurrent probes on behalf of other members.
const MAXIMUM_RELAYS: usize = 256;
/// Number of members pinged for their version in one step of a refresh.
const REFRESH_BATCH: usize = 10;

/// A running probe of this node's own.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Member that is probed.
    pub target: NodeId,
    /// When the probe began.
    pub started: Timestamp,
    /// Whether other members have been asked to probe the target too.
    pub indirect: bool,
}

/// A running probe on behalf of another member.
#[derive(Clone, Debug)]
pub struct Relay {
    /// Member that requested the probe.
    pub origin: NodeId,
    /// Number that the requesting member assigned to its probe.
    pub probe: u32,
    /// When the probe is dropped.
    pub expires: Timestamp,
}

impl Probe {
    /// Returns when the next step is due.
    pub fn next_step(&self, settings: &MembershipSettings, timeout_factor: u32) -> Timestamp {
        if self.indirect {
            self.started + settings.probe_deadline * timeout_factor
        } else {
            self.started + settings.probe_timeout * timeout_factor
        }
    }
}

impl Membership {
    /// Probes the next member in round-robin order.
    pub(super) fn probe_next(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        let proximity = self.draw_proximity(
            self.settings.own_zone_percent,
            self.settings.own_region_percent,
        );
        let order = match proximity {
            Proximity::SameZone => [
                Proximity::SameZone,
                Proximity::SameRegion,
                Proximity::Remote,
            ],
            Proximity::SameRegion => [
                Proximity::SameRegion,
                Proximity::SameZone,
                Proximity::Remote,
            ],
            Proximity::Remote => [
                Proximity::Remote,
                Proximity::SameRegion,
                Proximity::SameZone,
            ],
        };
        for proximity in order {
            if let Some(target) = self.table.next_in(proximity, &mut self.random) {
                self.probe(now, target, actions);
                return;
            }
        }
    }

    pub(super) fn draw_proximity(&mut self, zone_percent: u32, region_percent: u32) -> Proximity {
        let drawn = self.random.random_range(0..100);
        if drawn < zone_percent {
            Proximity::SameZone
        } else if drawn < zone_percent + region_percent {
            Proximity::SameRegion
        } else {
            Proximity::Remote
        }
    }

    /// Starts a probe of `target`.
    pub(super) fn probe(
        &mut self,
        now: Timestamp,
        target: NodeId,
        actions: &mut Vec<MembershipAction>,
    ) {
        if self.probes.len() >= MAXIMUM_PROBES {
            return;
        }
        let number = self.take_probe_number();
        let probe = Probe {
            target,
            started: now,
            indirect: false,
        };
        self.probes.insert(number, probe);
        self.send(target, DatagramBody::Ping { probe: number }, true, actions);
    }

    fn take_probe_number(&mut self) -> u32 {
        self.next_probe_number = self.next_probe_number.wrapping_add(1);
        self.next_probe_number
    }

    /// Probes a member immediately, unless it is dead or already being probed.
    pub(super) fn probe_now(
        &mut self,
        now: Timestamp,
        node: NodeId,
        actions: &mut Vec<MembershipAction>,
    ) {
        let known = self
            .table
            .get(node)
            .is_some_and(|member| member.state != MemberState::Dead);
        let running = self.probes.values().any(|probe| probe.target == node);
        if known && !running {
            self.probe(now, node, actions);
        }
    }

    /// Performs the steps of running probes that are due.
    pub(super) fn advance_probes(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        let timeout_factor = self.timeout_factor();
        let due: Vec<u32> = self
            .probes
            .iter()
            .filter(|(_, probe)| probe.next_step(&self.settings, timeout_factor) <= now)
            .map(|(number, _)| *number)
            .collect();
        for number in due {
            self.advance_probe(now, number, actions);
        }
    }

    fn advance_probe(&mut self, now: Timestamp, number: u32, actions: &mut Vec<MembershipAction>) {
        let Some(probe) = self.probes.get_mut(&number) else {
            return;
        };
        let target = probe.target;
        if probe.indirect {
            self.probes.remove(&number);
            self.probe_failed(now, target, actions);
        } else {
            probe.indirect = true;
            self.send_indirect_probes(number, target, actions);
        }
    }

    fn send_indirect_probes(
        &mut self,
        number: u32,
        target: NodeId,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(address) = self.table.get(target).map(|member| member.info.address) else {
            return;
        };
        for helper in self.draw_members(self.settings.indirect_probes, Some(target)) {
            let body = DatagramBody::PingRequest {
                probe: number,
                target,
                address,
            };
            self.send(helper, body, true, actions);
        }
    }

    /// Draws up to `count` distinct members at random, across all distances, excluding
    /// `except`.
    pub(super) fn draw_members(&mut self, count: usize, except: Option<NodeId>) -> Vec<NodeId> {
        const ATTEMPTS: usize = 3;
        let mut drawn: Vec<NodeId> = Vec::with_capacity(count);
        for _ in 0..count * ATTEMPTS {
            if drawn.len() == count {
                break;
            }
            let proximity = self.draw_proximity(50, 25);
            let node = [
                proximity,
                Proximity::SameRegion,
                Proximity::SameZone,
                Proximity::Remote,
            ]
            .into_iter()
            .find_map(|proximity| self.table.random_in(proximity, &mut self.random));
            if let Some(node) = node
                && Some(node) != except
                && !drawn.contains(&node)
            {
                drawn.push(node);
            }
        }
        drawn
    }

    fn probe_failed(
        &mut self,
        now: Timestamp,
        target: NodeId,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(member) = self.table.get(target) else {
            return;
        };
        let state = match member.state {
            MemberState::Alive => MemberState::Suspect,
            // A leaving member accepts no more work and is about to stop, so no
            // suspicion is needed.
            MemberState::Leaving => MemberState::Dead,
            MemberState::Suspect | MemberState::Dead => return,
        };
        let claim = (member.incarnation, state);
        let local_only = self.is_isolated(now);
        self.change(now, target, claim, local_only, actions);
    }

    /// Handles an answer to one of this node's probes, or to one made on another
    /// member's behalf.
    pub(super) fn probe_answered(
        &mut self,
        from: NodeId,
        number: u32,
        actions: &mut Vec<MembershipAction>,
    ) {
        if let Some(relay) = self.relays.remove(&number) {
            let body = DatagramBody::IndirectAck { probe: relay.probe };
            self.send(relay.origin, body, false, actions);
            return;
        }
        let answered = self
            .probes
            .get(&number)
            .is_some_and(|probe| probe.target == from);
        if answered {
            self.probes.remove(&number);
            self.reduce_timeout_slack();
        }
    }

    /// Handles the report of another member that the target of a probe answered.
    pub(super) fn probe_answered_indirectly(&mut self, number: u32) {
        self.probes.remove(&number);
    }

    /// Probes `target` on behalf of another member.
    pub(super) fn relay_probe(
        &mut self,
        now: Timestamp,
        relay: (NodeId, u32),
        target: NodeId,
        actions: &mut Vec<MembershipAction>,
    ) {
        if self.relays.len() >= MAXIMUM_RELAYS || self.table.get(target).is_none() {
            return;
        }
        let number = self.take_probe_number();
        let relay = Relay {
            origin: relay.0,
            probe: relay.1,
            expires: now + self.settings.probe_deadline,
        };
        self.relays.insert(number, relay);
        self.send(target, DatagramBody::Ping { probe: number }, true, actions);
    }

    /// Pings a random dead member; the ping includes the claim that the member is dead.
    pub(super) fn probe_dead(&mut self, actions: &mut Vec<MembershipAction>) {
        if let Some(node) = self.table.random_dead(&mut self.random) {
            self.ping(node, actions);
        }
    }

    /// Pings a member without suspecting it if it does not answer.
    fn ping(&mut self, node: NodeId, actions: &mut Vec<MembershipAction>) {
        let probe = self.take_probe_number();
        let updates = self.collect_updates(node, 0);
        self.send_with(node, DatagramBody::Ping { probe }, true, updates, actions);
    }

    /// Checks one queued member that another node considers dead, and pings a batch of
    /// members for their versions if an operator requested a refresh.
    pub(super) fn run_checks(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        for _ in 0..REFRESH_BATCH {
            let Some(node) = self.refresh.pop_first() else {
                break;
            };
            self.ping(node, actions);
        }
        let Some(node) = self.check_queue.pop_first() else {
            return;
        };
        let state = self.table.get(node).map(|member| member.state);
        match state {
            Some(MemberState::Alive | MemberState::Leaving) => self.probe_now(now, node, actions),
            Some(MemberState::Suspect | MemberState::Dead) => self.ping(node, actions),
            None => {}
        }
    }
}
