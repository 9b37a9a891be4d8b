//! A relay of UDP datagrams that adds the latency, the cuts, the loss and the
//! reordering of a link.

use super::route::Route;
use super::runtime::next_handle;
use super::timer::Timer;
use super::zones::ZoneLinks;
use super::{LinkError, listen_address};
use bytes::Bytes;
use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio_util::sync::CancellationToken;

/// Greatest size of a datagram, in bytes.
const GREATEST_DATAGRAM: usize = 65_535;

/// Callers that a link tells apart; the one quiet for longest makes room.
const GREATEST_CALLERS: usize = 256;

/// Datagrams on the way; past it they are lost, as in a full router.
const GREATEST_IN_FLIGHT: usize = 4096;

/// How many more latencies an overtaken datagram takes.
const OVERTAKEN_LATENCIES: u32 = 2;

/// Least extra time of an overtaken datagram.
const LEAST_OVERTAKEN: Duration = Duration::from_millis(1);

/// Pause after the system failed to receive a datagram.
const RECEIVE_PAUSE: Duration = Duration::from_millis(1);

thread_local! {
    /// Sockets hold no buffer while they wait.
    static SCRATCH: RefCell<Vec<u8>> = RefCell::new(vec![0; GREATEST_DATAGRAM]);
}

/// Settings of a [`UdpLink`].
#[derive(Debug, Clone)]
pub struct UdpLinkSettings {
    /// Where the callers are.
    pub from: String,
    /// Where the target is.
    pub to: String,
    /// Address that datagrams are relayed to; without one they are lost.
    pub target: Option<SocketAddr>,
    /// Seed of the choice of datagrams that are lost or overtaken.
    pub seed: u64,
}

/// Counts of a [`UdpLink`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UdpLinkCounters {
    /// Datagrams passed on, both ways.
    pub delivered: u64,
    /// Datagrams lost by chance, by a cut, or for want of room.
    pub lost: u64,
}

struct Caller {
    socket: Arc<UdpSocket>,
    used: Instant,
    ended: CancellationToken,
}

struct Shared {
    there: Route,
    back: Route,
    target: watch::Sender<Option<SocketAddr>>,
    listener: UdpSocket,
    callers: Mutex<BTreeMap<SocketAddr, Caller>>,
    random: Mutex<ChaCha8Rng>,
    in_flight: Arc<Semaphore>,
    delivered: AtomicU64,
    lost: AtomicU64,
    stopping: CancellationToken,
}

/// A running relay of datagrams. Answers of the target go back to the caller
/// that they answer. Dropping it stops it.
pub struct UdpLink {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl UdpLink {
    /// Starts a relay on a loopback port that the system chooses.
    pub fn start(links: &ZoneLinks, settings: UdpLinkSettings) -> Result<Self, LinkError> {
        let timer = Timer::get().map_err(LinkError::Thread)?;
        let handle = next_handle().map_err(LinkError::Thread)?;
        let socket = std::net::UdpSocket::bind(listen_address()).map_err(LinkError::Bind)?;
        socket.set_nonblocking(true).map_err(LinkError::Bind)?;
        let address = socket.local_addr().map_err(LinkError::Bind)?;
        let listener = {
            let _entered = handle.enter();
            UdpSocket::from_std(socket).map_err(LinkError::Bind)?
        };
        let there = Route {
            links: links.clone(),
            timer,
            from: settings.from.into(),
            to: settings.to.into(),
        };
        let shared = Arc::new(Shared {
            back: there.back(),
            there,
            target: watch::Sender::new(settings.target),
            listener,
            callers: Mutex::default(),
            random: Mutex::new(ChaCha8Rng::seed_from_u64(settings.seed)),
            in_flight: Arc::new(Semaphore::new(GREATEST_IN_FLIGHT)),
            delivered: AtomicU64::new(0),
            lost: AtomicU64::new(0),
            stopping: CancellationToken::new(),
        });
        handle.spawn(receive(Arc::clone(&shared)));
        Ok(Self { shared, address })
    }

    /// Where callers send to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Relays datagrams to an address from now on.
    pub fn set_target(&self, target: SocketAddr) {
        self.shared.target.send_replace(Some(target));
    }

    /// A reading of the counts.
    pub fn counters(&self) -> UdpLinkCounters {
        UdpLinkCounters {
            delivered: self.shared.delivered.load(Ordering::Relaxed),
            lost: self.shared.lost.load(Ordering::Relaxed),
        }
    }

    /// Stops the relay.
    pub fn stop(self) {
        drop(self);
    }
}

impl Drop for UdpLink {
    fn drop(&mut self) {
        self.shared.stopping.cancel();
    }
}

/// What becomes of a datagram.
enum Fate {
    Lost,
    Delivered(Instant, OwnedSemaphorePermit),
}

impl Shared {
    fn lose(&self) {
        self.lost.fetch_add(1, Ordering::Relaxed);
    }

