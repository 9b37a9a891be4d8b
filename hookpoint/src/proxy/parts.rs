//! Starting the parts in the order of their dependencies.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use actix_rt::{Arbiter, ArbiterHandle};
use hookpoint_state::NodeId;
use hookpoint_state::bundle::TrustedKeys;
use hookpoint_transport::admin::{AdminState, start_admin};
use hookpoint_transport::backend::{BackendSettings, LocalPools};
use hookpoint_transport::caller::{
    CallerListener, CallerSettings, Credential, CredentialStore, TlsSettings,
};
use hookpoint_transport::observe::{MajorityVerifier, start_observer};
use hookpoint_transport::platform::{PlatformClient, PlatformFollower};
use hookpoint_transport::shared::Shared;
use tokio::sync::oneshot;

use super::own_node::OwnNode;
use super::rollout;
use super::{ProxyError, Running, metrics};
use crate::settings::{CallerSection, PlatformSection, ProxySettings, TlsSection};

/// Threads of one proxy besides those of its callers and its fleet.
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

    /// Ends the threads, and with them what runs on them.
    pub fn stop(&self) {
        self.platform.stop();
        for arbiter in &self.backends {
            arbiter.stop();
        }
    }
}

/// Starts everything.
pub(super) async fn start(settings: ProxySettings) -> Result<Running, ProxyError> {
    let trusted = trusted_keys(&settings.bundles.trusted_keys)?;
    let shared = Arc::new(Shared::new(settings.node.zone.clone()));
    for (address, reached_at) in &settings.reached_at {
        shared.addresses.replace(*address, *reached_at);
    }
    let arbiters = Arbiters::start(settings.backends.workers);
    let pools = LocalPools::new(Arc::clone(&shared), backend_settings(&settings, &arbiters));
    let node = NodeId(rand::random());
    let probing = arbiters.backends[0].handle();
    start_observer(
        Arc::clone(&shared),
        Arc::clone(&pools),
        rand::random(),
        &probing,
    );
    let verifier = MajorityVerifier::new(Arc::clone(&shared), Arc::clone(&pools) as _, probing);
    let callers = CallerListener::start(
        caller_settings(&settings)?,
        Arc::clone(&shared),
        Arc::clone(&pools) as _,
        verifier,
    )
    .await?;
    start_platform(&settings, trusted, &shared, &arbiters).await?;
    let stopping = Arc::new(AtomicBool::new(false));
    let registry = metrics::registry(&shared, &callers, &pools)?;
    let admin = start_admin(
        settings.admin.listen,
        Arc::new(AdminState {
            node,
            shared: Arc::clone(&shared),
            registry,
            fleet: Arc::new(OwnNode {
                node,
                settings: settings.node.clone(),
                shared: Arc::clone(&shared),
            }),
            stopping: Arc::clone(&stopping),
        }),
    )?;
    Ok(Running {
        shared,
        callers,
        pools,
        node,
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
        ..CallerSettings::new(callers.listen)
    })
}

fn credentials(callers: &CallerSection) -> Result<CredentialStore, ProxyError> {
    let passwords = callers.passwords.iter().map(|(user, password)| {
        let password = password.expose().to_owned();
        Ok((user.clone(), Credential::Password(password)))
    });
    let verifiers = callers.verifiers.iter().map(|(user, verifier)| {
        let failure = |_| ProxyError::Verifier { user: user.clone() };
        let verifier = verifier.expose().parse().map_err(failure)?;
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

async fn start_platform(
    settings: &ProxySettings,
    trusted: TrustedKeys,
    shared: &Arc<Shared>,
    arbiters: &Arbiters,
) -> Result<(), ProxyError> {
    let (started, start) = oneshot::channel();
    let section = settings.platform.clone();
    let shared = Arc::clone(shared);
    arbiters.platform.spawn_fn(move || {
        let client = client_of(&section);
        let (commands, events) = PlatformFollower::start(client);
        rollout::start(shared, trusted, commands, events);
        let _start_given_up = started.send(());
    });
    start.await.map_err(|_| ProxyError::ThreadEnded)?;
    Ok(())
}

fn client_of(section: &PlatformSection) -> PlatformClient {
    PlatformClient::new(section.urls.clone(), section.timeout())
}
