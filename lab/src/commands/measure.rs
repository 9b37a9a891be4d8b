//! `hookpoint-lab scale`, `idle`, `experiment` and `relay`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use hookpoint_measure::experiment;
use hookpoint_measure::idle::{self, IdleSettings};
use hookpoint_measure::relay::Relay;
use hookpoint_measure::scale::{self, ScaleReport, ScaleSettings};
use serde::Serialize;

use crate::commands::{deployment_of, print_line, write_json};
use crate::flags;

/// Sizes where none are given.
const DEFAULT_NODES: &str = "10,30,100";
/// Numbers of connections where none are given.
const DEFAULT_CONNECTIONS: &str = "1000,5000,10000";
/// Databases for each node where none are given, as at the size of the design.
const DATABASES_PER_NODE: usize = 2;

#[derive(Serialize)]
struct RelayLine {
    address: SocketAddr,
}

/// Measures fleets of hollow nodes and prints what they need.
///
/// # Errors
/// When a number is none or a fleet cannot be measured.
pub fn scale(arguments: flags::Scale) -> anyhow::Result<()> {
    let sizes = numbers(arguments.nodes.as_deref().unwrap_or(DEFAULT_NODES))?;
    let mut points = Vec::new();
    for nodes in sizes {
        let point = scale::run(&ScaleSettings {
            nodes,
            zones: arguments.zones.unwrap_or(5),
            databases: arguments.databases.unwrap_or(nodes * DATABASES_PER_NODE),
            groups_per_node: arguments.groups.unwrap_or(1),
            quiet: Duration::from_secs(arguments.seconds.unwrap_or(20)),
            seed: arguments.seed.unwrap_or(1),
        })?;
        points.push(point);
    }
    let report = ScaleReport::of(points);
    println!("{}", report.table());
    match arguments.report {
        Some(path) => write_json(&path, &report),
        None => Ok(()),
    }
}

/// Measures the memory of idle connections.
///
/// # Errors
/// When an argument does not fit or a connection fails.
pub async fn idle(arguments: flags::Idle) -> anyhow::Result<()> {
    let group = deployment_of(None)?.groups[0].name.to_string();
    let connections = arguments.connections.as_deref();
    let settings = IdleSettings {
        address: address(&arguments.address)?,
        process: arguments.process,
        user: arguments.user.unwrap_or_else(|| "load".to_owned()),
        database: arguments.database.unwrap_or(group),
        sizes: numbers(connections.unwrap_or(DEFAULT_CONNECTIONS))?,
    };
    let report = idle::run(&settings).await?;
    println!("{}", report.table());
    match arguments.report {
        Some(path) => write_json(&path, &report),
        None => Ok(()),
    }
}

/// Runs an experiment and writes its report.
///
/// # Errors
/// When the description does not fit, a run fails or the report cannot be written.
pub async fn experiment(arguments: flags::Experiment) -> anyhow::Result<()> {
    let name = arguments.file.display();
    let text = std::fs::read_to_string(&arguments.file);
    let text = text.with_context(|| format!("{name} cannot be read"))?;
    let addresses = arguments.set.iter().map(|given| {
        let (name, text) = given
            .split_once('=')
            .with_context(|| format!("{given} is no name=ip:port"))?;
        Ok((name.to_owned(), address(text)?))
    });
    let addresses = addresses.collect::<anyhow::Result<BTreeMap<_, _>>>()?;
    let description = experiment::parse(&text, &addresses);
    let description = description.with_context(|| format!("{name} is no experiment"))?;
    let results = experiment::run(&description, |variant, size, round| {
        eprintln!("experiment: round {round}, size {size}, {}.", variant.name);
    })
    .await?;
    let directory = arguments.report.clone();
    let directory = directory.unwrap_or_else(|| arguments.file.with_extension(""));
    experiment::write(&directory, &results)?;
    println!("{}", directory.join("report.md").display());
    Ok(())
}

/// Relays until the process is stopped.
///
/// # Errors
/// When the address is none or there is no port.
pub async fn relay(arguments: flags::Relay) -> anyhow::Result<()> {
    let relay = Relay::start(address(&arguments.target)?).await?;
    print_line(&RelayLine {
        address: relay.address(),
    })?;
    tokio::signal::ctrl_c().await.context("no signals")
}

fn address(text: &str) -> anyhow::Result<SocketAddr> {
    text.parse()
        .with_context(|| format!("{text} is no ip:port"))
}

fn numbers(text: &str) -> anyhow::Result<Vec<usize>> {
    let numbers = text.split(',').map(|number| {
        let number = number.trim();
        number
            .parse()
            .with_context(|| format!("{number} is no number"))
    });
    numbers.collect()
}
