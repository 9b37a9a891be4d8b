//! Values in PostgreSQL's text and binary formats.

use bytes::{BufMut, BytesMut};
use pgwire::api::Type;
use rusqlite::types::Value;

use super::error::{SqlError, SqlState};
use super::timestamp;

/// Format code of the binary format.
pub const BINARY: i16 = 1;

/// Returns the type of a PostgreSQL type name, or `None` if it is not supported.
pub fn type_by_name(name: &str) -> Option<Type> {
    let base = name.split('(').next().unwrap_or(name).trim();
    let known = match base.to_ascii_lowercase().as_str() {
        "bool" | "boolean" => Type::BOOL,
        "int2" | "smallint" => Type::INT2,
        "int4" | "int" | "integer" | "serial" => Type::INT4,
        "int8" | "bigint" | "bigserial" => Type::INT8,
        "float4" | "real" => Type::FLOAT4,
        "float8" | "double" | "double precision" => Type::FLOAT8,
        "numeric" | "decimal" => Type::NUMERIC,
        "text" => Type::TEXT,
        "varchar" | "character varying" => Type::VARCHAR,
        "char" | "character" | "bpchar" => Type::BPCHAR,
        "name" => Type::NAME,
        "bytea" => Type::BYTEA,
        "uuid" => Type::UUID,
        "json" => Type::JSON,
        "jsonb" => Type::JSONB,
        "date" => Type::DATE,
        "timestamp" => Type::TIMESTAMP,
        "timestamptz" => Type::TIMESTAMPTZ,
        "pg_lsn" => Type::PG_LSN,
        "oid" => Type::OID,
        _ => return None,
    };
    Some(known)
}

/// Returns the type of a column from its declared type in the embedded engine.
pub fn type_by_declaration(declared: &str) -> Option<Type> {
    // Only serial columns are declared as `INTEGER`, see `definition`.
    if declared.eq_ignore_ascii_case("integer") {
        return Some(Type::INT8);
    }
    type_by_name(declared)
}

/// Returns the size of a type's values in bytes, or -1 when it is variable.
pub fn type_size(kind: &Type) -> i16 {
    match *kind {
        Type::BOOL => 1,
        Type::INT2 => 2,
        Type::INT4 | Type::FLOAT4 | Type::OID | Type::DATE | Type::VOID => 4,
        Type::INT8 | Type::FLOAT8 | Type::TIMESTAMP | Type::TIMESTAMPTZ | Type::PG_LSN => 8,
        Type::UUID => 16,
        _ => -1,
    }
}

/// Decodes one bound parameter.
pub fn decode(bytes: Option<&[u8]>, kind: &Type, format: i16) -> Result<Value, SqlError> {
    match bytes {
        None => Ok(Value::Null),
        Some(bytes) if format == BINARY => decode_binary(bytes, kind),
        Some(bytes) => decode_text(bytes, kind),
    }
}

fn decode_text(bytes: &[u8], kind: &Type) -> Result<Value, SqlError> {
    let text = std::str::from_utf8(bytes).map_err(|_| {
        SqlError::new(
            SqlState::InvalidTextRepresentation,
            "invalid byte sequence for encoding \"UTF8\"",
        )
    })?;
    parse_text(text, kind)
}

/// Parses a value in the text format.
pub fn parse_text(text: &str, kind: &Type) -> Result<Value, SqlError> {
    let invalid = || {
        SqlError::new(
            SqlState::InvalidTextRepresentation,
            format!("invalid input syntax for type {}: \"{text}\"", kind.name()),
        )
    };
    let value = match *kind {
        Type::INT2 | Type::INT4 | Type::INT8 | Type::OID => {
            Value::Integer(text.trim().parse().map_err(|_| invalid())?)
        }
        Type::FLOAT4 | Type::FLOAT8 => Value::Real(text.trim().parse().map_err(|_| invalid())?),
        Type::BOOL => Value::Integer(i64::from(parse_bool(text).ok_or_else(invalid)?)),
        Type::BYTEA => Value::Blob(parse_bytea(text).ok_or_else(invalid)?),
        Type::TIMESTAMPTZ | Type::TIMESTAMP => match timestamp::parse(text) {
            Some(micros) => Value::Text(timestamp::format(micros)),
            None => return Err(invalid()),
        },
        _ => Value::Text(text.to_owned()),
    };
    Ok(value)
}

