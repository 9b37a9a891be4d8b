//! State that all sessions of a node share.

use std::sync::Arc;

use hookpoint_protocol::classify::Classifier;
use tokio::sync::watch;

use crate::caller::authentication::Authenticator;
use crate::caller::counters::UnitCounters;
use crate::caller::registry::{Registry, StopMode};
use crate::caller::setting_checks::AcceptedSettings;
use crate::caller::settings::CallerSettings;
use crate::caller::tls::TlsAcceptance;
use crate::lease::{LeaseSource, TermVerifier};
use crate::shared::Shared;

/// Shared state of the caller side of a node.
pub struct Context {
    /// Settings of the caller listener.
    pub settings: CallerSettings,
    /// Shared tables of the node.
    pub shared: Arc<Shared>,
    /// Source of leased backend connections.
    pub leases: Arc<dyn LeaseSource>,
    /// Verifies the terms of groups by querying a majority of their databases.
    pub verifier: Arc<dyn TermVerifier>,
    /// Table of the open sessions.
    pub registry: Arc<Registry>,
    /// Classifier of statements.
    pub classifier: Classifier,
    /// Verifies the credentials of callers.
    pub authenticator: Authenticator,
    /// TLS acceptor; `None` if TLS is not offered.
    pub tls: Option<TlsAcceptance>,
    /// Start-up parameters that databases have accepted.
    pub accepted_settings: AcceptedSettings,
    /// Counters of unit outcomes.
    pub counters: UnitCounters,
    /// Stop mode that all sessions observe.
    pub stop: watch::Sender<StopMode>,
}
