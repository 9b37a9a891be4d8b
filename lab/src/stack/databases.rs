//! Stand-ins of a deployment's database groups.

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

/// User that connects to the databases.
pub const DATABASE_USER: &str = "hookpoint";

/// Options of the databases that are not part of the deployment.
#[derive(Clone, Copy, Debug)]
pub struct DatabaseOptions {
    /// Seed of the randomness in elections.
    pub seed: u64,
    /// Whether the databases themselves wait for a majority before they acknowledge a
    /// commit. Otherwise acknowledged writes are protected only by the proxies, which wait
    /// for evidence that a majority holds them.
    pub synchronous_commit: bool,
    /// Replay lag of replicas; `None` uses the deployment's lag.
    pub replica_lag: Option<Duration>,
}

impl Default for DatabaseOptions {
    /// Returns options with a fixed seed, acknowledgement without waiting for a majority, and
    /// the deployment's replica lag.
    fn default() -> Self {
        Self {
            seed: 1,
            synchronous_commit: false,
            replica_lag: None,
        }
    }
}

/// The running database groups of a deployment.
pub struct DatabaseGroups {
    groups: BTreeMap<GroupName, RunningGroup>,
}

/// A running database group.
pub struct RunningGroup {
    /// Stand-in of the group.
    pub group: DatabaseGroup,
    /// Databases of the group, with their zones.
    pub databases: Vec<(DatabaseName, ZoneName)>,
}

impl DatabaseGroups {
    /// Starts the groups of `deployment`.
    ///
    /// # Errors
    /// Fails if a group does not start.
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

    /// Iterates over the groups in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&GroupName, &RunningGroup)> {
        self.groups.iter()
    }

    /// Returns the group of that name.
    pub fn group(&self, name: &GroupName) -> Option<&RunningGroup> {
        self.groups.get(name)
    }

    /// Returns the group that `database` belongs to.
    pub fn group_of(&self, database: &str) -> Option<&RunningGroup> {
        self.groups.values().find(|group| {
            let mut names = group.databases.iter().map(|(name, _)| name.as_str());
            names.any(|name| name == database)
        })
    }

    /// Returns all databases with their zone and the address they listen on.
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
    /// Returns the primary of the highest term, with its zone and address; `None` if there
    /// is none.
    pub fn primary(&self) -> Option<(DatabaseName, ZoneName, SocketAddr)> {
        let primary = self.group.primary()?;
        let (name, zone) = self
            .databases
            .iter()
            .find(|(name, _)| name.as_str() == primary)?;
        let address = self.group.address(name.as_str());
        Some((name.clone(), zone.clone(), address))
    }

    /// Returns the databases that are not the primary.
    pub fn replicas(&self) -> Vec<DatabaseName> {
        let primary = self.group.primary();
        self.databases
            .iter()
            .filter(|(name, _)| Some(name.as_str()) != primary.as_deref())
            .map(|(name, _)| name.clone())
            .collect()
    }
}

/// Returns the credentials for direct connections to the databases of `group`.
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
            slots: deployment.max_connections,
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
