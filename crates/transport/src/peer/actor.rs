//! The actor that owns the peer sockets and drives the node machine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix::{
    Actor, ActorContext, ActorFutureExt, AsyncContext, Context, Handler, Message, SpawnHandle,
    StreamHandler, WrapFuture,
};
use futures::StreamExt;
use hookpoint_coordination::explain::Decision;
use hookpoint_coordination::membership::{Datagram, MemberInfo, MemberState};
use hookpoint_coordination::node::{LeadershipUpdate, NodeAction, NodeEvent, PeerMessage};
use hookpoint_coordination::rollout::RolloutEvent;
use hookpoint_protocol::peer::{
    DatagramSealer, MAXIMUM_DATAGRAM_BYTES, ReplayGuard, open_datagram,
};
use hookpoint_state::{NodeId, Timestamp};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::Semaphore;

use super::core::Core;
use super::leadership;
use super::link;
use super::sockets::Sockets;
use super::status::count;

/// Maximum number of concurrent incoming handshakes; further connections wait in the
/// listener's queue.
const MAXIMUM_HANDSHAKES: usize = 256;
/// Pause of the listener after it failed to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Actions of the node machine to perform.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct Perform(pub Vec<NodeAction>);

/// Stops the actor and closes its sockets.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct Shutdown;

struct Incoming(Vec<u8>);

struct Accepted(TcpStream);

pub(super) struct FleetActor {
    core: Arc<Core>,
    sockets: Option<Sockets>,
    seeds: Vec<SocketAddr>,
    udp: Option<Arc<UdpSocket>>,
    sealer: DatagramSealer,
    replays: ReplayGuard,
    handshakes: Arc<Semaphore>,
    timer: Option<(Timestamp, SpawnHandle)>,
}

impl FleetActor {
    pub fn new(core: Arc<Core>, sockets: Sockets, seeds: Vec<SocketAddr>) -> Self {
        Self {
            core,
            sockets: Some(sockets),
            seeds,
            udp: None,
            sealer: DatagramSealer::default(),
            replays: ReplayGuard::default(),
            handshakes: Arc::new(Semaphore::new(MAXIMUM_HANDSHAKES)),
            timer: None,
        }
    }

    fn open_sockets(&mut self, context: &mut Context<Self>) -> std::io::Result<()> {
        let Some(sockets) = self.sockets.take() else {
            return Ok(());
        };
        let udp = Arc::new(UdpSocket::from_std(sockets.udp)?);
        let tcp = TcpListener::from_std(sockets.tcp)?;
        self.udp = Some(udp.clone());
        let datagrams = futures::stream::unfold(udp, |udp| async move {
            let incoming = receive(&udp).await;
            Some((incoming, udp))
        });
        context.add_stream(datagrams.boxed_local());
        let handshakes = self.handshakes.clone();
        let links = futures::stream::unfold((tcp, handshakes), |(tcp, handshakes)| async move {
            let accepted = accept(&tcp, &handshakes).await;
            Some((accepted, (tcp, handshakes)))
        });
        context.add_stream(links.boxed_local());
        Ok(())
    }

    fn handle_event(&mut self, event: NodeEvent, context: &mut Context<Self>) {
        let mut actions = Vec::new();
        let now = self.core.shared.now();
        self.core
            .with_machine(|machine| machine.handle(now, event, &mut actions));
        self.perform(actions, context);
    }

    fn perform(&mut self, actions: Vec<NodeAction>, context: &mut Context<Self>) {
        for action in actions {
            match action {
                NodeAction::SendDatagram { to, datagram } => self.send(to, &datagram),
                NodeAction::SendPeer { to, message } => self.send_peer(to, message),
                NodeAction::HomeChanged(change) => {
                    let duty = if change.is_home { "is" } else { "is no longer" };
                    log::info!("fleet: this node {duty} the home of {}.", change.database);
                    self.core.home_changes.send_modify(|count| *count += 1);
                }
                NodeAction::LeadershipLearned(update) => self.apply_leadership(&update),
                NodeAction::MemberChanged { info, state } => self.member_changed(&info, state),
                NodeAction::ZoneRankChanged(rank) => {
                    self.core.notify_rollout(RolloutEvent::ZoneRank(rank));
                }
                NodeAction::RolloutReceived { from, message } => {
                    let event = RolloutEvent::PeerMessage { from, message };
                    self.core.notify_rollout(event);
                }
                NodeAction::PeerVersionSeen { node, version } => {
                    let event = RolloutEvent::PeerVersion { node, version };
                    self.core.notify_rollout(event);
                }
            }
        }
        self.schedule(context);
    }

    fn send(&mut self, to: SocketAddr, datagram: &Datagram) {
        let Some(udp) = &self.udp else {
            return;
        };
        let sealed = {
            let keys = self.core.keys.read();
            self.sealer.seal(keys.current(), datagram)
        };
        let sealed = match sealed {
            Ok(sealed) => sealed,
            Err(error) => {
                log::error!("fleet: a datagram could not be sealed: {error}.");
                return;
            }
        };
        let to = self.core.shared.addresses.resolve_datagrams(to);
        // A datagram that does not fit into the socket's buffer is lost, as any datagram
        // may be.
        if udp.try_send_to(&sealed, to).is_ok() {
            count(&self.core.counters.datagrams_sent, 1);
            count(&self.core.counters.datagram_bytes_sent, sealed.len() as u64);
        }
    }

