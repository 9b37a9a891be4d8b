//! Helpers of the end-to-end tests.
#![allow(dead_code)]

use std::sync::Arc;
use std::time::Duration;

use hookpoint_lab::demo::sessions::caller_credentials;
use hookpoint_lab::laboratory::{Laboratory, LaboratoryOptions};
use hookpoint_lab::stack::DatabaseOptions;
use hookpoint_workload::deployment::{Deployment, costa_rica};
use hookpoint_workload::history::{OperationResult, ProxyIndex, Recorder, SessionNumber};
use hookpoint_workload::session::{ClientSession, Protocol, SessionSettings};

/// Longest wait of a test's client for an answer.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// A deployment of one group of three databases.
pub fn small() -> Arc<Deployment> {
    let mut deployment = costa_rica();
    deployment.groups.truncate(1);
    Arc::new(deployment)
}

/// Starts a laboratory with one group, whose replicas do not lag, and `proxies` proxies.
pub async fn laboratory(proxies: usize) -> anyhow::Result<Arc<Laboratory>> {
    // Another test of the process may have started the logs.
    let _ = hookpoint_lab::logs::start();
    let options = LaboratoryOptions {
        databases: DatabaseOptions {
            replica_lag: Some(Duration::ZERO),
            ..DatabaseOptions::default()
        },
        proxies: Some(proxies),
        ..LaboratoryOptions::default()
    };
    Ok(Arc::new(Laboratory::start(small(), options).await?))
}

/// A session of the first group on proxy `home`.
pub fn session(
    laboratory: &Laboratory,
    recorder: &Recorder,
    number: u32,
    home: usize,
    protocol: Protocol,
) -> ClientSession {
    let deployment = &laboratory.stack.deployment;
    let group = deployment.groups[0].name.clone();
    let settings = SessionSettings {
        number: SessionNumber(number),
        credentials: caller_credentials(&group, 0),
        group,
        proxies: Arc::new(parking_lot::RwLock::new(laboratory.fleet.entries())),
        home: ProxyIndex(home),
        application: deployment.application,
        seed: 1,
        patience: PATIENCE,
        protocol,
    };
    ClientSession::new(settings, recorder.clone())
}

/// Whether the last recorded read was answered by a replica.
pub fn last_read_on_replica(recorder: &Recorder) -> bool {
    let records = recorder.snapshot();
    let reads = records.iter().rev().find_map(|record| match record.result {
        OperationResult::Read { replica, .. } => Some(replica),
        _ => None,
    });
    reads.unwrap_or(false)
}
