//! Tests of the caller side with ordinary callers: routing, transactions, prepared
//! statements, session parameters and tokens.

mod caller_support;

use caller_support::raw::{RawClient, command_tags, first_error};
use caller_support::{FakeGroup, config, connect, connect_with, detail, sqlstate, start};

/// Returns the first column of the rows of a simple query.
async fn simple_values(client: &tokio_postgres::Client, text: &str) -> Vec<String> {
    let messages = client.simple_query(text).await.expect("an answer");
    let rows = messages.iter().filter_map(|message| match message {
        tokio_postgres::SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    });
    rows.collect()
}

#[actix_rt::test]
async fn reads_go_to_a_replica_and_writes_to_the_primary() {
    let group = FakeGroup::new();
    let handle = start(&group).await;
    let client = connect(&handle).await;
    let row = client.query_one("SELECT $1", &[&"seven"]).await;
    assert_eq!(row.expect("a row").get::<_, String>(0), "seven");
    client
        .execute("INSERT INTO t VALUES ($1)", &[&"x"])
        .await
        .expect("a write");
    group.observe_all();
    assert_eq!(simple_values(&client, "SELECT 'eight'").await, ["eight"]);
    assert_eq!(group.ran_on("INSERT"), ["db-a"]);
    let counts = handle.unit_counts();
    assert_eq!((counts.primary, counts.not_run, counts.unknown), (1, 0, 0));
    assert!(counts.replica >= 2);
    assert_ne!(group.ran_on("SELECT $1"), ["db-a"]);
    assert_ne!(group.ran_on("SELECT 'eight'"), ["db-a"]);
    handle.stop().await;
}

#[actix_rt::test]
async fn read_after_the_sessions_write_runs_on_the_primary() {
    let group = FakeGroup::new();
    group.server.lock().replicas_follow = false;
    let handle = start(&group).await;
    let client = connect(&handle).await;
    client
        .simple_query("INSERT INTO t VALUES (1)")
        .await
        .expect("a write");
    assert_eq!(simple_values(&client, "SELECT 'x'").await, ["x"]);
    assert_eq!(group.ran_on("SELECT 'x'").last().expect("it ran"), "db-a");
    handle.stop().await;
}

#[actix_rt::test]
async fn write_without_a_majority_is_not_acknowledged() {
    let group = FakeGroup::new();
    group.server.lock().replicas_confirm = false;
    let handle = start(&group).await;
    let client = connect(&handle).await;
    let error = client.simple_query("INSERT INTO t VALUES (1)").await;
    let error = error.expect_err("no acknowledgement");
    assert_eq!(sqlstate(&error), "08007");
    assert!(detail(&error).contains("hookpoint.outcome=unknown"));
    handle.stop().await;
}

#[actix_rt::test]
async fn transaction_stays_on_one_connection() {
    let group = FakeGroup::new();
    let handle = start(&group).await;
    let mut client = connect(&handle).await;
    let before = group.acquired.lock().len();
    let transaction = client.transaction().await.expect("a transaction");
    transaction
        .execute("INSERT INTO t VALUES ($1)", &[&"x"])
        .await
        .expect("a write");
    let row = transaction
        .query_one("SELECT $1", &[&"y"])
        .await
        .expect("a row");
    assert_eq!(row.get::<_, String>(0), "y");
    transaction.commit().await.expect("a commit");
    assert_eq!(group.acquired.lock().len() - before, 1);
    assert_eq!(
        group.log(),
        [
            "START TRANSACTION",
            "INSERT INTO t VALUES ($1)",
            "SELECT $1",
            "COMMIT"
        ]
    );
    handle.stop().await;
}

#[actix_rt::test]
async fn prepared_statements_outlive_connections() {
    let group = FakeGroup::new();
    let handle = start(&group).await;
    let client = connect(&handle).await;
    let read = client.prepare("SELECT $1").await.expect("a statement");
    let write = client
        .prepare("INSERT INTO t VALUES ($1)")
        .await
        .expect("a statement");
    for round in ["a", "b", "c"] {
        client.execute(&write, &[&round]).await.expect("a write");
        let row = client.query_one(&read, &[&round]).await.expect("a row");
        assert_eq!(row.get::<_, String>(0), round);
    }
    let error = client
        .prepare("syntax error")
        .await
        .expect_err("no statement");
    assert_eq!(sqlstate(&error), "42601");
    handle.stop().await;
}

