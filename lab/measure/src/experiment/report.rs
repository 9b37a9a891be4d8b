//! Writes the report of an experiment: Markdown, the results as JSON, and plots.

use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::path::Path;

use thiserror::Error;

use super::plot::{Caption, PlotError, Series, draw};
use super::run::{Measurement, Outcome, Results};
use crate::fit::{Line, Spread};
use crate::scale::ScalePoint;

/// Why a report was not written.
#[derive(Debug, Error)]
pub enum ReportError {
    /// A file cannot be written.
    #[error("a file cannot be written: {0}")]
    File(#[from] std::io::Error),
    /// The results cannot be serialized.
    #[error("the results cannot be serialized: {0}")]
    Json(#[from] serde_json::Error),
    /// A plot cannot be drawn.
    #[error(transparent)]
    Plot(#[from] PlotError),
}

/// A measured quantity with its name, the file of its plot, and a function that extracts it
/// from an outcome. The function returns `None` for outcomes of another kind.
struct Quantity {
    name: &'static str,
    file: &'static str,
    value_of: fn(&Outcome) -> Option<f64>,
}

const QUANTITIES: [Quantity; 7] = [
    Quantity {
        name: "answers a second",
        file: "throughput.svg",
        value_of: |outcome| load(outcome, |report| report.answered_per_second),
    },
    Quantity {
        name: "median latency, ms",
        file: "median.svg",
        value_of: |outcome| load(outcome, |report| report.all.p50_ms),
    },
    Quantity {
        name: "99th percentile of latency, ms",
        file: "p99.svg",
        value_of: |outcome| load(outcome, |report| report.all.p99_ms),
    },
    Quantity {
        name: "processor time of a node, % of a core",
        file: "processor.svg",
        value_of: |outcome| scale(outcome, |point| point.processor_percent),
    },
    Quantity {
        name: "control traffic of a node, bytes a second",
        file: "bytes.svg",
        value_of: |outcome| scale(outcome, |point| point.bytes_sent_a_second),
    },
    Quantity {
        name: "memory of a node without bundle, MB",
        file: "memory.svg",
        value_of: |outcome| scale(outcome, |point| point.resident_without_bundle_mb),
    },
    Quantity {
        name: "memory of a node with bundle, MB",
        file: "memory-bundle.svg",
        value_of: |outcome| scale(outcome, |point| point.resident_mb),
    },
];

fn load(
    outcome: &Outcome,
    value_of: fn(&hookpoint_workload::load::LoadReport) -> f64,
) -> Option<f64> {
    match outcome {
        Outcome::Load(report) => Some(value_of(report)),
        Outcome::Scale(_) => None,
    }
}

fn scale(outcome: &Outcome, value_of: fn(&ScalePoint) -> f64) -> Option<f64> {
    match outcome {
        Outcome::Scale(point) => Some(value_of(point)),
        Outcome::Load(_) => None,
    }
}

/// Writes `report.md`, `results.json` and the plots into `directory`, which is created if it
/// does not exist.
///
/// # Errors
/// A [`ReportError`].
pub fn write(directory: &Path, results: &Results) -> Result<(), ReportError> {
    std::fs::create_dir_all(directory)?;
    let numbers = serde_json::to_string_pretty(results)?;
    std::fs::write(directory.join("results.json"), numbers)?;
    let mut text = format!("# {}\n", results.title);
    text.push_str("\nVariants ran in turn at each size. Values are medians, with the lowest and highest in parentheses; ratios are to the first variant of the same round.\n");
    for quantity in &QUANTITIES {
        write_quantity(directory, results, quantity, &mut text)?;
    }
    write_curves(directory, results, &mut text)?;
    std::fs::write(directory.join("report.md"), text)?;
    Ok(())
}

fn write_quantity(
    directory: &Path,
    results: &Results,
    quantity: &Quantity,
    text: &mut String,
) -> Result<(), ReportError> {
    let series = series_of(results, quantity);
    if series.is_empty() {
        return Ok(());
    }
    let _written = write!(text, "\n## {}\n\n", quantity.name);
    text.push_str(
        "| size | variant | value | ratio | load average |\n| --- | --- | --- | --- | --- |\n",
    );
    let sizes: BTreeSet<usize> = results.measurements.iter().map(|run| run.size).collect();
    for size in sizes {
        for variant in &results.variants {
            let values = Spread::of(
                values(results, quantity, variant, size)
                    .into_iter()
                    .map(|(_, value)| value),
            );
            let ratios = Spread::of(ratios(results, quantity, variant, size));
            let loads = results
                .measurements
                .iter()
                .filter(|run| run.size == size && &run.variant == variant);
            let load = Spread::of(loads.map(|run| run.load_average));
            if let (Some(values), Some(load)) = (values, load) {
                let ratio = ratios.map_or_else(|| "-".to_owned(), |ratio| format_spread(&ratio));
                let value = format_spread(&values);
                let _written = writeln!(
                    text,
                    "| {size} | {variant} | {value} | {ratio} | {:.1} |",
                    load.median
                );
            }
        }
    }
    for entry in &series {
        if let Some(line) = entry.line {
            let _written = writeln!(
                text,
                "\n{}: {:.4} + {:.6} × size, R² {:.3}.",
                entry.name, line.intercept, line.slope, line.r_squared
            );
        }
    }
    let _written = writeln!(text, "\n![{}]({})", quantity.name, quantity.file);
    let caption = Caption {
        title: quantity.name,
        x: "size",
        y: quantity.name,
    };
    draw(&directory.join(quantity.file), &caption, &series)?;
    Ok(())
}

fn format_spread(spread: &Spread) -> String {
    format!(
        "{:.3} ({:.3}–{:.3})",
        spread.median, spread.low, spread.high
    )
}

/// Returns the rounds and values of a variant at a size.
fn values(results: &Results, quantity: &Quantity, variant: &str, size: usize) -> Vec<(usize, f64)> {
    let runs = results.measurements.iter();
    let runs = runs.filter(|run| run.variant == variant && run.size == size);
    runs.filter_map(|run| Some((run.round, (quantity.value_of)(&run.outcome)?)))
        .collect()
}

/// Returns the ratios of a variant's values to those of the first variant in the same round.
/// Rounds in which the first variant has no value, or zero, are left out.
fn ratios(results: &Results, quantity: &Quantity, variant: &str, size: usize) -> Vec<f64> {
    let Some(first) = results.variants.first() else {
        return Vec::new();
    };
    let base = values(results, quantity, first, size);
    let own = values(results, quantity, variant, size);
    let pairs = own.iter().filter_map(|(round, value)| {
        let (_, base) = base.iter().find(|(other, _)| other == round)?;
        (*base != 0.0).then(|| value / base)
    });
    pairs.collect()
}

fn series_of(results: &Results, quantity: &Quantity) -> Vec<Series> {
    let series = results.variants.iter().map(|variant| {
        let runs = results
            .measurements
            .iter()
            .filter(|run| &run.variant == variant);
        let points: Vec<(f64, f64)> = runs
            .filter_map(|run| Some((run.size as f64, (quantity.value_of)(&run.outcome)?)))
            .collect();
        Series {
            name: variant.clone(),
            line: Line::through(&points),
            points,
            joined: false,
        }
    });
    series.filter(|entry| !entry.points.is_empty()).collect()
}

/// Plots, for the last run of each variant, which is its last round at the largest size, the
/// latency distribution and the propagation of a term and of a bundle over the nodes.
fn write_curves(directory: &Path, results: &Results, text: &mut String) -> Result<(), ReportError> {
    type Curve = fn(&Outcome) -> Vec<(f64, f64)>;
    let curves: [(&str, &str, &str, &str, Curve); 3] = [
        (
            "latency curve",
            "latency.svg",
            "percentile",
            "ms",
            |outcome| match outcome {
                Outcome::Load(report) => report.curve.clone(),
                Outcome::Scale(_) => Vec::new(),
            },
        ),
        (
            "spread of a term",
            "term.svg",
            "ms",
            "share of its users, %",
            |outcome| match outcome {
                Outcome::Scale(point) => cumulative_shares(&point.term_times_ms),
                Outcome::Load(_) => Vec::new(),
            },
        ),
        (
            "spread of a bundle",
            "bundle.svg",
            "ms",
            "share of the nodes, %",
            |outcome| match outcome {
                Outcome::Scale(point) => cumulative_shares(&point.bundle_times_ms),
                Outcome::Load(_) => Vec::new(),
            },
        ),
    ];
    for (title, file, x, y, value_of) in curves {
        let series: Vec<Series> = results
            .variants
            .iter()
            .filter_map(|variant| last_run(results, variant))
            .map(|run| Series {
                name: format!("{} at {}", run.variant, run.size),
                points: value_of(&run.outcome),
                joined: true,
                line: None,
            })
            .filter(|entry| !entry.points.is_empty())
            .collect();
        if series.is_empty() {
            continue;
        }
        let _written = write!(text, "\n## {title}\n\n![{title}]({file})\n");
        draw(&directory.join(file), &Caption { title, x, y }, &series)?;
    }
    Ok(())
}

fn last_run<'a>(results: &'a Results, variant: &str) -> Option<&'a Measurement> {
    let mut runs = results.measurements.iter();
    runs.rfind(|run| run.variant == variant)
}

/// Returns, for each time, the percentage of `times_ms` that are not later. Nodes that were not
/// reached before the timeout have no time and are not counted.
fn cumulative_shares(times_ms: &[f64]) -> Vec<(f64, f64)> {
    let mut times = times_ms.to_vec();
    times.sort_by(f64::total_cmp);
    let count = times.len() as f64;
    let ranked = times.into_iter().enumerate();
    ranked
        .map(|(rank, time)| (time, (rank + 1) as f64 / count * 100.0))
        .collect()
}
