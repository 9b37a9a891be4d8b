//! Helpers shared by the tests of the database stand-in.
#![allow(dead_code, reason = "each test binary uses only some of the helpers")]

use std::sync::Arc;
use std::time::{Duration, Instant};

use hookpoint_standin::database::{
    DatabaseGroup, DatabaseSettings, DatabaseStatus, FixedNetwork, GroupSettings,
};
use tokio_postgres::{Client, Config, NoTls, Row, SimpleQueryMessage};

/// Timeout of events that must happen.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// The status query that the proxies send.
pub const STATUS_QUERY: &str = "SELECT pg_is_in_recovery() AS in_recovery, CASE WHEN pg_is_in_recovery() THEN (SELECT timeline_id FROM pg_control_checkpoint()) ELSE ('x' || substr(pg_walfile_name(pg_current_wal_lsn()), 1, 8))::bit(32)::int END AS term, CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() ELSE pg_current_wal_flush_lsn() END AS position, COALESCE((SELECT string_agg(application_name || '=' || flush_lsn::text, ',') FROM pg_stat_replication), '') AS flushed";

/// Returns the settings of one database of a test group.
pub fn database(name: &str) -> DatabaseSettings {
    DatabaseSettings {
        name: name.to_owned(),
        zone: "zone".to_owned(),
        slots: 5,
        replay_lag: Duration::ZERO,
        password: None,
    }
}

/// Returns the settings of a group of the databases `a`, `b` and `c`, with `a` as
/// the initial primary.
pub fn group_of_three() -> GroupSettings {
    GroupSettings {
        name: "test".to_owned(),
        databases: ["a", "b", "c"].map(database).to_vec(),
        connect_delay: Duration::from_millis(1),
        schema: vec!["CREATE TABLE notes (id BIGINT PRIMARY KEY, body TEXT NOT NULL)".to_owned()],
        ..GroupSettings::default()
    }
}

/// Starts a group on a network without delays.
pub async fn start(settings: GroupSettings) -> DatabaseGroup {
    let network = Arc::new(FixedNetwork::default());
    DatabaseGroup::start(settings, network)
        .await
        .expect("the group starts")
}

/// Returns the client configuration for a database of a group.
pub fn config(group: &DatabaseGroup, name: &str) -> Config {
    let address = group.address(name);
    let mut config = Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user("tester")
        .dbname("test");
    config
}

/// Connects to a database of a group, or returns the error.
pub async fn try_connect(
    group: &DatabaseGroup,
    name: &str,
) -> Result<Client, tokio_postgres::Error> {
    let (client, connection) = config(group, name).connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

/// Connects to a database of a group; panics on an error.
pub async fn connect(group: &DatabaseGroup, name: &str) -> Client {
    try_connect(group, name)
        .await
        .expect("the database accepts a connection")
}

/// Returns the SQLSTATE of an error, or an empty string when the error was not
/// sent by a database.
pub fn code(error: &tokio_postgres::Error) -> String {
    error
        .code()
        .map(|state| state.code().to_owned())
        .unwrap_or_default()
}

/// Runs a simple query that must fail and returns its SQLSTATE.
pub async fn expect_failure(client: &Client, sql: &str) -> String {
    let error = client.simple_query(sql).await.expect_err("the query fails");
    code(&error)
}

/// Runs a simple query and returns its first row as text.
pub async fn query_texts(client: &Client, sql: &str) -> Vec<String> {
    let messages = client.simple_query(sql).await.expect("the query runs");
    let row = messages.into_iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    });
    let row = row.expect("the query returns a row");
    (0..row.len())
        .map(|at| row.get(at).unwrap_or("NULL").to_owned())
        .collect()
}

/// Runs a query and returns the number in its only row and column.
pub async fn query_number(client: &Client, sql: &str) -> i64 {
    let row: Row = client.query_one(sql, &[]).await.expect("the query runs");
    row.get(0)
}

/// Waits until `condition` is true; panics after the timeout.
pub async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "timed out waiting until {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Returns the status of one database.
pub fn status_of(group: &DatabaseGroup, name: &str) -> DatabaseStatus {
    group
        .status()
        .into_iter()
        .find(|status| status.name == name)
        .expect("the database is in the group")
}

/// Waits until all databases have replayed everything that the first one has
/// flushed.
pub async fn wait_until_replayed(group: &DatabaseGroup) {
    wait_until("everything is replayed", || {
        let statuses = group.status();
        statuses
            .iter()
            .all(|status| status.replayed == statuses[0].flushed)
    })
    .await;
}

/// Waits until a database other than `old` is primary and returns its name.
pub async fn wait_until_elected(group: &DatabaseGroup, old: &str) -> String {
    wait_until("another primary is elected", || {
        group.primary().is_some_and(|primary| primary != old)
    })
    .await;
    group.primary().expect("there is a primary")
}
