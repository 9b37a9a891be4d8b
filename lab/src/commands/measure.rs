//! The `hookpoint-lab` commands `scale`, `idle`, `experiment` and `relay`.

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

/// Default fleet sizes, in nodes.
const DEFAULT_NODES: &str = "10,30,100";
/// Default numbers of connections.
const DEFAULT_CONNECTIONS: &str = "1000,5000,10000";
/// Default number of databases per node, the ratio at the size that the system is designed
/// for.
const DATABASES_PER_NODE: usize = 2;

#[derive(Serialize)]
struct RelayLine {
    address: SocketAddr,
}

/// Measures fleets of hollow nodes and prints the resources that they use.
///
/// # Errors
/// Fails if a number is invalid, a fleet cannot be measured or the report cannot be
/// written.
pub fn scale(arguments: flags::Scale) -> anyhow::Result<()> {
    let sizes = numbers(arguments.nodes.as_deref().unwrap_or(DEFAULT_NODES))?;
    let mut points = Vec::new();
    for nodes in sizes {
        let point = scale::run(&ScaleSettings {
            nodes,
            zones: arguments.zones.unwrap_or(5),
            databases: arguments.databases.unwrap_or(nodes * DATABASES_PER_NODE),
            groups_per_node: arguments.groups.unwrap_or(1),
            quiet_period: Duration::from_secs(arguments.seconds.unwrap_or(20)),
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
/// Fails if an argument is invalid, a connection fails or the report cannot be written.
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
/// Fails if the description or an address is invalid, a run fails or the report cannot be
/// written.
pub async fn experiment(arguments: flags::Experiment) -> anyhow::Result<()> {
    let name = arguments.file.display();
    let text = std::fs::read_to_string(&arguments.file);
    let text = text.with_context(|| format!("{name} cannot be read"))?;
    let addresses = arguments.set.iter().map(|given| {
        let (name, text) = given
            .split_once('=')
            .with_context(|| format!("{given} is not of the form name=ip:port"))?;
        Ok((name.to_owned(), address(text)?))
    });
    let addresses = addresses.collect::<anyhow::Result<BTreeMap<_, _>>>()?;
    let description = experiment::parse(&text, &addresses);
    let description = description.with_context(|| format!("{name} is not a valid experiment"))?;
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
/// Fails if the address is invalid or no port can be bound.
pub async fn relay(arguments: flags::Relay) -> anyhow::Result<()> {
    let relay = Relay::start(address(&arguments.target)?).await?;
    print_line(&RelayLine {
        address: relay.address(),
    })?;
    tokio::signal::ctrl_c()
        .await
        .context("cannot receive signals")
}

fn address(text: &str) -> anyhow::Result<SocketAddr> {
    text.parse()
        .with_context(|| format!("{text} is not an ip:port address"))
}

fn numbers(text: &str) -> anyhow::Result<Vec<usize>> {
    let numbers = text.split(',').map(|number| {
        let number = number.trim();
        number
            .parse()
            .with_context(|| format!("{number} is not a number"))
    });
    numbers.collect()
}
