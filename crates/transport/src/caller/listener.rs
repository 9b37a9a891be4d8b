//! The listener: accepts callers and distributes their sessions over a pool of arbiters.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, ActorContext, Addr, AsyncContext, Context as ActorScope, Handler, Message};
use actix_rt::{Arbiter, ArbiterHandle};
use hookpoint_protocol::classify::Classifier;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::caller::authentication::Authenticator;
use crate::caller::context::Context;
use crate::caller::counters::{UnitCounters, UnitCounts};
use crate::caller::registry::{ConnectionGuard, ForwardCancel, Registry, StopMode};
use crate::caller::setting_checks::AcceptedSettings;
use crate::caller::settings::{CallerError, CallerSettings};
use crate::caller::startup;
use crate::caller::tls::TlsAcceptance;
use crate::lease::{LeaseSource, TermVerifier};
use crate::shared::Shared;

/// Connections allowed to be in start-up in addition to the session limit of the node.
const STARTING_CONNECTIONS: usize = 512;
/// Pause after the operating system failed to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The actor that owns the listening socket and the arbiters.
pub struct CallerListener {
    context: Arc<Context>,
    arbiters: Vec<Arbiter>,
    accepting: Option<actix_rt::task::JoinHandle<()>>,
}

/// Stops accepting connections; open sessions continue.
#[derive(Message)]
#[rtype(result = "()")]
struct StopAccepting;

/// Stops the arbiters after all sessions have ended.
#[derive(Message)]
#[rtype(result = "()")]
struct StopArbiters;

/// Reloads the TLS files.
#[derive(Message)]
#[rtype(result = "Result<bool, CallerError>")]
struct ReloadTls;

/// Handle to a running caller listener.
#[derive(Clone)]
pub struct CallerHandle {
    address: SocketAddr,
    listener: Addr<CallerListener>,
    context: Arc<Context>,
}

impl CallerListener {
    /// Starts to listen. Must be called inside an actix system.
    ///
    /// # Errors
    /// When the address cannot be listened on, is not a loopback address although no
    /// credentials are set, or the TLS files cannot be used.
    pub async fn start(
        settings: CallerSettings,
        shared: Arc<Shared>,
        leases: Arc<dyn LeaseSource>,
        verifier: Arc<dyn TermVerifier>,
    ) -> Result<CallerHandle, CallerError> {
        let address = settings.listen;
        if settings.credentials.is_empty() && !address.ip().is_loopback() {
            return Err(CallerError::TrustOutsideLoopback { address });
        }
        let bind_failure = |source| CallerError::Bind { address, source };
        let tls = settings.tls.clone().map(TlsAcceptance::load).transpose()?;
        let socket = TcpListener::bind(address).await.map_err(bind_failure)?;
        let address = socket.local_addr().map_err(bind_failure)?;
        let context = Arc::new(Context {
            authenticator: Authenticator::new(&settings.credentials),
            shared,
            leases,
            verifier,
            registry: Arc::new(Registry::default()),
            classifier: Classifier::new(),
            tls,
            accepted_settings: AcceptedSettings::default(),
            counters: UnitCounters::default(),
            stop: watch::Sender::new(StopMode::Running),
            settings,
        });
        let listener = Self::start_actor(Arc::clone(&context), socket);
        log::info!("caller: listening on {address}.");
        Ok(CallerHandle {
            address,
            listener,
            context,
        })
    }

    fn start_actor(context: Arc<Context>, socket: TcpListener) -> Addr<Self> {
        let count = context.settings.arbiters.max(1);
        let arbiters: Vec<Arbiter> = (0..count).map(|_| Arbiter::new()).collect();
        let handles = arbiters.iter().map(Arbiter::handle).collect();
        let accepting = actix_rt::spawn(accept(socket, Arc::clone(&context), handles));
        Self {
            context,
            arbiters,
            accepting: Some(accepting),
        }
        .start()
    }

    fn watch_tls(&self, scope: &mut ActorScope<Self>) {
        let Some(tls) = &self.context.tls else {
            return;
        };
        let interval = tls.settings().reload_interval;
        if !interval.is_zero() {
            scope.run_interval(interval, |listener, _| {
                let _logged = listener.reload_tls();
            });
        }
    }

    fn reload_tls(&self) -> Result<bool, CallerError> {
        let Some(tls) = &self.context.tls else {
            return Ok(false);
        };
        let result = tls.reload();
        match &result {
            Ok(true) => log::info!("caller: new TLS files are in use."),
            Ok(false) => {}
            Err(error) => log::warn!("caller: the TLS files could not be reloaded: {error}."),
        }
        result
    }
}

