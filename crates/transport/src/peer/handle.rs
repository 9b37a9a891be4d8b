//! Starting, querying and leaving the fleet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, Addr, Arbiter};
use hookpoint_coordination::membership::{MemberInfo, MemberState};
use hookpoint_coordination::node::{
    NodeAction, NodeEvent, NodeMachine, PeerMessage, PlatformMachine,
};
use hookpoint_coordination::rollout::{RolloutEvent, RolloutMessage};
use hookpoint_protocol::peer::{FleetKey, FleetKeys, LinkFrame};
use hookpoint_protocol::platform::records::{MachineRecord, MachineState};
use hookpoint_state::{BundleVersion, DatabaseName, NodeId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;

use super::actor::{FleetActor, Shutdown};
use super::core::Core;
use super::error::FleetError;
use super::forward::FleetLeases;
use super::link;
use super::settings::{CancelHandler, FleetSettings};
use super::sockets;
use super::status::{FleetStatus, MemberStatus};
use crate::lease::LeaseSource;
use crate::platform::{RolloutHandle, RolloutLinks};
use crate::shared::Shared;

/// Time allowed for the announcement that this node leaves to propagate.
const LEAVE_PROPAGATION_TIME: Duration = Duration::from_millis(750);
/// Interval at which the number of remaining streams is checked.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Bits of a node identifier that are put into process numbers sent to callers. One bit
/// less than the upper half of a process number, so that drivers never read the number as
/// negative.
const TAG_BITS: u32 = 15;

/// Starts the fleet membership of a node.
pub struct Fleet;

/// Handle to this node's membership in its fleet. Clones refer to the same node.
#[derive(Clone)]
pub struct FleetHandle {
    core: Arc<Core>,
    actor: Addr<FleetActor>,
    arbiter: Arc<ArbiterGuard>,
}

/// Owns the arbiter (thread) that runs the fleet actor; shared by all clones of a
/// [`FleetHandle`].
struct ArbiterGuard(Arbiter);

impl Drop for ArbiterGuard {
    /// Stops the arbiter when the last clone of the [`FleetHandle`] is dropped.
    fn drop(&mut self) {
        self.0.stop();
    }
}

impl Fleet {
    /// Joins the fleet on an arbiter of its own. `local` holds the connections of the
    /// databases that this node is the home of. Needs a running actix system.
    ///
    /// # Errors
    /// A [`FleetError`] if the sockets or the keys cannot be used. Seeds that do not
    /// answer are not an error; they are retried.
    pub fn start(
        settings: FleetSettings,
        shared: Arc<Shared>,
        local: Arc<dyn LeaseSource>,
    ) -> Result<FleetHandle, FleetError> {
        let keys = FleetKeys::new(settings.keys)?;
        let sockets = sockets::bind(settings.listen).map_err(FleetError::Listen)?;
        let mut random = ChaCha8Rng::from_os_rng();
        let own = MemberInfo {
            node: NodeId(random.random()),
            zone: settings.zone,
            region: settings.region,
            address: settings.advertise.unwrap_or(sockets.address),
        };
        log::info!("fleet: node {} listens on {}.", own.node, sockets.address);
        let now = shared.now();
        let machine = NodeMachine::new(now, settings.membership, own.clone(), random);
        let core = Arc::new(Core::new(shared, Arc::new(own), keys, local, machine));
        let arbiter = Arbiter::new();
        let seeds = settings.seeds;
        let for_actor = core.clone();
        let actor = FleetActor::start_in_arbiter(&arbiter.handle(), move |_| {
            FleetActor::new(for_actor, sockets, seeds)
        });
        core.set_actor(actor.clone());
        Ok(FleetHandle {
            core,
            actor,
            arbiter: Arc::new(ArbiterGuard(arbiter)),
        })
    }
}

impl FleetHandle {
    /// Returns the identifier of this node.
    pub fn node(&self) -> NodeId {
        self.core.own.node
    }

    /// Returns the address that peers reach this node at.
    pub fn address(&self) -> SocketAddr {
        self.core.own.address
    }

    /// Returns the other members, including dead ones that are still remembered.
    pub fn members(&self) -> Vec<MemberStatus> {
        self.core.with_machine(|machine| {
            let members = machine.membership().members();
            members.map(MemberStatus::of).collect()
        })
    }

    /// Returns the fleet as this node sees it.
    pub fn status(&self) -> FleetStatus {
        let (links, streams) = self.core.links.counts();
        let members = self.members();
        let (own, homes) = self.core.with_machine(|machine| {
            let membership = machine.membership();
            let state = if membership.is_leaving() {
                MemberState::Leaving
            } else {
                MemberState::Alive
            };
            let own = MemberStatus::new(&self.core.own, state, membership.bundle());
            (own, machine.own_databases().count())
        });
        FleetStatus {
            own,
            members,
            links,
            streams,
            homes,
            counters: self.core.counters.read(),
        }
    }

    /// Returns a source of leases of connections on any node of the fleet.
    pub fn lease_source(&self) -> Arc<dyn LeaseSource> {
        Arc::new(FleetLeases::new(self.core.clone()))
    }

    /// Returns whether this node is the home of `database`, which means that it probes
    /// the database and holds its connections.
    pub fn is_home(&self, database: &DatabaseName) -> bool {
        self.core.with_machine(|machine| machine.is_home(database))
    }

    /// Returns the databases that this node is the home of.
    pub fn homes(&self) -> Vec<DatabaseName> {
        self.core
            .with_machine(|machine| machine.own_databases().cloned().collect())
    }

    /// Returns a watch that changes when this node becomes the home of a database or
    /// ceases to be it.
    pub fn home_changes(&self) -> watch::Receiver<u64> {
        self.core.home_changes.subscribe()
    }

    /// Passes the platform's list of machines to the membership. The list may be
    /// outdated.
    pub fn update_platform_machines(&self, machines: Vec<PlatformMachine>) {
        self.core
            .handle_event(NodeEvent::PlatformMachines(machines));
    }

    /// Passes the platform's machine records to the membership, without the records of
    /// databases, which are not nodes.
    pub fn apply_machine_records(&self, records: &[MachineRecord]) {
        let bundle = self.core.shared.bundle();
        let is_database = |address: &SocketAddr| {
            bundle.as_ref().is_some_and(|bundle| {
                let text = address.to_string();
                bundle.databases.values().any(|entry| entry.address == text)
            })
        };
        let nodes = records
            .iter()
            .filter(|record| !is_database(&record.peer_address));
        let machines = nodes.map(|record| PlatformMachine {
            address: record.peer_address,
            leaving: record.state == MachineState::Leaving,
        });
        self.update_platform_machines(machines.collect());
    }

    /// Connects the rollout driver to the fleet: it receives the current zone rank and
    /// the known versions of the members at once, and all later changes and messages.
    pub fn set_rollout(&self, rollout: RolloutHandle) {
        *self.core.rollout.write() = Some(rollout);
        let (rank, versions) = self.core.with_machine(|machine| {
            let members = machine.membership().members();
            let versions: Vec<_> = members
                .filter(|member| member.state != MemberState::Dead)
                .map(|member| (member.info.node, member.bundle))
                .collect();
            (machine.zone_rank(), versions)
        });
        self.core.notify_rollout(RolloutEvent::ZoneRank(rank));
        for (node, version) in versions {
            let event = RolloutEvent::PeerVersion { node, version };
            self.core.notify_rollout(event);
        }
    }

    /// Requests the bundle version of every member that is not known to have `version` in
    /// force; the answers show in [`FleetHandle::status`] a moment later.
    pub fn refresh_versions(&self, version: BundleVersion) {
        self.core
            .handle_event(NodeEvent::VersionsRequested(version));
    }

    /// Replaces the fleet keys; the first one is used for sending. Open links are kept.
    ///
    /// # Errors
    /// [`FleetError::Key`]; the previous keys stay in use.
    pub fn set_keys(&self, keys: Vec<FleetKey>) -> Result<(), FleetError> {
        *self.core.keys.write() = FleetKeys::new(keys)?;
        Ok(())
    }

    /// Returns the part of this node's identifier that is put into process numbers sent
    /// to callers, so that any node can route a cancel request to this node.
    pub fn cancel_tag(&self) -> u16 {
        tag_of(self.core.own.node)
    }

    /// Sets the handler for cancel requests that other nodes forward.
    pub fn set_cancel_handler(&self, handler: CancelHandler) {
        *self.core.cancel.write() = Some(handler);
    }

    /// Forwards a caller's cancel request to the nodes whose tag the process number
    /// begins with.
    pub async fn cancel_session(&self, process: u32, secret: u32) {
        let tag = (process >> u16::BITS) as u16;
        let nodes: Vec<NodeId> = self.core.with_machine(|machine| {
            let members = machine.membership().members();
            let present = members.filter(|member| member.state != MemberState::Dead);
            let nodes = present.map(|member| member.info.node);
            nodes.filter(|node| tag_of(*node) == tag).collect()
        });
        for node in nodes {
            if let Ok(link) = link::connect(&self.core, node).await {
                link.send(LinkFrame::CancelSession { process, secret })
                    .await;
            }
        }
    }

    /// Refuses further leases that other nodes request from this node as the home of a
    /// database, and announces to the other nodes that this node leaves. Returns after the
    /// announcement has had time to propagate; forwarded leases continue in both directions.
    pub async fn leave(&self) {
        self.core.set_stopping();
        self.core.handle_event(NodeEvent::StopRequested);
        tokio::time::sleep(LEAVE_PROPAGATION_TIME).await;
    }

    /// Waits until no lease uses a link, for at most `limit`. Returns the number of
    /// remaining streams.
    pub async fn drain(&self, limit: Duration) -> usize {
        let deadline = tokio::time::Instant::now() + limit;
        loop {
            let (_, streams) = self.core.links.counts();
            if streams == 0 || tokio::time::Instant::now() >= deadline {
                return streams;
            }
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Closes all sockets immediately, as if the process had died.
    pub fn shutdown(&self) {
        self.actor.do_send(Shutdown);
        *self.core.cancel.write() = None;
        *self.core.rollout.write() = None;
        self.core.links.close_all();
        self.arbiter.0.stop();
    }
}

impl RolloutLinks for FleetHandle {
    fn machines(&self, machines: &[MachineRecord]) {
        self.apply_machine_records(machines);
    }

    fn send_to_zone(&self, message: RolloutMessage) {
        let zone = &self.core.own.zone;
        let present = |member: &MemberStatus| member.state != MemberState::Dead;
        let members = self.members();
        let receivers = members
            .iter()
            .filter(|member| present(member) && member.zone == *zone);
        for member in receivers {
            self.send(member.node, message.clone());
        }
    }

    fn send(&self, to: NodeId, message: RolloutMessage) {
        let message = PeerMessage::Rollout(message);
        self.core.perform_one(NodeAction::SendPeer { to, message });
    }
}

fn tag_of(node: NodeId) -> u16 {
    (node.0 & ((1 << TAG_BITS) - 1)) as u16
}
