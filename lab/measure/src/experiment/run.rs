//! Running an experiment: in every round each variant runs once at the size, the one
//! after the other, so that all of them meet the same machine.

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

/// Time before each measurement of a load.
const WARM_UP: Duration = Duration::from_secs(1);

/// What one run gave.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Of a load.
    Load(Box<LoadReport>),
    /// Of hollow nodes.
    Scale(Box<ScalePoint>),
}

/// One run.
#[derive(Clone, Debug, Serialize)]
pub struct Measurement {
    /// Its variant.
    pub variant: String,
    /// Its size.
    pub size: usize,
    /// Round, from 0.
    pub round: usize,
    /// Load average of the machine behind it.
    pub load_average: f64,
    /// What it gave.
    pub outcome: Outcome,
}

/// All runs of an experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Results {
    /// Its title.
    pub title: String,
    /// Names of the variants, the one to compare with first.
    pub variants: Vec<String>,
    /// Runs in the order they ran.
    pub measurements: Vec<Measurement>,
}

/// Why an experiment ended early.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// A load failed.
    #[error("variant {variant} at size {size}: {source}")]
    Load {
        /// The variant.
        variant: String,
        /// The size.
        size: usize,
        /// The cause.
        source: LoadError,
    },
    /// Hollow nodes failed.
    #[error("variant {variant} at size {size}: {source}")]
    Scale {
        /// The variant.
        variant: String,
        /// The size.
        size: usize,
        /// The cause.
        source: ScaleError,
    },
    /// The relay did not start, or a thread ended.
    #[error("the machine refused: {0}")]
    Machine(#[from] std::io::Error),
}

/// Runs everything. `told` hears of each run before it starts.
///
/// # Errors
/// The first [`ExperimentError`].
pub async fn run(
    description: &Description,
    mut told: impl FnMut(&Variant, usize, usize),
) -> Result<Results, ExperimentError> {
    let mut measurements = Vec::new();
    for size in &description.sizes {
        for round in 0..description.repeats {
            for variant in &description.variants {
                told(variant, *size, round);
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
        quiet: description.duration(),
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
