//! A relay of TCP connections that applies the latency and cuts of a link.

use super::route::Route;
use super::runtime::next_handle;
use super::stream::{RelayError, relay_direction};
use super::timer::Timer;
use super::zones::ZoneLinks;
use super::{LinkCounters, LinkError, listen_address};
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Pause after accepting a connection failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Default limit of bytes in flight in one direction of one connection.
pub const DEFAULT_IN_FLIGHT_LIMIT: usize = 1 << 20;

/// How a cut affects connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum CutBehavior {
    /// No data is delivered: open connections stall and new ones receive no
    /// response until the cut is healed.
    #[default]
    BlackHole,
    /// Open connections and new ones are reset.
    Reset,
}

/// Settings of a [`LinkProxy`].
#[derive(Debug, Clone)]
pub struct LinkSettings {
    /// Zone of the callers, or [`CLIENTS`](super::CLIENTS).
    pub from: String,
    /// Zone of the target, or [`CLIENTS`](super::CLIENTS).
    pub to: String,
    /// Address to which connections are relayed. Without one, connections wait
    /// until [`LinkProxy::set_target`] is called.
    pub target: Option<SocketAddr>,
    /// How a cut affects connections.
    pub cut_behavior: CutBehavior,
    /// Maximum number of bytes in flight in one direction of one connection; the
    /// relay stops reading from the sender when it is reached.
    pub in_flight_limit: usize,
}

impl LinkSettings {
    /// Creates settings with default limits for a link from one zone to another.
    pub fn new(from: &str, to: &str, target: Option<SocketAddr>) -> Self {
        Self {
            from: from.to_owned(),
            to: to.to_owned(),
            target,
            cut_behavior: CutBehavior::default(),
            in_flight_limit: DEFAULT_IN_FLIGHT_LIMIT,
        }
    }
}

struct Shared {
    route: Route,
    cut_behavior: CutBehavior,
    in_flight_limit: usize,
    target: watch::Sender<Option<SocketAddr>>,
    open: AtomicU64,
    accepted: AtomicU64,
    bytes_to_target: AtomicU64,
    bytes_to_caller: AtomicU64,
    stopping: CancellationToken,
    /// Resets the open connections when canceled; it is then replaced by a new
    /// token for later connections.
    resetting: Mutex<CancellationToken>,
}

/// A running TCP relay on a loopback port. Dropping it stops it and resets its
/// connections.
///
/// Bytes are delivered in order after the one-way latency of their direction; the
/// only limit on throughput is the number of bytes in flight. Closing one
/// direction is propagated in order with the data; a reset resets the other side.
/// The operating system accepts connections for the relay immediately, so the
/// round trip of connecting is added to the first bytes instead.
pub struct LinkProxy {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl LinkProxy {
    /// Starts a relay on a loopback port that the operating system chooses.
    pub fn start(links: &ZoneLinks, settings: LinkSettings) -> Result<Self, LinkError> {
        let timer = Timer::get().map_err(LinkError::Thread)?;
        let handle = next_handle().map_err(LinkError::Thread)?;
        let listener = std::net::TcpListener::bind(listen_address()).map_err(LinkError::Bind)?;
        listener.set_nonblocking(true).map_err(LinkError::Bind)?;
        let address = listener.local_addr().map_err(LinkError::Bind)?;
        let listener = {
            let _entered = handle.enter();
            TcpListener::from_std(listener).map_err(LinkError::Bind)?
        };
        let shared = Arc::new(Shared {
            route: Route {
                links: links.clone(),
                timer,
                from: settings.from.into(),
                to: settings.to.into(),
            },
            cut_behavior: settings.cut_behavior,
            in_flight_limit: settings.in_flight_limit,
            target: watch::Sender::new(settings.target),
            open: AtomicU64::new(0),
            accepted: AtomicU64::new(0),
            bytes_to_target: AtomicU64::new(0),
            bytes_to_caller: AtomicU64::new(0),
            stopping: CancellationToken::new(),
            resetting: Mutex::new(CancellationToken::new()),
        });
        handle.spawn(accept(Arc::clone(&shared), listener));
        Ok(Self { shared, address })
    }

    /// Returns the address to which callers connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the address to which new connections and those waiting for a target are
    /// relayed.
    pub fn set_target(&self, target: SocketAddr) {
        self.shared.target.send_replace(Some(target));
    }

    /// Resets all open connections.
    pub fn reset_connections(&self) {
        let fresh = CancellationToken::new();
        let old = std::mem::replace(&mut *self.shared.resetting.lock(), fresh);
        old.cancel();
    }

    /// Returns a snapshot of the counters.
    pub fn counters(&self) -> LinkCounters {
        let shared = &self.shared;
        LinkCounters {
            connections_accepted: shared.accepted.load(Ordering::Relaxed),
            connections_open: shared.open.load(Ordering::Relaxed),
            bytes_to_target: shared.bytes_to_target.load(Ordering::Relaxed),
            bytes_to_caller: shared.bytes_to_caller.load(Ordering::Relaxed),
        }
    }

