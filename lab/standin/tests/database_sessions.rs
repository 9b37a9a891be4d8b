//! Tests of sessions: transactions, settings, portals, COPY, authentication and
//! malformed input.

mod database_support;

use std::time::Duration;

use database_support::{
    code, config, connect, expect_failure, group_of_three, query_number, query_texts, start,
    status_of, try_connect, wait_until, wait_until_replayed,
};
use futures::{SinkExt, TryStreamExt};
use hookpoint_standin::database::GroupSettings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_postgres::{Client, NoTls};

async fn run(client: &Client, sql: &str) {
    client
        .batch_execute(sql)
        .await
        .unwrap_or_else(|error| panic!("{sql}: {error}"));
}

#[tokio::test]
async fn transactions_are_atomic() {
    let group = start(group_of_three()).await;
    let client = connect(&group, "a").await;
    // Statements, and the number of notes after them.
    let cases: [(&[&str], i64); 9] = [
        (&["BEGIN", "INSERT INTO notes VALUES (1, 'x')", "COMMIT"], 1),
        (
            &["BEGIN", "INSERT INTO notes VALUES (2, 'x')", "ROLLBACK"],
            1,
        ),
        (
            &["INSERT INTO notes VALUES (2, 'x'); INSERT INTO notes VALUES (1, 'x')"],
            1,
        ),
        (
            &["INSERT INTO notes VALUES (2, 'x'); INSERT INTO notes VALUES (3, 'x')"],
            3,
        ),
        (
            &["BEGIN", "DELETE FROM notes", "SELECT broken", "COMMIT"],
            3,
        ),
        (
            &["BEGIN; DELETE FROM notes WHERE id = 3; COMMIT; SELECT broken"],
            2,
        ),
        (
            &[
                "BEGIN",
                "SAVEPOINT one",
                "DELETE FROM notes",
                "ROLLBACK TO one",
                "COMMIT",
            ],
            2,
        ),
        (
            &[
                "BEGIN",
                "SAVEPOINT one",
                "SELECT broken",
                "ROLLBACK TO SAVEPOINT one",
                "INSERT INTO notes VALUES (4, 'x')",
                "RELEASE one",
                "COMMIT",
            ],
            3,
        ),
        (
            &[
                "BEGIN",
                "INSERT INTO notes VALUES (5, 'x')",
                "INSERT INTO notes VALUES (5, 'x')",
                "END",
            ],
            3,
        ),
    ];
    for (statements, expected) in cases {
        for sql in statements {
            // Some of the statements are expected to fail.
            let _ = client.simple_query(sql).await;
        }
        assert_eq!(
            query_number(&client, "SELECT count(*) FROM notes").await,
            expected,
            "{statements:?}"
        );
    }
    wait_until_replayed(&group).await;
    let replica = connect(&group, "c").await;
    assert_eq!(
        query_number(&replica, "SELECT count(*) FROM notes").await,
        3
    );
    group.stop().await;
}

#[tokio::test]
async fn uncommitted_writes_are_invisible_to_other_sessions() {
    let mut settings = group_of_three();
    settings.lock_wait = Duration::from_millis(50);
    let group = start(settings).await;
    let writer = connect(&group, "a").await;
    let reader = connect(&group, "a").await;
    run(&reader, "BEGIN ISOLATION LEVEL REPEATABLE READ READ ONLY").await;
    assert_eq!(query_number(&reader, "SELECT count(*) FROM notes").await, 0);
    // A schema change blocks other writers until the transaction ends.
    run(
        &writer,
        "BEGIN; INSERT INTO notes VALUES (1, 'x'); CREATE TABLE held (id INT)",
    )
    .await;
    assert_eq!(query_number(&writer, "SELECT count(*) FROM notes").await, 1);
    let other = connect(&group, "a").await;
    assert_eq!(query_number(&other, "SELECT count(*) FROM notes").await, 0);
    assert_eq!(
        expect_failure(&other, "INSERT INTO notes VALUES (2, 'x')").await,
        "55P03"
    );
    run(&writer, "COMMIT").await;
    assert_eq!(query_number(&other, "SELECT count(*) FROM notes").await, 1);
    assert_eq!(query_number(&reader, "SELECT count(*) FROM notes").await, 0);
    run(&reader, "COMMIT").await;
    assert_eq!(query_number(&reader, "SELECT count(*) FROM notes").await, 1);
    group.stop().await;
}

