//! PostgreSQL clients on two proxies in front of a group of databases: statements,
//! transactions, session tokens and request ids, over real connection pools.

mod operator_support;

use std::sync::Arc;

use hookpoint::proxy::{Proxy, ProxyHandle};
use hookpoint_lab::stack::{DatabaseOptions, Stack};
use hookpoint_workload::deployment::costa_rica;
use operator_support::{bundle_of, connect, roll, settings, wait_until_in_force};
use tokio_postgres::SimpleQueryMessage;

const LEDGER: &str = "CREATE SCHEMA IF NOT EXISTS hookpoint; \
    CREATE TABLE IF NOT EXISTS hookpoint.request_ledger (request_id text PRIMARY KEY)";

async fn two_proxies() -> (Stack, String, ProxyHandle, ProxyHandle) {
    let stack = Stack::start(Arc::new(costa_rica()), DatabaseOptions::default())
        .await
        .expect("stand-ins");
    let first = Proxy::start(settings(&stack, 0)).await.expect("a proxy");
    let second = Proxy::start(settings(&stack, 1)).await.expect("a proxy");
    let version = roll(&stack, bundle_of(&stack)).await;
    wait_until_in_force(&first, version).await;
    wait_until_in_force(&second, version).await;
    let group = stack.deployment.groups[0].name.to_string();
    (stack, group, first, second)
}

async fn first_column(client: &tokio_postgres::Client, text: &str) -> String {
    let messages = client.simple_query(text).await.expect("an answer");
    let row = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    });
    row.unwrap_or_default()
}

fn sqlstate(error: &tokio_postgres::Error) -> &str {
    error.code().map_or("", |code| code.code())
}

#[actix_rt::test]
async fn statements_transactions_and_tokens_work() {
    let (_stack, group, first, second) = two_proxies().await;
    let mut client = connect(&first, &group).await;
    let table = "CREATE TABLE notes (id integer, body text)";
    client.batch_execute(table).await.expect("a table");
    let insert = client
        .prepare("INSERT INTO notes VALUES ($1, $2)")
        .await
        .expect("a statement");
    let select = client
        .prepare("SELECT body FROM notes WHERE id = $1")
        .await
        .expect("a statement");
    for id in 0..20_i32 {
        let body = format!("note {id}");
        client
            .execute(&insert, &[&id, &body])
            .await
            .expect("a write");
        let row = client.query_one(&select, &[&id]).await.expect("a row");
        assert_eq!(row.get::<_, String>(0), body);
    }
    let transaction = client.transaction().await.expect("a transaction");
    let written = transaction.execute(&insert, &[&100_i32, &"undone"]).await;
    written.expect("a write");
    let seen = transaction.query(&select, &[&100_i32]).await.expect("rows");
    assert_eq!(seen.len(), 1);
    transaction.rollback().await.expect("a rollback");
    let seen = client.query(&select, &[&100_i32]).await.expect("rows");
    assert!(seen.is_empty());
    let token = first_column(&client, "SHOW hookpoint.token").await;
    let moved = connect(&second, &group).await;
    let set = format!("SET hookpoint.token = '{token}'");
    moved.batch_execute(&set).await.expect("a token");
    assert_eq!(
        first_column(&moved, "SELECT count(*) FROM notes").await,
        "20"
    );
    first.stop().await;
    second.stop().await;
}

#[actix_rt::test]
async fn a_request_with_an_id_runs_once() {
    let (_stack, group, first, second) = two_proxies().await;
    let client = connect(&first, &group).await;
    let other = connect(&second, &group).await;
    client.batch_execute(LEDGER).await.expect("a ledger");
    let table = "CREATE TABLE notices (id integer)";
    client.batch_execute(table).await.expect("a table");
    let notice = "INSERT INTO notices VALUES (1) /*request_id='n1'*/";
    client.batch_execute(notice).await.expect("a write");
    for repeater in [&client, &other] {
        let error = repeater
            .execute(notice, &[])
            .await
            .expect_err("already ran");
        assert_eq!(sqlstate(&error), "HR001");
    }
    other
        .execute(
            "INSERT INTO notices VALUES ($1) /*request_id='n2'*/",
            &[&2_i32],
        )
        .await
        .expect("a write");
    assert_eq!(
        first_column(&other, "SELECT count(*) FROM notices").await,
        "2"
    );
    first.stop().await;
    second.stop().await;
}
