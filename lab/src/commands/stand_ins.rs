//! The commands `hookpoint-lab database` and `hookpoint-lab platform`, which run only
//! stand-ins.

use std::time::Duration;

use anyhow::Context;
use hookpoint_standin::platform::{Platform, PlatformSettings};
use serde::Serialize;

use crate::commands::{deployment_of, print_line};
use crate::flags;
use crate::stack::{DATABASE_USER, DatabaseGroups, DatabaseOptions, zone_links};

#[derive(Serialize)]
struct DatabaseLine {
    group: String,
    database: String,
    zone: String,
    url: String,
}

#[derive(Serialize)]
struct PlatformLine {
    url: String,
}

/// Runs the database stand-ins of a deployment until the process is stopped.
///
/// # Errors
/// Fails if they do not start.
pub async fn database(arguments: flags::Database) -> anyhow::Result<()> {
    let deployment = deployment_of(arguments.deployment.as_deref())?;
    let options = DatabaseOptions {
        seed: arguments.seed.unwrap_or(1),
        replica_lag: arguments.lag_ms.map(Duration::from_millis),
        ..DatabaseOptions::default()
    };
    let links = zone_links(&deployment);
    let groups = DatabaseGroups::start(&deployment, &links, &options).await?;
    let mut lines = Vec::new();
    for (group, running) in groups.iter() {
        for (database, zone) in &running.databases {
            let address = running.group.address(database.as_str());
            lines.push(DatabaseLine {
                group: group.to_string(),
                database: database.to_string(),
                zone: zone.to_string(),
                url: format!("postgresql://{DATABASE_USER}@{address}/{group}"),
            });
        }
    }
    print_line(&lines)?;
    tokio::signal::ctrl_c()
        .await
        .context("cannot receive signals")
}

/// Runs the platform stand-in until the process is stopped.
///
/// # Errors
/// Fails if it does not start.
pub async fn platform(arguments: flags::Platform) -> anyhow::Result<()> {
    let platform = Platform::start(PlatformSettings {
        requests_per_second: arguments.requests_per_second,
        ..PlatformSettings::default()
    })
    .await
    .context("the platform stand-in did not start")?;
    let url = platform.url();
    print_line(&PlatformLine { url })?;
    tokio::signal::ctrl_c()
        .await
        .context("cannot receive signals")
}
