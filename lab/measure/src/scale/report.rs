//! What a fleet of hollow nodes was seen to need.

use serde::Serialize;

use crate::fit::{Line, Spread};

/// Sums over all nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Traffic {
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Datagrams received and accepted.
    pub datagrams_received: u64,
    /// Datagrams received and dropped.
    pub datagrams_dropped: u64,
    /// Bytes of the datagrams sent, with IP and UDP headers.
    pub datagram_bytes_sent: u64,
    /// Records sent over links.
    pub link_records_sent: u64,
    /// Bytes of them, with IP and TCP headers.
    pub link_bytes_sent: u64,
    /// Ends of links that are open.
    pub links: u64,
}

/// What was measured at one size; per node where not said otherwise.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ScalePoint {
    /// Nodes.
    pub nodes: usize,
    /// Databases in the bundle.
    pub databases: usize,
    /// Groups that each node uses.
    pub groups_per_node: usize,
    /// Load average of the machine at the end.
    pub load_average: f64,
    /// Seconds until every node knew all others.
    pub joined_s: f64,
    /// Processor time in the quiet time, as a share of one core in percent.
    pub processor_percent: f64,
    /// Resident memory of a node with the bundle, in megabytes.
    pub resident_mb: f64,
    /// Memory of that before the bundle, in megabytes.
    pub resident_without_bundle_mb: f64,
    /// Bytes sent a second, with headers.
    pub bytes_sent_a_second: f64,
    /// Those of them sent over links.
    pub link_bytes_sent_a_second: f64,
    /// Records sent over links a second.
    pub link_records_sent_a_second: f64,
    /// Requests to the platform a second, of the fleet.
    pub platform_requests_a_second: f64,
    /// Requests to the platform for one change of the bundle, of the fleet and the
    /// operator.
    pub platform_requests_a_bundle: f64,
    /// Datagrams sent a second.
    pub datagrams_sent_a_second: f64,
    /// Datagrams received a second.
    pub datagrams_received_a_second: f64,
    /// Members taken for dead in the quiet time though they were alive, in the fleet.
    pub false_deaths: usize,
    /// Links open on a node.
    pub links: f64,
    /// Milliseconds until nodes had taken a killed node for dead or suspect.
    pub death_seen_ms: Option<Spread>,
    /// Milliseconds until nodes using a group learned of its new term.
    pub term_seen_ms: Option<Spread>,
    /// The same times, one for each node that learned.
    pub term_times_ms: Vec<f64>,
    /// Milliseconds until a new bundle version was in force on the nodes.
    pub bundle_seen_ms: Option<Spread>,
    /// The same times, one for each node.
    pub bundle_times_ms: Vec<f64>,
    /// Databases that a node is home of: fewest, median and most.
    pub homes: Option<Spread>,
}

/// What was measured at several sizes.
#[derive(Clone, Debug, Serialize)]
pub struct ScaleReport {
    /// Sizes in the order they ran.
    pub points: Vec<ScalePoint>,
    /// Line through the processor percent over nodes.
    pub processor: Option<Line>,
    /// Line through the memory without bundle, in megabytes, over nodes.
    pub memory: Option<Line>,
    /// Line through the bytes sent a second over nodes.
    pub bytes: Option<Line>,
}

impl ScaleReport {
    /// The report of these points.
    pub fn of(points: Vec<ScalePoint>) -> Self {
        let line = |of: fn(&ScalePoint) -> f64| {
            let pairs: Vec<(f64, f64)> = points
                .iter()
                .map(|point| (point.nodes as f64, of(point)))
                .collect();
            Line::through(&pairs)
        };
        Self {
            processor: line(|point| point.processor_percent),
            memory: line(|point| point.resident_without_bundle_mb),
            bytes: line(|point| point.bytes_sent_a_second),
            points,
        }
    }

    /// The report as a table for a terminal.
    pub fn table(&self) -> String {
        let mut lines = vec![format!(
            "{:>6}{:>8}{:>8}{:>9}{:>9}{:>9}{:>9}{:>8}{:>8}{:>8}{:>7}{:>7}{:>10}{:>10}{:>14}{:>14}{:>14}{:>6}",
            "nodes",
            "joined",
            "cpu %",
            "MB bare",
            "MB",
            "B/s out",
            "of links",
            "msg/s",
            "in/s",
            "links",
            "homes",
            "false",
            "platf/s",
            "platf/roll",
            "bundle p50/max",
            "death p50/max",
            "term p50/max",
            "load"
        )];
        lines.extend(self.points.iter().map(row));
        for (name, line) in [
            ("cpu %", &self.processor),
            ("MB bare", &self.memory),
            ("B/s out", &self.bytes),
        ] {
            if let Some(line) = line {
                lines.push(format!(
                    "{name}: {:.4} + {:.6} a node, R2 {:.3}; at 1500 nodes {:.3}",
                    line.intercept,
                    line.slope,
                    line.r_squared,
                    line.at(1_500.0)
                ));
            }
        }
        lines.join("\n")
    }
}

fn row(point: &ScalePoint) -> String {
    let spread = |spread: &Option<Spread>| match spread {
        Some(spread) => format!("{:.0}/{:.0}", spread.median, spread.high),
        None => "-".to_owned(),
    };
    format!(
        "{:>6}{:>8.1}{:>8.3}{:>9.2}{:>9.2}{:>9.0}{:>9.0}{:>8.2}{:>8.2}{:>8.1}{:>7.1}{:>7}{:>10.2}{:>10.0}{:>14}{:>14}{:>14}{:>6.1}",
        point.nodes,
        point.joined_s,
        point.processor_percent,
        point.resident_without_bundle_mb,
        point.resident_mb,
        point.bytes_sent_a_second,
        point.link_bytes_sent_a_second,
        point.datagrams_sent_a_second,
        point.datagrams_received_a_second,
        point.links,
        point.homes.map_or(0.0, |homes| homes.high),
        point.false_deaths,
        point.platform_requests_a_second,
        point.platform_requests_a_bundle,
        spread(&point.bundle_seen_ms),
        spread(&point.death_seen_ms),
        spread(&point.term_seen_ms),
        point.load_average,
    )
}
