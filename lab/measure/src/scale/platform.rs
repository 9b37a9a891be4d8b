//! The platform stand-in of a run, and rollout of bundles through its operator interface.

use std::time::Duration;

use hookpoint::operator::Operator;
use hookpoint_standin::platform::{Platform, PlatformSettings};
use hookpoint_state::bundle::{Bundle, OperatorKey, TrustedKeys};
use hookpoint_transport::platform::PlatformClient;
use tokio::time::Instant;

use super::ScaleError;

/// Timeout of a client request.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of an operator command.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before changes appear in the list of machines.
const MACHINE_LIST_LAG: Duration = Duration::from_secs(2);
/// Operator secret. Not confidential: it is used by measurements only.
const OPERATOR_SECRET: [u8; 32] = [19; 32];

/// A running platform stand-in and the operator commands of a run.
pub struct PlatformStandIn {
    platform: Platform,
}

/// Settings of a platform client. Unlike a client, they can be sent to another thread.
#[derive(Clone)]
pub struct ClientSettings {
    url: String,
}

impl ClientSettings {
    /// Creates a client for use on the current thread.
    pub fn client(&self) -> PlatformClient {
        PlatformClient::new(vec![self.url.clone()], TIMEOUT)
    }
}

impl PlatformStandIn {
    /// Starts the platform stand-in.
    pub async fn start() -> Result<Self, ScaleError> {
        let platform = Platform::start(PlatformSettings {
            machine_list_lag: MACHINE_LIST_LAG,
            ..PlatformSettings::default()
        })
        .await;
        let platform = platform.map_err(|error| ScaleError::Platform(error.to_string()))?;
        Ok(Self { platform })
    }

    /// Returns the settings of a client of this platform.
    pub fn client_settings(&self) -> ClientSettings {
        let url = self.platform.url();
        ClientSettings { url }
    }

    /// Returns the operator keys that the nodes trust.
    pub fn trusted(&self) -> TrustedKeys {
        let key = OperatorKey::from_secret(OPERATOR_SECRET).public_text();
        // Cannot fail: the key text was produced by `public_text`.
        TrustedKeys::read(&[key]).unwrap_or_default()
    }

    /// Returns the number of requests that the platform has received.
    pub fn requests(&self) -> u64 {
        self.platform.counters().total()
    }

    /// Prepares, approves and rolls out `bundle`. Returns the time at which the rollout command
    /// was sent.
    pub async fn roll_out(&self, bundle: Bundle) -> Result<Instant, ScaleError> {
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
