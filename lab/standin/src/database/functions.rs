//! PostgreSQL functions, implemented in the embedded engine.

use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::Mutex;
use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rusqlite::Connection;
use rusqlite::functions::{Context, FunctionFlags};
use rusqlite::types::{Value, ValueRef};

use super::position::{Lsn, segment_name};
use super::timestamp;
use super::value;

/// State from which the functions compute their results; set before each
/// statement.
#[derive(Debug)]
pub struct FunctionContext {
    /// Result of `now()`, in microseconds since 1970.
    pub timestamp: i64,
    /// Random number generator of the current statement.
    pub random: ChaCha8Rng,
    /// Whether the database is a replica.
    pub in_recovery: bool,
    /// Timeline that the database writes or follows.
    pub timeline: u64,
    /// End position of the local log.
    pub flushed: Lsn,
    /// End position of the entries that have been replayed locally.
    pub replayed: Lsn,
    /// Identifier of the session's connection.
    pub process: i32,
    /// User of the session.
    pub user: String,
    /// Database name that the session requested.
    pub database: String,
    /// Settings of the session; set only for statements that read settings.
    pub settings: BTreeMap<String, String>,
    /// Results of the statement's advisory lock calls, in reverse order.
    pub lock_results: Vec<bool>,
}

impl Default for FunctionContext {
    fn default() -> Self {
        Self {
            timestamp: 0,
            random: ChaCha8Rng::seed_from_u64(0),
            in_recovery: false,
            timeline: 1,
            flushed: Lsn(0),
            replayed: Lsn(0),
            process: 0,
            user: String::new(),
            database: String::new(),
            settings: BTreeMap::new(),
            lock_results: Vec::new(),
        }
    }
}

/// The context, shared with the functions registered in the engine.
pub type SharedContext = Arc<Mutex<FunctionContext>>;

type FunctionResult = rusqlite::Result<Value>;

