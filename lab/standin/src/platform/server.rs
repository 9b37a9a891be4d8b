//! The HTTP server: one thread that runs the server and the periodic sweep of
//! the store.

use super::connection::Connection;
use super::counters::RequestKind;
use super::error::{ApiError, PlatformError};
use super::faults::OutageMode;
use super::service::{Call, Outcome};
use super::shared::Shared;
use super::watch;
use actix_web::dev::{Extensions, ServerHandle};
use actix_web::http::StatusCode;
use actix_web::web::{Bytes, Data, PayloadConfig, ServiceConfig, post};
use actix_web::{App, HttpRequest, HttpResponse, HttpServer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::any::Any;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::oneshot;

/// Interval at which leases, the machine list and timed outages are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(10);

/// Interval at which a hanging request checks whether the outage has ended.
const HANG_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Length of the listener's accept queue.
const BACKLOG: u32 = 1024;

/// Timeout of idle connections. The real service closes no idle connections, so
/// the timeout is longer than any test.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3600);

/// Number of threads that serve requests.
const WORKERS: usize = 2;

/// Result of one API method.
type CallResult<T> = Result<Outcome<T>, ApiError>;

/// Runs the server until a stop is requested. Sends the address that it listens
/// on through `started`.
pub(super) async fn run(
    shared: Arc<Shared>,
    started: oneshot::Sender<Result<SocketAddr, PlatformError>>,
) {
    // The reserved socket never listens. It keeps the port bound while the
    // server is down, so that connections are refused and no other process can
    // take the port.
    let (reserved, address) = match reserve_port() {
        Ok(reserved) => reserved,
        Err(error) => {
            let _receiver_dropped = started.send(Err(PlatformError::Bind(error)));
            return;
        }
    };
    let mut server = match listen(&shared, address) {
        Ok(server) => Some(server),
        Err(error) => {
            let _receiver_dropped = started.send(Err(PlatformError::Bind(error)));
            return;
        }
    };
    let _receiver_dropped = started.send(Ok(address));
    while !shared.is_stopping() {
        shared.sweep();
        let refusing = shared.faults.outage() == Some(OutageMode::Refuse);
        server = apply_outage(&shared, address, server, refusing).await;
        tokio::select! {
            () = shared.stop_requested() => {}
            () = shared.faults.changed() => {}
            () = tokio::time::sleep(SWEEP_INTERVAL) => {}
        }
    }
    if let Some(server) = server {
        stop_listening(&shared, server).await;
    }
    drop(reserved);
}

async fn apply_outage(
    shared: &Arc<Shared>,
    address: SocketAddr,
    server: Option<ServerHandle>,
    refusing: bool,
) -> Option<ServerHandle> {
    match (server, refusing) {
        (Some(server), true) => {
            stop_listening(shared, server).await;
            log::info!("platform: connections are refused.");
            None
        }
        (None, false) => match listen(shared, address) {
            Ok(server) => {
                log::info!("platform: connections are accepted again.");
                Some(server)
            }
            Err(error) => {
                log::warn!("platform: listening again failed: {error}.");
                None
            }
        },
        (server, _) => server,
    }
}

fn reserve_port() -> std::io::Result<(TcpSocket, SocketAddr)> {
    let socket = bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
    let address = socket.local_addr()?;
    Ok((socket, address))
}

fn bind(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket)
}

