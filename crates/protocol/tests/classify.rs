//! Classification of statements, mostly as tables of texts and expected classes.

use hookpoint_coordination::request::Access;
use hookpoint_protocol::classify::{
    Classifier, CopyDirection, SessionEffect, SettingChange, StatementKind, TransactionEnd,
    TransactionMode, UnitClass,
};
use quickcheck::{Arbitrary, Gen};

fn classify(sql: &str) -> UnitClass {
    Classifier::new().classify(sql)
}

#[test]
fn provable_reads_are_classified_as_reads() {
    let reads = [
        "",
        ";;",
        "-- nothing",
        "SELECT 1",
        "select * from readings where meter = $1 order by at desc limit 10",
        "SELECT count(*), max(value) FROM readings GROUP BY meter HAVING sum(value) > 3",
        "SELECT now(), current_date, pg_catalog.lower('A')",
        "WITH last AS (SELECT max(at) AS at FROM readings) SELECT * FROM readings JOIN last USING (at)",
        "VALUES (1, 'a'), (2, 'b')",
        "(SELECT 1) UNION ALL (SELECT 2)",
        "SELECT * FROM generate_series(1, 10) AS g(n)",
        "SELECT row_number() OVER (PARTITION BY meter ORDER BY at) FROM readings",
        "SELECT data->>'name', data @> '{}'::jsonb FROM messages WHERE tags && ARRAY['a']",
        "SELECT 'readings'::regclass::oid",
        "SELECT EXISTS (SELECT 1 FROM bills WHERE id = ANY($1))",
        "SELECT 'a; DELETE FROM readings'",
        "SELECT $$ it's ; DELETE FROM bills $$",
        "SELECT 1 /* ; DELETE FROM bills /* nested */ ; */",
        "EXPLAIN SELECT * FROM readings",
        "EXPLAIN INSERT INTO readings VALUES (1)",
        "EXPLAIN (COSTS off) SELECT 1",
        "EXPLAIN ANALYZE SELECT 1",
        "COPY readings TO STDOUT",
        "COPY (SELECT * FROM readings) TO STDOUT WITH (FORMAT csv)",
        "SHOW hookpoint.token",
        "SET search_path TO billing",
        "BEGIN READ ONLY",
        "START TRANSACTION ISOLATION LEVEL REPEATABLE READ, READ ONLY",
        "BEGIN READ ONLY; SELECT 1; COMMIT",
        "DECLARE c CURSOR FOR SELECT * FROM readings",
        "FETCH 10 FROM c",
    ];
    for sql in reads {
        assert_eq!(classify(sql).access, Access::Read, "{sql}");
    }
}

#[test]
fn unproved_statements_are_classified_as_writes() {
    let writes = [
        "INSERT INTO readings VALUES (1)",
        "UPDATE bills SET paid = true",
        "DELETE FROM bills",
        "MERGE INTO a USING b ON a.id = b.id WHEN MATCHED THEN DELETE",
        "SELECT 1; DELETE FROM bills",
        "SELECT * FROM bills FOR UPDATE",
        "SELECT * FROM bills FOR NO KEY UPDATE SKIP LOCKED",
        "SELECT * FROM (SELECT * FROM bills FOR SHARE) AS locked",
        "WITH gone AS (DELETE FROM bills RETURNING *) SELECT * FROM gone",
        "WITH made AS (INSERT INTO bills VALUES (1) RETURNING id) SELECT id FROM made",
        "SELECT * INTO archive FROM bills",
        "SELECT nextval('s')",
        "SELECT setval('s', 3)",
        "SELECT random()",
        "SELECT pg_sleep(1)",
        "SELECT set_config('a.b', 'c', false)",
        "SELECT pg_advisory_xact_lock(1)",
        "SELECT my_function(1)",
        "SELECT billing.lower('a')",
        "SELECT \"Lower\"('a')",
        "SELECT * FROM run_billing()",
        "SELECT a <<<>>> b FROM t",
        "SELECT a OPERATOR(billing.+) b FROM t",
        "SELECT 'x'::billing.meter_code",
        "SELECT count(*) FILTER (WHERE run_billing()) FROM t",
        "SELECT 1 ORDER BY run_billing()",
        "SELECT 1 LIMIT run_billing()",
        "EXPLAIN ANALYZE INSERT INTO readings VALUES (1)",
        "EXPLAIN (ANALYZE, BUFFERS) DELETE FROM bills",
        "EXPLAIN ANALYSE SELECT run_billing()",
        "DO $$ BEGIN PERFORM 1; END $$",
        "CALL run_billing()",
        "COPY readings FROM STDIN",
        "COPY readings TO '/tmp/file'",
        "COPY (DELETE FROM bills RETURNING *) TO STDOUT",
        "COPY readings TO PROGRAM 'cat'",
        "BEGIN",
        "BEGIN ISOLATION LEVEL SERIALIZABLE",
        "BEGIN READ WRITE",
        "BEGIN READ ONLY; SELECT run_billing()",
        "LOCK TABLE bills",
        "TRUNCATE bills",
        "CREATE TABLE t (a int)",
        "NOTIFY channel",
        "DECLARE c CURSOR FOR SELECT * FROM bills FOR UPDATE",
        "VACUUM",
        "this is no statement",
        "SELECT 'unterminated",
        "SELECT * FROM t PROCEDURE something()",
    ];
    for sql in writes {
        let class = classify(sql);
        assert_eq!(class.access, Access::Write, "{sql}: {class:?}");
    }
}

