//! The membership state machine: its state, events and actions.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hookpoint_state::{BundleVersion, NodeId, Timestamp};
use rand_chacha::ChaCha8Rng;

use super::datagram::{Datagram, Sender};
use super::gossip::ByteBudget;
use super::hints::Hints;
use super::member::{Member, MemberInfo, MemberState, MemberUpdate};
use super::probe::{Probe, Relay};
use super::settings::MembershipSettings;
use super::suspicion::{Suspicions, suspicion_timeout};
use super::sync::RunningSync;
use super::table::MemberTable;
use super::updates::UpdateQueue;

/// Amount by which the timeout slack grows after a pause of this node.
const SLACK_AFTER_PAUSE: u32 = 2;
/// Maximum timeout slack. Probe timeouts are multiplied by the slack plus one.
const MAXIMUM_TIMEOUT_SLACK: u32 = 3;
/// Maximum number of members queued for a check because another node considers them
/// dead.
const MAXIMUM_QUEUED_CHECKS: usize = 4_096;

/// Input event of the membership.
#[derive(Clone, Debug)]
pub enum MembershipEvent {
    /// A datagram that was authenticated as coming from the fleet.
    Datagram(Box<Datagram>),
    /// The time returned by [`Membership::next_wake`] has been reached.
    Timer,
    /// Configured addresses at which nodes may be found.
    Seeds(Vec<SocketAddr>),
    /// Addresses from the platform's list of machines; replaces the previous list.
    Hints(Vec<SocketAddr>),
    /// A bundle came into force on this node.
    BundleInForce(BundleVersion),
    /// A link to this member was lost: probe it immediately.
    ProbeNow(NodeId),
    /// Ping every member that is not known to have this version in force, to learn its
    /// version.
    RefreshVersions(BundleVersion),
    /// This node accepts no new work from now on.
    Leave,
}

/// Output action of the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a datagram.
    Send {
        /// Destination address.
        to: SocketAddr,
        /// Datagram to send.
        datagram: Box<Datagram>,
    },
    /// A member was added or its state changed.
    MemberChanged {
        /// Member that was added or whose state changed.
        info: Arc<MemberInfo>,
        /// New state of the member.
        state: MemberState,
    },
    /// A member reported a newer version of its bundle in force.
    VersionSeen {
        /// Member that reported the version.
        node: NodeId,
        /// Version of the bundle that the member has in force.
        version: BundleVersion,
    },
}

/// One node's view of the membership.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(super) settings: MembershipSettings,
    pub(super) own: Arc<MemberInfo>,
    pub(super) incarnation: u32,
    pub(super) leaving: bool,
    pub(super) bundle: BundleVersion,
    pub(super) table: MemberTable,
    pub(super) queue: UpdateQueue,
    pub(super) suspicions: Suspicions,
    pub(super) random: ChaCha8Rng,
    pub(super) probes: BTreeMap<u32, Probe>,
    pub(super) relays: BTreeMap<u32, Relay>,
    pub(super) next_probe_number: u32,
    pub(super) probe_at: Timestamp,
    pub(super) dead_probe_at: Timestamp,
    pub(super) check_queue: BTreeSet<NodeId>,
    pub(super) check_at: Timestamp,
    pub(super) refresh: BTreeSet<NodeId>,
    pub(super) gossip_at: Timestamp,
    pub(super) announcements: u32,
    pub(super) budget: ByteBudget,
    pub(super) page_budget: ByteBudget,
    pub(super) hints: Hints,
    pub(super) sync: Option<RunningSync>,
    pub(super) sync_allowed_at: Timestamp,
    pub(super) differs_since: Option<Timestamp>,
    pub(super) last_received_at: Timestamp,
    expected_wake: Timestamp,
    timeout_slack: u32,
}

impl Membership {
    /// Creates a membership that knows only this node. `random` must be seeded
    /// differently on each node.
    pub fn new(
        now: Timestamp,
        settings: MembershipSettings,
        own: MemberInfo,
        random: ChaCha8Rng,
    ) -> Self {
        let own = Arc::new(own);
        let budget = ByteBudget::new(
            now,
            settings.gossip_bytes_per_second,
            settings.gossip_burst_bytes,
        );
        let page_budget = ByteBudget::new(
            now,
            settings.page_bytes_per_second,
            settings.page_burst_bytes,
        );
        Self {
            table: MemberTable::new(own.clone()),
            own,
            incarnation: 0,
            leaving: false,
            bundle: BundleVersion::default(),
            queue: UpdateQueue::default(),
            suspicions: Suspicions::default(),
            random,
            probes: BTreeMap::new(),
            relays: BTreeMap::new(),
            next_probe_number: 0,
            probe_at: now,
            dead_probe_at: now + settings.dead_probe_period,
            check_queue: BTreeSet::new(),
            check_at: now,
            refresh: BTreeSet::new(),
            gossip_at: now,
            announcements: 0,
            budget,
            page_budget,
            hints: Hints::new(now),
            sync: None,
            sync_allowed_at: now,
            differs_since: None,
            last_received_at: now,
            expected_wake: now,
            timeout_slack: 0,
            settings,
        }
    }

