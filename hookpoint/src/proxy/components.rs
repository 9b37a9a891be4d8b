//! Starts the components of a proxy in the order of their dependencies.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use actix_rt::{Arbiter, ArbiterHandle};
use hookpoint_protocol::peer::FleetKey;
use hookpoint_protocol::platform::records::{MachineRecord, MachineState};
use hookpoint_state::bundle::TrustedKeys;
use hookpoint_transport::admin::{AdminState, start_admin};
use hookpoint_transport::backend::{BackendSettings, LocalPools};
use hookpoint_transport::caller::{
    CallerHandle, CallerListener, CallerSettings, Credential, CredentialStore, TlsSettings,
};
use hookpoint_transport::observe::{FleetStatuses, MajorityVerifier, start_observer};
use hookpoint_transport::peer::{Fleet, FleetError, FleetHandle, FleetSettings};
use hookpoint_transport::platform::{
    PlatformClient, PlatformFollower, Registration, RolloutHandle, register,
};
use hookpoint_transport::shared::Shared;
use sha2::{Digest as _, Sha256};
use tokio::sync::oneshot;

use super::fleet_source::MembershipSource;
use super::rollout;
use super::{ProxyError, Running, metrics};
use crate::settings::{CallerSection, PlatformSection, ProxySettings, TlsSection};

/// Threads of one proxy for connections to databases and for the platform.
pub(super) struct Arbiters {
    backends: Vec<Arbiter>,
    platform: Arbiter,
}

impl Arbiters {
    fn start(backends: usize) -> Self {
        Self {
            backends: (0..backends.max(1)).map(|_| Arbiter::new()).collect(),
            platform: Arbiter::new(),
        }
    }

    fn backends(&self) -> Vec<ArbiterHandle> {
        self.backends.iter().map(Arbiter::handle).collect()
    }

    /// Stops the threads and the tasks that run on them.
    pub fn stop(&self) {
        self.platform.stop();
        for arbiter in &self.backends {
            arbiter.stop();
        }
    }
}

/// Starts all components of a proxy.
pub(super) async fn start(settings: ProxySettings) -> Result<Running, ProxyError> {
    let trusted = trusted_keys(&settings.bundles.trusted_keys)?;
    let shared = Arc::new(Shared::new(settings.node.zone.clone()));
    for (address, reached_at) in &settings.reached_at {
        shared.addresses.replace(*address, *reached_at);
    }
    let arbiters = Arbiters::start(settings.backends.workers);
    let pools = LocalPools::new(Arc::clone(&shared), backend_settings(&settings, &arbiters));
    let fleet = Fleet::start(
        fleet_settings(&settings)?,
        Arc::clone(&shared),
        Arc::clone(&pools) as _,
    )?;
    let home_fleet = fleet.clone();
    pools.set_home_filter(Arc::new(move |database| home_fleet.is_home(database)));
    refresh_pools_on_home_changes(&fleet, Arc::clone(&pools));
    let probe_arbiter = arbiters.backends[0].handle();
    let statuses = FleetStatuses::new(
        Arc::clone(&shared),
        fleet.lease_source(),
        probe_arbiter.clone(),
    );
    start_observer(
        Arc::clone(&shared),
        Arc::clone(&pools),
        Arc::clone(&statuses) as _,
        rand::random(),
        &probe_arbiter,
    );
    let verifier = MajorityVerifier::new(Arc::clone(&shared), statuses, probe_arbiter);
    let callers = CallerListener::start(
        caller_settings(&settings)?,
        Arc::clone(&shared),
        fleet.lease_source(),
        verifier,
    )
    .await?;
    route_cancels(&callers, &fleet);
    let platform = start_platform(&settings, trusted, &shared, &fleet, &arbiters).await?;
    let stopping = Arc::new(AtomicBool::new(false));
    let registry = metrics::registry(&shared, &callers, &pools, &fleet)?;
    let admin = start_admin(
        settings.admin.listen,
        Arc::new(AdminState {
            node: fleet.node(),
            shared: Arc::clone(&shared),
            registry,
            fleet: Arc::new(MembershipSource {
                fleet: fleet.clone(),
                shared: Arc::clone(&shared),
            }),
            stopping: Arc::clone(&stopping),
        }),
    )?;
    Ok(Running {
        shared,
        callers,
        pools,
        fleet,
        platform,
        admin,
        stopping,
        arbiters,
    })
}

fn trusted_keys(texts: &[String]) -> Result<TrustedKeys, ProxyError> {
    TrustedKeys::read(texts).map_err(|(index, source)| ProxyError::TrustedKey { index, source })
}

fn backend_settings(settings: &ProxySettings, arbiters: &Arbiters) -> BackendSettings {
    let passwords = settings.backends.passwords.iter();
    BackendSettings {
        passwords: passwords
            .map(|(group, password)| (group.clone(), password.expose().to_owned()))
            .collect(),
        seed: rand::random(),
        ..BackendSettings::new(arbiters.backends())
    }
}

fn fleet_settings(settings: &ProxySettings) -> Result<FleetSettings, ProxyError> {
    let keys = settings.peers.keys.iter();
    let mut keys = keys
        .map(|key| fleet_key(key.expose()))
        .collect::<Result<Vec<_>, _>>()?;
    // Without configured keys, the node uses a random key, which no other node has, and so
    // forms a fleet of its own.
    let own = fleet_key(&rand::random::<[u8; 32]>())?;
    if keys.is_empty() {
        keys.push(own.clone());
    }
    let node = &settings.node;
    Ok(FleetSettings {
        listen: settings.peers.listen,
        advertise: settings.peers.advertise,
        seeds: settings.peers.seeds.clone(),
        keys,
        ..FleetSettings::on_loopback(node.zone.clone(), node.region.clone(), own)
    })
}