    fn send_peer(&self, to: NodeId, message: PeerMessage) {
        let core = self.core.clone();
        actix_rt::spawn(async move {
            let sent = match link::connect(&core, to).await {
                Ok(link) => link.send_control(&message).await,
                Err(_) => false,
            };
            if !sent && matches!(message, PeerMessage::Rollout(_)) {
                core.notify_rollout(RolloutEvent::PeerLost(to));
            }
        });
    }

    fn apply_leadership(&self, update: &LeadershipUpdate) {
        leadership::apply(&self.core.shared, update);
    }

    fn member_changed(&self, info: &MemberInfo, state: MemberState) {
        let decision = Decision::Member {
            node: info.node,
            state: state.as_str().to_owned(),
        };
        self.core.shared.record(None, decision);
        if state == MemberState::Dead {
            self.core.links.remove_peer(info.node);
            self.core.notify_rollout(RolloutEvent::PeerLost(info.node));
        }
    }

    /// Sets the timer to the machine's next wake-up time.
    fn schedule(&mut self, context: &mut Context<Self>) {
        let wake = self.core.with_machine(|machine| machine.next_wake());
        if let Some((at, handle)) = self.timer {
            if at == wake {
                return;
            }
            context.cancel_future(handle);
        }
        let delay = wake.since(self.core.shared.now());
        let handle = context.run_later(delay, |actor, context| {
            actor.timer = None;
            actor.handle_event(NodeEvent::Timer, context);
        });
        self.timer = Some((wake, handle));
    }

    fn watch_bundles(&self, context: &mut Context<Self>) {
        let core = self.core.clone();
        let mut changes = core.shared.bundle_changes();
        let watching = async move {
            loop {
                if let Some(bundle) = core.shared.bundle() {
                    core.handle_event(NodeEvent::BundleInstalled(bundle));
                }
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        context.spawn(watching.into_actor(self).map(|(), _, _| ()));
        let watching = leadership::watch(self.core.clone());
        context.spawn(watching.into_actor(self).map(|(), _, _| ()));
    }
}

async fn receive(udp: &UdpSocket) -> Incoming {
    // One byte more than allowed, to detect datagrams that are too large.
    let mut buffer = vec![0; MAXIMUM_DATAGRAM_BYTES + 1];
    loop {
        // An error here concerns an earlier datagram that was rejected by its receiver;
        // this socket stays usable.
        if let Ok((length, _)) = udp.recv_from(&mut buffer).await {
            buffer.truncate(length);
            return Incoming(buffer);
        }
        tokio::task::yield_now().await;
    }
}

async fn accept(tcp: &TcpListener, handshakes: &Semaphore) -> Accepted {
    loop {
        let Ok(permit) = handshakes.acquire().await else {
            std::future::pending::<()>().await;
            continue;
        };
        match tcp.accept().await {
            Ok((stream, _)) => {
                permit.forget();
                return Accepted(stream);
            }
            Err(error) => {
                log::warn!("fleet: a link connection could not be accepted: {error}.");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

impl Actor for FleetActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        if let Err(error) = self.open_sockets(context) {
            log::error!("fleet: the sockets cannot be used: {error}.");
            context.stop();
            return;
        }
        self.watch_bundles(context);
        let seeds = std::mem::take(&mut self.seeds);
        self.handle_event(NodeEvent::Seeds(seeds), context);
    }
}

impl StreamHandler<Incoming> for FleetActor {
    fn handle(&mut self, Incoming(sealed): Incoming, context: &mut Self::Context) {
        let opened = open_datagram(&self.core.keys.read(), &sealed);
        let Ok((sequence, datagram)) = opened else {
            count(&self.core.counters.datagrams_dropped, 1);
            return;
        };
        if !self.replays.accept(datagram.sender.node, sequence) {
            count(&self.core.counters.datagrams_dropped, 1);
            return;
        }
        count(&self.core.counters.datagrams_received, 1);
        self.handle_event(NodeEvent::Datagram(Box::new(datagram)), context);
    }
}

impl StreamHandler<Accepted> for FleetActor {
    fn handle(&mut self, Accepted(stream): Accepted, _context: &mut Self::Context) {
        let core = self.core.clone();
        let handshakes = self.handshakes.clone();
        actix_rt::spawn(async move {
            if let Err(error) = link::accept(&core, stream).await {
                count(&core.counters.links_refused, 1);
                log::warn!("fleet: an incoming link was rejected: {error}.");
            }
            handshakes.add_permits(1);
        });
    }
}

impl Handler<Perform> for FleetActor {
    type Result = ();

    fn handle(&mut self, Perform(actions): Perform, context: &mut Self::Context) {
        self.perform(actions, context);
    }
}

impl Handler<Shutdown> for FleetActor {
    type Result = ();

    fn handle(&mut self, _: Shutdown, context: &mut Self::Context) {
        context.stop();
    }
}
