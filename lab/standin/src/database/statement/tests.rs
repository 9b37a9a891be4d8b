//! Statements of random tokens and bytes must be accepted or rejected without a
//! panic.

use pgwire::api::Type;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Statement, StatementKind};
use crate::database::infer::{ColumnTypes, parameter_types, referenced_tables};
use crate::database::lexer;
use crate::database::outcome::columns_of;
use crate::database::store::{EngineColumn, Store};

const STATEMENTS: usize = 20_000;
const WORDS: [&str; 78] = [
    "SELECT",
    "INSERT",
    "INTO",
    "VALUES",
    "UPDATE",
    "SET",
    "DELETE",
    "FROM",
    "WHERE",
    "COPY",
    "STDIN",
    "STDOUT",
    "TO",
    "WITH",
    "AS",
    "CREATE",
    "TABLE",
    "DEFAULT",
    "PRIMARY",
    "KEY",
    "BEGIN",
    "ROLLBACK",
    "SAVEPOINT",
    "RELEASE",
    "DECLARE",
    "CURSOR",
    "FOR",
    "FETCH",
    "ALL",
    "CLOSE",
    "PREPARE",
    "EXECUTE",
    "SHOW",
    "RESET",
    "LOCAL",
    "TIME",
    "ZONE",
    "CAST",
    "CASE",
    "WHEN",
    "THEN",
    "END",
    "GENERATED",
    "IDENTITY",
    "BIGSERIAL",
    "timestamp",
    "double",
    "interval",
    "ALTER",
    "ADD",
    "pg_sleep",
    "generate_series",
    "pg_control_checkpoint",
    "RETURNING",
    "LIMIT",
    "IN",
    "hookpoint",
    "public",
    "notes",
    "id",
    "(",
    ")",
    "[",
    "]",
    ",",
    ".",
    "::",
    "=",
    "+",
    "-",
    "*",
    "$1",
    "$0",
    "$99",
    "'text'",
    "\"Name\"",
    "1",
    "1.5e3",
];
const STARTS: [&str; 14] = [
    "SELECT",
    "INSERT INTO notes",
    "COPY",
    "COPY (",
    "SET",
    "CREATE TABLE t (",
    "FETCH",
    "DECLARE",
    "PREPARE",
    "EXECUTE",
    "WITH",
    "SHOW",
    "ALTER TABLE t ADD",
    "TRUNCATE",
];

/// Processes `sql` through all steps that a Parse message goes through. Returns
/// the number of statements that the engine accepted.
fn process(sql: &str, store: &mut Store) -> usize {
    let Ok(statements) = lexer::split(sql) else {
        return 0;
    };
    let mut accepted = 0;
    for raw in statements {
        let Ok(statement) = Statement::prepare(raw) else {
            continue;
        };
        let known = store.column_types(&referenced_tables(&statement.tokens));
        let known = known.unwrap_or_else(|_| ColumnTypes::default());
        let count = statement.parameters.min(100);
        let types = parameter_types(&statement.tokens, count, &[], &known);
        assert_eq!(types.len(), count);
        let column = EngineColumn {
            name: "count (1)".to_owned(),
            declared: None,
        };
        let columns = columns_of(&[column], &statement.tokens, &[Type::INT4], &known);
        assert_eq!(columns.len(), 1);
        if statement.kind == StatementKind::Read && store.describe(&statement.sql).is_ok() {
            accepted += 1;
        }
    }
    accepted
}

#[test]
fn random_tokens_do_not_panic() {
    let mut store = Store::open().expect("an empty store opens");
    store
        .run_batch("CREATE TABLE notes (id INT8, body TEXT)")
        .expect("the table is created");
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut accepted = 0;
    for _ in 0..STATEMENTS {
        let mut sql = (*STARTS.choose(&mut random).expect("a nonempty list")).to_owned();
        for _ in 0..random.random_range(0..12) {
            sql.push(' ');
            sql.push_str(WORDS.choose(&mut random).expect("a nonempty list"));
        }
        accepted += process(&sql, &mut store);
    }
    assert!(accepted > 10, "only {accepted} were accepted");
}

/// Statements that are mutated at random.
const VALID_STATEMENTS: [&str; 12] = [
    "SELECT id , body :: text FROM notes WHERE id = $1 AND body IN ( $2 , 'x' ) LIMIT $3 FOR UPDATE",
    "SELECT CASE WHEN id > 1 THEN CAST ( id AS int ) ELSE - 1 END AS size , count ( * ) FROM notes",
    "INSERT INTO notes ( id , body ) VALUES ( $1 , $2 ) , ( $3 , now ( ) ) RETURNING id + 1 AS next",
    "INSERT INTO hookpoint . request_ledger VALUES ( $1 ) ON CONFLICT DO NOTHING",
    "UPDATE notes SET body = body || $1 WHERE id BETWEEN $2 AND $3 + 1 - interval '1 day'",
    "WITH gone AS ( DELETE FROM notes RETURNING id ) SELECT max ( id ) FROM gone",
    "CREATE TABLE more ( id BIGSERIAL PRIMARY KEY , at timestamp with time zone DEFAULT now ( ) NOT NULL )",
    "ALTER TABLE notes ADD COLUMN size int DEFAULT ( 1 + 2 )",
    "COPY ( SELECT id FROM notes ) TO STDOUT",
    "COPY notes ( id , body ) FROM STDIN",
    "DECLARE some CURSOR FOR SELECT pg_sleep ( 0 ) , g FROM generate_series ( 1 , $1 ) AS g",
    "SELECT ( SELECT timeline_id FROM pg_control_checkpoint ( ) ) , pg_try_advisory_lock ( 1 , $1 )",
];

#[test]
fn mutated_statements_do_not_panic() {
    let mut store = Store::open().expect("an empty store opens");
    store
        .run_batch("CREATE TABLE notes (id INT8, body TEXT)")
        .expect("the table is created");
    let mut random = ChaCha8Rng::seed_from_u64(9);
    let mut accepted = 0;
    for _ in 0..STATEMENTS {
        let valid = VALID_STATEMENTS
            .choose(&mut random)
            .expect("a nonempty list");
        let mut words: Vec<&str> = valid.split(' ').collect();
        for _ in 0..random.random_range(0..4) {
            let at = random.random_range(0..words.len());
            match random.random_range(0..3) {
                0 if words.len() > 1 => drop(words.remove(at)),
                1 => words.truncate(at.max(1)),
                _ => words[at] = WORDS.choose(&mut random).expect("a nonempty list"),
            }
        }
        accepted += process(&words.join(" "), &mut store);
    }
    assert!(accepted > 500, "only {accepted} were accepted");
}

#[test]
fn random_bytes_do_not_panic() {
    let mut store = Store::open().expect("an empty store opens");
    let mut random = ChaCha8Rng::seed_from_u64(8);
    for _ in 0..STATEMENTS {
        let length = random.random_range(0..40);
        let bytes: Vec<u8> = (0..length).map(|_| random.random()).collect();
        process(&String::from_utf8_lossy(&bytes), &mut store);
        let ascii: String = bytes
            .iter()
            .map(|byte| char::from(byte % 95 + 32))
            .collect();
        process(&ascii, &mut store);
    }
}
