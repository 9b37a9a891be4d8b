//! Measures the commit latency of the database stand-in in comparison with the
//! round trip between its zones, for which each commit has to wait.
//!
//! `cargo run --release --locked -p hookpoint-standin --example commit_latency`

use hookpoint_standin::database::{DatabaseGroup, DatabaseSettings, GroupSettings};
use hookpoint_standin::links::{RegionSpacing, ZoneLinks};
use std::error::Error;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio_postgres::{Client, Config, NoTls};

const COMMITS: usize = 500;

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn Error>> {
    println!("round trip between zones | commit: p50, p99 | read: p50, p99");
    for links in [
        ZoneLinks::greece(RegionSpacing::UseZoneLatency),
        ZoneLinks::costa_rica(RegionSpacing::UseZoneLatency),
        ZoneLinks::greece(RegionSpacing::UseRegionLatency),
        ZoneLinks::costa_rica(RegionSpacing::UseRegionLatency),
    ] {
        let group = start(&links).await?;
        let client = connect(&group, "db-0").await?;
        let commits = measure(&client, "UPDATE counters SET value = value + 1").await?;
        let reads = measure(&client, "SELECT value FROM counters").await?;
        let zones: Vec<&str> = links.zones().collect();
        let round_trip = 2 * links.delay(zones[0], zones[1]);
        println!(
            "{round_trip:?} | {} | {}",
            format_percentiles(&commits),
            format_percentiles(&reads)
        );
        drop(client);
        group.stop().await;
    }
    Ok(())
}

async fn start(links: &ZoneLinks) -> Result<DatabaseGroup, Box<dyn Error>> {
    let database = |(number, zone): (usize, &str)| DatabaseSettings {
        name: format!("db-{number}"),
        zone: zone.to_owned(),
        slots: 5,
        replay_lag: Duration::ZERO,
        password: None,
    };
    let settings = GroupSettings {
        databases: links.zones().enumerate().map(database).collect(),
        schema: vec![
            "CREATE TABLE counters (value BIGINT)".to_owned(),
            "INSERT INTO counters VALUES (0)".to_owned(),
        ],
        ..GroupSettings::default()
    };
    Ok(DatabaseGroup::start(settings, Arc::new(links.clone())).await?)
}

async fn connect(group: &DatabaseGroup, name: &str) -> Result<Client, tokio_postgres::Error> {
    let address = group.address(name);
    let mut config = Config::new();
    config.host(address.ip().to_string()).port(address.port());
    let (client, connection) = config.user("lab").connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

/// Runs a statement many times and returns the durations in ascending order.
async fn measure(client: &Client, sql: &str) -> Result<Vec<Duration>, tokio_postgres::Error> {
    let mut durations = Vec::with_capacity(COMMITS);
    for _ in 0..COMMITS {
        let start_time = Instant::now();
        client.simple_query(sql).await?;
        durations.push(start_time.elapsed());
    }
    durations.sort();
    Ok(durations)
}

fn format_percentiles(durations: &[Duration]) -> String {
    let at = |fraction: f64| durations[(fraction * (durations.len() - 1) as f64) as usize];
    format!("{:.2?}, {:.2?}", at(0.5), at(0.99))
}
