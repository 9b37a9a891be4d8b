//! The HTTP side: one thread that runs the server and sweeps the store.

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

/// How often leases, machine list and timed outages are looked at.
const SWEEP_INTERVAL: Duration = Duration::from_millis(10);

/// How often a request that hangs looks whether the outage is over.
const HANG_INTERVAL: Duration = Duration::from_millis(20);

/// Greatest size of a request body, in bytes.
const GREATEST_BODY: usize = 4 << 20;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// How long an idle connection stays open. The real service closes none, so
/// this is longer than any test.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3600);

/// Threads that answer requests.
const WORKERS: usize = 2;

/// A body, and whether the connection is to be closed in its place.
type Answer<T> = Result<Outcome<T>, ApiError>;

/// Runs the server until it is asked to stop. Tells through `started` where it
/// listens.
pub(super) async fn run(
    shared: Arc<Shared>,
    started: oneshot::Sender<Result<SocketAddr, PlatformError>>,
) {
    // The reserved socket never listens; it keeps the port while the server is
    // down, so that connecting is refused and no other process can take it.
    let (reserved, address) = match reserve_port() {
        Ok(reserved) => reserved,
        Err(error) => {
            let _owner_gone = started.send(Err(PlatformError::Bind(error)));
            return;
        }
    };
    let mut server = match listen(&shared, address) {
        Ok(server) => Some(server),
        Err(error) => {
            let _owner_gone = started.send(Err(PlatformError::Bind(error)));
            return;
        }
    };
    let _owner_gone = started.send(Ok(address));
    while !shared.is_stopping() {
        shared.sweep();
        let refusing = shared.faults.outage() == Some(OutageMode::Refuse);
        server = follow_outage(&shared, address, server, refusing).await;
        tokio::select! {
            () = shared.stop_asked() => {}
            () = shared.faults.changed() => {}
            () = tokio::time::sleep(SWEEP_INTERVAL) => {}
        }
    }
    if let Some(server) = server {
        stop_listening(&shared, server).await;
    }
    drop(reserved);
}

async fn follow_outage(
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
        .app_data(PayloadConfig::new(GREATEST_BODY))
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
            answer(shared, request, body, RequestKind::$kind, |call, message| $method(call, message)).await
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

async fn answer<M: DeserializeOwned, T: Serialize>(
    shared: Data<Shared>,
    request: HttpRequest,
    body: Bytes,
    kind: RequestKind,
    method: impl FnOnce(&mut Call<'_>, M) -> Answer<T>,
) -> HttpResponse {
    let connection = request.conn_data::<Connection>();
    if let Some(refused) = meet_faults(&shared, connection, kind).await {
        return refused;
    }
    let result = parse(&body).and_then(|message| shared.call(|call| method(call, message)));
    let changed = result.as_ref().is_ok_and(|outcome| outcome.changed);
    tokio::time::sleep(shared.faults.delay()).await;
    if changed && shared.faults.take_lost_answer() {
        shared
            .counters
            .update(|counters| counters.answers_lost += 1);
        return closed(connection);
    }
    match shared.faults.outage() {
        Some(OutageMode::Refuse) => closed(connection),
        Some(OutageMode::Hang) => hang(&shared, connection).await,
        _ => respond(result),
    }
}

async fn open_watch(shared: Data<Shared>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let connection = request.conn_data::<Connection>();
    if let Some(refused) = meet_faults(&shared, connection, RequestKind::Watch).await {
        return refused;
    }
    let opened = parse(&body)
        .and_then(|message| watch::open(shared.into_inner(), connection.cloned(), message));
    match opened {
        Ok(stream) => HttpResponse::Ok()
            .content_type("application/json")
            .streaming(stream),
        Err(error) => refuse(&error),
    }
}

/// Counts a request and brings the faults in force to bear on it, before it
/// has any effect.
async fn meet_faults(
    shared: &Shared,
    connection: Option<&Connection>,
    kind: RequestKind,
) -> Option<HttpResponse> {
    shared.counters.request(kind);
    if let Some(outage) = shared.faults.outage() {
        shared.counters.update(|counters| counters.met_outage += 1);
        return Some(match outage {
            OutageMode::Refuse => closed(connection),
            OutageMode::Hang => hang(shared, connection).await,
            OutageMode::NoLeader => refuse(&ApiError::NoLeader),
        });
    }
    if !shared.faults.admit() {
        shared
            .counters
            .update(|counters| counters.rate_limited += 1);
        return Some(refuse(&ApiError::TooManyRequests));
    }
    None
}

/// Answers nothing until the outage is over, and then closes the connection.
async fn hang(shared: &Shared, connection: Option<&Connection>) -> HttpResponse {
    let gone = || connection.is_some_and(Connection::is_closed_by_peer);
    while shared.faults.outage() == Some(OutageMode::Hang) && !shared.is_stopping() && !gone() {
        tokio::time::sleep(HANG_INTERVAL).await;
    }
    closed(connection)
}

/// Closes the connection; the response is never seen by the caller.
fn closed(connection: Option<&Connection>) -> HttpResponse {
    if let Some(connection) = connection {
        connection.close();
    }
    HttpResponse::new(StatusCode::SERVICE_UNAVAILABLE)
}

fn parse<M: DeserializeOwned>(body: &[u8]) -> Result<M, ApiError> {
    serde_json::from_slice(body).map_err(|error| ApiError::Malformed(error.to_string()))
}

fn respond<T: Serialize>(result: Answer<T>) -> HttpResponse {
    match result {
        Ok(outcome) => HttpResponse::Ok().json(outcome.answer),
        Err(error) => refuse(&error),
    }
}

fn refuse(error: &ApiError) -> HttpResponse {
    HttpResponse::build(error.status()).json(error.body())
}
