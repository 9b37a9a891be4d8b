//! Metrics that are read from the shared tables on each scrape.

use std::sync::Arc;

use prometheus::core::{Collector, Desc};
use prometheus::proto::MetricFamily;
use prometheus::{IntCounterVec, IntGauge, IntGaugeVec, Opts};

use crate::shared::Shared;

/// Collector of bundle version, terms, positions and reachability of the databases, and
/// decision counts.
pub struct SharedCollector {
    shared: Arc<Shared>,
    bundle: IntGauge,
    term: IntGaugeVec,
    reachable: IntGaugeVec,
    draining: IntGaugeVec,
    position: IntGaugeVec,
    decisions: IntCounterVec,
}

impl SharedCollector {
    /// Creates a collector over `shared`.
    ///
    /// # Errors
    /// When the metrics library rejects a name.
    pub fn new(shared: Arc<Shared>) -> prometheus::Result<Self> {
        let by_database = |name: &str, help: &str| {
            IntGaugeVec::new(Opts::new(name, help), &["group", "database"])
        };
        Ok(Self {
            shared,
            bundle: IntGauge::new(
                "hookpoint_bundle_version",
                "Version of the bundle in force; 0 for none.",
            )?,
            term: IntGaugeVec::new(
                Opts::new("hookpoint_group_term", "Highest known term of a group."),
                &["group"],
            )?,
            reachable: by_database(
                "hookpoint_database_reachable",
                "Whether a database answers this node.",
            )?,
            draining: by_database(
                "hookpoint_database_draining",
                "Whether a database gets no new work.",
            )?,
            decisions: IntCounterVec::new(
                Opts::new(
                    "hookpoint_decisions_total",
                    "Decisions made since the start, by kind.",
                ),
                &["kind", "detail"],
            )?,
            position: by_database(
                "hookpoint_database_position_bytes",
                "Last log position seen of a database.",
            )?,
        })
    }

    fn refresh(&self) {
        let bundle = self.shared.bundle();
        let version = bundle.as_ref().map_or(0, |bundle| bundle.version.0);
        self.bundle.set(to_gauge(version));
        for gauges in [&self.term, &self.reachable, &self.draining, &self.position] {
            gauges.reset();
        }
        self.decisions.reset();
        for (kind, detail, count) in self.shared.decisions().read() {
            let labels = [kind, detail];
            self.decisions.with_label_values(&labels).inc_by(count);
        }
        let groups = bundle.iter().flat_map(|bundle| bundle.groups.keys());
        for group in groups {
            let Some(view) = self.shared.view(group) else {
                continue;
            };
            let term = i64::from(view.highest_term.0);
            self.term.with_label_values(&[group.as_str()]).set(term);
            for database in &view.databases {
                let labels = [group.as_str(), database.name.as_str()];
                let reachable = i64::from(database.reachable);
                self.reachable.with_label_values(&labels).set(reachable);
                let draining = i64::from(database.draining);
                self.draining.with_label_values(&labels).set(draining);
                let position = to_gauge(database.position.lsn.0);
                self.position.with_label_values(&labels).set(position);
            }
        }
    }
}

fn to_gauge(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

impl Collector for SharedCollector {
    fn desc(&self) -> Vec<&Desc> {
        let mut descriptions = self.bundle.desc();
        for gauges in [&self.term, &self.reachable, &self.draining, &self.position] {
            descriptions.extend(gauges.desc());
        }
        descriptions.extend(self.decisions.desc());
        descriptions
    }

    fn collect(&self) -> Vec<MetricFamily> {
        self.refresh();
        let mut families = self.bundle.collect();
        for gauges in [&self.term, &self.reachable, &self.draining, &self.position] {
            families.extend(gauges.collect());
        }
        families.extend(self.decisions.collect());
        families
    }
}
