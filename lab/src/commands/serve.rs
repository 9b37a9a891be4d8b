//! The `hookpoint-lab serve` command: runs a deployment until stopped, with faults on
//! demand.

use std::collections::BTreeMap;
use std::io::BufRead;
use std::path::Path;
use std::sync::Arc;

use anyhow::Context;
use serde::Serialize;
use tokio::sync::mpsc;

use crate::bundles::operator_key;
use crate::commands::{deployment_of, print_line};
use crate::fault::{ScheduledFault, parse_schedule};
use crate::flags;
use crate::laboratory::{Laboratory, LaboratoryOptions};
use crate::stack::DatabaseOptions;

/// Capacity of the queue of lines from standard input.
const LINE_BUFFER: usize = 16;

#[derive(Serialize)]
struct ServeLine {
    proxies: Vec<String>,
    admin: Vec<String>,
    platform: String,
    groups: Vec<String>,
    zones: Vec<String>,
    /// Addresses of the databases, by name.
    databases: BTreeMap<String, String>,
    /// Public key of the operator that approved the bundle, in hexadecimal.
    trusted_key: String,
}

/// Runs a deployment until the process is stopped.
///
/// # Errors
/// Fails if a component does not start or the file of faults is invalid.
pub async fn serve(arguments: flags::Serve) -> anyhow::Result<()> {
    let deployment = deployment_of(arguments.deployment.as_deref())?;
    let schedule = match &arguments.faults {
        Some(path) => read_schedule(path)?,
        None => Vec::new(),
    };
    let options = LaboratoryOptions {
        databases: DatabaseOptions {
            seed: arguments.seed.unwrap_or(1),
            ..DatabaseOptions::default()
        },
        proxies: arguments.proxies,
        ..LaboratoryOptions::default()
    };
    let laboratory = Arc::new(Laboratory::start(deployment, options).await?);
    print_line(&line_of(&laboratory))?;
    tokio::spawn(follow_schedule(laboratory.clone(), schedule));
    tokio::spawn(follow_input(laboratory.clone()));
    tokio::signal::ctrl_c()
        .await
        .context("cannot receive signals")
}

fn read_schedule(path: &Path) -> anyhow::Result<Vec<ScheduledFault>> {
    let name = path.display();
    let text = std::fs::read_to_string(path).with_context(|| format!("{name} cannot be read"))?;
    parse_schedule(&text).with_context(|| format!("{name} is not a valid list of faults"))
}

fn line_of(laboratory: &Laboratory) -> ServeLine {
    let group = &laboratory.stack.deployment.groups[0].name;
    let entries = laboratory.fleet.entries();
    let admin = laboratory.fleet.admin_addresses();
    let groups = laboratory.stack.databases.iter();
    ServeLine {
        proxies: entries
            .iter()
            .map(|address| format!("postgresql://caller@{address}/{group}"))
            .collect(),
        admin: admin
            .iter()
            .map(|address| format!("http://{address}"))
            .collect(),
        platform: laboratory.stack.platform.url(),
        groups: groups.map(|(name, _)| name.to_string()).collect(),
        databases: laboratory
            .stack
            .databases
            .addresses()
            .into_iter()
            .map(|(name, _, address)| (name.to_string(), address.to_string()))
            .collect(),
        trusted_key: operator_key().public_text(),
        zones: laboratory
            .fleet
            .zones()
            .iter()
            .map(ToString::to_string)
            .collect(),
    }
}

async fn follow_schedule(laboratory: Arc<Laboratory>, schedule: Vec<ScheduledFault>) {
    let begin = tokio::time::Instant::now();
    for scheduled in schedule {
        tokio::time::sleep_until(begin + scheduled.after).await;
        inject(&laboratory, scheduled).await;
    }
}

async fn follow_input(laboratory: Arc<Laboratory>) {
    let (sender, mut lines) = mpsc::channel(LINE_BUFFER);
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            if sender.blocking_send(line).is_err() {
                return;
            }
        }
    });
    while let Some(line) = lines.recv().await {
        match parse_schedule(&line) {
            Ok(faults) => {
                for scheduled in faults {
                    tokio::time::sleep(scheduled.after).await;
                    inject(&laboratory, scheduled).await;
                }
            }
            Err(error) => eprintln!("serve: {error}."),
        }
    }
}

async fn inject(laboratory: &Laboratory, scheduled: ScheduledFault) {
    match laboratory.inject(&scheduled.fault).await {
        Ok(component) => eprintln!("serve: {:?}: {component}.", scheduled.fault),
        Err(error) => eprintln!("serve: {:?} failed: {error}.", scheduled.fault),
    }
}
