//! The `hookpoint-lab demo` command.

use std::process::ExitCode;
use std::time::Duration;

use anyhow::anyhow;

use crate::commands::{deployment_of, write_json};
use crate::demo::{self, DemoSettings, Protection, Schedule};
use crate::flags;

/// Default duration of the workload, in seconds.
const DEFAULT_SECONDS: u64 = 30;

/// Runs the demo. The exit code is 1 if there is any violation.
///
/// # Errors
/// Fails if an argument is invalid, a component does not start, the final state cannot be
/// read or a file cannot be written.
pub async fn demo(arguments: flags::Demo) -> anyhow::Result<ExitCode> {
    let deployment = deployment_of(arguments.deployment.as_deref())?;
    let without = match &arguments.without {
        Some(name) => Some(
            Protection::by_name(name)
                .ok_or_else(|| anyhow!("--without takes check, term or guard, not {name}"))?,
        ),
        None => None,
    };
    let settings = DemoSettings {
        length: Duration::from_secs(arguments.seconds.unwrap_or(DEFAULT_SECONDS)),
        seed: arguments.seed.unwrap_or(1),
        clients_per_database: arguments.clients.unwrap_or(deployment.clients_per_database),
        replica_lag: arguments.lag_ms.map(Duration::from_millis),
        schedule: match arguments.calm {
            true => Schedule::Empty,
            false => Schedule::Timeline,
        },
        baseline: true,
        without,
        deployment,
    };
    let outcome = demo::run(&settings).await?;
    println!("{}", outcome.report.table());
    for violation in &outcome.report.violations {
        println!("VIOLATION {}", serde_json::to_string(violation)?);
    }
    if let Some(path) = arguments.report {
        write_json(&path, &outcome.report)?;
    }
    if let Some(path) = arguments.history {
        write_json(&path, &outcome.history)?;
    }
    Ok(match outcome.report.violated {
        true => ExitCode::FAILURE,
        false => ExitCode::SUCCESS,
    })
}
