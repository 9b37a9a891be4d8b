//! The membership machine: its state, events and actions.

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
use super::suspicion::{Suspicions, time_to_refute};
use super::sync::RunningSync;
use super::table::MemberTable;
use super::updates::UpdateQueue;

/// Added to the caution after a pause.
const CAUTION_AFTER_PAUSE: u32 = 2;
/// Highest caution; probes then may take this many times longer, plus one.
const MAXIMUM_CAUTION: u32 = 3;
/// Members waiting to be checked because another node takes them for dead.
const MAXIMUM_ACCUSED: usize = 4_096;

/// What happens to the membership.
#[derive(Clone, Debug)]
pub enum MembershipEvent {
    /// A datagram that was proved to come from the fleet.
    Datagram(Box<Datagram>),
    /// The time of [`Membership::next_wake`] has come.
    Timer,
    /// Addresses at which nodes may be found at any time.
    Seeds(Vec<SocketAddr>),
    /// Addresses from the platform's list of machines; replaces the list before.
    Hints(Vec<SocketAddr>),
    /// A bundle came into force on this node.
    BundleInForce(BundleVersion),
    /// A link to this member was lost: look at once.
    ProbeNow(NodeId),
    /// Ask every member that is not known to have this version in force.
    RefreshVersions(BundleVersion),
    /// This node takes no new work from now on.
    Leave,
}

/// What the membership asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The datagram.
        datagram: Box<Datagram>,
    },
    /// A member was added or its state changed.
    MemberChanged {
        /// The member.
        info: Arc<MemberInfo>,
        /// Its state now.
        state: MemberState,
    },
    /// A member was heard to have a bundle in force.
    VersionSeen {
        /// The member.
        node: NodeId,
        /// The version.
        version: BundleVersion,
    },
}

/// Membership as seen by one node.
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
    pub(super) accused: BTreeSet<NodeId>,
    pub(super) accuse_at: Timestamp,
    pub(super) refresh: BTreeSet<NodeId>,
    pub(super) gossip_at: Timestamp,
    pub(super) announcements: u32,
    pub(super) budget: ByteBudget,
    pub(super) page_budget: ByteBudget,
    pub(super) hints: Hints,
    pub(super) sync: Option<RunningSync>,
    pub(super) sync_allowed_at: Timestamp,
    pub(super) differs_since: Option<Timestamp>,
    pub(super) heard_at: Timestamp,
    expected_wake: Timestamp,
    caution: u32,
}

