//! The HTTP server of the admin endpoint.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use actix_web::dev::ServerHandle;
use actix_web::http::header::ContentType;
use actix_web::{App, HttpResponse, HttpServer, web};
use hookpoint_state::{NodeId, SessionId};
use prometheus::{Encoder, Registry, TextEncoder};
use serde::Deserialize;
use thiserror::Error;

use super::status::{FleetSource, FleetStatus, Health, Readiness};
use crate::shared::Shared;

/// Maximum number of concurrent connections to the endpoint.
const MAXIMUM_CONNECTIONS: usize = 64;

/// Why the endpoint did not start.
#[derive(Debug, Error)]
pub enum AdminError {
    /// The address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// Address that the server was to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// State that the endpoint reports.
pub struct AdminState {
    /// Identifier of this node.
    pub node: NodeId,
    /// Shared tables of this node.
    pub shared: Arc<Shared>,
    /// Metrics registry of this proxy.
    pub registry: Registry,
    /// Source of the status of all nodes.
    pub fleet: Arc<dyn FleetSource>,
    /// Whether the node is leaving.
    pub stopping: Arc<AtomicBool>,
}

impl AdminState {
    fn health(&self) -> Health {
        let bundle = self.shared.bundle();
        let readiness = if self.stopping.load(Ordering::Relaxed) {
            Readiness::Stopping
        } else if bundle.is_none() {
            Readiness::Starting
        } else {
            Readiness::Ready
        };
        Health {
            node: self.node,
            zone: self.shared.zone.clone(),
            readiness,
            bundle: bundle.map(|bundle| bundle.version).unwrap_or_default(),
        }
    }
}

/// Handle to the running endpoint.
#[derive(Clone)]
pub struct AdminHandle {
    address: SocketAddr,
    server: ServerHandle,
}

impl AdminHandle {
    /// Returns the address that is listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the endpoint; with `graceful`, running requests finish first.
    pub async fn stop(&self, graceful: bool) {
        self.server.stop(graceful).await;
    }
}

/// Starts the endpoint. Must be called inside an actix system.
///
/// # Errors
/// [`AdminError::Bind`].
pub fn start_admin(listen: SocketAddr, state: Arc<AdminState>) -> Result<AdminHandle, AdminError> {
    let bind_failure = |source| AdminError::Bind {
        address: listen,
        source,
    };
    let listener = TcpListener::bind(listen).map_err(bind_failure)?;
    let address = listener.local_addr().map_err(bind_failure)?;
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::from(Arc::clone(&state)))
            .route("/metrics", web::get().to(metrics))
            .route("/health", web::get().to(health))
            .route("/explain", web::get().to(explain))
            .route("/fleet", web::get().to(fleet))
    })
    .workers(1)
    .max_connections(MAXIMUM_CONNECTIONS)
    .shutdown_timeout(1)
    .disable_signals()
    .listen(listener)
    .map_err(bind_failure)?
    .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    log::info!("admin: listening on {address}.");
    Ok(AdminHandle {
        address,
        server: handle,
    })
}

async fn metrics(state: web::Data<AdminState>) -> HttpResponse {
    let encoder = TextEncoder::new();
    let mut body = Vec::new();
    match encoder.encode(&state.registry.gather(), &mut body) {
        Ok(()) => HttpResponse::Ok()
            .insert_header(("content-type", encoder.format_type()))
            .body(body),
        Err(error) => {
            log::warn!("admin: the metrics cannot be encoded: {error}.");
            HttpResponse::InternalServerError().finish()
        }
    }
}

async fn health(state: web::Data<AdminState>) -> HttpResponse {
    let health = state.health();
    let mut response = match health.readiness {
        Readiness::Ready => HttpResponse::Ok(),
        Readiness::Starting | Readiness::Stopping => HttpResponse::ServiceUnavailable(),
    };
    response.json(health)
}

/// Query parameters of `/explain`.
#[derive(Deserialize)]
struct ExplainQuery {
    session: Option<u64>,
}

async fn explain(state: web::Data<AdminState>, query: web::Query<ExplainQuery>) -> HttpResponse {
    let entries = state.shared.explain(query.session.map(SessionId));
    HttpResponse::Ok()
        .content_type(ContentType::json())
        .json(entries)
}

async fn fleet(state: web::Data<AdminState>) -> HttpResponse {
    let nodes = state.fleet.nodes().await;
    let newest = nodes.iter().map(|node| node.bundle).max();
    let own = state.health().bundle;
    HttpResponse::Ok().json(FleetStatus {
        answered_by: state.node,
        newest: newest.unwrap_or_default().max(own),
        nodes,
    })
}
