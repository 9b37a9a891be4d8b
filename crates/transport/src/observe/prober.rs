//! Probes the databases this node is home for.

use std::sync::Arc;
use std::time::Duration;

use actix::ArbiterHandle;
use hookpoint_coordination::observer::{ObserverAction, ObserverEvent, ProbePace, ProbeSchedule};
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

/// Starts the observer of `pools` on `arbiter`. It ends with the pools. Only the first
/// call does anything.
pub fn start_observer(
    shared: Arc<Shared>,
    pools: Arc<LocalPools>,
    seed: u64,
    arbiter: &ArbiterHandle,
) {
    let Some(losses) = pools.take_losses() else {
        return;
    };
    let (results, finished) = mpsc::channel(RESULT_BUFFER);
    let prober = Prober {
        shared,
        pools,
        schedule: ProbeSchedule::new(ProbePace::default(), seed),
        results,
    };
    arbiter.spawn(prober.run(losses, finished));
}

struct Prober {
    shared: Arc<Shared>,
    pools: Arc<LocalPools>,
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

    /// All databases of the bundle that this node is home for and that are not draining.
    fn configuration(&self) -> ObserverEvent {
        let Some(bundle) = self.shared.bundle() else {
            return ObserverEvent::Configured(Vec::new());
        };
        let observed = bundle.databases.iter().filter(|(name, _)| {
            let draining = bundle.drain.contains(*name);
            !draining && self.pools.is_home(name)
        });
        let databases = observed.map(|(name, entry)| (entry.group.clone(), name.clone()));
        ObserverEvent::Configured(databases.collect())
    }

    fn handle(&mut self, event: ObserverEvent) -> Option<Timestamp> {
        let mut actions = Vec::new();
        let shared = &self.shared;
        let now = shared.now();
        let view = |group: &GroupName| shared.view(group);
        let due = self.schedule.handle(now, event, view, &mut actions);
        for ObserverAction::Probe { group, database } in actions {
            let probe = probe(
                self.shared.clone(),
                self.pools.clone(),
                group,
                database,
                self.results.clone(),
            );
            actix_rt::spawn(probe);
        }
        due
    }
}

/// Sleeps until `due`, or for ever without one.
async fn wait_until(shared: &Shared, due: Option<Timestamp>) {
    match due {
        Some(due) => tokio::time::sleep(due.since(shared.now())).await,
        None => std::future::pending().await,
    }
}

async fn probe(
    shared: Arc<Shared>,
    pools: Arc<LocalPools>,
    group: GroupName,
    database: DatabaseName,
    results: mpsc::Sender<DatabaseName>,
) {
    let answer = pools.query_status(&group, &database, PROBE_TIMEOUT).await;
    match answer {
        Ok(status) => shared.observe(&group, &database, &status),
        Err(StatusError::Timeout) => {
            log::warn!("observer: {database} does not answer.");
            shared.unreachable(&group, &database);
            pools.reroute(&database);
        }
        Err(error) => log::debug!("observer: no status of {database}: {error}."),
    }
    let _stopped = results.send(database).await;
}