impl Membership {
    /// A fleet of one. `random` must be seeded differently on each node.
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
            accused: BTreeSet::new(),
            accuse_at: now,
            refresh: BTreeSet::new(),
            gossip_at: now,
            announcements: 0,
            budget,
            page_budget,
            hints: Hints::new(now),
            sync: None,
            sync_allowed_at: now,
            differs_since: None,
            heard_at: now,
            expected_wake: now,
            caution: 0,
            settings,
        }
    }

    /// Takes an event and appends the actions it causes to `actions`.
    pub fn handle(
        &mut self,
        now: Timestamp,
        event: MembershipEvent,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.notice_pause(now);
        match event {
            MembershipEvent::Datagram(datagram) => self.receive(now, *datagram, actions),
            MembershipEvent::Timer => self.run_timers(now, actions),
            MembershipEvent::Seeds(addresses) => {
                self.hints.set_seeds(addresses);
                self.greet(now, actions);
            }
            MembershipEvent::Hints(addresses) => self.hints.set_hints(addresses),
            MembershipEvent::BundleInForce(version) => self.set_bundle(now, version, actions),
            MembershipEvent::ProbeNow(node) => self.probe_now(now, node, actions),
            MembershipEvent::RefreshVersions(version) => self.refresh_versions(now, version),
            MembershipEvent::Leave => self.leave(now, actions),
        }
        // What has only now become due is not late.
        self.expected_wake = self.next_wake().max(now);
    }

    /// When [`MembershipEvent::Timer`] is due.
    pub fn next_wake(&self) -> Timestamp {
        let caution = self.caution();
        let probes = self
            .probes
            .values()
            .map(|probe| probe.next_step(&self.settings, caution));
        let mut wake = self.probe_at.min(self.hints.next_at);
        wake = probes.fold(wake, Timestamp::min);
        if self.table.has_dead() {
            wake = wake.min(self.dead_probe_at);
        }
        let news = !self.queue.is_empty() || self.announcements > 0;
        if news && self.table.present() > 0 {
            wake = wake.min(self.gossip_at);
        }
        if !self.accused.is_empty() || !self.refresh.is_empty() {
            wake = wake.min(self.accuse_at);
        }
        if let Some(sync) = &self.sync {
            wake = wake.min(sync.deadline);
        }
        if let Some(deadline) = self.suspicions.next_deadline() {
            wake = wake.min(deadline);
        }
        wake
    }

    /// This node.
    pub fn own(&self) -> &Arc<MemberInfo> {
        &self.own
    }

    /// Whether this node is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Version of the bundle this node has in force.
    pub fn bundle(&self) -> BundleVersion {
        self.bundle
    }

    /// What is held of another member.
    pub fn member(&self, node: NodeId) -> Option<&Member> {
        self.table.get(node)
    }

    /// Other members in the order of their identifiers, remembered dead ones included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.iter()
    }

    /// Other members that are not dead.
    pub fn present(&self) -> usize {
        self.table.present()
    }

    /// Digest of all members that are not dead, this node included. Equal digests mean
    /// equal tables.
    pub fn digest(&self) -> u64 {
        self.table.digest(self.incarnation, self.leaving)
    }

    /// Whether the node has heard from nobody for so long that it takes itself, not
    /// the others, for cut off.
    pub fn is_isolated(&self, now: Timestamp) -> bool {
        now.since(self.heard_at) > self.settings.isolation
    }

    pub(super) fn caution(&self) -> u32 {
        self.caution + 1
    }

    pub(super) fn relax(&mut self) {
        self.caution = self.caution.saturating_sub(1);
    }

    fn add_caution(&mut self, amount: u32) {
        self.caution = (self.caution + amount).min(MAXIMUM_CAUTION);
    }

    /// A node whose own timer is late was paused. Answers may have come and gone, so
    /// it judges nobody by what it missed.
    fn notice_pause(&mut self, now: Timestamp) {
        let late = now.since(self.expected_wake);
        if late <= self.settings.pause {
            return;
        }
        log::warn!(
            "membership: this node was paused for {} ms.",
            late.as_millis()
        );
        self.add_caution(CAUTION_AFTER_PAUSE);
        self.probes.clear();
        self.relays.clear();
        self.sync = None;
        self.suspicions.postpone(late);
        self.heard_at = now;
        self.probe_at = now;
        self.dead_probe_at = now + self.settings.dead_probe_period;
        self.gossip_at = now;
        self.accuse_at = now;
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

    /// Takes a claim about this node; denies it if it is wrong.
    pub(super) fn hear_of_self(&mut self, update: &MemberUpdate) {
        let wrong = matches!(update.state, MemberState::Suspect | MemberState::Dead);
        if wrong && update.incarnation >= self.incarnation {
            self.incarnation = update.incarnation.saturating_add(1);
            self.queue.push(self.own.node);
            self.add_caution(1);
        }
    }

    /// Sets the state of a known member.
    pub(super) fn change(
        &mut self,
        now: Timestamp,
        node: NodeId,
        claim: (u32, MemberState),
        private: bool,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(info) = self.table.get(node).map(|member| member.info.clone()) else {
            return;
        };
        let before = self.table.get(node).map(|member| member.state);
        self.table
            .change(now, node, claim, private, &mut self.random);
        if private {
            self.queue.remove(node);
        } else {
            self.queue.push(node);
        }
        self.suspicions.clear(node);
        if claim.1 == MemberState::Suspect {
            let time = time_to_refute(&self.settings, self.table.present());
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
        spread: bool,
        actions: &mut Vec<MembershipAction>,
    ) {
        let member = Member {
            info: info.clone(),
            incarnation,
            state,
            private: false,
            bundle: BundleVersion::default(),
            changed_at: now,
            in_ring: false,
        };
        self.table.insert(member, &mut self.random);
        if spread {
            self.queue.push(info.node);
        }
        if state == MemberState::Suspect {
            let time = time_to_refute(&self.settings, self.table.present());
            self.suspicions.start(info.node, now + time);
        }
        log::debug!("membership: member {} is new.", info.node);
        actions.push(MembershipAction::MemberChanged {
            info: info.clone(),
            state,
        });
    }

    pub(super) fn accuse(&mut self, node: NodeId) {
        if self.accused.len() < MAXIMUM_ACCUSED {
            self.accused.insert(node);
        }
    }

    fn refresh_versions(&mut self, now: Timestamp, version: BundleVersion) {
        let behind = self
            .table
            .iter()
            .filter(|member| member.state != MemberState::Dead && member.bundle < version)
            .map(|member| member.info.node);
        self.refresh = behind.collect();
        self.accuse_at = self.accuse_at.max(now);
    }

    fn run_timers(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        self.advance_probes(now, actions);
        self.expire_suspicions(now, actions);
        self.expire_sync(now, actions);
        if now >= self.probe_at {
            self.probe_at = next_after(self.probe_at, self.settings.probe_period, now);
            self.relays.retain(|_, relay| relay.expires > now);
            self.table.forget_dead(now - self.settings.dead_memory);
            self.probe_next(now, actions);
        }
        if self.table.has_dead() && now >= self.dead_probe_at {
            self.dead_probe_at = now + self.settings.dead_probe_period;
            self.probe_dead(actions);
        }
        if now >= self.accuse_at {
            self.accuse_at = now + self.settings.accusation_period;
            self.check_accused(now, actions);
        }
        if now >= self.gossip_at {
            self.gossip_at = now + self.settings.gossip_period;
            self.gossip(now, actions);
        }
        if now >= self.hints.next_at {
            self.greet(now, actions);
        }
    }

    fn expire_suspicions(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        while let Some(node) = self.suspicions.expired(now) {
            let Some(member) = self.table.get(node) else {
                continue;
            };
            let private = member.private || self.is_isolated(now);
            let claim = (member.incarnation, MemberState::Dead);
            self.change(now, node, claim, private, actions);
        }
    }
}

/// The first time after `now` on the grid of `period` through `last`.
fn next_after(last: Timestamp, period: Duration, now: Timestamp) -> Timestamp {
    let next = last + period;
    if next > now { next } else { now + period }
}
