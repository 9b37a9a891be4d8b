//! Zones, regions, and what lies between them: latencies, cuts and loss.

use parking_lot::RwLock;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Name that stands for the place of the clients, outside all zones.
pub const CLIENTS: &str = "clients";

/// One-way latencies.
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

/// Which latency lies between two zones whose regions differ in name.
///
/// The deployments name three zones, each in a region of its own, and give one
/// latency between zones and a greater one between regions. Taken by the
/// letter, the latency between zones would then apply nowhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegionSpacing {
    /// The zones of a deployment are near each other: the latency between
    /// zones applies to all of them, and region names only group them.
    Near,
    /// The latency between regions applies wherever the region names differ.
    Apart,
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

/// The links between the zones of a deployment. Clones share their state.
#[derive(Debug, Clone)]
pub struct ZoneLinks(Arc<Inner>);

impl ZoneLinks {
    /// Links between zones, each given with its region.
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

    /// The zones of Costa Rica: 1.5 ms between zones, 20 ms between regions,
    /// 3 ms to clients.
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

    /// The zones of Greece: 0.5 ms between zones, 10 ms between regions, 3 ms
    /// to clients.
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

    /// Names of the zones, in order.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.0.regions.keys().map(String::as_str)
    }

    /// The region of a zone.
    pub fn region(&self, zone: &str) -> Option<&str> {
        self.0.regions.get(zone).map(String::as_str)
    }

    /// The one-way latency from one place to another; each is a zone or
    /// [`CLIENTS`]. A zone of unknown region counts as another region.
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
            (Some(_), Some(_)) if self.0.spacing == RegionSpacing::Near => latencies.between_zones,
            _ => latencies.between_regions,
        }
    }

    /// Whether nothing passes from one place to another.
    pub fn is_cut(&self, from: &str, to: &str) -> bool {
        let faults = self.0.faults.read();
        let cuts = faults.cuts.get(from);
        cuts.is_some_and(|cuts| cuts.contains(to))
    }

    /// Cuts two places from each other, both ways.
    pub fn cut(&self, first: &str, second: &str) {
        self.change(|faults| {
            faults.cut(first, second);
            faults.cut(second, first);
        });
    }

    /// Cuts one way only: nothing passes from the first place to the second.
    pub fn cut_one_way(&self, from: &str, to: &str) {
        self.change(|faults| faults.cut(from, to));
    }

    /// Cuts a zone from all other zones, both ways. Its clients still reach it.
    pub fn cut_zone(&self, zone: &str) {
        let others: Vec<&str> = self.zones().filter(|other| *other != zone).collect();
        self.change(|faults| {
            for other in others {
                faults.cut(zone, other);
                faults.cut(other, zone);
            }
        });
    }

    /// Ends the cuts between two places, both ways.
    pub fn heal(&self, first: &str, second: &str) {
        self.change(|faults| {
            faults.heal(first, second);
            faults.heal(second, first);
        });
    }

    /// Ends all cuts of a zone, both ways.
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

    /// The cuts in force, as pairs of from and to.
    pub fn cuts(&self) -> Vec<(String, String)> {
        let faults = self.0.faults.read();
        let pairs = faults
            .cuts
            .iter()
            .flat_map(|(from, cuts)| cuts.iter().map(move |to| (from.clone(), to.clone())));
        pairs.collect()
    }

    /// Sets the share of datagrams that are lost and that are overtaken by
    /// later ones, each from 0 to 1. Streams lose nothing.
    pub fn set_datagram_faults(&self, loss: f64, reorder: f64) {
        self.change(|faults| {
            faults.datagram_loss = loss.clamp(0.0, 1.0);
            faults.datagram_reorder = reorder.clamp(0.0, 1.0);
        });
    }

    /// The shares of datagrams lost and overtaken.
    pub fn datagram_faults(&self) -> (f64, f64) {
        let faults = self.0.faults.read();
        (faults.datagram_loss, faults.datagram_reorder)
    }

    /// Tells of every change of cuts.
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
