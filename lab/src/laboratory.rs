//! A complete deployment of stand-ins and proxies, with fault injection.

use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{anyhow, bail};
use hookpoint_coordination::request::SafetyChecks;
use hookpoint_standin::platform::OutageMode;
use hookpoint_state::{BundleVersion, DatabaseName};
use hookpoint_workload::deployment::Deployment;

use crate::bundles::{bundle_of, roll};
use crate::fault::{Fault, Target};
use crate::fleet::ProxyFleet;
use crate::stack::{DatabaseOptions, RunningGroup, Stack};

/// Timeout for a bundle to be in force on every proxy.
const BUNDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout until each group's primary is known to at least one proxy.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Polling interval.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Options of a run that are not part of the deployment.
#[derive(Clone, Copy, Debug, Default)]
pub struct LaboratoryOptions {
    /// Options of the database stand-ins.
    pub databases: DatabaseOptions,
    /// Number of proxies; `None` starts one per zone.
    pub proxies: Option<usize>,
    /// Safety checks of the proxies; a negative control disables one of them.
    pub checks: SafetyChecks,
}

/// A running deployment. Faults are injected with [`Laboratory::inject`].
pub struct Laboratory {
    /// Stand-ins of the databases, the links and the platform.
    pub stack: Stack,
    /// Proxies of the deployment.
    pub fleet: ProxyFleet,
}

impl Laboratory {
    /// Starts stand-ins and proxies, rolls a first bundle, and waits until it is in force
    /// and every group's primary is known to at least one proxy.
    ///
    /// # Errors
    /// Fails if a component does not start in time.
    pub async fn start(
        deployment: Arc<Deployment>,
        options: LaboratoryOptions,
    ) -> anyhow::Result<Self> {
        let proxies = options.proxies.unwrap_or(deployment.zones.len());
        let stack = Stack::start(deployment, options.databases).await?;
        let fleet = ProxyFleet::start(&stack, proxies, options.checks).await?;
        let laboratory = Self { stack, fleet };
        laboratory.roll("first").await?;
        if proxies > 0 {
            laboratory.wait_until_ready().await?;
        }
        Ok(laboratory)
    }

    /// Rolls a bundle with this description. Returns its version and the time from the
    /// roll's confirmation until the bundle is in force on every proxy.
    ///
    /// # Errors
    /// Fails if the roll fails or the bundle is not in force in time.
    pub async fn roll(&self, description: &str) -> anyhow::Result<(BundleVersion, Duration)> {
        let addresses = self.stack.databases.addresses();
        let bundle = bundle_of(&self.stack.deployment, &addresses, description);
        let version = roll(&self.stack.platform.url(), bundle).await?;
        let rolled = Instant::now();
        let has_proxies = !self.fleet.shared().is_empty();
        while has_proxies && self.fleet.version_in_force() < Some(version) {
            if rolled.elapsed() > BUNDLE_TIMEOUT {
                bail!(
                    "bundle {} did not come into force on every proxy in time",
                    version.0
                );
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok((version, rolled.elapsed()))
    }

    async fn wait_until_ready(&self) -> anyhow::Result<()> {
        let begin = Instant::now();
        while !self.every_primary_is_known() {
            if begin.elapsed() > READY_TIMEOUT {
                bail!("the primary of at least one group is unknown to all proxies");
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    fn every_primary_is_known(&self) -> bool {
        let proxies = self.fleet.shared();
        let mut groups = self.stack.databases.iter();
        groups.all(|(group, _)| {
            proxies.iter().any(|shared| {
                let view = shared.view(group);
                view.is_some_and(|view| view.primary().is_some())
            })
        })
    }

    /// Injects `fault` and returns the name of the affected component.
    ///
    /// # Errors
    /// Fails if the fault names a component that does not exist or is not in the required
    /// state.
    pub async fn inject(&self, fault: &Fault) -> anyhow::Result<String> {
        let platform = self.stack.platform.faults();
        match fault {
            Fault::Kill(target) => self.on_target(target, |group, name| group.group.kill(name)),
            Fault::Restart(name) => self.on_database(name, |group, name| group.group.restart(name)),
            Fault::Pause(target) => self.on_target(target, |group, name| group.group.pause(name)),
            Fault::Resume(name) => self.on_database(name, |group, name| group.group.resume(name)),
            Fault::Isolate(target) => {
                self.on_target(target, |group, name| group.group.isolate(name, true))
            }
            Fault::Rejoin(name) => self.on_database(name, |group, name| group.group.heal(name)),
            Fault::Lag(name, lag) => {
                self.on_database(name, |group, name| group.group.set_replay_lag(name, *lag))
            }
            Fault::Switchover(_, name) => {
                self.on_database(name, |group, name| group.group.switchover(name))
            }
            Fault::CutZone(zone) => {
                self.stack.links.cut_zone(zone.as_str());
                Ok(zone.to_string())
            }
            Fault::HealZone(zone) => {
                self.stack.links.heal_zone(zone.as_str());
                Ok(zone.to_string())
            }
            Fault::StopProxy(index) => {
                self.fleet.stop_proxy(*index).await?;
                Ok(format!("proxy {index}"))
            }
            Fault::KillProxy(index) => {
                self.fleet.kill_proxy(*index).await?;
                Ok(format!("proxy {index}"))
            }
            Fault::StartProxy(index) => {
                self.fleet.start_proxy(*index).await?;
                Ok(format!("proxy {index}"))
            }
            Fault::PlatformDown => {
                platform.set_outage(Some(OutageMode::Hang));
                Ok("platform".to_owned())
            }
            Fault::PlatformSlow(delay) => {
                platform.set_delay(Some(*delay));
                Ok("platform".to_owned())
            }
            Fault::PlatformUp => {
                platform.clear();
                Ok("platform".to_owned())
            }
            Fault::Heal => Ok(self.heal()),
        }
    }

    /// Ends all cuts, outages, pauses and isolations, restarts databases and sets every
    /// replay lag to the deployment's replica lag. Proxies are not restarted.
    fn heal(&self) -> String {
        self.stack.links.heal_all();
        self.stack.platform.faults().clear();
        for (_, running) in self.stack.databases.iter() {
            for (name, _) in &running.databases {
                let name = name.as_str();
                running.group.resume(name);
                running.group.heal(name);
                running.group.restart(name);
                let lag = self.stack.deployment.replica_lag;
                running.group.set_replay_lag(name, lag);
            }
        }
        "everything".to_owned()
    }

    fn on_target(
        &self,
        target: &Target,
        inject: impl FnOnce(&RunningGroup, &str),
    ) -> anyhow::Result<String> {
        let name = match target {
            Target::Database(name) => name.clone(),
            Target::PrimaryOf(group) => {
                let running = self.stack.databases.group(group);
                let running = running.ok_or_else(|| anyhow!("group {group} does not exist"))?;
                let primary = running.primary();
                primary
                    .ok_or_else(|| anyhow!("group {group} has no primary"))?
                    .0
            }
        };
        self.on_database(&name, inject)
    }

    fn on_database(
        &self,
        name: &DatabaseName,
        inject: impl FnOnce(&RunningGroup, &str),
    ) -> anyhow::Result<String> {
        let running = self.stack.databases.group_of(name.as_str());
        let running = running.ok_or_else(|| anyhow!("database {name} does not exist"))?;
        inject(running, name.as_str());
        Ok(name.to_string())
    }
}