#[test]
fn possible_commits_are_detected() {
    // Text, whether it may commit outside a transaction block, whether inside one.
    let table = [
        ("SELECT 1", false, false),
        ("INSERT INTO t VALUES (1)", true, false),
        ("BEGIN", false, false),
        ("BEGIN; INSERT INTO t VALUES (1)", false, false),
        ("BEGIN; INSERT INTO t VALUES (1); COMMIT", true, true),
        ("BEGIN READ ONLY; SELECT 1; COMMIT", false, true),
        ("INSERT INTO t VALUES (1); ROLLBACK", false, false),
        ("COMMIT", true, true),
        ("END", true, true),
        ("ROLLBACK", false, false),
        ("ABORT", false, false),
        ("ROLLBACK TO SAVEPOINT s", false, false),
        ("ROLLBACK; INSERT INTO t VALUES (1)", true, true),
        ("COMMIT; SELECT 1", true, true),
        ("PREPARE TRANSACTION 'x'", true, true),
        ("COMMIT PREPARED 'x'", true, true),
        ("SELECT 'unterminated", true, true),
    ];
    for (sql, outside, inside) in table {
        let class = classify(sql);
        assert_eq!(class.to_unit(false).may_commit, outside, "{sql} outside");
        assert_eq!(class.to_unit(true).may_commit, inside, "{sql} inside");
    }
}

#[test]
fn starts_and_ends_of_transactions_are_detected() {
    let opened = |read_only| Some(TransactionMode { read_only });
    let table = [
        ("BEGIN", opened(false), None),
        ("BEGIN READ ONLY", opened(true), None),
        ("BEGIN WORK", opened(false), None),
        ("START TRANSACTION READ ONLY", opened(true), None),
        ("COMMIT", None, Some(TransactionEnd::Commit)),
        ("END TRANSACTION", None, Some(TransactionEnd::Commit)),
        ("ROLLBACK", None, Some(TransactionEnd::Rollback)),
        ("ROLLBACK TO s", None, None),
        ("SAVEPOINT s", None, None),
        ("COMMIT; BEGIN", opened(false), Some(TransactionEnd::Commit)),
        ("SELECT 1", None, None),
    ];
    for (sql, opens, ends) in table {
        let class = classify(sql);
        assert_eq!(class.opens_transaction, opens, "{sql}");
        assert_eq!(class.ends_transaction, ends, "{sql}");
    }
}

#[test]
fn parameter_changes_are_extracted() {
    let set = |name: &str, value: &str, local| SettingChange::Set {
        name: name.to_owned(),
        value: value.to_owned(),
        local,
    };
    let reset = |name: &str| SettingChange::Reset {
        name: name.to_owned(),
    };
    let table = [
        (
            "SET search_path TO a, \"B\"",
            vec![set("search_path", "a, \"B\"", false)],
        ),
        (
            "SET search_path = 'a,b'",
            vec![set("search_path", "\"a,b\"", false)],
        ),
        (
            "SET SESSION Statement_Timeout = '5s'",
            vec![set("statement_timeout", "5s", false)],
        ),
        ("SET LOCAL work_mem = 64", vec![set("work_mem", "64", true)]),
        ("SET x.y = -1", vec![set("x.y", "-1", false)]),
        (
            "SET hookpoint.request_id = 'a''b'",
            vec![set("hookpoint.request_id", "a'b", false)],
        ),
        ("SET TIME ZONE 'UTC'", vec![set("timezone", "UTC", false)]),
        ("SET TIME ZONE LOCAL", vec![reset("timezone")]),
        (
            "SET NAMES 'utf8'",
            vec![set("client_encoding", "utf8", false)],
        ),
        ("SET ROLE clerk", vec![set("role", "clerk", false)]),
        ("SET work_mem TO DEFAULT", vec![reset("work_mem")]),
        ("RESET work_mem", vec![reset("work_mem")]),
        ("RESET ALL", vec![SettingChange::ResetAll]),
        (
            "SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY",
            vec![set("default_transaction_read_only", "on", false)],
        ),
        ("SELECT 1", vec![]),
        ("SET TRANSACTION READ ONLY", vec![]),
    ];
    for (sql, settings) in table {
        let class = classify(sql);
        assert_eq!(class.settings, settings, "{sql}");
        assert_eq!(class.unsupported, None, "{sql}");
    }
}

