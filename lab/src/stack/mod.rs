//! The stand-ins of a whole deployment: links, database groups and the platform.

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

/// How far the list of machines lags behind.
const MACHINE_LIST_LAG: Duration = Duration::from_secs(2);

/// Running stand-ins.
pub struct Stack {
    /// What they stand in for.
    pub deployment: Arc<Deployment>,
    /// Latencies and cuts between zones.
    pub links: ZoneLinks,
    /// The database groups.
    pub databases: DatabaseGroups,
    /// The key-value service and the list of machines.
    pub platform: Platform,
}

impl Stack {
    /// Starts the stand-ins of `deployment`.
    ///
    /// # Errors
    /// When a stand-in does not start.
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

/// The links of a deployment. Its zones all lie in regions of their own, and the
/// latency between regions applies between them.
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
    ZoneLinks::new(&zones, latencies, RegionSpacing::Apart)
}
