//! Helpers for tests that run a laboratory with client sessions.
#![allow(dead_code)]

use std::sync::Arc;
use std::time::Duration;

use hookpoint_lab::demo::sessions::caller_credentials;
use hookpoint_lab::laboratory::{Laboratory, LaboratoryOptions};
use hookpoint_lab::stack::DatabaseOptions;
use hookpoint_workload::deployment::{Deployment, costa_rica};
use hookpoint_workload::history::{OperationResult, ProxyIndex, Recorder, SessionNumber};
use hookpoint_workload::session::{ClientSession, Protocol, SessionSettings};

/// Timeout of a request of a test's client.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns a deployment with one group of three databases.
pub fn single_group_deployment() -> Arc<Deployment> {
    let mut deployment = costa_rica();
    deployment.groups.truncate(1);
    Arc::new(deployment)
}

/// Starts a laboratory with `proxies` proxies and one group, whose replicas have no replay
/// lag.
pub async fn laboratory(proxies: usize) -> anyhow::Result<Arc<Laboratory>> {
    // Logging may already be initialized by another test in this process.
    let _ = hookpoint_lab::logs::start();
    let options = LaboratoryOptions {
        databases: DatabaseOptions {
            replica_lag: Some(Duration::ZERO),
            ..DatabaseOptions::default()
        },
        proxies: Some(proxies),
        ..LaboratoryOptions::default()
    };
    Ok(Arc::new(
        Laboratory::start(single_group_deployment(), options).await?,
    ))
}

/// Creates a client session on the first group, connected to proxy `initial_proxy` first.
pub fn session(
    laboratory: &Laboratory,
    recorder: &Recorder,
    number: u32,
    initial_proxy: usize,
    protocol: Protocol,
) -> ClientSession {
    let deployment = &laboratory.stack.deployment;
    let group = deployment.groups[0].name.clone();
    let settings = SessionSettings {
        number: SessionNumber(number),
        credentials: caller_credentials(&group, 0),
        group,
        proxies: Arc::new(parking_lot::RwLock::new(laboratory.fleet.entries())),
        initial_proxy: ProxyIndex(initial_proxy),
        application: deployment.application,
        seed: 1,
        request_timeout: REQUEST_TIMEOUT,
        protocol,
    };
    ClientSession::new(settings, recorder.clone())
}

/// Returns whether a replica answered the last recorded read; false if there is no read.
pub fn last_read_on_replica(recorder: &Recorder) -> bool {
    let records = recorder.snapshot();
    let reads = records.iter().rev().find_map(|record| match record.result {
        OperationResult::Read { replica, .. } => Some(replica),
        _ => None,
    });
    reads.unwrap_or(false)
}
