//! Probes the databases this node is home for.

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

/// Longest time of a probe. The query itself gives up earlier, unless another one was
/// under way when it was asked for.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time between two looks at what this node is home for.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Finished probes that wait to be noted.
const RESULT_BUFFER: usize = 64;

/// Starts the observer of `pools` on `arbiter`; databases of other homes are asked
/// through `fleet`. It ends with the pools. Only the first call does anything.
pub fn start_observer(
    shared: Arc<Shared>,
    pools: Arc<LocalPools>,
    fleet: Arc<dyn StatusSource>,
    seed: u64,
    arbiter: &ArbiterHandle,
) {
    let Some(losses) = pools.take_broken_connections() else {
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
    arbiter.spawn(prober.run(losses, finished));
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
        mut losses: mpsc::Receiver<DatabaseName>,
        mut finished: mpsc::Receiver<DatabaseName>,
    ) {
        let mut bundles = self.shared.bundle_changes();
        let mut views = self.shared.view_changes();
        let mut refresh = tokio::time::interval(REFRESH_INTERVAL);
        let mut due = None;
        loop {
            let event = tokio::select! {
                Some(database) = losses.recv() => ObserverEvent::ConnectionLost(database),
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

    /// The databases, draining ones aside, of each group that this node is home for a
    /// part of or takes a part of for unreachable.
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
            databases.iter().any(|database| database.home) || self.doubts(group)
        });
        ObserverEvent::Configured(groups.into_values().flatten().collect())
    }

    fn doubts(&self, group: &GroupName) -> bool {
        self.shared.with_view(group, |view| {
            view.databases.iter().any(|database| !database.reachable)
        })
    }

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
            let probe = probe_own(shared, self.pools.clone(), group, database.clone());
            actix_rt::spawn(report(probe, database, results));
        } else {
            let probe = probe_other(shared, self.fleet.clone(), group, database.clone());
            actix_rt::spawn(report(probe, database, results));
        }
    }
}

/// Sleeps until `due`, or for ever without one.
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

async fn probe_own(
    shared: Arc<Shared>,
    pools: Arc<LocalPools>,
    group: GroupName,
    database: DatabaseName,
) {
    match pools.query_status(&group, &database, PROBE_TIMEOUT).await {
        Ok(status) => shared.observe(&group, &database, &status),
        Err(StatusError::Timeout) => {
            log::warn!("observer: {database} does not answer.");
            shared.unreachable(&group, &database);
            pools.reroute(&database);
        }
        Err(error) => log::debug!("observer: no status of {database}: {error}."),
    }
}

/// No answer says nothing of the database: the way to its home may be cut.
async fn probe_other(
    shared: Arc<Shared>,
    fleet: Arc<dyn StatusSource>,
    group: GroupName,
    database: DatabaseName,
) {
    match fleet.query_status(&group, &database, PROBE_TIMEOUT).await {
        Ok(status) => shared.observe(&group, &database, &status),
        Err(error) => log::debug!("observer: no status of {database}: {error}."),
    }
}
