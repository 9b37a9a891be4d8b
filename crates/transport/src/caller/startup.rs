//! The start of a connection: encryption, start-up packet and authentication.

use std::sync::Arc;
use std::time::Duration;

use hookpoint_protocol::classify::FIXED_PARAMETERS;
use hookpoint_protocol::reply::{self, TransactionStatus};
use hookpoint_protocol::startup::{
    self as packets, PROTOCOL_3_0, SessionParameters, StartupError, StartupPacket,
};
use hookpoint_state::{GroupName, TenantName};
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::net::TcpStream;

use crate::caller::authentication::AuthenticationError;
use crate::caller::context::Context;
use crate::caller::error;
use crate::caller::registry::{SessionGuard, StopMode};
use crate::caller::session::{Identity, Session};
use crate::caller::stream::{CallerGone, CallerStream};

/// Largest message accepted before a caller is authenticated, in bytes.
const STARTUP_MESSAGE_LIMIT: usize = 16 * 1024;
/// Maximum number of encryption requests answered on one connection.
const ENCRYPTION_REQUESTS: usize = 4;
/// Idle time after which TCP keepalive probes a caller.
const KEEPALIVE_TIME: Duration = Duration::from_secs(60);
/// Time between two TCP keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(15);
/// Server version reported to callers.
const SERVER_VERSION: &str = "16.0";