#[test]
fn session_effects_are_classified() {
    let table = [
        ("SELECT 1", SessionEffect::None),
        ("INSERT INTO t VALUES (now())", SessionEffect::None),
        ("SELECT nextval('s')", SessionEffect::None),
        ("SET LOCAL a.b = 1", SessionEffect::None),
        ("SET TRANSACTION READ ONLY", SessionEffect::None),
        ("COPY t FROM STDIN", SessionEffect::None),
        ("SET a.b = 1", SessionEffect::Tracked),
        ("RESET ALL", SessionEffect::Tracked),
        ("SELECT run_billing()", SessionEffect::Unknown),
        (
            "SELECT set_config('a.b', 'c', false)",
            SessionEffect::Unknown,
        ),
        ("INSERT INTO t SELECT run_billing()", SessionEffect::Unknown),
        ("DO $$ BEGIN END $$", SessionEffect::Unknown),
        ("CALL run_billing()", SessionEffect::Unknown),
        ("DISCARD ALL", SessionEffect::Unknown),
        ("DEALLOCATE ALL", SessionEffect::Unknown),
        ("SET a.b = 1; SELECT run_billing()", SessionEffect::Unknown),
        ("no statement", SessionEffect::Unknown),
    ];
    for (sql, effect) in table {
        assert_eq!(classify(sql).session_effect, effect, "{sql}");
    }
}

#[test]
fn features_unsupported_by_pooling_are_reported() {
    let unsupported = [
        ("LISTEN c", "LISTEN"),
        ("SELECT 1; LISTEN c", "LISTEN"),
        ("LOAD 'lib'", "LOAD"),
        ("CREATE TEMP TABLE t (a int)", "temporary tables"),
        (
            "CREATE LOCAL TEMPORARY TABLE t AS SELECT 1",
            "temporary tables",
        ),
        ("CREATE TEMP SEQUENCE s", "temporary tables"),
        (
            "CREATE OR REPLACE TEMP VIEW v AS SELECT 1",
            "temporary tables",
        ),
        ("CREATE TABLE pg_temp.t (a int)", "temporary tables"),
        ("SELECT 1 INTO TEMP t", "temporary tables"),
        ("SELECT pg_advisory_lock(1)", "pg_advisory_lock()"),
        (
            "SELECT pg_catalog.pg_try_advisory_lock(1, 2)",
            "pg_try_advisory_lock()",
        ),
        (
            "DO $$ BEGIN END $$; SELECT \"pg_advisory_lock\"(1)",
            "pg_advisory_lock()",
        ),
        ("SELECT currval('s')", "currval()"),
        (
            "DECLARE c CURSOR WITH HOLD FOR SELECT 1",
            "DECLARE ... WITH HOLD",
        ),
        ("COMMIT AND CHAIN", "AND CHAIN"),
        ("PREPARE p AS SELECT 1", "PREPARE"),
        ("EXECUTE p", "EXECUTE"),
        ("DEALLOCATE p", "DEALLOCATE"),
        (
            "SET SESSION AUTHORIZATION clerk",
            "SET SESSION AUTHORIZATION",
        ),
        (
            "SET standard_conforming_strings = off",
            "a change of standard_conforming_strings",
        ),
        (
            "SET LOCAL Synchronous_Commit TO off",
            "a change of synchronous_commit",
        ),
        (
            "SELECT set_config('synchronous_commit', 'off', false)",
            "a change of synchronous_commit",
        ),
        (
            "SELECT pg_catalog.set_config($1, 'off', false)",
            "a change of a parameter whose name is not a literal",
        ),
    ];
    for (sql, feature) in unsupported {
        assert_eq!(classify(sql).unsupported.as_deref(), Some(feature), "{sql}");
    }
    let supported = [
        "UNLISTEN *",
        "NOTIFY c, 'x'",
        "SELECT pg_advisory_xact_lock(1)",
        "SELECT pg_advisory_unlock_all()",
        "DECLARE c CURSOR WITHOUT HOLD FOR SELECT 1",
        "COMMIT AND NO CHAIN",
        "PREPARE TRANSACTION 'x'",
        "DEALLOCATE ALL",
        "CREATE TABLE temp (a int)",
        "SELECT 'LISTEN'",
        "SELECT pg_advisory_lock FROM t",
        "CLOSE ALL",
        "SELECT set_config('work_mem', '1MB', true)",
        "SHOW synchronous_commit",
    ];
    for sql in supported {
        assert_eq!(classify(sql).unsupported, None, "{sql}");
    }
}

