//! A whole deployment: stand-ins, proxies and the faults that strike them.

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

/// Longest wait for a bundle to be in force.
const BUNDLE_WAIT: Duration = Duration::from_secs(30);
/// Longest wait for a proxy to know each group's primary.
const READY_WAIT: Duration = Duration::from_secs(30);
/// Pause between two looks.
const POLL_PAUSE: Duration = Duration::from_millis(2);

/// What may differ between runs of one deployment.
#[derive(Clone, Copy, Debug, Default)]
pub struct LaboratoryOptions {
    /// Of the databases.
    pub databases: DatabaseOptions,
    /// Number of proxies; one a zone where none is given.
    pub proxies: Option<usize>,
    /// Safety checks of the proxies, one of which may be off as a negative control.
    pub checks: SafetyChecks,
}

/// A running deployment.
pub struct Laboratory {
    /// Its stand-ins.
    pub stack: Stack,
    /// Its proxies.
    pub fleet: ProxyFleet,
}

impl Laboratory {
    /// Starts stand-ins and proxies, rolls a first bundle and waits until it is in
    /// force and every group's primary is known to a proxy.
    ///
    /// # Errors
    /// When a part does not start in time.
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
    /// operator's confirmation to its being in force on the last proxy.
    ///
    /// # Errors
    /// When it is not in force in time.
    pub async fn roll(&self, description: &str) -> anyhow::Result<(BundleVersion, Duration)> {
        let addresses = self.stack.databases.addresses();
        let bundle = bundle_of(&self.stack.deployment, &addresses, description);
        let version = roll(&self.stack.platform.url(), bundle).await?;
        let rolled = Instant::now();
        let any = !self.fleet.shared().is_empty();
        while any && self.fleet.version_in_force() < Some(version) {
            if rolled.elapsed() > BUNDLE_WAIT {
                bail!("bundle {} is not in force everywhere", version.0);
            }
            tokio::time::sleep(POLL_PAUSE).await;
        }
        Ok((version, rolled.elapsed()))
    }

    async fn wait_until_ready(&self) -> anyhow::Result<()> {
        let begin = Instant::now();
        while !self.every_primary_is_known() {
            if begin.elapsed() > READY_WAIT {
                bail!("no proxy knows some group's primary");
            }
            tokio::time::sleep(POLL_PAUSE).await;
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

    /// Lets `fault` strike, and says in a few words what happened.
    ///
    /// # Errors
    /// When it names something that is not there.
    pub async fn strike(&self, fault: &Fault) -> anyhow::Result<String> {
        let platform = self.stack.platform.faults();
        match fault {
            Fault::Kill(target) => self.on(target, |group, name| group.group.kill(name)),
            Fault::Restart(name) => self.at(name, |group, name| group.group.restart(name)),
            Fault::Pause(target) => self.on(target, |group, name| group.group.pause(name)),
            Fault::Resume(name) => self.at(name, |group, name| group.group.resume(name)),
            Fault::Isolate(target) => {
                self.on(target, |group, name| group.group.isolate(name, true))
            }
            Fault::Rejoin(name) => self.at(name, |group, name| group.group.heal(name)),
            Fault::Lag(name, lag) => {
                self.at(name, |group, name| group.group.set_replay_lag(name, *lag))
            }
            Fault::Switchover(_, name) => self.at(name, |group, name| group.group.switchover(name)),
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

    /// The groups' databases as they are without faults.
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

    fn on(
        &self,
        target: &Target,
        strike: impl FnOnce(&RunningGroup, &str),
    ) -> anyhow::Result<String> {
        let name = match target {
            Target::Database(name) => name.clone(),
            Target::PrimaryOf(group) => {
                let running = self.stack.databases.group(group);
                let running = running.ok_or_else(|| anyhow!("there is no group {group}"))?;
                let primary = running.primary();
                primary
                    .ok_or_else(|| anyhow!("group {group} has no primary"))?
                    .0
            }
        };
        self.at(&name, strike)
    }

    fn at(
        &self,
        name: &DatabaseName,
        strike: impl FnOnce(&RunningGroup, &str),
    ) -> anyhow::Result<String> {
        let running = self.stack.databases.group_of(name.as_str());
        let running = running.ok_or_else(|| anyhow!("there is no database {name}"))?;
        strike(running, name.as_str());
        Ok(name.to_string())
    }
}
