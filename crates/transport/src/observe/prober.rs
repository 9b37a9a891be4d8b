//! Probes the databases that this node is the home of, which means that it holds the fleet's
//! connections to them. Other databases are probed through their home nodes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use actix::ArbiterHandle;
use hookpoint_coordination::observer::{
    ObservedDatabase, ObserverAction, ObserverEvent, ProbePace, ProbeSchedule,
};
use hookpoint_state::{DatabaseName, GroupName, Timestamp};
use tokio::sync::mpsc;

use super::status::{StatusError, StatusSource};
use crate::backend::LocalPools;
use crate::shared::Shared;

/// Longest duration of a probe. The query itself times out earlier, unless it had to wait
/// for one already running.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which the list of databases to observe is rebuilt.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Capacity of the channel on which finished probes are reported.
const RESULT_BUFFER: usize = 64;

/// Starts the observer of `pools` on `arbiter`; databases of other homes are queried
/// through `fleet`. The observer ends with the pools. Only the first call has an effect.
pub fn start_observer(
    shared: Arc<Shared>,
    pools: Arc<LocalPools>,
    fleet: Arc<dyn StatusSource>,
    seed: u64,
    arbiter: &ArbiterHandle,
) {
    let Some(broken) = pools.take_broken_connections() else {
        return;
    };
    let (results, finished) = mpsc::channel(RESULT_BUFFER);
    let prober = Prober {
        shared,
        pools,
        fleet,
        schedule: ProbeSchedule::new(ProbePace::default(), seed),
        results,
    };
    arbiter.spawn(prober.run(broken, finished));
}

struct Prober {
    shared: Arc<Shared>,
    pools: Arc<LocalPools>,
    fleet: Arc<dyn StatusSource>,
    schedule: ProbeSchedule,
    results: mpsc::Sender<DatabaseName>,
}

impl Prober {
    async fn run(
        mut self,
        mut broken: mpsc::Receiver<DatabaseName>,
        mut finished: mpsc::Receiver<DatabaseName>,
    ) {
        let mut bundles = self.shared.bundle_changes();
        let mut views = self.shared.view_changes();
        let mut refresh = tokio::time::interval(REFRESH_INTERVAL);
        let mut due = None;
        loop {
            let event = tokio::select! {
                Some(database) = broken.recv() => ObserverEvent::ConnectionLost(database),
                Some(database) = finished.recv() => ObserverEvent::Probed(database),
                changed = bundles.changed() => match changed {
                    Ok(()) => self.configuration(),
                    Err(_) => return,
                },
                changed = views.changed() => match changed {
                    Ok(()) => ObserverEvent::Timer,
                    Err(_) => return,
                },
                _ = refresh.tick() => self.configuration(),
                () = wait_until(&self.shared, due) => ObserverEvent::Timer,
            };
            due = self.handle(event);
        }
    }

    /// Returns the databases to observe, without draining ones, of each group that has a
    /// database homed on this node or considered unreachable by it.
    fn configuration(&self) -> ObserverEvent {
        let Some(bundle) = self.shared.bundle() else {
            return ObserverEvent::Configured(Vec::new());
        };
        let mut groups: BTreeMap<&GroupName, Vec<ObservedDatabase>> = BTreeMap::new();
        for (name, entry) in &bundle.databases {
            if bundle.drain.contains(name) {
                continue;
            }
            let observed = ObservedDatabase {
                group: entry.group.clone(),
                database: name.clone(),
                home: self.pools.is_home(name),
            };
            groups.entry(&entry.group).or_default().push(observed);
        }
        groups.retain(|group, databases| {
            databases.iter().any(|database| database.home) || self.has_unreachable(group)
        });
        ObserverEvent::Configured(groups.into_values().flatten().collect())
    }

    fn has_unreachable(&self, group: &GroupName) -> bool {
        self.shared.with_view(group, |view| {
            view.databases.iter().any(|database| !database.reachable)
        })
    }

    /// Passes `event` to the probe schedule and starts the probes that are due. Returns when
    /// the schedule next needs [`ObserverEvent::Timer`]; `None` if it needs none.
    fn handle(&mut self, event: ObserverEvent) -> Option<Timestamp> {
        let mut actions = Vec::new();
        let shared = &self.shared;
        let now = shared.now();
        let view = |group: &GroupName| shared.view(group);
        let due = self.schedule.handle(now, event, view, &mut actions);
        for action in actions {
            self.probe(action);
        }
        due
    }

    fn probe(&self, action: ObserverAction) {
        let ObserverAction::Probe {
            group,
            database,
            home,
        } = action;
        let shared = self.shared.clone();
        let results = self.results.clone();
        if home {
            let probe = probe_home_database(shared, self.pools.clone(), group, database.clone());
            actix_rt::spawn(report(probe, database, results));
        } else {
            let probe = probe_through_fleet(shared, self.fleet.clone(), group, database.clone());
            actix_rt::spawn(report(probe, database, results));
        }
    }
}

/// Sleeps until `due`; never completes if `due` is `None`.
async fn wait_until(shared: &Shared, due: Option<Timestamp>) {
    match due {
        Some(due) => tokio::time::sleep(due.since(shared.now())).await,
        None => std::future::pending().await,
    }
}

async fn report(
    probe: impl Future<Output = ()>,
    database: DatabaseName,
    results: mpsc::Sender<DatabaseName>,
) {
    probe.await;
    let _stopped = results.send(database).await;
}

async fn probe_home_database(
    shared: Arc<Shared>,
    pools: Arc<LocalPools>,
    group: GroupName,
    database: DatabaseName,
) {
    match pools.query_status(&group, &database, PROBE_TIMEOUT).await {
        Ok(status) => shared.apply_status(&group, &database, &status),
        Err(StatusError::Timeout) => {
            log::warn!("observer: database {database} does not answer.");
            shared.mark_unreachable(&group, &database);
            pools.reroute(&database);
        }
        Err(error) => log::debug!("observer: the status query to {database} failed: {error}."),
    }
}

/// Queries the status of a database through its home node. A failure does not mark the database
/// unreachable, because the path to its home may be interrupted instead.
async fn probe_through_fleet(
    shared: Arc<Shared>,
    fleet: Arc<dyn StatusSource>,
    group: GroupName,
    database: DatabaseName,
) {
    match fleet.query_status(&group, &database, PROBE_TIMEOUT).await {
        Ok(status) => shared.apply_status(&group, &database, &status),
        Err(error) => log::debug!("observer: the status query to {database} failed: {error}."),
    }
}
