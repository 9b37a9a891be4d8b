//! Drives the rollout machine of one node: performs its actions towards the platform, the
//! other nodes and the shared tables.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hookpoint_coordination::rollout::{
    LeavingList, RolloutAction, RolloutEvent, RolloutMachine, RolloutMessage, SignedStore,
};
use hookpoint_protocol::platform::records::{MachineRecord, MachineState};
use hookpoint_state::bundle::TrustedKeys;
use hookpoint_state::{NodeId, Timestamp};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::mpsc;

use super::follower::{PlatformCommand, PlatformEvent};
use crate::shared::Shared;

/// Capacity of the event channel.
const EVENT_CAPACITY: usize = 1_024;
/// Longest sleep, used when the machine has no timer.
const LONGEST_SLEEP: Duration = Duration::from_secs(60);

/// The links from the rollout machine to the other nodes.
pub trait RolloutLinks: Send + Sync {
    /// Receives the platform's list of machines.
    fn machines(&self, machines: &[MachineRecord]);

    /// Sends `message` to all other members of this node's zone.
    fn send_to_zone(&self, message: RolloutMessage);

    /// Sends `message` to `to`, or reports the failure as [`RolloutEvent::PeerLost`].
    fn send(&self, to: NodeId, message: RolloutMessage);
}

/// Sends events to the rollout driver.
#[derive(Clone, Debug)]
pub struct RolloutHandle {
    events: mpsc::Sender<RolloutEvent>,
}

impl RolloutHandle {
    /// Passes an event to the rollout machine. If the driver is far behind, the event is
    /// dropped: versions are sent again, and pulls have a deadline.
    pub fn notify(&self, event: RolloutEvent) {
        if self.events.try_send(event).is_err() {
            log::debug!("rollout: an event was dropped.");
        }
    }
}

/// The running rollout driver.
pub struct RolloutDriver {
    machine: RolloutMachine<SignedStore>,
    shared: Arc<Shared>,
    commands: mpsc::Sender<PlatformCommand>,
    links: Arc<dyn RolloutLinks>,
    /// The last list of machines, with its revision.
    machines: Option<(u64, Vec<MachineRecord>)>,
}

impl RolloutDriver {
    /// Starts a driver on this thread. It ends when every handle has been dropped.
    pub fn start(
        shared: Arc<Shared>,
        trusted: TrustedKeys,
        commands: mpsc::Sender<PlatformCommand>,
        platform: mpsc::Receiver<PlatformEvent>,
        links: Arc<dyn RolloutLinks>,
    ) -> RolloutHandle {
        let (events, receiver) = mpsc::channel(EVENT_CAPACITY);
        let random = ChaCha8Rng::seed_from_u64(rand::random());
        let machine = RolloutMachine::new(shared.now(), SignedStore::new(trusted), random);
        let driver = Self {
            machine,
            shared,
            commands,
            links,
            machines: None,
        };
        actix_rt::spawn(driver.run(receiver, platform));
        RolloutHandle { events }
    }

    async fn run(
        mut self,
        mut events: mpsc::Receiver<RolloutEvent>,
        mut platform: mpsc::Receiver<PlatformEvent>,
    ) {
        loop {
            let sleep = self.sleep_time();
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                Some(event) = platform.recv() => self.handle_platform(event),
                () = tokio::time::sleep(sleep) => self.handle(RolloutEvent::Timer),
            }
        }
    }

    fn sleep_time(&self) -> Duration {
        let now = self.shared.now();
        let wake = self.machine.next_wake();
        wake.map_or(LONGEST_SLEEP, |at: Timestamp| at.since(now))
    }

    fn handle_platform(&mut self, event: PlatformEvent) {
        match event {
            PlatformEvent::Version(version) => self.handle(RolloutEvent::PlatformVersion(version)),
            PlatformEvent::Change(change) => self.handle(RolloutEvent::PlatformChange(change)),
            PlatformEvent::Failed => self.handle(RolloutEvent::PlatformFailed),
            PlatformEvent::Machines { revision, machines } => {
                self.links.machines(&machines);
                self.machines = Some((revision, machines));
                self.report_leaving();
            }
        }
    }

    /// Reports to the machine which databases of the bundle in force are on leaving
    /// machines.
    fn report_leaving(&mut self) {
        let (Some((revision, machines)), Some(bundle)) = (&self.machines, self.shared.bundle())
        else {
            return;
        };
        let leaving = machines
            .iter()
            .filter(|machine| machine.state == MachineState::Leaving);
        let leaving: BTreeSet<SocketAddr> = leaving.map(|machine| machine.peer_address).collect();
        let databases = bundle.databases.values();
        let addresses = databases.filter_map(|database| database.address.parse().ok());
        let list = LeavingList {
            revision: *revision,
            addresses: addresses
                .filter(|address| leaving.contains(address))
                .collect(),
        };
        self.handle(RolloutEvent::PlatformLeaving(list));
    }

    fn handle(&mut self, event: RolloutEvent) {
        let mut actions = Vec::new();
        self.machine.handle(self.shared.now(), event, &mut actions);
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: RolloutAction) {
        match action {
            RolloutAction::WatchPlatform(on) => self.command(PlatformCommand::Watch(on)),
            RolloutAction::FetchFromPlatform => self.command(PlatformCommand::Fetch),
            RolloutAction::SendPeer { to, message } => self.links.send(to, message),
            RolloutAction::BroadcastToZone(message) => self.links.send_to_zone(message),
            RolloutAction::DrainDatabases(addresses) => self.drain(addresses),
            RolloutAction::Install(version) => self.install(version.0),
            RolloutAction::Rejected { source, error } => {
                log::warn!("rollout: a change from {source:?} was rejected: {error}.");
            }
        }
    }

    fn command(&self, command: PlatformCommand) {
        if self.commands.try_send(command).is_err() {
            log::debug!("rollout: the platform's follower is busy.");
        }
    }

    fn drain(&self, addresses: BTreeSet<SocketAddr>) {
        let count = addresses.len();
        if self.shared.set_leaving_machines(addresses) {
            log::info!("rollout: {count} databases are on leaving machines.");
        }
    }

    fn install(&mut self, version: u64) {
        let Some(signed) = self.machine.store().current() else {
            return;
        };
        if self.shared.install_bundle((*signed.bundle).clone()) {
            log::info!("rollout: bundle version {version} is in force.");
            self.report_leaving();
        }
    }
}