/// Parses a boolean in any of PostgreSQL's spellings.
pub fn parse_bool(text: &str) -> Option<bool> {
    match text.trim().to_ascii_lowercase().as_str() {
        "t" | "true" | "yes" | "on" | "1" | "y" => Some(true),
        "f" | "false" | "no" | "off" | "0" | "n" => Some(false),
        _ => None,
    }
}

fn parse_bytea(text: &str) -> Option<Vec<u8>> {
    let Some(digits) = text.strip_prefix("\\x") else {
        return Some(text.as_bytes().to_vec());
    };
    if digits.len() % 2 != 0 || !digits.is_ascii() {
        return None;
    }
    (0..digits.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&digits[at..at + 2], 16).ok())
        .collect()
}

fn decode_binary(bytes: &[u8], kind: &Type) -> Result<Value, SqlError> {
    let invalid = || {
        SqlError::new(
            SqlState::InvalidBinaryRepresentation,
            format!("incorrect binary data format for type {}", kind.name()),
        )
    };
    let value = match *kind {
        Type::BOOL => Value::Integer(i64::from(*bytes.first().ok_or_else(invalid)? != 0)),
        Type::INT2 => Value::Integer(i16::from_be_bytes(fixed(bytes).ok_or_else(invalid)?).into()),
        Type::INT4 => Value::Integer(i32::from_be_bytes(fixed(bytes).ok_or_else(invalid)?).into()),
        Type::OID => Value::Integer(u32::from_be_bytes(fixed(bytes).ok_or_else(invalid)?).into()),
        Type::INT8 => Value::Integer(i64::from_be_bytes(fixed(bytes).ok_or_else(invalid)?)),
        Type::FLOAT4 => Value::Real(f32::from_be_bytes(fixed(bytes).ok_or_else(invalid)?).into()),
        Type::FLOAT8 => Value::Real(f64::from_be_bytes(fixed(bytes).ok_or_else(invalid)?)),
        Type::BYTEA => Value::Blob(bytes.to_vec()),
        Type::TIMESTAMP | Type::TIMESTAMPTZ => {
            let since_2000 = i64::from_be_bytes(fixed(bytes).ok_or_else(invalid)?);
            Value::Text(timestamp::format(
                since_2000.saturating_add(timestamp::MICROS_1970_TO_2000),
            ))
        }
        Type::PG_LSN => {
            let position = u64::from_be_bytes(fixed(bytes).ok_or_else(invalid)?);
            Value::Text(super::position::Lsn(position).to_string())
        }
        Type::UUID => Value::Text(format_uuid(fixed(bytes).ok_or_else(invalid)?)),
        Type::JSONB => return decode_text(bytes.get(1..).ok_or_else(invalid)?, &Type::TEXT),
        Type::TEXT | Type::VARCHAR | Type::BPCHAR | Type::NAME | Type::JSON | Type::UNKNOWN => {
            return decode_text(bytes, &Type::TEXT);
        }
        _ => {
            return Err(SqlError::new(
                SqlState::FeatureNotSupported,
                format!(
                    "binary parameters of type {} are not supported",
                    kind.name()
                ),
            ));
        }
    };
    Ok(value)
}

fn fixed<const N: usize>(bytes: &[u8]) -> Option<[u8; N]> {
    bytes.try_into().ok()
}

/// Appends one column of a DataRow: its length followed by its bytes.
pub fn encode(
    value: &Value,
    kind: &Type,
    format: i16,
    target: &mut BytesMut,
) -> Result<(), SqlError> {
    if matches!(value, Value::Null) {
        target.put_i32(-1);
        return Ok(());
    }
    let length_at = target.len();
    target.put_i32(0);
    if format == BINARY {
        encode_binary(value, kind, target)?;
    } else {
        encode_text(value, kind, target);
    }
    let length = (target.len() - length_at - 4) as i32;
    target[length_at..length_at + 4].copy_from_slice(&length.to_be_bytes());
    Ok(())
}

fn encode_text(value: &Value, kind: &Type, target: &mut BytesMut) {
    match value {
        Value::Null => {}
        Value::Integer(number) if *kind == Type::BOOL => {
            target.put_slice(if *number != 0 { b"t" } else { b"f" });
        }
        Value::Integer(number) => target.put_slice(number.to_string().as_bytes()),
        Value::Real(number) => target.put_slice(number.to_string().as_bytes()),
        Value::Text(text) => target.put_slice(text.as_bytes()),
        Value::Blob(bytes) => {
            target.put_slice(b"\\x");
            for byte in bytes {
                target.put_slice(format!("{byte:02x}").as_bytes());
            }
        }
    }
}

