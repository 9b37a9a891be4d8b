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

/// Name of the default deployment.
const DEFAULT_DEPLOYMENT: &str = "costa-rica";

/// Returns the deployment of that name, or the default one without a name.
///
/// # Errors
/// Fails if there is no deployment of that name.
pub fn deployment_of(name: Option<&str>) -> anyhow::Result<Arc<Deployment>> {
    let name = name.unwrap_or(DEFAULT_DEPLOYMENT);
    Deployment::by_name(name)
        .map(Arc::new)
        .ok_or_else(|| anyhow!("unknown deployment {name}; known are costa-rica and greece"))
}

/// Prints `value` as one line of JSON.
///
/// # Errors
/// Fails if `value` cannot be serialized.
pub fn print_line(value: &impl Serialize) -> anyhow::Result<()> {
    println!("{}", serde_json::to_string(value)?);
    Ok(())
}

/// Writes `value` as JSON to the file at `path`.
///
/// # Errors
/// Fails if `value` cannot be serialized or the file cannot be written.
pub fn write_json(path: &Path, value: &impl Serialize) -> anyhow::Result<()> {
    let text = serde_json::to_string_pretty(value)?;
    std::fs::write(path, text).with_context(|| format!("{} cannot be written", path.display()))
}
