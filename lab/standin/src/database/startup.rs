//! Opens client connections: start-up, authentication and cancel requests.

use std::sync::Arc;
use std::time::{Duration, Instant};

use pgwire::api::auth::sasl::scram::{
    SCRAM_ITERATIONS, ScramSecret, ScramServerAuth, gen_salted_password,
};
use pgwire::messages::response::{GssEncResponse, SslResponse};
use pgwire::messages::startup::{
    Authentication, BackendKeyData, NegotiateProtocolVersion, ParameterStatus, SecretKey, Startup,
};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage, SslNegotiationMetaMessage};
use rand::Rng;
use tokio::net::TcpStream;

use super::connections::Slot;
use super::error::{SqlError, SqlState};
use super::node::Node;
use super::session::{Identity, Session};
use super::session_settings::SessionSettings;
use super::wire::{Wire, WireError};
use crate::links;

/// SASL mechanism offered when a password is set.
const MECHANISM: &str = "SCRAM-SHA-256";
/// Timeout of start-up and authentication.
const STARTUP_LIMIT: Duration = Duration::from_secs(60);
/// Length of the salt in bytes.
const SALT_BYTES: usize = 16;

/// Serves one connection until it ends.
pub async fn serve(node: Arc<Node>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(
            "database: {}: setting TCP_NODELAY failed: {error}.",
            node.settings.name
        );
    }
    let mut epochs = node.epochs();
    let first = *epochs.borrow_and_update();
    let mut wire = Wire::new(stream, node.gate());
    if !node.is_alive() {
        // The connection was accepted while the process was being killed.
        wire.reset();
        return;
    }
    // Releases the slot however the connection ends.
    let mut slot_guard = SlotGuard {
        node: &node,
        slot: None,
    };
    let opened = tokio::select! {
        opened = open(&node, &mut wire, &mut slot_guard.slot) => opened,
        () = tokio::time::sleep(STARTUP_LIMIT) => return,
        _ = epochs.changed() => {
            if epochs.borrow().abrupt {
                wire.reset();
            }
            return;
        }
    };
    let identity = match opened {
        Ok(Some(identity)) => identity,
        Ok(None) => return,
        Err(error) => {
            log::debug!(
                "database: {}: a connection failed during start-up: {error}.",
                node.settings.name
            );
            return;
        }
    };
    let mut session = Session::new(node.clone(), wire, identity, first.number);
    session.run_until(epochs).await;
}

struct SlotGuard<'a> {
    node: &'a Node,
    slot: Option<Slot>,
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        if let Some(slot) = &self.slot {
            self.node.advisory.unlock_session(slot.process);
            self.node.advisory.unlock_transaction(slot.process);
            self.node.connections.close(slot.process);
        }
    }
}

/// Performs the start-up; returns `None` when it ends the connection.
async fn open(
    node: &Node,
    wire: &mut Wire,
    taken: &mut Option<Slot>,
) -> Result<Option<Identity>, WireError> {
    let Some(startup) = read_startup(node, wire).await? else {
        return Ok(None);
    };
    wire.startup_received();
    let Some(slot) = node.connections.open() else {
        let error = SqlError::fatal(
            SqlState::TooManyConnections,
            "sorry, too many clients already",
        );
        wire.disconnect(&error).await?;
        return Ok(None);
    };
    *taken = Some(slot.clone());
    if startup.protocol_number_minor > 0 {
        let message = NegotiateProtocolVersion::new(0, Vec::new());
        wire.push(PgWireBackendMessage::NegotiateProtocolVersion(message))?;
    }
    links::sleep_until(Instant::now() + node.group.connect_delay).await;
    if let Some(password) = &node.settings.password
        && let Err(error) = authenticate(wire, password).await?
    {
        wire.disconnect(&error).await?;
        return Ok(None);
    }
    let identity = match identify(node, slot, &startup) {
        Ok(identity) => identity,
        Err(error) => {
            wire.disconnect(&error).await?;
            return Ok(None);
        }
    };
    send_startup_responses(wire, &identity)?;
    Ok(Some(identity))
}

