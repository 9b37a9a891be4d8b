//! Starting, asking and leaving the fleet.

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

/// How long the news that this node leaves has to get around.
const LEAVING_TIME: Duration = Duration::from_millis(750);
/// Time between two looks at the streams that are left.
const DRAIN_LOOK_PERIOD: Duration = Duration::from_millis(20);
/// Bits of a node's identifier in a process number told to callers. One less than its
/// upper half has, so that the number is never negative to a driver.
const TAG_BITS: u32 = 15;

/// Starts fleets.
pub struct Fleet;

/// This node as a member of its fleet. Clones mean the same node.
#[derive(Clone)]
pub struct FleetHandle {
    core: Arc<Core>,
    actor: Addr<FleetActor>,
    arbiter: Arc<ArbiterGuard>,
}

struct ArbiterGuard(Arbiter);

impl Drop for ArbiterGuard {
    fn drop(&mut self) {
        self.0.stop();
    }
}

impl Fleet {
    /// Joins the fleet on an arbiter of its own. `local` holds the connections of the
    /// databases that this node is home of. Needs a running actix system.
    ///
    /// # Errors
    /// A [`FleetError`] if the sockets or the keys cannot be used. Seeds that do not
    /// answer are no error; they are tried again.
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
    /// This node.
    pub fn node(&self) -> NodeId {
        self.core.own.node
    }

    /// Address that peers reach this node by.
    pub fn address(&self) -> SocketAddr {
        self.core.own.address
    }

    /// The other members, remembered dead ones included.
    pub fn members(&self) -> Vec<MemberStatus> {
        self.core.with_machine(|machine| {
            let members = machine.membership().members();
            members.map(MemberStatus::of).collect()
        })
    }

    /// The fleet as this node sees it.
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
            (own, machine.held().count())
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

    /// Leases of connections wherever in the fleet they are.
    pub fn lease_source(&self) -> Arc<dyn LeaseSource> {
        Arc::new(FleetLeases::new(self.core.clone()))
    }

    /// Whether this node is home of `database`, and so observes it and holds its
    /// connections.
    pub fn is_home(&self, database: &DatabaseName) -> bool {
        self.core.with_machine(|machine| machine.is_home(database))
    }

    /// Databases that this node is home of.
    pub fn homes(&self) -> Vec<DatabaseName> {
        self.core
            .with_machine(|machine| machine.held().cloned().collect())
    }

    /// A receiver that wakes when this node becomes home of a database or is no longer.
    pub fn home_changes(&self) -> watch::Receiver<u64> {
        self.core.home_changes.subscribe()
    }

    /// Takes the platform's list of machines, which lags.
    pub fn platform_machines(&self, machines: Vec<PlatformMachine>) {
        self.core.tell(NodeEvent::PlatformMachines(machines));
    }

    /// Takes the platform's list as it was read. Databases in it are no nodes.
    pub fn take_machine_records(&self, records: &[MachineRecord]) {
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
        self.platform_machines(machines.collect());
    }

    /// Joins the rollout machine's driver to the fleet: it hears of versions, messages
    /// and its rank from now on, and of what is known already.
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
        self.core.tell_rollout(RolloutEvent::ZoneRank(rank));
        for (node, version) in versions {
            let event = RolloutEvent::PeerVersion { node, version };
            self.core.tell_rollout(event);
        }
    }

    /// Asks every member that is not known to have `version` in force; a moment later
    /// [`FleetHandle::status`] knows better.
    pub fn refresh_versions(&self, version: BundleVersion) {
        self.core.tell(NodeEvent::VersionsRequested(version));
    }

    /// Replaces the fleet keys, the one to send with first. Links that are open stay.
    ///
    /// # Errors
    /// [`FleetError::Key`]; the keys stay as they were.
    pub fn set_keys(&self, keys: Vec<FleetKey>) -> Result<(), FleetError> {
        *self.core.keys.write() = FleetKeys::new(keys)?;
        Ok(())
    }

    /// The part of this node's identifier to put into the process numbers told to
    /// callers, so that a request to cancel finds its way here from any node.
    pub fn tag(&self) -> u16 {
        tag_of(self.core.own.node)
    }

    /// Sets what is done with requests to cancel that other nodes pass on.
    pub fn set_cancel_handler(&self, handler: CancelHandler) {
        *self.core.cancel.write() = Some(handler);
    }

    /// Passes a caller's request to cancel to the nodes whose tag the process number
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

    /// Takes no new duties and tells the others. Returns when the news has had time to
    /// get around; forwarded leases go on in both directions.
    pub async fn leave(&self) {
        self.core.set_stopping();
        self.core.tell(NodeEvent::StopRequested);
        tokio::time::sleep(LEAVING_TIME).await;
    }

    /// Waits until no lease flows over a link, for at most `limit`. Returns how many
    /// are left.
    pub async fn drain(&self, limit: Duration) -> usize {
        let deadline = tokio::time::Instant::now() + limit;
        loop {
            let (_, streams) = self.core.links.counts();
            if streams == 0 || tokio::time::Instant::now() >= deadline {
                return streams;
            }
            tokio::time::sleep(DRAIN_LOOK_PERIOD).await;
        }
    }

    /// Closes all sockets at once, as if the process had died.
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
        self.take_machine_records(machines);
    }

    fn tell_zone(&self, message: RolloutMessage) {
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