impl Actor for CallerListener {
    type Context = ActorScope<Self>;

    fn started(&mut self, scope: &mut Self::Context) {
        self.watch_tls(scope);
    }
}

impl Handler<StopAccepting> for CallerListener {
    type Result = ();

    fn handle(&mut self, _: StopAccepting, _: &mut Self::Context) {
        if let Some(accepting) = self.accepting.take() {
            accepting.abort();
        }
    }
}

impl Handler<StopArbiters> for CallerListener {
    type Result = ();

    fn handle(&mut self, _: StopArbiters, scope: &mut Self::Context) {
        for arbiter in &self.arbiters {
            arbiter.stop();
        }
        scope.stop();
    }
}

impl Handler<ReloadTls> for CallerListener {
    type Result = Result<bool, CallerError>;

    fn handle(&mut self, _: ReloadTls, _: &mut Self::Context) -> Self::Result {
        self.reload_tls()
    }
}

impl CallerHandle {
    /// Returns the address that is listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Enables cancel requests across nodes: the process numbers of later sessions begin
    /// with `tag`, and cancel requests for other tags go to `forward`.
    pub fn set_cancel_route(&self, tag: u16, forward: ForwardCancel) {
        self.context.registry.set_cancel_route(tag, forward);
    }

    /// Cancels the running request of a session of this node. Returns whether process
    /// number and secret match a session.
    pub fn cancel(&self, process: u32, secret: u32) -> bool {
        self.context.registry.cancel(process, secret)
    }

    /// Returns the number of authenticated sessions that have not ended.
    pub fn sessions(&self) -> usize {
        self.context.registry.sessions()
    }

    /// Returns the number of connections, including those still in start-up.
    pub fn connections(&self) -> usize {
        *self.context.registry.connections().borrow()
    }

    /// Returns the outcomes of units since the start.
    pub fn unit_counts(&self) -> UnitCounts {
        self.context.counters.snapshot()
    }

    /// Reloads the TLS files now. Returns whether new ones are in use.
    ///
    /// # Errors
    /// When the files cannot be used; the previous ones stay in use.
    pub async fn reload_tls(&self) -> Result<bool, CallerError> {
        self.listener.send(ReloadTls).await.unwrap_or(Ok(false))
    }

    /// Stops gracefully: no more callers are accepted, requests in flight are finished,
    /// and idle sessions get their token and a final message. Resolves when all sessions
    /// have ended.
    pub async fn stop(&self) {
        self.end_sessions(StopMode::Graceful).await;
    }

    /// Ends every session at once. Resolves when all have ended.
    pub async fn abort(&self) {
        self.end_sessions(StopMode::Abort).await;
    }

    async fn end_sessions(&self, mode: StopMode) {
        let _sent = self.listener.send(StopAccepting).await;
        self.context
            .stop
            .send_modify(|held| *held = mode.max(*held));
        let mut connections = self.context.registry.connections();
        let _count = connections.wait_for(|count| *count == 0).await;
        let _sent = self.listener.send(StopArbiters).await;
        log::info!("caller: all sessions on {} have ended.", self.address);
    }
}

/// Accepts callers until the task is aborted.
async fn accept(socket: TcpListener, context: Arc<Context>, arbiters: Vec<ArbiterHandle>) {
    let mut next = 0;
    loop {
        match socket.accept().await {
            Ok((stream, _)) => {
                if let Some(guard) = try_count_connection(&context) {
                    next = (next + 1) % arbiters.len();
                    spawn_session(&arbiters[next], stream, guard, Arc::clone(&context));
                }
            }
            Err(error) => {
                log::warn!("caller: a connection could not be accepted: {error}.");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Counts a connection, or returns `None` if the connection limit is reached.
fn try_count_connection(context: &Context) -> Option<ConnectionGuard> {
    let limit = startup::session_limit(context).saturating_add(STARTING_CONNECTIONS);
    let count = *context.registry.connections().borrow();
    (count < limit).then(|| context.registry.count_connection())
}

fn spawn_session(
    arbiter: &ArbiterHandle,
    stream: TcpStream,
    guard: ConnectionGuard,
    context: Arc<Context>,
) {
    let Ok(stream) = stream.into_std() else {
        return;
    };
    arbiter.spawn_fn(move || {
        actix_rt::spawn(async move {
            if let Ok(stream) = TcpStream::from_std(stream) {
                startup::serve(stream, context).await;
            }
            drop(guard);
        });
    });
}
