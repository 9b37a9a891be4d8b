//! The commands of `hookpoint-lab`.

pub mod demo;
pub mod load;
pub mod measure;
pub mod serve;
pub mod sim;
pub mod stand_ins;

use std::path::Path;
use std::sync::Arc;

use anyhow::{Context, anyhow};
use hookpoint_workload::deployment::Deployment;
use serde::Serialize;

/// Name of the deployment where none is given.
const DEFAULT_DEPLOYMENT: &str = "costa-rica";

/// The deployment of that name.
///
/// # Errors
/// When there is none.
pub fn deployment_of(name: Option<&str>) -> anyhow::Result<Arc<Deployment>> {
    let name = name.unwrap_or(DEFAULT_DEPLOYMENT);
    Deployment::by_name(name)
        .map(Arc::new)
        .ok_or_else(|| anyhow!("there is no deployment {name}; costa-rica and greece are"))
}

/// Prints `value` as one line of JSON.
///
/// # Errors
/// When it is no JSON.
pub fn print_line(value: &impl Serialize) -> anyhow::Result<()> {
    println!("{}", serde_json::to_string(value)?);
    Ok(())
}

/// Writes `value` as JSON to the file at `path`.
///
/// # Errors
/// When the file cannot be written.
pub fn write_json(path: &Path, value: &impl Serialize) -> anyhow::Result<()> {
    let text = serde_json::to_string_pretty(value)?;
    std::fs::write(path, text).with_context(|| format!("{} cannot be written", path.display()))
}
