//! `hookpoint-lab scale`: what control costs, over the size of the fleet.

use std::time::Duration;

use anyhow::Context;

use crate::commands::{deployment_of, write_json};
use crate::flags;
use crate::scale::{ScaleReport, ScaleSettings, measure};

/// Sizes where none are given.
const DEFAULT_SIZES: &str = "20,50,100,200,300";
/// Seconds where none are given.
const DEFAULT_SECONDS: u64 = 10;

/// Measures the sizes and prints them with their slopes.
///
/// # Errors
/// When nodes do not start or do not find each other.
pub async fn scale(arguments: flags::Scale) -> anyhow::Result<()> {
    let sizes = arguments.sizes.as_deref().unwrap_or(DEFAULT_SIZES);
    let sizes = sizes
        .split(',')
        .map(|size| {
            size.trim()
                .parse()
                .with_context(|| format!("{size} is no size"))
        })
        .collect::<anyhow::Result<Vec<usize>>>()?;
    let settings = ScaleSettings {
        deployment: deployment_of(arguments.deployment.as_deref())?,
        sizes,
        window: Duration::from_secs(arguments.seconds.unwrap_or(DEFAULT_SECONDS)),
    };
    let report = measure(&settings).await?;
    println!("{}", table(&report));
    if let Some(path) = arguments.report {
        write_json(&path, &report)?;
    }
    Ok(())
}

fn table(report: &ScaleReport) -> String {
    let mut lines = vec![format!(
        "{:>7}{:>12}{:>14}{:>12}{:>12}{:>14}{:>12}",
        "nodes", "joined ms", "datagrams/s", "bytes/s", "cpu %", "memory MB", "bundle ms"
    )];
    lines.extend(report.points.iter().map(|point| {
        format!(
            "{:>7}{:>12.0}{:>14.2}{:>12.0}{:>12.1}{:>14.1}{:>12.0}",
            point.nodes,
            point.joined_ms,
            point.datagrams_per_second,
            point.datagram_bytes_per_second,
            point.processor_percent,
            point.resident_bytes as f64 / 1_048_576.0,
            point.bundle_everywhere_ms
        )
    }));
    for (name, slope) in [
        (
            "cpu % of the process for each node",
            report.processor_percent,
        ),
        ("bytes of the process for each node", report.resident_bytes),
        (
            "bytes/s of a node for each node",
            report.datagram_bytes_per_second,
        ),
    ] {
        lines.push(format!(
            "{name}: {:.4} (base {:.1}, fit {:.3})",
            slope.per_node, slope.base, slope.fit
        ));
    }
    lines.join("\n")
}
