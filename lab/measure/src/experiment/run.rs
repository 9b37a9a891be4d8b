//! Runs an experiment. In every round, each variant runs once at the same size, one after
//! the other, so that all variants are measured under similar conditions of the machine.

use hookpoint_workload::connection::Credentials;
use hookpoint_workload::deployment::Deployment;
use hookpoint_workload::load::{self, LoadError, LoadReport, LoadSettings, Pacing, Progress};
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

use super::description::{Description, Kind, Variant};
use crate::process::load_average;
use crate::relay::Relay;
use crate::scale::{self, ScaleError, ScalePoint, ScaleSettings};

/// Time under load before each measurement of a load.
const WARM_UP: Duration = Duration::from_secs(1);

/// The outcome of one run.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Results of a load.
    Load(Box<LoadReport>),
    /// Results of a fleet of hollow nodes.
    Scale(Box<ScalePoint>),
}

/// One run of an experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Measurement {
    /// Name of the variant.
    pub variant: String,
    /// Number of sessions or nodes.
    pub size: usize,
    /// Round at this size, from 0.
    pub round: usize,
    /// Load average of the machine after the run.
    pub load_average: f64,
    /// Results of the run.
    pub outcome: Outcome,
}

/// Results of all runs of an experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Results {
    /// Title of the experiment.
    pub title: String,
    /// Names of the variants. The first variant is the baseline of the ratios.
    pub variants: Vec<String>,
    /// Runs in the order of execution.
    pub measurements: Vec<Measurement>,
}

/// Why an experiment was aborted.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// A load failed.
    #[error("variant {variant} at size {size}: {source}")]
    Load {
        /// Name of the variant.
        variant: String,
        /// Number of sessions or nodes.
        size: usize,
        /// The underlying error.
        source: LoadError,
    },
    /// A measurement of hollow nodes failed.
    #[error("variant {variant} at size {size}: {source}")]
    Scale {
        /// Name of the variant.
        variant: String,
        /// Number of sessions or nodes.
        size: usize,
        /// The underlying error.
        source: ScaleError,
    },
    /// The relay did not start, or a measuring thread panicked.
    #[error("the relay did not start or a measuring thread panicked: {0}")]
    Execution(#[from] std::io::Error),
}

/// Runs all variants at all sizes. Calls `on_run_start` before each run with the variant, the
/// size and the round.
///
/// # Errors
/// The first [`ExperimentError`].
pub async fn run(
    description: &Description,
    mut on_run_start: impl FnMut(&Variant, usize, usize),
) -> Result<Results, ExperimentError> {
    let mut measurements = Vec::new();
    for size in &description.sizes {
        for round in 0..description.repeats {
            for variant in &description.variants {
                on_run_start(variant, *size, round);
                let outcome = run_one(description, variant, *size, round).await?;
                measurements.push(Measurement {
                    variant: variant.name.clone(),
                    size: *size,
                    round,
                    load_average: load_average(),
                    outcome,
                });
            }
        }
    }
    let variants = description.variants.iter();
    Ok(Results {
        title: description.title.clone(),
        variants: variants.map(|variant| variant.name.clone()).collect(),
        measurements,
    })
}

async fn run_one(
    description: &Description,
    variant: &Variant,
    size: usize,
    round: usize,
) -> Result<Outcome, ExperimentError> {
    match description.kind {
        Kind::Load => run_load(description, variant, size, round).await,
        Kind::Scale => run_scale(description, variant, size, round).await,
    }
}

async fn run_load(
    description: &Description,
    variant: &Variant,
    size: usize,
    round: usize,
) -> Result<Outcome, ExperimentError> {
    let failed = |source| ExperimentError::Load {
        variant: variant.name.clone(),
        size,
        source,
    };
    let address = variant
        .socket_address()
        .ok_or_else(|| failed(LoadError::NoAddress))?;
    let relay = match variant.relay {
        true => Some(Relay::start(address).await?),
        false => None,
    };
    let deployment = Deployment::by_name("costa-rica");
    let deployment = deployment.ok_or_else(|| failed(LoadError::NoAddress))?;
    let settings = LoadSettings {
        addresses: vec![relay.as_ref().map_or(address, Relay::address)],
        credentials: Credentials {
            user: "load".to_owned(),
            password: None,
            database: description
                .database
                .clone()
                .unwrap_or_else(|| deployment.groups[0].name.to_string()),
        },
        application: deployment.application,
        pacing: match description.rate {
            Some(rate) => Pacing::Open { rate },
            None => Pacing::Closed {
                pause: Duration::ZERO,
            },
        },
        mix: description.mix().unwrap_or(load::Mix::Trivial),
        sessions: size,
        idle_sessions: 0,
        warm_up: WARM_UP,
        duration: description.duration(),
        seed: description.seed + round as u64,
    };
    let report = load::run(settings, Arc::new(Progress::default())).await;
    Ok(Outcome::Load(Box::new(report.map_err(failed)?)))
}

async fn run_scale(
    description: &Description,
    variant: &Variant,
    size: usize,
    round: usize,
) -> Result<Outcome, ExperimentError> {
    let settings = ScaleSettings {
        nodes: size,
        zones: description.zones.unwrap_or(5),
        databases: size * variant.databases_per_node.unwrap_or(2),
        groups_per_node: variant.groups.unwrap_or(1),
        quiet_period: description.duration(),
        seed: description.seed + round as u64,
    };
    let point = tokio::task::spawn_blocking(move || scale::run(&settings)).await;
    let point = point.map_err(std::io::Error::other)?;
    let point = point.map_err(|source| ExperimentError::Scale {
        variant: variant.name.clone(),
        size,
        source,
    })?;
    Ok(Outcome::Scale(Box::new(point)))
}