    /// Stops the relay and resets its connections.
    pub fn stop(self) {
        drop(self);
    }
}

impl Drop for LinkProxy {
    fn drop(&mut self) {
        self.shared.stopping.cancel();
    }
}

async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            () = shared.stopping.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((caller, _)) => {
                let reset = shared.resetting.lock().clone();
                shared.accepted.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(serve(Arc::clone(&shared), caller, reset));
            }
            Err(error) => {
                log::warn!("link: accepting a connection failed: {error}.");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(shared: Arc<Shared>, caller: TcpStream, reset: CancellationToken) {
    shared.open.fetch_add(1, Ordering::Relaxed);
    let ended = relay_connection(&shared, caller, reset).await;
    shared.open.fetch_sub(1, Ordering::Relaxed);
    if let Err(error) = ended {
        let route = &shared.route;
        log::debug!(
            "link: a connection from {} to {} ended: {error}.",
            route.from,
            route.to
        );
    }
}

/// Relays one connection. Resets both sides unless the connection ends by both
/// sides closing it.
async fn relay_connection(
    shared: &Shared,
    mut caller: TcpStream,
    reset: CancellationToken,
) -> Result<(), RelayError> {
    let accepted = Instant::now();
    let mut target = match connect(shared, accepted, &reset).await {
        Ok(target) => target,
        Err(error) => {
            close_with_reset(caller);
            return Err(error);
        }
    };
    let relaying = relay_both_directions(shared, accepted, &mut caller, &mut target);
    let ended = interruptible(shared, &reset, relaying).await;
    if ended.is_err() {
        close_with_reset(caller);
        close_with_reset(target);
    }
    ended
}

async fn relay_both_directions(
    shared: &Shared,
    accepted: Instant,
    caller: &mut TcpStream,
    target: &mut TcpStream,
) -> Result<(), RelayError> {
    caller.set_nodelay(true).map_err(RelayError::Read)?;
    target.set_nodelay(true).map_err(RelayError::Read)?;
    let forward = &shared.route;
    let reverse = forward.reverse();
    let established = accepted + forward.delay() + reverse.delay();
    let answered = established + forward.delay();
    let limit = shared.in_flight_limit;
    let (caller_reader, caller_writer) = caller.split();
    let (target_reader, target_writer) = target.split();
    let sending = relay_direction(
        forward,
        caller_reader,
        target_writer,
        established,
        limit,
        &shared.bytes_to_target,
    );
    let receiving = relay_direction(
        &reverse,
        target_reader,
        caller_writer,
        answered,
        limit,
        &shared.bytes_to_caller,
    );
    tokio::try_join!(sending, receiving)?;
    Ok(())
}

/// Connects to the target at the time at which the caller's first packet would
/// arrive.
async fn connect(
    shared: &Shared,
    accepted: Instant,
    reset: &CancellationToken,
) -> Result<TcpStream, RelayError> {
    let packet_arrival = wait_for_first_packet(shared, accepted);
    let address = interruptible(shared, reset, packet_arrival).await?;
    // Not interruptible: a connection that is still being established could only
    // be closed, not reset. Connecting over the loopback interface is immediate.
    let refusal = match TcpStream::connect(address).await {
        Ok(target) => return Ok(target),
        Err(error) => error,
    };
    let reporting = report_refusal(shared, refusal);
    interruptible(shared, reset, reporting).await
}

/// Waits for the caller's first packet to arrive and returns the target.
async fn wait_for_first_packet(
    shared: &Shared,
    accepted: Instant,
) -> Result<SocketAddr, RelayError> {
    let route = &shared.route;
    route.sleep_until(accepted + route.delay()).await;
    route.wait_until_passable().await;
    Ok(wait_for_target(shared).await)
}

/// Returns the error of a failed connect after the time the refusal takes to
/// reach the caller.
async fn report_refusal<T>(shared: &Shared, refusal: std::io::Error) -> Result<T, RelayError> {
    let reverse = shared.route.reverse();
    reverse.sleep_until(Instant::now() + reverse.delay()).await;
    reverse.wait_until_passable().await;
    Err(RelayError::Connect(refusal))
}

async fn wait_for_target(shared: &Shared) -> SocketAddr {
    let mut targets = shared.target.subscribe();
    loop {
        let target = *targets.borrow_and_update();
        match target {
            Some(target) => return target,
            // The sender is owned by `shared`, so waiting cannot fail.
            None => {
                let _changed = targets.changed().await;
            }
        }
    }
}

/// Runs `work` until it completes or a fault ends the connection.
async fn interruptible<T>(
    shared: &Shared,
    reset: &CancellationToken,
    work: impl Future<Output = Result<T, RelayError>>,
) -> Result<T, RelayError> {
    let cut_off = async {
        match shared.cut_behavior {
            CutBehavior::Reset => shared.route.wait_until_cut().await,
            CutBehavior::BlackHole => std::future::pending().await,
        }
    };
    tokio::select! {
        () = shared.stopping.cancelled() => Err(RelayError::Reset),
        () = reset.cancelled() => Err(RelayError::Reset),
        () = cut_off => Err(RelayError::Reset),
        ended = work => ended,
    }
}

fn close_with_reset(socket: TcpStream) {
    // If setting the option fails, the connection is closed without a reset.
    let _reset = socket.set_zero_linger();
    drop(socket);
}
