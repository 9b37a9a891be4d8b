//! A relay of UDP datagrams that applies the latency, cuts, loss and reordering
//! of a link.

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

/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_535;

/// Maximum number of callers of a link; the least recently active one is evicted
/// for a new caller.
const MAX_CALLERS: usize = 256;

/// Maximum number of datagrams in flight; further ones are dropped, as by a
/// router with a full queue.
const MAX_IN_FLIGHT: usize = 4096;

/// Additional delay of a reordered datagram, in multiples of the link latency.
const REORDER_DELAY_LATENCIES: u32 = 2;

/// Minimum additional delay of a reordered datagram.
const MIN_REORDER_DELAY: Duration = Duration::from_millis(1);

/// Pause after receiving a datagram failed.
const RECEIVE_PAUSE: Duration = Duration::from_millis(1);

thread_local! {
    /// Receive buffer of the thread; waiting sockets hold no buffer.
    static RECEIVE_BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; MAX_DATAGRAM_BYTES]);
}

/// Settings of a [`UdpLink`].
#[derive(Debug, Clone)]
pub struct UdpLinkSettings {
    /// Zone of the callers, or [`CLIENTS`](super::CLIENTS).
    pub from: String,
    /// Zone of the target, or [`CLIENTS`](super::CLIENTS).
    pub to: String,
    /// Address to which datagrams are relayed; without one they are dropped.
    pub target: Option<SocketAddr>,
    /// Seed of the random choice of datagrams that are lost or reordered.
    pub seed: u64,
}

/// Counters of a [`UdpLink`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UdpLinkCounters {
    /// Datagrams delivered, in both directions.
    pub delivered: u64,
    /// Datagrams dropped by random loss, by a cut, because the queue was full,
    /// because no target was set or because sending failed.
    pub lost: u64,
}

struct Caller {
    socket: Arc<UdpSocket>,
    last_active_at: Instant,
    ended: CancellationToken,
}

struct Shared {
    forward: Route,
    reverse: Route,
    target: watch::Sender<Option<SocketAddr>>,
    listener: UdpSocket,
    callers: Mutex<BTreeMap<SocketAddr, Caller>>,
    random: Mutex<ChaCha8Rng>,
    in_flight: Arc<Semaphore>,
    delivered: AtomicU64,
    lost: AtomicU64,
    stopping: CancellationToken,
}

/// A running datagram relay. Responses of the target are returned to the caller
/// whose socket they arrive on. Dropping the link stops it.
pub struct UdpLink {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl UdpLink {
    /// Starts a relay on a loopback port that the operating system chooses.
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
        let forward = Route {
            links: links.clone(),
            timer,
            from: settings.from.into(),
            to: settings.to.into(),
        };
        let shared = Arc::new(Shared {
            reverse: forward.reverse(),
            forward,
            target: watch::Sender::new(settings.target),
            listener,
            callers: Mutex::default(),
            random: Mutex::new(ChaCha8Rng::seed_from_u64(settings.seed)),
            in_flight: Arc::new(Semaphore::new(MAX_IN_FLIGHT)),
            delivered: AtomicU64::new(0),
            lost: AtomicU64::new(0),
            stopping: CancellationToken::new(),
        });
        handle.spawn(receive(Arc::clone(&shared)));
        Ok(Self { shared, address })
    }

    /// Returns the address to which callers send.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the address to which subsequent datagrams are relayed.
    pub fn set_target(&self, target: SocketAddr) {
        self.shared.target.send_replace(Some(target));
    }

    /// Returns a snapshot of the counters.
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

/// What the link does with a datagram.
enum Disposition {
    Lost,
    Delivered(Instant, OwnedSemaphorePermit),
}

impl Shared {
    fn count_lost(&self) {
        self.lost.fetch_add(1, Ordering::Relaxed);
    }