#[tokio::test]
async fn idle_transactions_do_not_block_other_writers() {
    let group = start(group_of_three()).await;
    let idle = connect(&group, "a").await;
    let other = connect(&group, "a").await;
    // Statement of the idle transaction, statement that the other session commits
    // meanwhile, next statement of the idle transaction and its expected error,
    // and the expected number of notes.
    let update = "UPDATE notes SET body = body || '!' WHERE id = 1";
    let lock = "SELECT body FROM notes WHERE id = 1 FOR UPDATE";
    let insert = "INSERT INTO notes VALUES (9, 'x')";
    let update_other = "UPDATE notes SET body = 'other' WHERE id = 2";
    let delete = "DELETE FROM notes WHERE id = 1";
    let cases = [
        (update, update_other, "COMMIT", None, 2),
        (update, update, "COMMIT", None, 2),
        (lock, update_other, update, None, 2),
        (lock, update, update, Some("40001"), 2),
        (update, delete, "COMMIT", Some("40001"), 1),
        (insert, insert, "SELECT 1", Some("23505"), 3),
    ];
    for (first, meanwhile, then, expected, count) in cases {
        let reset = "DELETE FROM notes; INSERT INTO notes VALUES (1, 'x'), (2, 'x')";
        run(&other, reset).await;
        run(&idle, "BEGIN").await;
        run(&idle, first).await;
        run(&other, meanwhile).await;
        let outcome = idle.simple_query(then).await;
        let failed = outcome.err().map(|error| code(&error));
        assert_eq!(failed.as_deref(), expected, "{first}; {meanwhile}; {then}");
        run(&idle, "COMMIT").await;
        let stored = query_number(&other, "SELECT count(*) FROM notes").await;
        assert_eq!(stored, count, "{first}; {meanwhile}; {then}");
    }
    run(
        &other,
        "DELETE FROM notes; INSERT INTO notes VALUES (1, 'x')",
    )
    .await;
    run(&idle, &format!("BEGIN; {update}; {update}")).await;
    run(&other, update).await;
    assert_eq!(query_texts(&idle, "SELECT body FROM notes").await, ["x!!!"]);
    run(&idle, "ROLLBACK").await;
    assert_eq!(query_texts(&idle, "SELECT body FROM notes").await, ["x!"]);
    wait_until_replayed(&group).await;
    assert_eq!(
        query_texts(&connect(&group, "c").await, "SELECT body FROM notes").await,
        ["x!"]
    );
    group.stop().await;
}

