//! The stand-ins of a deployment: links, database groups and the platform.

mod databases;

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use hookpoint_standin::links::{Latencies, RegionSpacing, ZoneLinks};
use hookpoint_standin::platform::{Platform, PlatformSettings};
use hookpoint_workload::deployment::Deployment;

pub use databases::{
    DATABASE_USER, DatabaseGroups, DatabaseOptions, RunningGroup, database_credentials,
};

/// Lag of the platform's list of machines behind its changes.
const MACHINE_LIST_LAG: Duration = Duration::from_secs(2);

/// The running stand-ins of a deployment.
pub struct Stack {
    /// Deployment that the stand-ins are started from.
    pub deployment: Arc<Deployment>,
    /// Links between zones, with their latencies and cuts.
    pub links: ZoneLinks,
    /// Database groups.
    pub databases: DatabaseGroups,
    /// Platform: the key-value service and the list of machines.
    pub platform: Platform,
}

impl Stack {
    /// Starts the stand-ins of `deployment`.
    ///
    /// # Errors
    /// Fails if a stand-in does not start.
    pub async fn start(
        deployment: Arc<Deployment>,
        options: DatabaseOptions,
    ) -> anyhow::Result<Self> {
        let links = zone_links(&deployment);
        let databases = DatabaseGroups::start(&deployment, &links, &options).await?;
        let platform = Platform::start(PlatformSettings {
            machine_list_lag: MACHINE_LIST_LAG,
            ..PlatformSettings::default()
        })
        .await
        .context("the platform stand-in did not start")?;
        Ok(Self {
            deployment,
            links,
            databases,
            platform,
        })
    }
}

/// Returns the links of a deployment. Zones of different regions have the deployment's
/// latency between regions.
pub fn zone_links(deployment: &Deployment) -> ZoneLinks {
    let zones: Vec<(&str, &str)> = deployment
        .zones
        .iter()
        .map(|zone| (zone.zone.as_str(), zone.region.as_str()))
        .collect();
    let latencies = Latencies {
        same_zone: deployment.latencies.within_zone,
        between_zones: deployment.latencies.between_zones,
        between_regions: deployment.latencies.between_regions,
        to_clients: deployment.latencies.to_clients,
    };
    ZoneLinks::new(&zones, latencies, RegionSpacing::UseRegionLatency)
}