    /// Processes an event and appends the resulting actions to `actions`.
    pub fn handle(
        &mut self,
        now: Timestamp,
        event: MembershipEvent,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.detect_pause(now);
        match event {
            MembershipEvent::Datagram(datagram) => self.receive(now, *datagram, actions),
            MembershipEvent::Timer => self.run_timers(now, actions),
            MembershipEvent::Seeds(addresses) => {
                self.hints.set_seeds(addresses);
                self.send_hellos(now, actions);
            }
            MembershipEvent::Hints(addresses) => self.hints.set_hints(addresses),
            MembershipEvent::BundleInForce(version) => self.set_bundle(now, version, actions),
            MembershipEvent::ProbeNow(node) => self.probe_now(now, node, actions),
            MembershipEvent::RefreshVersions(version) => self.refresh_versions(now, version),
            MembershipEvent::Leave => self.leave(now, actions),
        }
        // A timer that became due only through this event must not count as late.
        self.expected_wake = self.next_wake().max(now);
    }

    /// Returns when [`MembershipEvent::Timer`] is due.
    pub fn next_wake(&self) -> Timestamp {
        let timeout_factor = self.timeout_factor();
        let probes = self
            .probes
            .values()
            .map(|probe| probe.next_step(&self.settings, timeout_factor));
        let mut wake = self.probe_at.min(self.hints.next_at);
        wake = probes.fold(wake, Timestamp::min);
        if self.table.has_dead() {
            wake = wake.min(self.dead_probe_at);
        }
        let has_changes = !self.queue.is_empty() || self.announcements > 0;
        if has_changes && self.table.present() > 0 {
            wake = wake.min(self.gossip_at);
        }
        if !self.check_queue.is_empty() || !self.refresh.is_empty() {
            wake = wake.min(self.check_at);
        }
        if let Some(sync) = &self.sync {
            wake = wake.min(sync.deadline);
        }
        if let Some(deadline) = self.suspicions.next_deadline() {
            wake = wake.min(deadline);
        }
        wake
    }

    /// Returns the properties of this node.
    pub fn own(&self) -> &Arc<MemberInfo> {
        &self.own
    }

    /// Returns whether this node is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the version of the bundle that this node has in force.
    pub fn bundle(&self) -> BundleVersion {
        self.bundle
    }

    /// Returns the known state of another member.
    pub fn member(&self, node: NodeId) -> Option<&Member> {
        self.table.get(node)
    }

