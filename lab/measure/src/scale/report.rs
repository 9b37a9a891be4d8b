//! Results of the measurements of a fleet of hollow nodes.

use serde::Serialize;

use crate::fit::{Line, Spread};

/// Traffic of all nodes together.
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
    /// Bytes of the records sent, with IP and TCP headers.
    pub link_bytes_sent: u64,
    /// Open links, counted on each node.
    pub links: u64,
}

/// Results at one size. Values are means per node unless stated otherwise.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ScalePoint {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of databases in the bundle.
    pub databases: usize,
    /// Number of groups that each node uses.
    pub groups_per_node: usize,
    /// Load average of the machine at the end of the run.
    pub load_average: f64,
    /// Seconds from the start of the fleet until every node had discovered all other nodes.
    pub joined_s: f64,
    /// Processor time in the quiet period, in percent of one core.
    pub processor_percent: f64,
    /// Resident memory with the bundle, in megabytes.
    pub resident_mb: f64,
    /// Resident memory before the bundle was rolled out, in megabytes.
    pub resident_without_bundle_mb: f64,
    /// Bytes sent per second over datagrams and links, with headers.
    pub bytes_sent_a_second: f64,
    /// Bytes sent per second over links, with headers.
    pub link_bytes_sent_a_second: f64,
    /// Records sent over links per second.
    pub link_records_sent_a_second: f64,
    /// Requests to the platform per second, of the whole fleet.
    pub platform_requests_a_second: f64,
    /// Requests to the platform for one change of the bundle, of the whole fleet and the
    /// operator.
    pub platform_requests_a_bundle: f64,
    /// Datagrams sent per second.
    pub datagrams_sent_a_second: f64,
    /// Datagrams received and accepted per second.
    pub datagrams_received_a_second: f64,
    /// Live members considered dead at the end of the quiet period, summed over all nodes.
    pub false_deaths: usize,
    /// Open links.
    pub links: f64,
    /// Milliseconds from the kill of a node until each other node considered it suspect or dead.
    pub death_seen_ms: Option<Spread>,
    /// Milliseconds from the moment at which a database's home node received a status with a new
    /// term until each node using the group had the term.
    pub term_seen_ms: Option<Spread>,
    /// The times summarized in `term_seen_ms`, one for each node that had the term before the
    /// timeout.
    pub term_times_ms: Vec<f64>,
    /// Milliseconds from the operator's rollout command until a new bundle version was in force on
    /// each node.
    pub bundle_seen_ms: Option<Spread>,
    /// The times summarized in `bundle_seen_ms`, one for each node that had the bundle before the
    /// timeout.
    pub bundle_times_ms: Vec<f64>,
    /// Number of databases that a node is the home of, summarized over all nodes.
    pub homes: Option<Spread>,
}

/// Results at several sizes.
#[derive(Clone, Debug, Serialize)]
pub struct ScaleReport {
    /// Results in the order in which the sizes were run.
    pub points: Vec<ScalePoint>,
    /// Line fitted through the processor time in percent over the number of nodes.
    pub processor: Option<Line>,
    /// Line fitted through the memory without bundle in megabytes over the number of nodes.
    pub memory: Option<Line>,
    /// Line fitted through the bytes sent per second over the number of nodes.
    pub bytes: Option<Line>,
}

impl ScaleReport {
    /// Creates the report of `points` and fits the lines.
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

    /// Formats the report as a table for a terminal.
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
