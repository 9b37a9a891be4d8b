//! The metrics of one proxy, in a registry per proxy.

use std::sync::Arc;

use hookpoint_transport::admin::SharedCollector;
use hookpoint_transport::backend::LocalPools;
use hookpoint_transport::caller::CallerHandle;
use hookpoint_transport::peer::FleetHandle;
use hookpoint_transport::shared::Shared;
use prometheus::core::{Collector, Desc};
use prometheus::proto::MetricFamily;
use prometheus::{IntGauge, IntGaugeVec, Opts, Registry};

/// Creates a registry whose collectors read the proxy's components at every scrape.
pub(super) fn registry(
    shared: &Arc<Shared>,
    callers: &CallerHandle,
    pools: &Arc<LocalPools>,
    fleet: &FleetHandle,
) -> prometheus::Result<Registry> {
    let registry = Registry::new();
    registry.register(Box::new(SharedCollector::new(Arc::clone(shared))?))?;
    registry.register(Box::new(ComponentCollector::new(callers, pools, fleet)?))?;
    Ok(registry)
}

struct ComponentCollector {
    callers: CallerHandle,
    pools: Arc<LocalPools>,
    fleet: FleetHandle,
    sessions: IntGauge,
    units: IntGaugeVec,
    connections: IntGaugeVec,
    waiting: IntGaugeVec,
    members: IntGaugeVec,
    fleet_counters: IntGaugeVec,
}

impl ComponentCollector {
    fn new(
        callers: &CallerHandle,
        pools: &Arc<LocalPools>,
        fleet: &FleetHandle,
    ) -> prometheus::Result<Self> {
        let vector = |name: &str, help: &str, labels: &[&str]| {
            IntGaugeVec::new(Opts::new(name, help), labels)
        };
        Ok(Self {
            callers: callers.clone(),
            pools: Arc::clone(pools),
            fleet: fleet.clone(),
            sessions: IntGauge::new("hookpoint_sessions", "Sessions of callers.")?,
            units: vector(
                "hookpoint_units",
                "What became of the callers' units since the start.",
                &["outcome"],
            )?,
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
            members: vector(
                "hookpoint_fleet_members",
                "Other nodes by their state, as this node sees them.",
                &["state"],
            )?,
            fleet_counters: vector(
                "hookpoint_fleet_traffic",
                "What the node has sent and received among its peers since its start.",
                &["kind"],
            )?,
        })
    }

    fn vectors(&self) -> [&IntGaugeVec; 5] {
        [
            &self.units,
            &self.connections,
            &self.waiting,
            &self.members,
            &self.fleet_counters,
        ]
    }

    fn refresh(&self) {
        self.sessions.set(gauge_value(self.callers.sessions()));
        for vector in self.vectors() {
            vector.reset();
        }
        self.refresh_units();
        self.refresh_pools();
        self.refresh_fleet();
    }

    fn refresh_units(&self) {
        let counts = self.callers.unit_counts();
        let values = [
            ("primary", counts.primary),
            ("replica", counts.replica),
            ("not_run", counts.not_run),
            ("unknown", counts.unknown),
        ];
        for (outcome, value) in values {
            let value = i64::try_from(value).unwrap_or(i64::MAX);
            self.units.with_label_values(&[outcome]).set(value);
        }
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
                    .set(gauge_value(count));
            }
            let waiting = gauge_value(counts.waiting);
            self.waiting.with_label_values(&[name]).set(waiting);
        }
    }

    fn refresh_fleet(&self) {
        let status = self.fleet.status();
        for member in &status.members {
            let state = format!("{:?}", member.state).to_lowercase();
            self.members.with_label_values(&[&state]).inc();
        }
        let counters = status.counters;
        let values = [
            ("datagrams_sent", counters.datagrams_sent),
            ("datagram_bytes_sent", counters.datagram_bytes_sent),
            ("datagrams_received", counters.datagrams_received),
            ("datagrams_dropped", counters.datagrams_dropped),
            ("links_refused", counters.links_refused),
            ("leases_forwarded", counters.leases_forwarded),
            ("leases_served", counters.leases_served),
        ];
        for (kind, value) in values {
            let value = i64::try_from(value).unwrap_or(i64::MAX);
            self.fleet_counters.with_label_values(&[kind]).set(value);
        }
    }
}

fn gauge_value(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

impl Collector for ComponentCollector {
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