fn listen(shared: &Arc<Shared>, address: SocketAddr) -> std::io::Result<ServerHandle> {
    let listener = bind(address)?.listen(BACKLOG)?.into_std()?;
    let state = Data::from(Arc::clone(shared));
    let connections = Arc::clone(shared);
    let server = HttpServer::new(move || App::new().app_data(state.clone()).configure(routes))
        .on_connect(move |io, extensions| register(&connections, io, extensions))
        .workers(WORKERS)
        .keep_alive(IDLE_TIMEOUT)
        .client_request_timeout(IDLE_TIMEOUT)
        .disable_signals()
        .listen(listener)?
        .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

async fn stop_listening(shared: &Shared, server: ServerHandle) {
    let stopped = server.stop(false);
    shared.connections.close_all();
    stopped.await;
}

fn register(shared: &Shared, io: &dyn Any, extensions: &mut Extensions) {
    let socket = io.downcast_ref::<TcpStream>();
    if let Some(connection) = socket.and_then(Connection::of) {
        shared.connections.add(&connection);
        extensions.insert(connection);
    }
}

fn routes(config: &mut ServiceConfig) {
    config
        .app_data(PayloadConfig::new(MAX_BODY_BYTES))
        .route("/v3/kv/range", post().to(range))
        .route("/v3/kv/put", post().to(put))
        .route("/v3/kv/deleterange", post().to(delete_range))
        .route("/v3/kv/txn", post().to(txn))
        .route("/v3/kv/compaction", post().to(compact))
        .route("/v3/lease/grant", post().to(grant_lease))
        .route("/v3/lease/keepalive", post().to(keep_lease_alive))
        .route("/v3/lease/revoke", post().to(revoke_lease))
        .route("/v3/kv/lease/revoke", post().to(revoke_lease))
        .route("/v3/lease/timetolive", post().to(lease_time_to_live))
        .route("/v3/kv/lease/timetolive", post().to(lease_time_to_live))
        .route("/v3/watch", post().to(open_watch));
}

macro_rules! methods {
    ($($handler:ident: $kind:ident, $method:path;)*) => {
        $(async fn $handler(
            shared: Data<Shared>,
            request: HttpRequest,
            body: Bytes,
        ) -> HttpResponse {
            handle_request(shared, request, body, RequestKind::$kind, |call, message| $method(call, message)).await
        })*
    };
}

methods! {
    range: Range, Call::range;
    put: Put, Call::put;
    delete_range: DeleteRange, Call::delete_range;
    txn: Txn, Call::txn;
    compact: Compaction, Call::compact;
    grant_lease: LeaseGrant, Call::grant_lease;
    keep_lease_alive: LeaseKeepAlive, Call::keep_lease_alive;
    revoke_lease: LeaseRevoke, Call::revoke_lease;
    lease_time_to_live: LeaseTimeToLive, Call::lease_time_to_live;
}

async fn handle_request<M: DeserializeOwned, T: Serialize>(
    shared: Data<Shared>,
    request: HttpRequest,
    body: Bytes,
    kind: RequestKind,
    method: impl FnOnce(&mut Call<'_>, M) -> CallResult<T>,
) -> HttpResponse {
    let connection = request.conn_data::<Connection>();
    if let Some(rejection) = apply_request_faults(&shared, connection, kind).await {
        return rejection;
    }
    let result = parse(&body).and_then(|message| shared.call(|call| method(call, message)));
    let changed = result.as_ref().is_ok_and(|outcome| outcome.changed);
    tokio::time::sleep(shared.faults.delay()).await;
    if changed && shared.faults.take_dropped_response() {
        shared
            .counters
            .update(|counters| counters.responses_dropped += 1);
        return close_without_response(connection);
    }
    match shared.faults.outage() {
        Some(OutageMode::Refuse) => close_without_response(connection),
        Some(OutageMode::Hang) => hang_until_outage_ends(&shared, connection).await,
        _ => success_or_error_response(result),
    }
}

async fn open_watch(shared: Data<Shared>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let connection = request.conn_data::<Connection>();
    if let Some(rejection) = apply_request_faults(&shared, connection, RequestKind::Watch).await {
        return rejection;
    }
    let opened = parse(&body)
        .and_then(|message| watch::open(shared.into_inner(), connection.cloned(), message));
    match opened {
        Ok(stream) => HttpResponse::Ok()
            .content_type("application/json")
            .streaming(stream),
        Err(error) => error_response(&error),
    }
}

/// Counts a request and applies the active outage and the rate limit before the
/// request takes effect. Returns the response if the request is rejected.
async fn apply_request_faults(
    shared: &Shared,
    connection: Option<&Connection>,
    kind: RequestKind,
) -> Option<HttpResponse> {
    shared.counters.request(kind);
    if let Some(outage) = shared.faults.outage() {
        shared
            .counters
            .update(|counters| counters.received_during_outage += 1);
        return Some(match outage {
            OutageMode::Refuse => close_without_response(connection),
            OutageMode::Hang => hang_until_outage_ends(shared, connection).await,
            OutageMode::NoLeader => error_response(&ApiError::NoLeader),
        });
    }
    if !shared.faults.admit() {
        shared
            .counters
            .update(|counters| counters.rate_limited += 1);
        return Some(error_response(&ApiError::TooManyRequests));
    }
    None
}

/// Sends no response until the outage is over, and then closes the connection.
async fn hang_until_outage_ends(shared: &Shared, connection: Option<&Connection>) -> HttpResponse {
    let gone = || connection.is_some_and(Connection::is_closed_by_peer);
    while shared.faults.outage() == Some(OutageMode::Hang) && !shared.is_stopping() && !gone() {
        tokio::time::sleep(HANG_INTERVAL).await;
    }
    close_without_response(connection)
}

/// Closes the connection, so that the caller never receives the returned
/// response.
fn close_without_response(connection: Option<&Connection>) -> HttpResponse {
    if let Some(connection) = connection {
        connection.close();
    }
    HttpResponse::new(StatusCode::SERVICE_UNAVAILABLE)
}

fn parse<M: DeserializeOwned>(body: &[u8]) -> Result<M, ApiError> {
    serde_json::from_slice(body).map_err(|error| ApiError::Malformed(error.to_string()))
}

fn success_or_error_response<T: Serialize>(result: CallResult<T>) -> HttpResponse {
    match result {
        Ok(outcome) => HttpResponse::Ok().json(outcome.response),
        Err(error) => error_response(&error),
    }
}

fn error_response(error: &ApiError) -> HttpResponse {
    HttpResponse::build(error.status()).json(error.body())
}