/// An error inside a function; its message is sent to the client.
#[derive(Debug, thiserror::Error)]
enum FunctionError {
    #[error("recovery is in progress")]
    InRecovery,
    #[error("unrecognized configuration parameter \"{0}\"")]
    UnknownSetting(String),
    #[error("invalid input syntax for type {kind}: \"{text}\"")]
    InvalidInput { kind: &'static str, text: String },
}

fn function_error(error: FunctionError) -> rusqlite::Error {
    rusqlite::Error::UserFunctionError(Box::new(error))
}

fn invalid(kind: &'static str, text: &str) -> rusqlite::Error {
    function_error(FunctionError::InvalidInput {
        kind,
        text: text.to_owned(),
    })
}

/// Registers all functions on `connection`.
pub fn register(connection: &Connection, shared: &SharedContext) -> rusqlite::Result<()> {
    register_clock(connection, shared)?;
    register_positions(connection, shared)?;
    register_session(connection, shared)?;
    register_casts(connection)
}

fn define<F>(
    connection: &Connection,
    name: &str,
    arguments: i32,
    shared: &SharedContext,
    function: F,
) -> rusqlite::Result<()>
where
    F: Fn(&mut FunctionContext, &Context<'_>) -> FunctionResult + Send + 'static,
{
    let shared = shared.clone();
    connection.create_scalar_function(name, arguments, FunctionFlags::SQLITE_UTF8, move |call| {
        function(&mut shared.lock(), call)
    })
}

fn register_clock(connection: &Connection, shared: &SharedContext) -> rusqlite::Result<()> {
    for name in [
        "now",
        "statement_timestamp",
        "transaction_timestamp",
        "clock_timestamp",
    ] {
        define(connection, name, 0, shared, |context, _| {
            Ok(Value::Text(timestamp::format(context.timestamp)))
        })?;
    }
    define(connection, "random", 0, shared, |context, _| {
        let bits = context.random.next_u64() >> 11;
        Ok(Value::Real(bits as f64 / (1_u64 << 53) as f64))
    })?;
    define(connection, "gen_random_uuid", 0, shared, |context, _| {
        let mut bytes = [0_u8; 16];
        context.random.fill_bytes(&mut bytes);
        bytes[6] = bytes[6] & 0x0F | 0x40;
        bytes[8] = bytes[8] & 0x3F | 0x80;
        Ok(Value::Text(value::format_uuid(bytes)))
    })
}

fn register_positions(connection: &Connection, shared: &SharedContext) -> rusqlite::Result<()> {
    define(connection, "pg_is_in_recovery", 0, shared, |context, _| {
        Ok(Value::Integer(i64::from(context.in_recovery)))
    })?;
    for name in [
        "pg_current_wal_lsn",
        "pg_current_wal_flush_lsn",
        "pg_current_wal_insert_lsn",
    ] {
        define(connection, name, 0, shared, |context, _| {
            if context.in_recovery {
                return Err(function_error(FunctionError::InRecovery));
            }
            Ok(Value::Text(context.flushed.to_string()))
        })?;
    }
    define(
        connection,
        "pg_last_wal_receive_lsn",
        0,
        shared,
        |context, _| Ok(recovery_position(context, context.flushed)),
    )?;
    define(
        connection,
        "pg_last_wal_replay_lsn",
        0,
        shared,
        |context, _| Ok(recovery_position(context, context.replayed)),
    )?;
    define(connection, "pg_walfile_name", 1, shared, |context, call| {
        if context.in_recovery {
            return Err(function_error(FunctionError::InRecovery));
        }
        let text: String = call.get(0)?;
        let position = parse_position(&text).ok_or_else(|| invalid("pg_lsn", &text))?;
        Ok(Value::Text(segment_name(context.timeline, position)))
    })?;
    define(connection, "pg_wal_lsn_diff", 2, shared, |_, call| {
        let positions: [String; 2] = [call.get(0)?, call.get(1)?];
        let mut numbers = [0_i64; 2];
        for (number, text) in numbers.iter_mut().zip(&positions) {
            let position = parse_position(text).ok_or_else(|| invalid("pg_lsn", text))?;
            *number = position.0 as i64;
        }
        Ok(Value::Integer(numbers[0].wrapping_sub(numbers[1])))
    })
}

fn recovery_position(context: &FunctionContext, position: Lsn) -> Value {
    if context.in_recovery {
        Value::Text(position.to_string())
    } else {
        Value::Null
    }
}

fn parse_position(text: &str) -> Option<Lsn> {
    let (high, low) = text.split_once('/')?;
    let high = u64::from_str_radix(high, 16).ok()?;
    let low = u64::from_str_radix(low, 16).ok()?;
    Some(Lsn(high << 32 | low))
}

fn register_session(connection: &Connection, shared: &SharedContext) -> rusqlite::Result<()> {
    define(connection, "pg_backend_pid", 0, shared, |context, _| {
        Ok(Value::Integer(i64::from(context.process)))
    })?;
    define(connection, "pg_user", 0, shared, |context, _| {
        Ok(Value::Text(context.user.clone()))
    })?;
    define(connection, "current_database", 0, shared, |context, _| {
        Ok(Value::Text(context.database.clone()))
    })?;
    define(connection, "current_schema", 0, shared, |_, _| {
        Ok(Value::Text("public".to_owned()))
    })?;
    define(
        connection,
        "current_setting",
        -1,
        shared,
        |context, call| {
            let name: String = call.get(0)?;
            let missing_ok = call.len() > 1 && call.get(1)?;
            match context.settings.get(&name.to_lowercase()) {
                Some(value) => Ok(Value::Text(value.clone())),
                None if missing_ok => Ok(Value::Null),
                None => Err(function_error(FunctionError::UnknownSetting(name))),
            }
        },
    )?;
    define(connection, "version", 0, shared, |_, _| {
        Ok(Value::Text(
            "PostgreSQL 16.0 (hookpoint stand-in)".to_owned(),
        ))
    })?;
    for name in ["pg_sleep", "pg_advisory_lock", "pg_advisory_xact_lock"] {
        define(connection, name, -1, shared, |_, _| {
            Ok(Value::Text(String::new()))
        })?;
    }
    define(connection, "pg_advisory_unlock_all", 0, shared, |_, _| {
        Ok(Value::Text(String::new()))
    })?;
    for name in [
        "pg_try_advisory_lock",
        "pg_try_advisory_xact_lock",
        "pg_advisory_unlock",
    ] {
        define(connection, name, -1, shared, |context, _| {
            let result = context.lock_results.pop().unwrap_or(false);
            Ok(Value::Integer(i64::from(result)))
        })?;
    }
    define(connection, "pg_notify", 2, shared, |_, _| {
        Ok(Value::Text(String::new()))
    })
}

fn register_casts(connection: &Connection) -> rusqlite::Result<()> {
    let flags = FunctionFlags::SQLITE_UTF8 | FunctionFlags::SQLITE_DETERMINISTIC;
    connection.create_scalar_function("pg_to_integer", 1, flags, to_integer)?;
    connection.create_scalar_function("pg_to_boolean", 1, flags, to_boolean)?;
    connection.create_scalar_function("pg_to_bytea", 1, flags, to_bytea)?;
    connection.create_scalar_function("pg_to_timestamp", 1, flags, to_timestamp)?;
    connection.create_scalar_function("pg_add_interval", 3, flags, add_interval)?;
    connection.create_scalar_function("repeat", 2, flags, |call| {
        let text: Option<String> = call.get(0)?;
        let times: i64 = call.get(1)?;
        let times = usize::try_from(times).unwrap_or(0);
        Ok(text.map(|text| text.repeat(times.min(MAXIMUM_REPEATED_BYTES / text.len().max(1)))))
    })?;
    connection.create_scalar_function("char_length", 1, flags, |call| {
        let text: Option<String> = call.get(0)?;
        Ok(text.map(|text| text.chars().count() as i64))
    })
}

/// Maximum size of a result of `repeat`, in bytes.
const MAXIMUM_REPEATED_BYTES: usize = 16 * 1024 * 1024;

fn to_integer(call: &Context<'_>) -> FunctionResult {
    match call.get_raw(0) {
        ValueRef::Null => Ok(Value::Null),
        ValueRef::Integer(number) => Ok(Value::Integer(number)),
        ValueRef::Real(number) => Ok(Value::Integer(number.round_ties_even() as i64)),
        other => {
            let text = other.as_str().map_err(|_| invalid("integer", "\\x"))?;
            let number = text.trim().parse().map_err(|_| invalid("integer", text))?;
            Ok(Value::Integer(number))
        }
    }
}

fn to_boolean(call: &Context<'_>) -> FunctionResult {
    match call.get_raw(0) {
        ValueRef::Null => Ok(Value::Null),
        ValueRef::Integer(number) => Ok(Value::Integer(i64::from(number != 0))),
        other => {
            let text = other.as_str().map_err(|_| invalid("boolean", "\\x"))?;
            let truth = value::parse_bool(text).ok_or_else(|| invalid("boolean", text))?;
            Ok(Value::Integer(i64::from(truth)))
        }
    }
}

fn to_bytea(call: &Context<'_>) -> FunctionResult {
    match call.get_raw(0) {
        ValueRef::Text(bytes) => {
            let text = String::from_utf8_lossy(bytes);
            value::parse_text(&text, &pgwire::api::Type::BYTEA).map_err(|_| invalid("bytea", &text))
        }
        other => Ok(other.into()),
    }
}

fn to_timestamp(call: &Context<'_>) -> FunctionResult {
    match call.get_raw(0) {
        ValueRef::Text(bytes) => {
            let text = String::from_utf8_lossy(bytes);
            let micros = timestamp::parse(&text).ok_or_else(|| invalid("timestamp", &text))?;
            Ok(Value::Text(timestamp::format(micros)))
        }
        other => Ok(other.into()),
    }
}

fn add_interval(call: &Context<'_>) -> FunctionResult {
    let (start, interval): (Option<String>, String) = (call.get(0)?, call.get(1)?);
    let factor: i64 = call.get(2)?;
    let Some(start) = start else {
        return Ok(Value::Null);
    };
    let micros = timestamp::parse(&start).ok_or_else(|| invalid("timestamp", &start))?;
    let length =
        timestamp::parse_interval(&interval).ok_or_else(|| invalid("interval", &interval))?;
    Ok(Value::Text(timestamp::format(
        micros.saturating_add(factor.saturating_mul(length)),
    )))
}
