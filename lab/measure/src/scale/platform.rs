//! The platform's stand-in of a run, and the operator who rolls bundles out over it.

use std::time::Duration;

use hookpoint::operator::Operator;
use hookpoint_standin::platform::{Platform, PlatformSettings};
use hookpoint_state::bundle::{Bundle, OperatorKey, TrustedKeys};
use hookpoint_transport::platform::PlatformClient;
use tokio::time::Instant;

use super::ScaleError;

/// Longest wait of a client for one answer.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait of the operator's command.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(30);
/// How far the list of machines lags behind.
const MACHINE_LIST_LAG: Duration = Duration::from_secs(2);
/// Secret of the operator; it protects nothing.
const OPERATOR_SECRET: [u8; 32] = [19; 32];

/// The platform and its operator.
pub struct Rollouts {
    platform: Platform,
}

/// What a client of the platform needs; it may go to another thread, which a client
/// may not.
#[derive(Clone)]
pub struct ClientSettings {
    url: String,
}

impl ClientSettings {
    /// A client of the thread that asks.
    pub fn client(&self) -> PlatformClient {
        PlatformClient::new(vec![self.url.clone()], TIMEOUT)
    }
}

impl Rollouts {
    /// Starts the platform.
    pub async fn start() -> Result<Self, ScaleError> {
        let platform = Platform::start(PlatformSettings {
            machine_list_lag: MACHINE_LIST_LAG,
            ..PlatformSettings::default()
        })
        .await;
        let platform = platform.map_err(|error| ScaleError::Platform(error.to_string()))?;
        Ok(Self { platform })
    }

    /// What a client needs.
    pub fn client_settings(&self) -> ClientSettings {
        let url = self.platform.url();
        ClientSettings { url }
    }

    /// The key that the nodes trust.
    pub fn trusted(&self) -> TrustedKeys {
        let key = OperatorKey::from_secret(OPERATOR_SECRET).public_text();
        // A key that this program has written itself.
        TrustedKeys::read(&[key]).unwrap_or_default()
    }

    /// Requests that the platform has taken.
    pub fn requests(&self) -> u64 {
        self.platform.counters().total()
    }

    /// Prepares, approves and rolls `bundle`. Returns when the last command was given.
    pub async fn roll(&self, bundle: Bundle) -> Result<Instant, ScaleError> {
        let client = self.client_settings().client();
        let operator = Operator::new(client, "scale", OPERATOR_TIMEOUT);
        let version = operator.prepare(bundle).await?.bundle.version;
        let key = OperatorKey::from_secret(OPERATOR_SECRET);
        operator.approve(&key, version).await?;
        let began = Instant::now();
        operator.roll(version, None, None).await?;
        Ok(began)
    }
}
