//! Zones and regions, and the latencies, cuts and datagram faults between them.

use parking_lot::RwLock;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Pseudo-zone of the clients, which are outside all zones.
pub const CLIENTS: &str = "clients";

/// One-way latencies of the links.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Latencies {
    /// Within a zone.
    pub same_zone: Duration,
    /// Between zones of one region.
    pub between_zones: Duration,
    /// Between regions.
    pub between_regions: Duration,
    /// Between a zone and its clients.
    pub to_clients: Duration,
}

/// Selects the latency between two zones whose region names differ.
///
/// The deployments define three zones, each in its own region, with one latency
/// between zones and a greater one between regions. Applied literally, the
/// latency between zones would never be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegionSpacing {
    /// The zones of a deployment are near each other, so the latency between zones
    /// applies to all of them; region names only group them.
    UseZoneLatency,
    /// The latency between regions applies whenever the region names differ.
    UseRegionLatency,
}

#[derive(Debug, Default)]
struct Faults {
    cuts: BTreeMap<String, BTreeSet<String>>,
    datagram_loss: f64,
    datagram_reorder: f64,
}

#[derive(Debug)]
struct Inner {
    regions: BTreeMap<String, String>,
    latencies: Latencies,
    spacing: RegionSpacing,
    faults: RwLock<Faults>,
    changes: watch::Sender<u64>,
}

/// The links between the zones of a deployment. Clones share the same state.
#[derive(Debug, Clone)]
pub struct ZoneLinks(Arc<Inner>);

impl ZoneLinks {
    /// Creates the links between zones, each given as a pair of zone and region.
    pub fn new(zones: &[(&str, &str)], latencies: Latencies, spacing: RegionSpacing) -> Self {
        let regions = zones
            .iter()
            .map(|(zone, region)| ((*zone).to_owned(), (*region).to_owned()))
            .collect();
        Self(Arc::new(Inner {
            regions,
            latencies,
            spacing,
            faults: RwLock::default(),
            changes: watch::Sender::new(0),
        }))
    }

    /// Creates the links of the Costa Rica deployment: 1.5 ms between zones, 20 ms
    /// between regions, 3 ms to clients.
    pub fn costa_rica(spacing: RegionSpacing) -> Self {
        let zones = [
            ("sj-sala-a", "san-jose"),
            ("al-sala-b", "alajuela"),
            ("lb-sala-c", "liberia"),
        ];
        let latencies = Latencies {
            same_zone: Duration::ZERO,
            between_zones: Duration::from_micros(1500),
            between_regions: Duration::from_millis(20),
            to_clients: Duration::from_millis(3),
        };
        Self::new(&zones, latencies, spacing)
    }

    /// Creates the links of the Greece deployment: 0.5 ms between zones, 10 ms
    /// between regions, 3 ms to clients.
    pub fn greece(spacing: RegionSpacing) -> Self {
        let zones = [
            ("ath-hall", "attica"),
            ("thes-hall", "macedonia"),
            ("her-hall", "crete"),
        ];
        let latencies = Latencies {
            same_zone: Duration::ZERO,
            between_zones: Duration::from_micros(500),
            between_regions: Duration::from_millis(10),
            to_clients: Duration::from_millis(3),
        };
        Self::new(&zones, latencies, spacing)
    }

    /// Returns the names of the zones, in order.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.0.regions.keys().map(String::as_str)
    }

    /// Returns the region of a zone, or `None` for an unknown zone.
    pub fn region(&self, zone: &str) -> Option<&str> {
        self.0.regions.get(zone).map(String::as_str)
    }

    /// Returns the one-way latency between two zones, each of which may be
    /// [`CLIENTS`]. An unknown zone is treated as a zone of another region.
    pub fn delay(&self, from: &str, to: &str) -> Duration {
        let latencies = &self.0.latencies;
        if from == to {
            return latencies.same_zone;
        }
        if from == CLIENTS || to == CLIENTS {
            return latencies.to_clients;
        }
        match (self.region(from), self.region(to)) {
            (Some(first), Some(second)) if first == second => latencies.between_zones,
            (Some(_), Some(_)) if self.0.spacing == RegionSpacing::UseZoneLatency => {
                latencies.between_zones
            }
            _ => latencies.between_regions,
        }
    }

    /// Returns whether the direction from one zone to another is cut.
    pub fn is_cut(&self, from: &str, to: &str) -> bool {
        let faults = self.0.faults.read();
        let cuts = faults.cuts.get(from);
        cuts.is_some_and(|cuts| cuts.contains(to))
    }

    /// Cuts the link between two zones in both directions.
    pub fn cut(&self, first: &str, second: &str) {
        self.change(|faults| {
            faults.cut(first, second);
            faults.cut(second, first);
        });
    }

    /// Cuts one direction only: nothing is delivered from `from` to `to`.
    pub fn cut_one_way(&self, from: &str, to: &str) {
        self.change(|faults| faults.cut(from, to));
    }

    /// Cuts a zone from all other zones in both directions. Its clients can still
    /// reach it.
    pub fn cut_zone(&self, zone: &str) {
        let others: Vec<&str> = self.zones().filter(|other| *other != zone).collect();
        self.change(|faults| {
            for other in others {
                faults.cut(zone, other);
                faults.cut(other, zone);
            }
        });
    }

    /// Ends the cuts between two zones in both directions.
    pub fn heal(&self, first: &str, second: &str) {
        self.change(|faults| {
            faults.heal(first, second);
            faults.heal(second, first);
        });
    }

    /// Ends all cuts of a zone in both directions.
    pub fn heal_zone(&self, zone: &str) {
        self.change(|faults| {
            faults.cuts.remove(zone);
            faults.cuts.values_mut().for_each(|cuts| {
                cuts.remove(zone);
            });
        });
    }

    /// Ends all cuts.
    pub fn heal_all(&self) {
        self.change(|faults| faults.cuts.clear());
    }

    /// Returns the active cuts as pairs of source and destination.
    pub fn cuts(&self) -> Vec<(String, String)> {
        let faults = self.0.faults.read();
        let pairs = faults
            .cuts
            .iter()
            .flat_map(|(from, cuts)| cuts.iter().map(move |to| (from.clone(), to.clone())));
        pairs.collect()
    }

    /// Sets the fractions of datagrams that are lost and that are reordered behind
    /// later ones, each from 0 to 1. TCP streams are not affected.
    pub fn set_datagram_faults(&self, loss: f64, reorder: f64) {
        self.change(|faults| {
            faults.datagram_loss = loss.clamp(0.0, 1.0);
            faults.datagram_reorder = reorder.clamp(0.0, 1.0);
        });
    }

    /// Returns the fractions of datagrams that are lost and that are reordered.
    pub fn datagram_faults(&self) -> (f64, f64) {
        let faults = self.0.faults.read();
        (faults.datagram_loss, faults.datagram_reorder)
    }

    /// Subscribes to changes of the cuts and datagram faults.
    pub(super) fn subscribe(&self) -> watch::Receiver<u64> {
        self.0.changes.subscribe()
    }

    fn change(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.0.faults.write());
        self.0.changes.send_modify(|count| *count += 1);
    }
}

impl Faults {
    fn cut(&mut self, from: &str, to: &str) {
        if from != to {
            let cuts = self.cuts.entry(from.to_owned()).or_default();
            cuts.insert(to.to_owned());
        }
    }

    fn heal(&mut self, from: &str, to: &str) {
        if let Some(cuts) = self.cuts.get_mut(from) {
            cuts.remove(to);
        }
    }
}