/// Why a connection did not become a session.
#[derive(Debug, Error)]
pub enum StartFailure {
    /// The caller has disconnected.
    #[error(transparent)]
    Gone(#[from] CallerGone),
    /// The start-up packet is malformed or not supported.
    #[error(transparent)]
    Packet(#[from] StartupError),
    /// The caller was not authenticated.
    #[error(transparent)]
    Authentication(#[from] AuthenticationError),
    /// TLS is required and was not used.
    #[error("the connection is not encrypted")]
    TlsRequired,
    /// The TLS handshake failed.
    #[error("the TLS handshake failed")]
    TlsHandshake,
    /// The caller requested encryption too often.
    #[error("encryption was asked for too often")]
    TooManyEncryptionRequests,
    /// The caller requested a replication connection.
    #[error("replication connections are not supported")]
    Replication,
    /// A run-time parameter has an invalid name, or may not be changed.
    #[error("`{name}` is no run-time parameter that a session may set")]
    SettingName {
        /// The parameter name, truncated.
        name: String,
    },
    /// The session limit of the node is reached.
    #[error("the proxy has as many sessions as it may have")]
    TooManySessions,
    /// The bundle does not contain the group.
    #[error("there is no database group `{group}`")]
    UnknownGroup {
        /// Group that the caller requested.
        group: GroupName,
    },
}

/// Returns the session limit of this node.
pub fn session_limit(context: &Context) -> usize {
    let bundle = context.shared.bundle();
    let limits = bundle
        .map(|bundle| bundle.limits.clone())
        .unwrap_or_default();
    limits.sessions_per_node as usize
}

/// Serves one connection to its end.
pub async fn serve(socket: TcpStream, context: Arc<Context>) {
    let mut stop = context.stop.subscribe();
    let _best_effort = socket.set_nodelay(true);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL);
    let _best_effort = SockRef::from(&socket).set_tcp_keepalive(&keepalive);
    tokio::select! {
        () = serve_session(socket, Arc::clone(&context)) => {}
        _ = stop.wait_for(|mode| *mode == StopMode::Abort) => {}
    }
}

async fn serve_session(socket: TcpStream, context: Arc<Context>) {
    let limit = context.settings.startup_timeout;
    let mut stop = context.stop.subscribe();
    let started = tokio::select! {
        started = tokio::time::timeout(limit, Box::pin(begin(socket, &context))) => started,
        _ = stop.wait_for(|mode| *mode >= StopMode::Graceful) => return,
    };
    match started {
        Ok(Some(session)) => session.run().await,
        Ok(None) => {}
        Err(_) => {
            log::debug!("caller: a connection did not complete its start-up within {limit:?}.")
        }
    }
}

/// Turns a connection into a session. A connection that fails is sent the reason.
async fn begin(socket: TcpStream, context: &Arc<Context>) -> Option<Box<Session>> {
    let write_timeout = context.settings.write_timeout;
    let mut stream = CallerStream::new(Box::new(socket), STARTUP_MESSAGE_LIMIT, write_timeout);
    let failure = match encryption(&mut stream, context).await {
        Ok(None) => return None,
        Ok(Some(parameters)) => match open_session(&mut stream, context, parameters).await {
            Ok((guard, identity)) => {
                stream.limit_messages(message_limit(context));
                let context = Arc::clone(context);
                return Some(Box::new(Session::new(context, stream, guard, identity)));
            }
            Err(failure) => failure,
        },
        Err(failure) => failure,
    };
    log::info!("caller: a connection was refused: {failure}.");
    if let Some(frame) = error::start_failure(&failure) {
        stream.write(&frame);
        stream.close().await;
    }
    None
}

fn message_limit(context: &Context) -> usize {
    let bundle = context.shared.bundle();
    let limits = bundle
        .map(|bundle| bundle.limits.clone())
        .unwrap_or_default();
    limits.message_bytes as usize
}

/// Answers encryption and cancel requests, until the caller sends its start-up packet.
/// Returns `None` after a cancel request.
async fn encryption(
    stream: &mut CallerStream,
    context: &Context,
) -> Result<Option<SessionParameters>, StartFailure> {
    let mut encrypted = false;
    for _ in 0..=ENCRYPTION_REQUESTS {
        match read_packet(stream).await? {
            StartupPacket::Cancel { process, secret } => {
                context.registry.route_cancel(process, secret);
                return Ok(None);
            }
            StartupPacket::Tls if !encrypted && context.tls.is_some() => {
                encrypt(stream, context).await?;
                encrypted = true;
            }
            StartupPacket::Tls | StartupPacket::Gss => {
                stream.write_raw(b"N");
                stream.flush().await?;
            }
            StartupPacket::Session(parameters) => {
                let required = context
                    .tls
                    .as_ref()
                    .is_some_and(|tls| tls.settings().required);
                if required && !encrypted {
                    return Err(StartFailure::TlsRequired);
                }
                return Ok(Some(parameters));
            }
        }
    }
    Err(StartFailure::TooManyEncryptionRequests)
}

async fn read_packet(stream: &mut CallerStream) -> Result<StartupPacket, StartFailure> {
    let length = stream.raw(4).await?;
    let length = u32::from_be_bytes([length[0], length[1], length[2], length[3]]);
    let body = stream.raw(packets::body_length(length)?).await?;
    Ok(StartupPacket::read(body.freeze())?)
}

async fn encrypt(stream: &mut CallerStream, context: &Context) -> Result<(), StartFailure> {
    let Some(tls) = &context.tls else {
        return Err(StartFailure::TlsHandshake);
    };
    stream.write_raw(b"S");
    stream.flush().await?;
    let acceptor = tls.acceptor();
    stream
        .encrypt(&acceptor)
        .await
        .map_err(|_| StartFailure::TlsHandshake)
}

/// Authenticates the caller, checks its request, registers the session and reports to the
/// caller that it has begun.
async fn open_session(
    stream: &mut CallerStream,
    context: &Arc<Context>,
    parameters: SessionParameters,
) -> Result<(SessionGuard, Identity), StartFailure> {
    if parameters.version != PROTOCOL_3_0 || !parameters.protocol_options.is_empty() {
        let frame = reply::negotiate_version(PROTOCOL_3_0, &parameters.protocol_options);
        stream.write(&frame);
    }
    if parameters.replication {
        return Err(StartFailure::Replication);
    }
    check_setting_names(&parameters)?;
    let authenticator = &context.authenticator;
    authenticator.authenticate(stream, &parameters.user).await?;
    let group = GroupName::new(&parameters.database);
    if let Some(bundle) = context.shared.bundle()
        && !bundle.groups.contains_key(&group)
    {
        return Err(StartFailure::UnknownGroup { group });
    }
    let guard = context
        .registry
        .register(session_limit(context))
        .ok_or(StartFailure::TooManySessions)?;
    send_session_start(stream, &guard, &parameters).await?;
    let identity = Identity {
        group,
        tenant: TenantName::new(&parameters.user),
        settings: parameters.settings,
    };
    Ok((guard, identity))
}

fn check_setting_names(parameters: &SessionParameters) -> Result<(), StartFailure> {
    for name in parameters.settings.keys() {
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'_' | b'.');
        let valid_start =
            name.starts_with(|first: char| first.is_ascii_alphabetic() || first == '_');
        let fixed = FIXED_PARAMETERS
            .iter()
            .any(|fixed| name.eq_ignore_ascii_case(fixed));
        if !valid_start || fixed || !name.bytes().all(allowed) {
            return Err(StartFailure::SettingName {
                name: name.chars().take(64).collect(),
            });
        }
    }
    Ok(())
}

async fn send_session_start(
    stream: &mut CallerStream,
    guard: &SessionGuard,
    parameters: &SessionParameters,
) -> Result<(), StartFailure> {
    stream.write(&reply::authentication_ok());
    for (name, value) in reported_settings(parameters) {
        stream.write(&reply::parameter_status(name, value));
    }
    let entry = &guard.entry;
    stream.write(&reply::backend_key_data(entry.process, entry.secret));
    stream.write(&reply::ready_for_query(TransactionStatus::Idle));
    stream.flush().await?;
    Ok(())
}

/// Returns the parameters that a server reports when a session begins.
fn reported_settings(parameters: &SessionParameters) -> Vec<(&'static str, &str)> {
    let setting = |name: &'static str, key: &str, default: &'static str| {
        let value = parameters.settings.get(key);
        (name, value.map_or(default, String::as_str))
    };
    vec![
        ("server_version", SERVER_VERSION),
        ("server_encoding", "UTF8"),
        ("integer_datetimes", "on"),
        ("in_hot_standby", "off"),
        ("is_superuser", "off"),
        ("session_authorization", parameters.user.as_str()),
        setting("application_name", "application_name", ""),
        setting("client_encoding", "client_encoding", "UTF8"),
        setting("DateStyle", "datestyle", "ISO, MDY"),
        setting("IntervalStyle", "intervalstyle", "postgres"),
        setting("TimeZone", "timezone", "UTC"),
        setting(
            "standard_conforming_strings",
            "standard_conforming_strings",
            "on",
        ),
        setting(
            "default_transaction_read_only",
            "default_transaction_read_only",
            "off",
        ),
    ]
}