#[test]
fn request_identifiers_are_extracted_from_comments() {
    let table = [
        ("INSERT INTO t VALUES (1) /*request_id='a-1'*/", Some("a-1")),
        (
            "/*request_id='a%2F1%20b'*/ INSERT INTO t VALUES (1)",
            Some("a/1 b"),
        ),
        (
            "SELECT 1 /*app='x', request_id='it\\'s',trace='y'*/",
            Some("it's"),
        ),
        ("SELECT '/*request_id=''no''*/'", None),
        ("SELECT 1 /* no pairs */", None),
        ("SELECT 1 -- request_id='no'", None),
        ("broken ' /*request_id='kept'*/", Some("kept")),
    ];
    for (sql, id) in table {
        let class = classify(sql);
        let found = class.request_id.as_ref().map(|id| id.as_str());
        assert_eq!(found, id, "{sql}");
    }
    let long = format!("SELECT 1 /*request_id='{}'*/", "x".repeat(2_000));
    assert!(classify(&long).unsupported.is_some());
    assert!(classify("SELECT 1 /*request_id=''*/").unsupported.is_some());
}

#[test]
fn shown_parameters_and_copy_directions_are_reported() {
    assert_eq!(
        classify("SHOW hookpoint.Token").show.as_deref(),
        Some("hookpoint.token")
    );
    assert_eq!(classify("show time zone").show.as_deref(), Some("timezone"));
    assert_eq!(classify("SHOW a; SHOW b").show, None);
    let from_client = Some(CopyDirection::FromCaller);
    assert_eq!(classify("COPY t (a, b) FROM STDIN").copy, from_client);
    assert_eq!(
        classify("COPY t TO STDOUT").copy,
        Some(CopyDirection::ToCaller)
    );
    assert_eq!(classify("COPY t FROM '/file'").copy, None);
}

#[test]
fn long_texts_are_not_analysed() {
    let sql = format!("SELECT '{}' /*request_id='r'*/", "x".repeat(300_000));
    let class = classify(&sql);
    assert_eq!(class.access, Access::Write);
    assert_eq!(class.session_effect, SessionEffect::Unknown);
    assert_eq!(class.request_id.unwrap().as_str(), "r");
}

#[test]
fn deep_nesting_is_a_write_and_does_not_overflow_the_stack() {
    let sql = format!("SELECT {}1{}", "(".repeat(20_000), ")".repeat(20_000));
    assert_eq!(classify(&sql).access, Access::Write);
}

#[test]
fn cache_is_bounded_and_returns_the_same_classes() {
    let classifier = Classifier::new();
    for number in 0..5_000 {
        let sql = format!("SELECT {number}");
        assert_eq!(classifier.classify(&sql), classifier.classify(&sql));
    }
    assert_eq!(classifier.cached_texts(), 2_048);
    let class = classifier.classify("SELECT 1");
    assert_eq!(class.statements, [StatementKind::Query]);
}

/// Random texts must not make the classifier panic, and no text that follows a `DELETE` may
/// make the unit count as a read.
#[test]
fn random_texts_do_not_panic_or_hide_a_write() {
    let fragments = [
        "SELECT",
        "1",
        ";",
        "'",
        "''",
        "$$",
        "$a$",
        "/*",
        "*/",
        "--",
        "\n",
        "(",
        ")",
        "\\",
        "E'",
        "\"",
        "FOR UPDATE",
        "BEGIN",
        "SET",
        "=",
        "TO",
        "COPY",
        "t",
        "FROM",
        "STDIN",
        "U&'",
        ",",
        "request_id='",
        "%",
        "é",
        "\0",
        "EXPLAIN",
        "ANALYZE",
        "DECLARE",
        "::",
        "ROLLBACK",
        ".",
    ];
    for seed in 0..3_000 {
        let mut random = Gen::from_size_and_seed(30, seed);
        let count = usize::arbitrary(&mut random) % 20;
        let text: Vec<&str> = (0..count)
            .map(|_| *random.choose(&fragments).unwrap())
            .collect();
        let sql = text.join(" ");
        classify(&sql);
        classify(&String::arbitrary(&mut random));
        let class = classify(&format!("DELETE FROM t; {sql}"));
        assert_eq!(class.access, Access::Write, "{sql}");
    }
}