    /// Returns the other members in the order of their identifiers, including dead ones
    /// that are still kept.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.iter()
    }

    /// Returns the number of other members that are not dead.
    pub fn present(&self) -> usize {
        self.table.present()
    }

    /// Returns the digest of all members that are not dead, including this node. Nodes
    /// with equal digests have equal tables, apart from suspicions.
    pub fn digest(&self) -> u64 {
        self.table.digest(self.incarnation, self.leaving)
    }

    /// Returns whether the node has received no datagram for so long that it considers
    /// itself, rather than the other members, to be isolated.
    pub fn is_isolated(&self, now: Timestamp) -> bool {
        now.since(self.last_received_at) > self.settings.isolation_timeout
    }

    pub(super) fn timeout_factor(&self) -> u32 {
        self.timeout_slack + 1
    }

    pub(super) fn reduce_timeout_slack(&mut self) {
        self.timeout_slack = self.timeout_slack.saturating_sub(1);
    }

    fn add_timeout_slack(&mut self, amount: u32) {
        self.timeout_slack = (self.timeout_slack + amount).min(MAXIMUM_TIMEOUT_SLACK);
    }

    /// A late timer means that this node was paused. It may have missed answers, so it
    /// discards running probes and postpones suspicions.
    fn detect_pause(&mut self, now: Timestamp) {
        let late = now.since(self.expected_wake);
        if late <= self.settings.pause_threshold {
            return;
        }
        log::warn!(
            "membership: this node was paused for {} ms.",
            late.as_millis()
        );
        self.add_timeout_slack(SLACK_AFTER_PAUSE);
        self.probes.clear();
        self.relays.clear();
        self.sync = None;
        self.suspicions.postpone(late);
        self.last_received_at = now;
        self.probe_at = now;
        self.dead_probe_at = now + self.settings.dead_probe_period;
        self.gossip_at = now;
        self.check_at = now;
        self.hints.next_at = now;
    }

    fn leave(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        self.incarnation += 1;
        self.queue.push(self.own.node);
        self.announce_leaving(now, actions);
    }

    pub(super) fn sender(&self, with_info: bool) -> Sender {
        Sender {
            node: self.own.node,
            incarnation: self.incarnation,
            leaving: self.leaving,
            bundle: self.bundle,
            digest: self.digest(),
            info: with_info.then(|| self.own.clone()),
        }
    }

    pub(super) fn own_state(&self) -> MemberState {
        if self.leaving {
            MemberState::Leaving
        } else {
            MemberState::Alive
        }
    }

    pub(super) fn own_update(&self) -> MemberUpdate {
        MemberUpdate {
            node: self.own.node,
            incarnation: self.incarnation,
            state: self.own_state(),
            info: Some(self.own.clone()),
        }
    }

    /// Handles a claim about this node and refutes it if it is wrong.
    pub(super) fn handle_claim_about_self(&mut self, update: &MemberUpdate) {
        let wrong = matches!(update.state, MemberState::Suspect | MemberState::Dead);
        if wrong && update.incarnation >= self.incarnation {
            self.incarnation = update.incarnation.saturating_add(1);
            self.queue.push(self.own.node);
            self.add_timeout_slack(1);
        }
    }

    /// Sets the state of a known member.
    pub(super) fn change(
        &mut self,
        now: Timestamp,
        node: NodeId,
        claim: (u32, MemberState),
        local_only: bool,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(info) = self.table.get(node).map(|member| member.info.clone()) else {
            return;
        };
        let before = self.table.get(node).map(|member| member.state);
        self.table
            .change(now, node, claim, local_only, &mut self.random);
        if local_only {
            self.queue.remove(node);
        } else {
            self.queue.push(node);
        }
        self.suspicions.clear(node);
        if claim.1 == MemberState::Suspect {
            let time = suspicion_timeout(&self.settings, self.table.present());
            self.suspicions.start(node, now + time);
        }
        if before != Some(claim.1) {
            let state = claim.1;
            log::info!("membership: member {node} is {}.", state.as_str());
            actions.push(MembershipAction::MemberChanged { info, state });
        }
    }

    pub(super) fn add(
        &mut self,
        now: Timestamp,
        info: &Arc<MemberInfo>,
        (incarnation, state): (u32, MemberState),
        enqueue: bool,
        actions: &mut Vec<MembershipAction>,
    ) {
        let member = Member {
            info: info.clone(),
            incarnation,
            state,
            local_only: false,
            bundle: BundleVersion::default(),
            changed_at: now,
            in_ring: false,
        };
        self.table.insert(member, &mut self.random);
        if enqueue {
            self.queue.push(info.node);
        }
        if state == MemberState::Suspect {
            let time = suspicion_timeout(&self.settings, self.table.present());
            self.suspicions.start(info.node, now + time);
        }
        log::debug!("membership: member {} is new.", info.node);
        actions.push(MembershipAction::MemberChanged {
            info: info.clone(),
            state,
        });
    }

    pub(super) fn queue_check(&mut self, node: NodeId) {
        if self.check_queue.len() < MAXIMUM_QUEUED_CHECKS {
            self.check_queue.insert(node);
        }
    }

    fn refresh_versions(&mut self, now: Timestamp, version: BundleVersion) {
        let behind = self
            .table
            .iter()
            .filter(|member| member.state != MemberState::Dead && member.bundle < version)
            .map(|member| member.info.node);
        self.refresh = behind.collect();
        self.check_at = self.check_at.max(now);
    }

    fn run_timers(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        self.advance_probes(now, actions);
        self.expire_suspicions(now, actions);
        self.expire_sync(now, actions);
        if now >= self.probe_at {
            self.probe_at = next_after(self.probe_at, self.settings.probe_period, now);
            self.relays.retain(|_, relay| relay.expires > now);
            self.table.forget_dead(now - self.settings.dead_retention);
            self.probe_next(now, actions);
        }
        if self.table.has_dead() && now >= self.dead_probe_at {
            self.dead_probe_at = now + self.settings.dead_probe_period;
            self.probe_dead(actions);
        }
        if now >= self.check_at {
            self.check_at = now + self.settings.check_period;
            self.run_checks(now, actions);
        }
        if now >= self.gossip_at {
            self.gossip_at = now + self.settings.gossip_period;
            self.gossip(now, actions);
        }
        if now >= self.hints.next_at {
            self.send_hellos(now, actions);
        }
    }

    fn expire_suspicions(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        while let Some(node) = self.suspicions.pop_expired(now) {
            let Some(member) = self.table.get(node) else {
                continue;
            };
            let local_only = member.local_only || self.is_isolated(now);
            let claim = (member.incarnation, MemberState::Dead);
            self.change(now, node, claim, local_only, actions);
        }
    }
}

/// Returns `last + period`, or `now + period` if that is already past.
fn next_after(last: Timestamp, period: Duration, now: Timestamp) -> Timestamp {
    let next = last + period;
    if next > now { next } else { now + period }
}
