//! Bundles of a deployment: built, approved and rolled through the platform.

use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, anyhow};
use hookpoint::operator::Operator;
use hookpoint_state::bundle::{
    Bundle, BundleVersion, Database, Group, Limits, OperatorKey, ReadPreference,
};
use hookpoint_state::{DatabaseName, ZoneName};
use hookpoint_transport::platform::PlatformClient;
use hookpoint_workload::deployment::Deployment;

use crate::stack::DATABASE_USER;

/// Secret key of the laboratory's operator. It is public and protects nothing.
const OPERATOR_SECRET: [u8; 32] = [7; 32];
/// Name of the laboratory's operator.
const OPERATOR_NAME: &str = "laboratory";
/// Limit on one operator command, retries included.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of one request to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(3);

/// Returns the key of the laboratory's operator.
pub fn operator_key() -> OperatorKey {
    OperatorKey::from_secret(OPERATOR_SECRET)
}

/// Builds the bundle of `deployment`; databases that are not in `addresses` are left out.
pub fn bundle_of(
    deployment: &Deployment,
    addresses: &[(DatabaseName, ZoneName, SocketAddr)],
    description: &str,
) -> Bundle {
    let zones = deployment
        .zones
        .iter()
        .map(|zone| (zone.zone.clone(), zone.region.clone()))
        .collect();
    let groups = deployment.groups.iter().map(|group| {
        let settings = Group {
            database: group.name.to_string(),
            user: DATABASE_USER.to_owned(),
            reads: ReadPreference::Replica,
            election_timeout_ms: 300,
        };
        (group.name.clone(), settings)
    });
    Bundle {
        version: BundleVersion(0),
        description: description.to_owned(),
        zones,
        groups: groups.collect(),
        databases: databases_of(deployment, addresses),
        limits: Limits::default(),
        tenants: BTreeMap::new(),
        drain: BTreeSet::new(),
    }
}

fn databases_of(
    deployment: &Deployment,
    addresses: &[(DatabaseName, ZoneName, SocketAddr)],
) -> BTreeMap<DatabaseName, Database> {
    let mut databases = BTreeMap::new();
    for group in &deployment.groups {
        for database in &group.databases {
            let found = addresses.iter().find(|(name, _, _)| name == &database.name);
            if let Some((name, zone, address)) = found {
                let settings = Database {
                    group: group.name.clone(),
                    zone: zone.clone(),
                    address: address.to_string(),
                    slots: deployment.max_connections,
                };
                databases.insert(name.clone(), settings);
            }
        }
    }
    databases
}

/// Prepares, approves and rolls `bundle`, and returns its version.
///
/// # Errors
/// Fails if one of the operator's commands fails.
pub async fn roll(platform_url: &str, bundle: Bundle) -> anyhow::Result<BundleVersion> {
    let url = platform_url.to_owned();
    run_on_actix_thread(move || async move {
        let client = PlatformClient::new(vec![url], PLATFORM_TIMEOUT);
        let operator = Operator::new(client, OPERATOR_NAME, OPERATOR_TIMEOUT);
        let version = operator.prepare(bundle).await?.bundle.version;
        operator.approve(&operator_key(), version).await?;
        operator.roll(version, None, None).await?;
        Ok(version)
    })
    .await
}

/// Runs a task that needs an actix system on a new thread.
///
/// # Errors
/// Returns the error of the task, or an error if the thread ends before the task.
pub async fn run_on_actix_thread<Task, Running, Output>(task: Task) -> anyhow::Result<Output>
where
    Task: FnOnce() -> Running + Send + 'static,
    Running: Future<Output = anyhow::Result<Output>>,
    Output: Send + 'static,
{
    let (sender, receiver) = tokio::sync::oneshot::channel();
    std::thread::Builder::new()
        .name("operator".to_owned())
        .spawn(move || {
            let result = actix_rt::System::new().block_on(task());
            // The receiver is dropped only when the whole command ends.
            let _ = sender.send(result);
        })
        .context("cannot spawn the operator's thread")?;
    receiver
        .await
        .map_err(|_| anyhow!("the operator's thread ended before its task"))?
}
