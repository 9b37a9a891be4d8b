//! The metrics of one proxy, in a registry of its own.

use std::sync::Arc;

use hookpoint_transport::admin::SharedCollector;
use hookpoint_transport::backend::LocalPools;
use hookpoint_transport::caller::CallerHandle;
use hookpoint_transport::shared::Shared;
use prometheus::core::{Collector, Desc};
use prometheus::proto::MetricFamily;
use prometheus::{IntGauge, IntGaugeVec, Opts, Registry};

/// A registry that reads from the proxy's parts when it is asked.
pub(super) fn registry(
    shared: &Arc<Shared>,
    callers: &CallerHandle,
    pools: &Arc<LocalPools>,
) -> prometheus::Result<Registry> {
    let registry = Registry::new();
    registry.register(Box::new(SharedCollector::new(Arc::clone(shared))?))?;
    registry.register(Box::new(PartsCollector::new(callers, pools)?))?;
    Ok(registry)
}

struct PartsCollector {
    callers: CallerHandle,
    pools: Arc<LocalPools>,
    sessions: IntGauge,
    connections: IntGaugeVec,
    waiting: IntGaugeVec,
}

impl PartsCollector {
    fn new(callers: &CallerHandle, pools: &Arc<LocalPools>) -> prometheus::Result<Self> {
        let vector = |name: &str, help: &str, labels: &[&str]| {
            IntGaugeVec::new(Opts::new(name, help), labels)
        };
        Ok(Self {
            callers: callers.clone(),
            pools: Arc::clone(pools),
            sessions: IntGauge::new("hookpoint_sessions", "Sessions of callers.")?,
            connections: vector(
                "hookpoint_pool_connections",
                "Connections to a database that this node holds, by state.",
                &["database", "state"],
            )?,
            waiting: vector(
                "hookpoint_pool_waiting",
                "Requests that wait for a connection on this node.",
                &["database"],
            )?,
        })
    }

    fn vectors(&self) -> [&IntGaugeVec; 2] {
        [&self.connections, &self.waiting]
    }

    fn refresh(&self) {
        self.sessions.set(gauge(self.callers.sessions()));
        for vector in self.vectors() {
            vector.reset();
        }
        self.refresh_pools();
    }

    fn refresh_pools(&self) {
        for (database, counts) in self.pools.counts() {
            let name = database.as_str();
            let states = [
                ("opening", counts.opening),
                ("idle", counts.idle),
                ("held", counts.held),
                ("closing", counts.closing),
            ];
            for (state, count) in states {
                let labels = [name, state];
                self.connections
                    .with_label_values(&labels)
                    .set(gauge(count));
            }
            let waiting = gauge(counts.waiting);
            self.waiting.with_label_values(&[name]).set(waiting);
        }
    }
}

fn gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

impl Collector for PartsCollector {
    fn desc(&self) -> Vec<&Desc> {
        let vectors = self.vectors().into_iter().flat_map(Collector::desc);
        self.sessions.desc().into_iter().chain(vectors).collect()
    }

    fn collect(&self) -> Vec<MetricFamily> {
        self.refresh();
        let vectors = self.vectors().into_iter().flat_map(Collector::collect);
        self.sessions.collect().into_iter().chain(vectors).collect()
    }
}
