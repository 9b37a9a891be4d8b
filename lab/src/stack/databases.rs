//! The database groups of a deployment.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use hookpoint_standin::database::{DatabaseGroup, DatabaseSettings, GroupSettings, ZoneNetwork};
use hookpoint_standin::links::ZoneLinks;
use hookpoint_state::{DatabaseName, GroupName, ZoneName};
use hookpoint_workload::connection::Credentials;
use hookpoint_workload::deployment::{Deployment, GroupSpecification};
use hookpoint_workload::sql;

/// User of the databases.
pub const DATABASE_USER: &str = "hookpoint";

/// What may differ between runs of one deployment.
#[derive(Clone, Copy, Debug)]
pub struct DatabaseOptions {
    /// Seed of the elections.
    pub seed: u64,
    /// Whether the databases themselves wait for a majority before they answer a
    /// commit. Without it only the proxies' evidence protects acknowledged writes.
    pub synchronous_commit: bool,
    /// How far replicas run behind; the deployment's own lag where none is given.
    pub replica_lag: Option<Duration>,
}

impl Default for DatabaseOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            synchronous_commit: false,
            replica_lag: None,
        }
    }
}

/// Running database groups.
pub struct DatabaseGroups {
    groups: BTreeMap<GroupName, RunningGroup>,
}

/// One running group.
pub struct RunningGroup {
    /// The stand-in.
    pub group: DatabaseGroup,
    /// Its databases and their zones.
    pub databases: Vec<(DatabaseName, ZoneName)>,
}

impl DatabaseGroups {
    /// Starts the groups of `deployment`.
    ///
    /// # Errors
    /// When a group does not start.
    pub async fn start(
        deployment: &Deployment,
        links: &ZoneLinks,
        options: &DatabaseOptions,
    ) -> anyhow::Result<Self> {
        let network: Arc<dyn ZoneNetwork> = Arc::new(links.clone());
        let mut groups = BTreeMap::new();
        for (index, specification) in deployment.groups.iter().enumerate() {
            let settings = group_settings(deployment, specification, index, options);
            let group = DatabaseGroup::start(settings, network.clone())
                .await
                .with_context(|| format!("group {} did not start", specification.name))?;
            let databases = specification
                .databases
                .iter()
                .map(|database| (database.name.clone(), database.zone.clone()))
                .collect();
            let running = RunningGroup { group, databases };
            groups.insert(specification.name.clone(), running);
        }
        Ok(Self { groups })
    }

    /// The groups by name.
    pub fn iter(&self) -> impl Iterator<Item = (&GroupName, &RunningGroup)> {
        self.groups.iter()
    }

    /// The group of that name.
    pub fn group(&self, name: &GroupName) -> Option<&RunningGroup> {
        self.groups.get(name)
    }

    /// The group that `database` belongs to.
    pub fn group_of(&self, database: &str) -> Option<&RunningGroup> {
        self.groups.values().find(|group| {
            let mut names = group.databases.iter().map(|(name, _)| name.as_str());
            names.any(|name| name == database)
        })
    }

    /// All databases with the address they listen on.
    pub fn addresses(&self) -> Vec<(DatabaseName, ZoneName, SocketAddr)> {
        let databases = self.groups.values().flat_map(|running| {
            running.databases.iter().map(|(name, zone)| {
                let address = running.group.address(name.as_str());
                (name.clone(), zone.clone(), address)
            })
        });
        databases.collect()
    }
}

impl RunningGroup {
    /// The primary of the highest term, with its zone and address.
    pub fn primary(&self) -> Option<(DatabaseName, ZoneName, SocketAddr)> {
        let primary = self.group.primary()?;
        let (name, zone) = self
            .databases
            .iter()
            .find(|(name, _)| name.as_str() == primary)?;
        let address = self.group.address(name.as_str());
        Some((name.clone(), zone.clone(), address))
    }

    /// The databases that are not the primary.
    pub fn replicas(&self) -> Vec<DatabaseName> {
        let primary = self.group.primary();
        self.databases
            .iter()
            .filter(|(name, _)| Some(name.as_str()) != primary.as_deref())
            .map(|(name, _)| name.clone())
            .collect()
    }
}

/// Credentials straight to the databases of `group`.
pub fn database_credentials(group: &GroupName) -> Credentials {
    Credentials {
        user: DATABASE_USER.to_owned(),
        password: None,
        database: group.as_str().to_owned(),
    }
}

fn group_settings(
    deployment: &Deployment,
    specification: &GroupSpecification,
    index: usize,
    options: &DatabaseOptions,
) -> GroupSettings {
    let lag = options.replica_lag.unwrap_or(deployment.replica_lag);
    let databases = specification
        .databases
        .iter()
        .map(|database| DatabaseSettings {
            name: database.name.to_string(),
            zone: database.zone.to_string(),
            slots: deployment.slots,
            replay_lag: lag,
            password: None,
        })
        .collect();
    GroupSettings {
        name: specification.name.to_string(),
        databases,
        seed: options.seed.wrapping_mul(31).wrapping_add(index as u64),
        synchronous_commit: options.synchronous_commit,
        connect_delay: deployment.connect_delay,
        schema: sql::schema(deployment.application),
        ..GroupSettings::default()
    }
}