    fn decide(&self, route: &Route) -> Disposition {
        let (loss, reorder) = route.links.datagram_faults();
        let (lost, reordered) = {
            let mut random = self.random.lock();
            (random.random_bool(loss), random.random_bool(reorder))
        };
        if lost || route.is_cut() {
            return Disposition::Lost;
        }
        let Ok(permit) = Arc::clone(&self.in_flight).try_acquire_owned() else {
            return Disposition::Lost;
        };
        let delay = route.delay();
        let extra = match reordered {
            true => (delay * REORDER_DELAY_LATENCIES).max(MIN_REORDER_DELAY),
            false => Duration::ZERO,
        };
        Disposition::Delivered(Instant::now() + delay + extra, permit)
    }
}

/// Waits for the next datagram and returns it with its source.
async fn receive_from(socket: &UdpSocket) -> (Bytes, SocketAddr) {
    loop {
        if let Err(error) = socket.readable().await {
            log::warn!("link: waiting for a datagram failed: {error}.");
            tokio::time::sleep(RECEIVE_PAUSE).await;
            continue;
        }
        let received: std::io::Result<_> = RECEIVE_BUFFER.with_borrow_mut(|buffer| {
            let (length, source) = socket.try_recv_from(buffer)?;
            Ok((Bytes::copy_from_slice(&buffer[..length]), source))
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
        match socket_for_caller(&shared, source).await {
            Ok(socket) => send_to_target(&shared, socket, datagram),
            Err(error) => {
                log::warn!("link: binding a socket for a caller failed: {error}.");
                shared.count_lost();
            }
        }
    }
}

/// Returns the socket that sends a caller's datagrams to the target, binding it
/// for a new caller.
async fn socket_for_caller(
    shared: &Arc<Shared>,
    source: SocketAddr,
) -> std::io::Result<Arc<UdpSocket>> {
    if let Some(caller) = shared.callers.lock().get_mut(&source) {
        caller.last_active_at = Instant::now();
        return Ok(Arc::clone(&caller.socket));
    }
    let socket = Arc::new(UdpSocket::bind(listen_address()).await?);
    let ended = shared.stopping.child_token();
    let caller = Caller {
        socket: Arc::clone(&socket),
        last_active_at: Instant::now(),
        ended: ended.clone(),
    };
    let mut callers = shared.callers.lock();
    evict_idle_caller(&mut callers);
    callers.insert(source, caller);
    drop(callers);
    tokio::spawn(relay_responses(
        Arc::clone(shared),
        source,
        Arc::clone(&socket),
        ended,
    ));
    Ok(socket)
}

fn evict_idle_caller(callers: &mut BTreeMap<SocketAddr, Caller>) {
    if callers.len() < MAX_CALLERS {
        return;
    }
    let least_recently_active = callers
        .iter()
        .min_by_key(|(_, caller)| caller.last_active_at);
    if let Some(address) = least_recently_active.map(|(address, _)| *address)
        && let Some(caller) = callers.remove(&address)
    {
        caller.ended.cancel();
    }
}

fn send_to_target(shared: &Arc<Shared>, socket: Arc<UdpSocket>, datagram: Bytes) {
    let Some(target) = *shared.target.borrow() else {
        return shared.count_lost();
    };
    let shared = Arc::clone(shared);
    match shared.decide(&shared.forward) {
        Disposition::Lost => shared.count_lost(),
        Disposition::Delivered(due, permit) => {
            tokio::spawn(async move {
                shared.forward.sleep_until(due).await;
                let cut = shared.forward.is_cut();
                let sent = !cut && socket.send_to(&datagram, target).await.is_ok();
                count_datagram(&shared, sent);
                drop(permit);
            });
        }
    }
}

/// Relays the target's datagrams back to one caller.
async fn relay_responses(
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
        return_to_caller(&shared, caller, datagram);
    }
}

fn return_to_caller(shared: &Arc<Shared>, caller: SocketAddr, datagram: Bytes) {
    let shared = Arc::clone(shared);
    match shared.decide(&shared.reverse) {
        Disposition::Lost => shared.count_lost(),
        Disposition::Delivered(due, permit) => {
            tokio::spawn(async move {
                shared.reverse.sleep_until(due).await;
                let cut = shared.reverse.is_cut();
                let sent = !cut && shared.listener.send_to(&datagram, caller).await.is_ok();
                count_datagram(&shared, sent);
                drop(permit);
            });
        }
    }
}

fn count_datagram(shared: &Shared, sent: bool) {
    match sent {
        true => {
            shared.delivered.fetch_add(1, Ordering::Relaxed);
        }
        false => shared.count_lost(),
    }
}