async fn read_startup(node: &Node, wire: &mut Wire) -> Result<Option<Startup>, WireError> {
    loop {
        let Some(message) = wire.read().await? else {
            return Ok(None);
        };
        match message {
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::PostgresSsl(_)) => {
                wire.push(PgWireBackendMessage::SslResponse(SslResponse::Refuse))?;
                wire.flush().await?;
            }
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::PostgresGss(_)) => {
                wire.push(PgWireBackendMessage::GssEncResponse(GssEncResponse::Refuse))?;
                wire.flush().await?;
            }
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None) => {
                wire.encryption_negotiated();
            }
            PgWireFrontendMessage::CancelRequest(request) => {
                if let Some(secret) = request.secret_key.as_i32() {
                    node.connections.cancel(request.pid, secret);
                }
                return Ok(None);
            }
            PgWireFrontendMessage::Startup(startup) => return Ok(Some(startup)),
            _ => return Ok(None),
        }
    }
}

async fn authenticate(wire: &mut Wire, password: &str) -> Result<Result<(), SqlError>, WireError> {
    let refused = || SqlError::fatal(SqlState::InvalidPassword, "password authentication failed");
    let mechanisms = Authentication::SASL(vec![MECHANISM.to_owned()]);
    wire.push(PgWireBackendMessage::Authentication(mechanisms))?;
    wire.flush().await?;
    let Some(PgWireFrontendMessage::PasswordMessageFamily(message)) = wire.read().await? else {
        return Ok(Err(refused()));
    };
    let initial = message.into_sasl_initial_response()?;
    let Some(data) = initial.data.filter(|_| initial.auth_method == MECHANISM) else {
        return Ok(Err(refused()));
    };
    let mut salt = vec![0_u8; SALT_BYTES];
    rand::rng().fill(salt.as_mut_slice());
    let secret = ScramSecret::SaltedPassword {
        salted_password: gen_salted_password(password, &salt, SCRAM_ITERATIONS),
        salt,
    };
    let (first, scram) =
        ScramServerAuth::new().on_client_first_message_with_secret(&data, secret)?;
    let response = Authentication::SASLContinue(first.into());
    wire.push(PgWireBackendMessage::Authentication(response))?;
    wire.flush().await?;
    let Some(PgWireFrontendMessage::PasswordMessageFamily(message)) = wire.read().await? else {
        return Ok(Err(refused()));
    };
    let last = message.into_sasl_response()?;
    match scram.on_client_final_message(&last.data) {
        Ok(proof) => {
            let response = Authentication::SASLFinal(proof.into());
            wire.push(PgWireBackendMessage::Authentication(response))?;
            Ok(Ok(()))
        }
        Err(_) => Ok(Err(refused())),
    }
}

fn identify(node: &Node, slot: Slot, startup: &Startup) -> Result<Identity, SqlError> {
    let mut settings = SessionSettings::default();
    let mut user = String::new();
    let mut database = String::new();
    for (name, value) in &startup.parameters {
        match name.as_str() {
            "user" => user.clone_from(value),
            "database" => database.clone_from(value),
            "options" => set_options(&mut settings, value)?,
            "replication" => {}
            name if name.starts_with("_pq_.") => {}
            name => settings.set_default(name, value)?,
        }
    }
    if database.is_empty() {
        database.clone_from(&user);
    }
    let in_recovery = node.in_recovery();
    settings.set_internal("in_hot_standby", if in_recovery { "on" } else { "off" });
    settings.set_internal("session_authorization", &user);
    Ok(Identity {
        slot,
        user,
        database,
        settings,
    })
}

/// Applies `-c name=value` and `--name=value` from the `options` parameter.
fn set_options(settings: &mut SessionSettings, options: &str) -> Result<(), SqlError> {
    let mut words = options.split_whitespace();
    while let Some(word) = words.next() {
        let assignment = match word {
            "-c" => words.next(),
            _ => word.strip_prefix("-c").or_else(|| word.strip_prefix("--")),
        };
        if let Some((name, value)) = assignment.and_then(|text| text.split_once('=')) {
            settings.set_default(&name.replace('-', "_"), value)?;
        }
    }
    Ok(())
}

fn send_startup_responses(wire: &mut Wire, identity: &Identity) -> Result<(), WireError> {
    wire.push(PgWireBackendMessage::Authentication(Authentication::Ok))?;
    for (name, value) in identity.settings.reported() {
        let status = ParameterStatus::new(name.to_owned(), value);
        wire.push(PgWireBackendMessage::ParameterStatus(status))?;
    }
    let key = BackendKeyData::new(identity.slot.process, SecretKey::I32(identity.slot.secret));
    wire.push(PgWireBackendMessage::BackendKeyData(key))
}