    fn fate(&self, route: &Route) -> Fate {
        let (loss, reorder) = route.links.datagram_faults();
        let (lost, overtaken) = {
            let mut random = self.random.lock();
            (random.random_bool(loss), random.random_bool(reorder))
        };
        if lost || route.is_cut() {
            return Fate::Lost;
        }
        let Ok(permit) = Arc::clone(&self.in_flight).try_acquire_owned() else {
            return Fate::Lost;
        };
        let delay = route.delay();
        let extra = match overtaken {
            true => (delay * OVERTAKEN_LATENCIES).max(LEAST_OVERTAKEN),
            false => Duration::ZERO,
        };
        Fate::Delivered(Instant::now() + delay + extra, permit)
    }
}

/// The next datagram and its source.
async fn receive_from(socket: &UdpSocket) -> (Bytes, SocketAddr) {
    loop {
        if let Err(error) = socket.readable().await {
            log::warn!("link: waiting for a datagram failed: {error}.");
            tokio::time::sleep(RECEIVE_PAUSE).await;
            continue;
        }
        let received: std::io::Result<_> = SCRATCH.with_borrow_mut(|scratch| {
            let (length, source) = socket.try_recv_from(scratch)?;
            Ok((Bytes::copy_from_slice(&scratch[..length]), source))
        });
        match received {
            Ok(received) => return received,
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => {
                log::warn!("link: receiving a datagram failed: {error}.");
                tokio::time::sleep(RECEIVE_PAUSE).await;
            }
        }
    }
}

async fn receive(shared: Arc<Shared>) {
    loop {
        let (datagram, source) = tokio::select! {
            () = shared.stopping.cancelled() => return,
            received = receive_from(&shared.listener) => received,
        };
        match socket_of(&shared, source).await {
            Ok(socket) => send_on(&shared, socket, datagram),
            Err(error) => {
                log::warn!("link: a datagram found no socket: {error}.");
                shared.lose();
            }
        }
    }
}

/// The socket towards the target that stands for a caller.
async fn socket_of(shared: &Arc<Shared>, source: SocketAddr) -> std::io::Result<Arc<UdpSocket>> {
    if let Some(caller) = shared.callers.lock().get_mut(&source) {
        caller.used = Instant::now();
        return Ok(Arc::clone(&caller.socket));
    }
    let socket = Arc::new(UdpSocket::bind(listen_address()).await?);
    let ended = shared.stopping.child_token();
    let caller = Caller {
        socket: Arc::clone(&socket),
        used: Instant::now(),
        ended: ended.clone(),
    };
    let mut callers = shared.callers.lock();
    make_room(&mut callers);
    callers.insert(source, caller);
    drop(callers);
    tokio::spawn(answer(
        Arc::clone(shared),
        source,
        Arc::clone(&socket),
        ended,
    ));
    Ok(socket)
}

fn make_room(callers: &mut BTreeMap<SocketAddr, Caller>) {
    if callers.len() < GREATEST_CALLERS {
        return;
    }
    let quietest = callers.iter().min_by_key(|(_, caller)| caller.used);
    if let Some(address) = quietest.map(|(address, _)| *address)
        && let Some(caller) = callers.remove(&address)
    {
        caller.ended.cancel();
    }
}

fn send_on(shared: &Arc<Shared>, socket: Arc<UdpSocket>, datagram: Bytes) {
    let Some(target) = *shared.target.borrow() else {
        return shared.lose();
    };
    let shared = Arc::clone(shared);
    match shared.fate(&shared.there) {
        Fate::Lost => shared.lose(),
        Fate::Delivered(due, permit) => {
            tokio::spawn(async move {
                shared.there.sleep_until(due).await;
                let cut = shared.there.is_cut();
                let sent = !cut && socket.send_to(&datagram, target).await.is_ok();
                count(&shared, sent);
                drop(permit);
            });
        }
    }
}

/// Carries the target's datagrams back to one caller.
async fn answer(
    shared: Arc<Shared>,
    caller: SocketAddr,
    socket: Arc<UdpSocket>,
    ended: CancellationToken,
) {
    loop {
        let (datagram, _) = tokio::select! {
            () = ended.cancelled() => return,
            received = receive_from(&socket) => received,
        };
        send_back(&shared, caller, datagram);
    }
}

fn send_back(shared: &Arc<Shared>, caller: SocketAddr, datagram: Bytes) {
    let shared = Arc::clone(shared);
    match shared.fate(&shared.back) {
        Fate::Lost => shared.lose(),
        Fate::Delivered(due, permit) => {
            tokio::spawn(async move {
                shared.back.sleep_until(due).await;
                let cut = shared.back.is_cut();
                let sent = !cut && shared.listener.send_to(&datagram, caller).await.is_ok();
                count(&shared, sent);
                drop(permit);
            });
        }
    }
}

fn count(shared: &Shared, sent: bool) {
    match sent {
        true => {
            shared.delivered.fetch_add(1, Ordering::Relaxed);
        }
        false => shared.lose(),
    }
}