fn encode_binary(value: &Value, kind: &Type, target: &mut BytesMut) -> Result<(), SqlError> {
    match *kind {
        Type::BOOL => target.put_u8(u8::from(integer(value, kind)? != 0)),
        Type::INT2 => target.put_i16(narrow(integer(value, kind)?, kind)?),
        Type::INT4 => target.put_i32(narrow(integer(value, kind)?, kind)?),
        Type::OID => target.put_u32(narrow(integer(value, kind)?, kind)?),
        Type::INT8 => target.put_i64(integer(value, kind)?),
        Type::FLOAT4 => target.put_f32(real(value, kind)? as f32),
        Type::FLOAT8 => target.put_f64(real(value, kind)?),
        Type::TIMESTAMP | Type::TIMESTAMPTZ => {
            let micros = text_of(value)
                .and_then(timestamp::parse)
                .ok_or_else(|| datatype_mismatch(kind))?;
            target.put_i64(micros - timestamp::MICROS_1970_TO_2000);
        }
        Type::UUID => {
            let digits: String = text_of(value)
                .ok_or_else(|| datatype_mismatch(kind))?
                .chars()
                .filter(|letter| *letter != '-')
                .collect();
            let number = u128::from_str_radix(&digits, 16).map_err(|_| datatype_mismatch(kind))?;
            target.put_u128(number);
        }
        Type::PG_LSN => {
            let (high, low) = text_of(value)
                .and_then(|text| text.split_once('/'))
                .ok_or_else(|| datatype_mismatch(kind))?;
            target.put_u32(u32::from_str_radix(high, 16).map_err(|_| datatype_mismatch(kind))?);
            target.put_u32(u32::from_str_radix(low, 16).map_err(|_| datatype_mismatch(kind))?);
        }
        Type::JSONB => {
            target.put_u8(1);
            encode_text(value, kind, target);
        }
        Type::BYTEA => match value {
            Value::Blob(bytes) => target.put_slice(bytes),
            other => encode_text(other, &Type::TEXT, target),
        },
        Type::NUMERIC | Type::DATE => {
            return Err(SqlError::new(
                SqlState::FeatureNotSupported,
                format!("binary results of type {} are not supported", kind.name()),
            ));
        }
        _ => encode_text(value, kind, target),
    }
    Ok(())
}

fn text_of(value: &Value) -> Option<&str> {
    match value {
        Value::Text(text) => Some(text),
        _ => None,
    }
}

fn integer(value: &Value, kind: &Type) -> Result<i64, SqlError> {
    match value {
        Value::Integer(number) => Ok(*number),
        Value::Real(number) => Ok(*number as i64),
        Value::Text(text) if *kind == Type::BOOL => parse_bool(text)
            .map(i64::from)
            .ok_or_else(|| datatype_mismatch(kind)),
        Value::Text(text) => text.parse().map_err(|_| datatype_mismatch(kind)),
        _ => Err(datatype_mismatch(kind)),
    }
}

fn real(value: &Value, kind: &Type) -> Result<f64, SqlError> {
    match value {
        Value::Integer(number) => Ok(*number as f64),
        Value::Real(number) => Ok(*number),
        Value::Text(text) => text.parse().map_err(|_| datatype_mismatch(kind)),
        _ => Err(datatype_mismatch(kind)),
    }
}

fn narrow<N: TryFrom<i64>>(number: i64, kind: &Type) -> Result<N, SqlError> {
    N::try_from(number).map_err(|_| datatype_mismatch(kind))
}

fn datatype_mismatch(kind: &Type) -> SqlError {
    SqlError::new(
        SqlState::DatatypeMismatch,
        format!("a stored value does not fit type {}", kind.name()),
    )
}

/// Formats sixteen bytes as a UUID.
pub fn format_uuid(bytes: [u8; 16]) -> String {
    let number = u128::from_be_bytes(bytes);
    format!(
        "{:08x}-{:04x}-{:04x}-{:04x}-{:012x}",
        (number >> 96) as u32,
        (number >> 80) as u16,
        (number >> 64) as u16,
        (number >> 48) as u16,
        number & 0xFFFF_FFFF_FFFF
    )
}

/// Returns the value as an SQL literal, for committed-entry histories.
pub fn literal(value: &Value) -> String {
    match value {
        Value::Null => "NULL".to_owned(),
        Value::Integer(number) => number.to_string(),
        Value::Real(number) => number.to_string(),
        Value::Text(text) => format!("'{}'", text.replace('\'', "''")),
        Value::Blob(bytes) => {
            let digits: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
            format!("'\\x{digits}'")
        }
    }
}