#[actix_rt::test]
async fn session_parameters_follow_the_session() {
    let group = FakeGroup::new();
    let handle = start(&group).await;
    let mut parameters = config(&handle);
    parameters
        .application_name("reminders")
        .options("-c intervalstyle=clinic");
    let client = connect_with(&parameters).await;
    assert_eq!(
        simple_values(&client, "SHOW application_name").await,
        ["reminders"]
    );
    assert_eq!(
        simple_values(&client, "SHOW intervalstyle").await,
        ["clinic"]
    );
    client
        .simple_query("SET intervalstyle = 'shop'")
        .await
        .expect("a setting");
    assert_eq!(simple_values(&client, "SHOW intervalstyle").await, ["shop"]);
    client
        .simple_query("SET intervalstyle = 'INVALID'")
        .await
        .expect_err("refused");
    assert_eq!(simple_values(&client, "SHOW intervalstyle").await, ["shop"]);
    client
        .simple_query("BEGIN; SET intervalstyle = 'lost'; ROLLBACK")
        .await
        .expect("a block");
    assert_eq!(simple_values(&client, "SHOW intervalstyle").await, ["shop"]);
    client
        .simple_query("RESET intervalstyle")
        .await
        .expect("a reset");
    assert_eq!(
        simple_values(&client, "SHOW intervalstyle").await,
        ["clinic"]
    );
    handle.stop().await;
}

#[actix_rt::test]
async fn start_up_parameters_are_checked_before_the_first_request() {
    let group = FakeGroup::new();
    let handle = start(&group).await;
    let cases = [
        ("-c intervalstyle=INVALID", Some("22023")),
        (r"-c intervalstyle=it's\\\ fine", None),
    ];
    for (options, expected) in cases {
        let (mut client, _) = RawClient::begin(&handle, &[("options", options)]).await;
        let answer = client.query("INSERT INTO t VALUES (1)").await;
        assert_eq!(first_error(&answer).as_deref(), expected, "{options}");
        let ran = group.ran_on("INSERT").len();
        assert_eq!(ran, usize::from(expected.is_none()), "{options}");
    }
    let sets = group.ran_on("SET").len();
    let (mut client, _) = RawClient::begin(&handle, &[("options", cases[1].0)]).await;
    assert_eq!(command_tags(&client.query("SELECT 1").await), ["SELECT 1"]);
    assert_eq!(
        group.ran_on("SET").len(),
        sets,
        "what was accepted is not checked again"
    );
    handle.stop().await;
}

#[actix_rt::test]
async fn token_continues_a_session_on_another_proxy() {
    let group = FakeGroup::new();
    group.server.lock().replicas_follow = false;
    let (first, second) = (start(&group).await, start(&group).await);
    let client = connect(&first).await;
    client
        .simple_query("INSERT INTO t VALUES (1)")
        .await
        .expect("a write");
    let token = simple_values(&client, "SHOW hookpoint.token")
        .await
        .remove(0);
    assert!(!token.is_empty());
    let row = client
        .query_one("SHOW hookpoint.token", &[])
        .await
        .expect("a row");
    assert_eq!(row.get::<_, String>(0), token);
    let verified = *group.verifications.lock();
    let reconnected = connect(&second).await;
    reconnected
        .simple_query(&format!("SET hookpoint.token = '{token}'"))
        .await
        .expect("a token");
    assert_eq!(simple_values(&reconnected, "SELECT 'mine'").await, ["mine"]);
    assert_eq!(
        *group.verifications.lock(),
        verified,
        "a good token needs no verification"
    );
    assert_eq!(
        group.ran_on("SELECT 'mine'").last().expect("it ran"),
        "db-a"
    );
    for forged in ["", "forged", &token[1..]] {
        let other_client = connect(&second).await;
        let set = format!("SET hookpoint.token = '{forged}'");
        other_client
            .simple_query(&set)
            .await
            .expect("a doubtful token");
        simple_values(&other_client, "SELECT 'doubt'").await;
        assert_eq!(
            group.ran_on("SELECT 'doubt'").last().expect("it ran"),
            "db-a"
        );
    }
    assert_eq!(*group.verifications.lock(), verified + 3);
    first.stop().await;
    second.stop().await;
}