/// Moves one unit between two accounts. Returns false if the transfer must be
/// retried.
async fn transfer(client: &Client, from: i64, to: i64) -> bool {
    let lock = format!("SELECT balance FROM accounts WHERE id IN ({from}, {to}) FOR UPDATE");
    let withdraw = format!("UPDATE accounts SET balance = balance - 1 WHERE id = {from}");
    let deposit = format!("UPDATE accounts SET balance = balance + 1 WHERE id = {to}");
    for sql in ["BEGIN", &lock, &withdraw, &deposit, "COMMIT"] {
        if let Err(error) = client.simple_query(sql).await {
            assert_eq!(code(&error), "40001", "{sql}");
            run(client, "ROLLBACK").await;
            return false;
        }
    }
    true
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_transfers_preserve_the_total_balance() {
    let mut settings = group_of_three();
    settings.schema = vec![
        "CREATE TABLE accounts (id BIGINT PRIMARY KEY, balance BIGINT NOT NULL)".to_owned(),
        "INSERT INTO accounts VALUES (0, 100), (1, 100), (2, 100), (3, 100)".to_owned(),
    ];
    let group = start(settings).await;
    let mut sessions = Vec::new();
    for session in 0..5_i64 {
        let client = connect(&group, "a").await;
        sessions.push(tokio::spawn(async move {
            let mut done = 0;
            let mut tried = 0;
            while done < 20 {
                tried += 1;
                assert!(tried < 10_000, "transfers starve");
                let from = (session + tried) % 4;
                if transfer(&client, from, (from + 1) % 4).await {
                    done += 1;
                }
            }
        }));
    }
    for session in sessions {
        session.await.expect("the session ends");
    }
    wait_until_replayed(&group).await;
    for name in ["a", "b", "c"] {
        let client = connect(&group, name).await;
        assert_eq!(
            query_number(&client, "SELECT sum(balance) FROM accounts").await,
            400
        );
    }
    // The log has two updates per transfer.
    assert_eq!(group.history("b").len(), 200);
    group.stop().await;
}

#[tokio::test]
async fn disconnected_client_is_rolled_back_and_releases_its_write_permit() {
    let group = start(group_of_three()).await;
    let lost = connect(&group, "a").await;
    run(&lost, "BEGIN; INSERT INTO notes VALUES (1, 'x')").await;
    drop(lost);
    let client = connect(&group, "a").await;
    run(&client, "INSERT INTO notes VALUES (1, 'y')").await;
    assert_eq!(query_texts(&client, "SELECT body FROM notes").await, ["y"]);
    group.stop().await;
}

#[tokio::test]
async fn settings_have_session_and_transaction_scope() {
    let group = start(group_of_three()).await;
    let client = connect(&group, "a").await;
    // Statements, the name of a setting, and its expected value after them.
    let cases = [
        ("SET hookpoint.token = 'a b'", "hookpoint.token", "a b"),
        ("SET search_path TO one, \"Two\"", "search_path", "one, Two"),
        (
            "BEGIN; SET search_path = three; ROLLBACK",
            "search_path",
            "one, Two",
        ),
        (
            "BEGIN; SET LOCAL search_path = three; COMMIT",
            "search_path",
            "one, Two",
        ),
        (
            "BEGIN; SET search_path = three; COMMIT",
            "search_path",
            "three",
        ),
        ("RESET search_path", "search_path", "\"$user\", public"),
        ("SET TIME ZONE 'Europe/Athens'", "TimeZone", "Europe/Athens"),
        ("SET application_name = 'x'; RESET ALL", "TimeZone", "UTC"),
        (
            "SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY",
            "transaction_read_only",
            "on",
        ),
        ("DISCARD ALL", "transaction_read_only", "off"),
        (
            "SET default_transaction_read_only = on",
            "default_transaction_read_only",
            "on",
        ),
    ];
    for (sql, name, expected) in cases {
        run(&client, sql).await;
        assert_eq!(
            query_texts(&client, &format!("SHOW {name}")).await,
            [expected],
            "{sql}"
        );
    }
    assert_eq!(expect_failure(&client, "DELETE FROM notes").await, "25006");
    let current_settings =
        "SELECT current_setting('TimeZone'), current_setting('hookpoint.none', true)";
    assert_eq!(
        query_texts(&client, current_settings).await,
        ["UTC", "NULL"]
    );
    assert_eq!(
        expect_failure(&client, "SELECT current_setting('none')").await,
        "42704"
    );
    let replica = connect(&group, "b").await;
    assert_eq!(query_texts(&replica, "SHOW in_hot_standby").await, ["on"]);
    let mut options = config(&group, "a");
    options.options("-c search_path=four -c hookpoint.token=five");
    let (client, connection) = options
        .connect(NoTls)
        .await
        .expect("the options are accepted");
    tokio::spawn(connection);
    assert_eq!(query_texts(&client, "SHOW search_path").await, ["four"]);
    assert_eq!(query_texts(&client, "SHOW hookpoint.token").await, ["five"]);
    group.stop().await;
}

#[tokio::test]
async fn portals_return_rows_in_batches() {
    let group = start(group_of_three()).await;
    let mut client = connect(&group, "a").await;
    let transaction = client.transaction().await.expect("BEGIN runs");
    let sql = "SELECT value FROM generate_series(1, 10) AS value";
    let portal = transaction
        .bind(sql, &[])
        .await
        .expect("the portal is bound");
    let mut sizes = Vec::new();
    loop {
        let rows = transaction
            .query_portal(&portal, 4)
            .await
            .expect("the query returns rows");
        sizes.push(rows.len());
        if rows.len() < 4 {
            break;
        }
    }
    assert_eq!(sizes, [4, 4, 2]);
    transaction.commit().await.expect("COMMIT runs");
    group.stop().await;
}

#[tokio::test]
async fn sql_cursors_and_prepared_statements_work() {
    let group = start(group_of_three()).await;
    let client = connect(&group, "a").await;
    run(
        &client,
        "PREPARE write (bigint, text) AS INSERT INTO notes VALUES ($1, $2)",
    )
    .await;
    for id in 1..=5 {
        run(&client, &format!("EXECUTE write ({id}, 'x')")).await;
    }
    assert_eq!(expect_failure(&client, "EXECUTE write (6)").await, "42601");
    assert_eq!(
        expect_failure(&client, "PREPARE loop AS EXECUTE loop").await,
        "42601"
    );
    assert_eq!(
        expect_failure(&client, "DECLARE some CURSOR FOR SELECT 1").await,
        "25P01"
    );
    run(
        &client,
        "BEGIN; DECLARE some CURSOR FOR SELECT id FROM notes ORDER BY id",
    )
    .await;
    // Statement, and the first value and the number of the rows it returns.
    let cases = [
        ("FETCH some", 1, 1),
        ("FETCH 2 FROM some", 2, 2),
        ("FETCH FORWARD ALL FROM some", 4, 2),
    ];
    for (sql, first, count) in cases {
        let rows = client
            .query(sql, &[])
            .await
            .expect("the query returns rows");
        assert_eq!(
            (rows[0].get::<_, i64>(0), rows.len()),
            (first, count),
            "{sql}"
        );
    }
    run(&client, "CLOSE some; COMMIT; DEALLOCATE write").await;
    assert_eq!(
        expect_failure(&client, "EXECUTE write (7, 'x')").await,
        "26000"
    );
    wait_until_replayed(&group).await;
    assert_eq!(
        query_number(&connect(&group, "b").await, "SELECT count(*) FROM notes").await,
        5
    );
    group.stop().await;
}

#[tokio::test]
async fn copy_works_in_both_directions() {
    let group = start(group_of_three()).await;
    let client = connect(&group, "a").await;
    let sink = client
        .copy_in("COPY notes (id, body) FROM STDIN")
        .await
        .expect("the copy starts");
    futures::pin_mut!(sink);
    sink.send(bytes::Bytes::from("1\tone\\ttab\n2\ttwo\n"))
        .await
        .expect("the data is accepted");
    assert_eq!(sink.finish().await.expect("the copy completes"), 2);
    let stream = client
        .copy_out("COPY notes TO STDOUT")
        .await
        .expect("the copy starts");
    let chunks: Vec<bytes::Bytes> = stream.try_collect().await.expect("the data is received");
    assert_eq!(chunks.concat(), b"1\tone\\ttab\n2\ttwo\n");
    wait_until_replayed(&group).await;
    assert_eq!(
        query_number(&connect(&group, "b").await, "SELECT count(*) FROM notes").await,
        2
    );
    group.stop().await;
}

#[tokio::test]
async fn passwords_are_verified() {
    let mut settings = group_of_three();
    settings.databases[0].password = Some("secret".to_owned());
    let group = start(settings).await;
    for (password, expected) in [("secret", None), ("wrong", Some("28P01"))] {
        let mut config = config(&group, "a");
        config.password(password);
        let outcome = config.connect(NoTls).await;
        let refused = outcome.err().map(|error| code(&error));
        assert_eq!(refused.as_deref(), expected, "{password}");
    }
    wait_until("all slots are released", || {
        status_of(&group, "a").open_connections == 0
    })
    .await;
    group.stop().await;
}

#[tokio::test]
async fn advisory_locks_exclude_other_sessions() {
    let group = start(group_of_three()).await;
    let one = connect(&group, "a").await;
    let two = connect(&group, "a").await;
    let cases = [
        (&one, "SELECT pg_try_advisory_lock(7)", "t"),
        (&two, "SELECT pg_try_advisory_lock(7)", "f"),
        (&two, "SELECT pg_advisory_unlock(7)", "f"),
        (&one, "SELECT pg_advisory_unlock(7)", "t"),
        (&two, "SELECT pg_try_advisory_lock(7)", "t"),
    ];
    for (client, sql, expected) in cases {
        assert_eq!(query_texts(client, sql).await, [expected], "{sql}");
    }
    let waiting = one.simple_query("SELECT pg_advisory_lock(7)");
    let unlocking = async {
        tokio::time::sleep(Duration::from_millis(30)).await;
        run(&two, "SELECT pg_advisory_unlock_all()").await;
    };
    let (locked, ()) = tokio::join!(waiting, unlocking);
    locked.expect("the lock is acquired");
    group.stop().await;
}

#[tokio::test]
async fn long_statements_time_out_and_large_results_are_complete() {
    let group = start(group_of_three()).await;
    let client = connect(&group, "a").await;
    let endless =
        "WITH RECURSIVE n (x) AS (SELECT 1 UNION ALL SELECT x + 1 FROM n) SELECT count(*) FROM n";
    run(&client, "SET statement_timeout = '50ms'").await;
    assert_eq!(expect_failure(&client, endless).await, "57014");
    assert_eq!(
        expect_failure(&client, "SELECT pg_sleep(60)").await,
        "57014"
    );
    run(&client, "RESET statement_timeout").await;
    let large = "SELECT value, repeat('x', 1000) AS body FROM generate_series(1, 20000) AS value";
    let rows = client
        .query(large, &[])
        .await
        .expect("the query returns rows");
    assert_eq!(rows.len(), 20_000);
    assert_eq!(rows[19_999].get::<_, &str>("body").len(), 1000);
    group.stop().await;
}

#[tokio::test]
async fn request_ledger_works_in_the_hookpoint_schema() {
    let mut settings = group_of_three();
    settings.schema = vec![
        "CREATE SCHEMA IF NOT EXISTS hookpoint".to_owned(),
        "CREATE TABLE hookpoint.request_ledger (request_id TEXT PRIMARY KEY, made TIMESTAMPTZ NOT NULL DEFAULT now())".to_owned(),
    ];
    let group = start(settings).await;
    let client = connect(&group, "a").await;
    let insert =
        "INSERT INTO hookpoint.request_ledger (request_id) VALUES ($1) ON CONFLICT DO NOTHING";
    for (request, changed) in [("one", 1), ("one", 0), ("two", 1)] {
        let result = client.execute(insert, &[&request]).await;
        assert_eq!(result.expect("the write runs"), changed, "{request}");
    }
    let twice = "INSERT INTO hookpoint.request_ledger (request_id) VALUES ('one')";
    assert_eq!(expect_failure(&client, twice).await, "23505");
    wait_until_replayed(&group).await;
    let made = "SELECT made FROM hookpoint.request_ledger WHERE request_id = 'one'";
    let replica = connect(&group, "b").await;
    assert_eq!(
        query_texts(&replica, made).await,
        query_texts(&client, made).await
    );
    group.stop().await;
}

#[tokio::test]
async fn malformed_statements_are_rejected() {
    let group = start(group_of_three()).await;
    let client = connect(&group, "a").await;
    let cases = [
        ("SELECT $0", "42P02"),
        ("CREATE TABLE t (id INT DEFAULT $99999999999)", "42P02"),
        ("SELECT ((((1)", "42601"),
        ("COPY STDIN", "42601"),
        ("COPY ( TO STDOUT", "42601"),
        ("SELECT 'open", "42601"),
        ("SELECT $tag$ open", "42601"),
        ("/* open", "42601"),
        ("SET statement_timeout = '18446744073709551615'", "22023"),
        ("SELECT '99999999999999999-01-01'::timestamptz", "22P02"),
        (
            "SELECT '2026-01-01 99999999999999999:00'::timestamptz",
            "22P02",
        ),
        ("SELECT '9223372036854775808'::bigint", "22P02"),
        ("SELECT now() + interval 'many days'", "22P02"),
        ("FETCH 1 FROM", "42601"),
        ("DECLARE", "42601"),
        ("PREPARE", "42601"),
    ];
    for (sql, expected) in cases {
        assert_eq!(expect_failure(&client, sql).await, expected, "{sql}");
        let prepared = client.prepare(sql).await;
        assert!(
            prepared.is_err() || client.execute(sql, &[]).await.is_err(),
            "{sql}"
        );
    }
    let deep = format!("SELECT {}1{}", "(".repeat(100_000), ")".repeat(100_000));
    assert_eq!(expect_failure(&client, &deep).await, "54000");
    let far = "SELECT now() + interval '99999999999 years' IS NOT NULL";
    assert_eq!(query_texts(&client, far).await, ["t"]);
    assert_eq!(status_of(&group, "a").open_connections, 1);
    group.stop().await;
}

#[tokio::test]
async fn malformed_input_closes_only_its_own_connection() {
    let group = start(GroupSettings {
        connect_delay: Duration::ZERO,
        ..group_of_three()
    })
    .await;
    let client = connect(&group, "a").await;
    let startup: &[u8] = b"\0\0\0\x12\0\x03\0\0user\0eve\0\0";
    // Whether the start-up message is sent first, and the malformed bytes.
    let cases: [(bool, &[u8]); 6] = [
        (false, b"GET / HTTP/1.1\r\n\r\n"),
        (false, b"\0\0\0\x01\0\x03\0\0"),
        (false, b"\xff\xff\xff\xff\0\x03\0\0"),
        (true, b"Q\x7f\xff\xff\xff"),
        (true, b"!\0\0\0\x04"),
        (true, b"Q\0\0\0\0"),
    ];
    for (starts, bytes) in cases {
        let mut stream = TcpStream::connect(group.address("a"))
            .await
            .expect("a connection");
        if starts {
            stream.write_all(startup).await.expect("the bytes are sent");
        }
        stream.write_all(bytes).await.expect("the bytes are sent");
        let mut response = Vec::new();
        // The connection may end by a reset or by an orderly close.
        let read = stream.read_to_end(&mut response);
        let ended = tokio::time::timeout(database_support::TIMEOUT, read).await;
        assert!(ended.is_ok(), "{bytes:?}");
    }
    assert_eq!(query_texts(&client, "SELECT 1").await, ["1"]);
    wait_until("the slots of the closed connections are free", || {
        status_of(&group, "a").open_connections == 1
    })
    .await;
    try_connect(&group, "a")
        .await
        .expect("other clients are still served");
    group.stop().await;
}
