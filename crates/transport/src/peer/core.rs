//! State shared by the actor, the links and the lease source.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};

use actix::Addr;
use hookpoint_coordination::membership::MemberInfo;
use hookpoint_coordination::node::{NodeAction, NodeEvent, NodeMachine, Route};
use hookpoint_coordination::rollout::RolloutEvent;
use hookpoint_protocol::peer::FleetKeys;
use hookpoint_state::{DatabaseName, GroupName, NodeId};
use parking_lot::{Mutex, RwLock};
use tokio::sync::watch;

use super::actor::{FleetActor, Perform};
use super::link::LinkTable;
use super::settings::CancelHandler;
use super::status::Counters;
use crate::lease::LeaseSource;
use crate::platform::RolloutHandle;
use crate::shared::Shared;

pub(super) struct Core {
    pub shared: Arc<Shared>,
    pub own: Arc<MemberInfo>,
    pub keys: RwLock<FleetKeys>,
    pub links: LinkTable,
    pub local: Arc<dyn LeaseSource>,
    pub cancel: RwLock<Option<CancelHandler>>,
    pub rollout: RwLock<Option<RolloutHandle>>,
    pub counters: Counters,
    pub home_changes: watch::Sender<u64>,
    stopping: AtomicBool,
    machine: Mutex<NodeMachine>,
    actor: OnceLock<Addr<FleetActor>>,
}

impl Core {
    pub fn new(
        shared: Arc<Shared>,
        own: Arc<MemberInfo>,
        keys: FleetKeys,
        local: Arc<dyn LeaseSource>,
        machine: NodeMachine,
    ) -> Self {
        Self {
            shared,
            own,
            keys: RwLock::new(keys),
            links: LinkTable::default(),
            local,
            cancel: RwLock::new(None),
            rollout: RwLock::new(None),
            counters: Counters::default(),
            home_changes: watch::Sender::new(0),
            stopping: AtomicBool::new(false),
            machine: Mutex::new(machine),
            actor: OnceLock::new(),
        }
    }

    pub fn set_actor(&self, actor: Addr<FleetActor>) {
        // Set once, by the function that starts the actor.
        let _ = self.actor.set(actor);
    }

    /// Gives access to the node machine under its lock.
    pub fn with_machine<R>(&self, access: impl FnOnce(&mut NodeMachine) -> R) -> R {
        access(&mut self.machine.lock())
    }

    /// Passes an event to the node machine and has its actions performed.
    pub fn handle_event(&self, event: NodeEvent) {
        let mut actions = Vec::new();
        let now = self.shared.now();
        self.machine.lock().handle(now, event, &mut actions);
        self.perform(actions);
    }

    fn perform(&self, actions: Vec<NodeAction>) {
        if let Some(actor) = self.actor.get() {
            actor.do_send(Perform(actions));
        }
    }

    /// Performs one action as if the machine had returned it.
    pub fn perform_one(&self, action: NodeAction) {
        self.perform(vec![action]);
    }

    /// Passes an event to the rollout machine, if one is set.
    pub fn notify_rollout(&self, event: RolloutEvent) {
        let rollout = self.rollout.read();
        if let Some(rollout) = &*rollout {
            rollout.notify(event);
        }
    }

    /// Returns where a request is routed first.
    pub fn route(&self, group: &GroupName, database: &DatabaseName) -> Option<Route> {
        let mut actions = Vec::new();
        let now = self.shared.now();
        let route = self
            .machine
            .lock()
            .route(now, group, database, &mut actions);
        if !actions.is_empty() {
            self.perform(actions);
        }
        route
    }

    /// Returns the peer address of a member.
    pub fn address_of(&self, node: NodeId) -> Option<SocketAddr> {
        self.machine.lock().address_of(node)
    }

    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Release);
    }
}
