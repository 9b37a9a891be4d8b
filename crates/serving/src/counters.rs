//! Counters, gauges and latency histograms of a node, rendered in the Prometheus text format.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

/// Upper bounds of the latency buckets, in milliseconds.
const LATENCY_BOUNDS_MS: [u64; 12] = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000];

#[derive(Default)]
struct Histogram {
    buckets: [u64; LATENCY_BOUNDS_MS.len()],
    count: u64,
    sum_us: u64,
}

/// The node's metrics. The number of series is bounded by the names in the code.
#[derive(Default)]
pub struct Counters {
    counts: RefCell<BTreeMap<(&'static str, &'static str), u64>>,
    latencies: RefCell<BTreeMap<&'static str, Histogram>>,
    gauges: RefCell<BTreeMap<&'static str, u64>>,
}

impl Counters {
    /// Increments the counter `name` with the label `label`.
    pub fn count(&self, name: &'static str, label: &'static str) {
        *self.counts.borrow_mut().entry((name, label)).or_default() += 1;
    }

    /// Sets a gauge to `value`.
    pub fn set(&self, name: &'static str, value: u64) {
        self.gauges.borrow_mut().insert(name, value);
    }

    /// Adds an observation to the latency histogram of a stage.
    pub fn observe(&self, stage: &'static str, elapsed: Duration) {
        let mut latencies = self.latencies.borrow_mut();
        let histogram = latencies.entry(stage).or_default();
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        histogram.count += 1;
        histogram.sum_us = histogram.sum_us.saturating_add(micros);
        let bucket = LATENCY_BOUNDS_MS
            .iter()
            .position(|bound| micros <= bound * 1_000);
        if let Some(bucket) = bucket {
            histogram.buckets[bucket] += 1;
        }
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        for ((name, label), value) in &*self.counts.borrow() {
            let _ = writeln!(text, "hookpoint_{name}_total{{kind=\"{label}\"}} {value}");
        }
        for (name, value) in &*self.gauges.borrow() {
            let _ = writeln!(text, "hookpoint_{name} {value}");
        }
        for (stage, histogram) in &*self.latencies.borrow() {
            render_histogram(&mut text, stage, histogram);
        }
        text
    }
}

fn render_histogram(text: &mut String, stage: &str, histogram: &Histogram) {
    let mut cumulative = 0;
    for (bound, bucket) in LATENCY_BOUNDS_MS.iter().zip(histogram.buckets) {
        cumulative += bucket;
        let _ = writeln!(
            text,
            "hookpoint_latency_ms_bucket{{stage=\"{stage}\",le=\"{bound}\"}} {cumulative}"
        );
    }
    let count = histogram.count;
    let sum_ms = histogram.sum_us / 1_000;
    let _ = writeln!(
        text,
        "hookpoint_latency_ms_bucket{{stage=\"{stage}\",le=\"+Inf\"}} {count}"
    );
    let _ = writeln!(
        text,
        "hookpoint_latency_ms_sum{{stage=\"{stage}\"}} {sum_ms}"
    );
    let _ = writeln!(
        text,
        "hookpoint_latency_ms_count{{stage=\"{stage}\"}} {count}"
    );
}