/// Creates a fleet key whose number is derived from its secret, so that the order of keys
/// may differ between nodes during a rotation.
///
/// # Errors
/// Returns [`ProxyError::Fleet`] if the secret is too short.
pub fn fleet_key(secret: &[u8]) -> Result<FleetKey, ProxyError> {
    let digest = Sha256::digest(secret);
    let number = u32::from_be_bytes([digest[0], digest[1], digest[2], digest[3]]);
    FleetKey::new(number, secret).map_err(|error| FleetError::from(error).into())
}

fn caller_settings(settings: &ProxySettings) -> Result<CallerSettings, ProxyError> {
    let callers = &settings.callers;
    Ok(CallerSettings {
        credentials: credentials(callers)?,
        tls: callers.tls.as_ref().map(tls_settings),
        token_keys: settings
            .tokens
            .keys
            .iter()
            .map(|key| key.expose().to_vec())
            .collect(),
        arbiters: callers.workers,
        checks: settings.checks,
        ..CallerSettings::new(callers.listen)
    })
}

fn credentials(callers: &CallerSection) -> Result<CredentialStore, ProxyError> {
    let passwords = callers.passwords.iter().map(|(user, password)| {
        let password = password.expose().to_owned();
        Ok((user.clone(), Credential::Password(password)))
    });
    let verifiers = callers.verifiers.iter().map(|(user, verifier)| {
        let malformed = |_| ProxyError::Verifier { user: user.clone() };
        let verifier = verifier.expose().parse().map_err(malformed)?;
        Ok((user.clone(), Credential::Verifier(verifier)))
    });
    let users: Result<Vec<_>, ProxyError> = passwords.chain(verifiers).collect();
    Ok(CredentialStore::new(users?))
}

fn tls_settings(section: &TlsSection) -> TlsSettings {
    TlsSettings {
        certificate: section.certificate.clone(),
        key: section.key.clone(),
        reload_interval: Duration::from_secs(section.reload_seconds),
        required: section.required,
    }
}

/// Connects callers and fleet, so that a cancel request received by any node reaches its
/// session.
fn route_cancels(callers: &CallerHandle, fleet: &FleetHandle) {
    let local_callers = callers.clone();
    fleet.set_cancel_handler(Arc::new(move |process, secret| {
        local_callers.cancel(process, secret);
    }));
    let fleet = fleet.clone();
    callers.set_cancel_route(
        fleet.cancel_tag(),
        Arc::new(move |process, secret| {
            let fleet = fleet.clone();
            actix_rt::spawn(async move { fleet.cancel_session(process, secret).await });
        }),
    );
}

/// Lets the pools release the connections of databases whose home has moved to another
/// node.
fn refresh_pools_on_home_changes(fleet: &FleetHandle, pools: Arc<LocalPools>) {
    let mut changes = fleet.home_changes();
    actix_rt::spawn(async move {
        while changes.changed().await.is_ok() {
            pools.release_moved_connections();
        }
    });
}

/// The tasks that use the platform, on a dedicated thread.
pub(super) struct PlatformTasks {
    registration: Option<Registration>,
    /// Keeps the rollout running; dropping it ends the rollout.
    _rollout: RolloutHandle,
}

impl PlatformTasks {
    /// Marks the node as leaving in the platform's list of machines, on a best-effort
    /// basis.
    pub fn leave(&self) {
        if let Some(registration) = &self.registration {
            registration.leave();
        }
    }

    /// Removes the node from the platform's list of machines, on a best-effort basis.
    pub async fn remove(&self) {
        if let Some(registration) = &self.registration {
            registration.remove().await;
        }
    }
}

async fn start_platform(
    settings: &ProxySettings,
    trusted: TrustedKeys,
    shared: &Arc<Shared>,
    fleet: &FleetHandle,
    arbiters: &Arbiters,
) -> Result<PlatformTasks, ProxyError> {
    let (started, start) = oneshot::channel();
    let section = settings.platform.clone();
    if section.urls.is_empty() {
        log::warn!("platform: no URL is configured; bundles are received only from peers.");
    }
    let machine = machine_record(settings, fleet);
    let shared = Arc::clone(shared);
    let fleet = fleet.clone();
    arbiters.platform.spawn_fn(move || {
        let client = platform_client(&section);
        let (commands, events) = PlatformFollower::start(client);
        let rollout = rollout::start(shared, trusted, commands, events, fleet);
        let registers = section.register && !section.urls.is_empty();
        let tasks = PlatformTasks {
            registration: registers.then(|| register(platform_client(&section), machine)),
            _rollout: rollout,
        };
        let _start_was_cancelled = started.send(tasks);
    });
    start.await.map_err(|_| ProxyError::ThreadEnded)
}

fn platform_client(section: &PlatformSection) -> PlatformClient {
    PlatformClient::new(section.urls.clone(), section.timeout())
}

fn machine_record(settings: &ProxySettings, fleet: &FleetHandle) -> MachineRecord {
    MachineRecord {
        node: fleet.node().to_string(),
        zone: settings.node.zone.to_string(),
        region: settings.node.region.to_string(),
        peer_address: fleet.address(),
        state: MachineState::Live,
    }
}
