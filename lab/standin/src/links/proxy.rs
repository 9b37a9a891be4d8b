//! A relay of TCP connections that adds the latency and the cuts of a link.

use super::carry::{CarryError, carry};
use super::route::Route;
use super::runtime::next_handle;
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

/// Pause after the system refused to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Bytes on the way in one direction of one connection, unless set otherwise.
pub const DEFAULT_IN_FLIGHT_LIMIT: usize = 1 << 20;

/// What a cut does to connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum CutBehavior {
    /// Nothing passes: open connections stall and new ones get no answer,
    /// until the cut is healed.
    #[default]
    BlackHole,
    /// Open connections and new ones are reset.
    Reset,
}

/// Settings of a [`LinkProxy`].
#[derive(Debug, Clone)]
pub struct LinkSettings {
    /// Where the callers are.
    pub from: String,
    /// Where the target is.
    pub to: String,
    /// Address that connections are relayed to. Without one, connections wait
    /// until [`LinkProxy::set_target`] is called.
    pub target: Option<SocketAddr>,
    /// What a cut does to connections.
    pub cut_behavior: CutBehavior,
    /// Greatest number of bytes on the way in one direction of one connection;
    /// past it the sender is held back.
    pub in_flight_limit: usize,
}

impl LinkSettings {
    /// A link between two places to a target.
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
    bytes_there: AtomicU64,
    bytes_back: AtomicU64,
    stopping: CancellationToken,
    /// Ends the connections of now; a new one takes its place for later ones.
    resetting: Mutex<CancellationToken>,
}

/// A running relay on a loopback port. Dropping it stops it and resets its
/// connections.
///
/// Bytes pass in order and after the one-way latency of their direction, with
/// no other limit of throughput than the bytes that may be on the way. Closing
/// one direction is passed on in its turn; a reset resets the other side. The
/// system accepts connections on the relay's behalf at once, so the round trip
/// of connecting is added to the first bytes instead.
pub struct LinkProxy {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl LinkProxy {
    /// Starts a relay on a loopback port that the system chooses.
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
            bytes_there: AtomicU64::new(0),
            bytes_back: AtomicU64::new(0),
            stopping: CancellationToken::new(),
            resetting: Mutex::new(CancellationToken::new()),
        });
        handle.spawn(accept(Arc::clone(&shared), listener));
        Ok(Self { shared, address })
    }

    /// Where callers connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Relays connections made from now on, and those waiting for a target, to
    /// an address.
    pub fn set_target(&self, target: SocketAddr) {
        self.shared.target.send_replace(Some(target));
    }

    /// Resets all open connections.
    pub fn reset_connections(&self) {
        let fresh = CancellationToken::new();
        let old = std::mem::replace(&mut *self.shared.resetting.lock(), fresh);
        old.cancel();
    }

    /// A reading of the counts.
    pub fn counters(&self) -> LinkCounters {
        let shared = &self.shared;
        LinkCounters {
            connections_accepted: shared.accepted.load(Ordering::Relaxed),
            connections_open: shared.open.load(Ordering::Relaxed),
            bytes_there: shared.bytes_there.load(Ordering::Relaxed),
            bytes_back: shared.bytes_back.load(Ordering::Relaxed),
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
    let ended = relay(&shared, caller, reset).await;
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

/// Relays one connection. When it ends other than by both sides closing it,
/// both sides are reset.
async fn relay(
    shared: &Shared,
    mut caller: TcpStream,
    reset: CancellationToken,
) -> Result<(), CarryError> {
    let accepted = Instant::now();
    let mut target = match connect(shared, accepted, &reset).await {
        Ok(target) => target,
        Err(error) => {
            close_with_reset(caller);
            return Err(error);
        }
    };
    let carrying = carry_both(shared, accepted, &mut caller, &mut target);
    let ended = interruptible(shared, &reset, carrying).await;
    if ended.is_err() {
        close_with_reset(caller);
        close_with_reset(target);
    }
    ended
}

async fn carry_both(
    shared: &Shared,
    accepted: Instant,
    caller: &mut TcpStream,
    target: &mut TcpStream,
) -> Result<(), CarryError> {
    caller.set_nodelay(true).map_err(CarryError::Read)?;
    target.set_nodelay(true).map_err(CarryError::Read)?;
    let there = &shared.route;
    let back = there.back();
    let established = accepted + there.delay() + back.delay();
    let answered = established + there.delay();
    let limit = shared.in_flight_limit;
    let (caller_reader, caller_writer) = caller.split();
    let (target_reader, target_writer) = target.split();
    let sending = carry(
        there,
        caller_reader,
        target_writer,
        established,
        limit,
        &shared.bytes_there,
    );
    let receiving = carry(
        &back,
        target_reader,
        caller_writer,
        answered,
        limit,
        &shared.bytes_back,
    );
    tokio::try_join!(sending, receiving)?;
    Ok(())
}

/// Connects to the target when the first packet of the caller would arrive.
async fn connect(
    shared: &Shared,
    accepted: Instant,
    reset: &CancellationToken,
) -> Result<TcpStream, CarryError> {
    let approaching = approach(shared, accepted);
    let address = interruptible(shared, reset, approaching).await?;
    // Not interruptible: a half-made connection could not be reset but only
    // closed. On the loopback interface this takes no time.
    let refusal = match TcpStream::connect(address).await {
        Ok(target) => return Ok(target),
        Err(error) => error,
    };
    let telling = tell_of_refusal(shared, refusal);
    interruptible(shared, reset, telling).await
}

/// Waits for the caller's first packet to arrive and gives the target.
async fn approach(shared: &Shared, accepted: Instant) -> Result<SocketAddr, CarryError> {
    let route = &shared.route;
    route.sleep_until(accepted + route.delay()).await;
    route.passable().await;
    Ok(target(shared).await)
}

/// Waits for a refusal to arrive at the caller.
async fn tell_of_refusal<T>(shared: &Shared, refusal: std::io::Error) -> Result<T, CarryError> {
    let back = shared.route.back();
    back.sleep_until(Instant::now() + back.delay()).await;
    back.passable().await;
    Err(CarryError::Connect(refusal))
}

async fn target(shared: &Shared) -> SocketAddr {
    let mut targets = shared.target.subscribe();
    loop {
        let target = *targets.borrow_and_update();
        match target {
            Some(target) => return target,
            // The sender lives as long as `shared`, so waiting cannot fail.
            None => {
                let _changed = targets.changed().await;
            }
        }
    }
}

/// Runs work until it ends or a fault ends the connection.
async fn interruptible<T>(
    shared: &Shared,
    reset: &CancellationToken,
    work: impl Future<Output = Result<T, CarryError>>,
) -> Result<T, CarryError> {
    let cut_off = async {
        match shared.cut_behavior {
            CutBehavior::Reset => shared.route.cut_off().await,
            CutBehavior::BlackHole => std::future::pending().await,
        }
    };
    tokio::select! {
        () = shared.stopping.cancelled() => Err(CarryError::Reset),
        () = reset.cancelled() => Err(CarryError::Reset),
        () = cut_off => Err(CarryError::Reset),
        ended = work => ended,
    }
}

fn close_with_reset(socket: TcpStream) {
    // Where the option fails, the connection closes in the ordinary way.
    let _reset = socket.set_zero_linger();
    drop(socket);
}
