//! The settings of one session, as used by SET and SHOW.

use std::collections::BTreeMap;
use std::time::Duration;

use super::error::{SqlError, SqlState};

/// A supported setting.
struct KnownSetting {
    name: &'static str,
    default: &'static str,
    reported: bool,
}

const fn reported(name: &'static str, default: &'static str) -> KnownSetting {
    KnownSetting {
        name,
        default,
        reported: true,
    }
}

const fn plain(name: &'static str, default: &'static str) -> KnownSetting {
    KnownSetting {
        name,
        default,
        reported: false,
    }
}

const KNOWN_SETTINGS: [KnownSetting; 34] = [
    reported("application_name", ""),
    reported("client_encoding", "UTF8"),
    reported("DateStyle", "ISO, MDY"),
    reported("default_transaction_read_only", "off"),
    reported("in_hot_standby", "off"),
    reported("integer_datetimes", "on"),
    reported("IntervalStyle", "postgres"),
    reported("is_superuser", "off"),
    reported("server_encoding", "UTF8"),
    reported("server_version", "16.0"),
    reported("session_authorization", "postgres"),
    reported("standard_conforming_strings", "on"),
    reported("TimeZone", "UTC"),
    plain("bytea_output", "hex"),
    plain("client_min_messages", "notice"),
    plain("default_transaction_deferrable", "off"),
    plain("default_transaction_isolation", "read committed"),
    plain("extra_float_digits", "1"),
    plain("idle_in_transaction_session_timeout", "0"),
    plain("idle_session_timeout", "0"),
    plain("jit", "off"),
    plain("lock_timeout", "0"),
    plain("max_connections", "100"),
    plain("row_security", "on"),
    plain("search_path", "\"$user\", public"),
    plain("server_version_num", "160000"),
    plain("statement_timeout", "0"),
    plain("synchronous_commit", "on"),
    plain("tcp_keepalives_idle", "0"),
    plain("transaction_deferrable", "off"),
    plain("transaction_isolation", "read committed"),
    plain("transaction_read_only", "off"),
    plain("wal_level", "replica"),
    plain("work_mem", "4MB"),
];

/// Settings that no session may change.
const FIXED: [&str; 8] = [
    "in_hot_standby",
    "integer_datetimes",
    "is_superuser",
    "max_connections",
    "server_encoding",
    "server_version",
    "server_version_num",
    "wal_level",
];

/// Maximum timeout, in milliseconds.
const MAXIMUM_MILLISECONDS: u64 = i32::MAX as u64;

/// Maximum number of settings that a session may change.
const MAXIMUM_CHANGED_SETTINGS: usize = 256;

fn known(name: &str) -> Option<&'static KnownSetting> {
    KNOWN_SETTINGS
        .iter()
        .find(|known| known.name.eq_ignore_ascii_case(name))
}

/// The settings of one session.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionSettings {
    defaults: BTreeMap<String, String>,
    changed: BTreeMap<String, String>,
}

impl SessionSettings {
    /// Sets a default of this session, as by a start-up parameter.
    pub fn set_default(&mut self, name: &str, value: &str) -> Result<(), SqlError> {
        check(name)?;
        self.defaults.insert(name.to_lowercase(), value.to_owned());
        Ok(())
    }

    /// Sets a value that clients cannot change.
    pub fn set_internal(&mut self, name: &str, value: &str) {
        self.defaults.insert(name.to_lowercase(), value.to_owned());
    }

    /// Changes a setting; `None` resets it to its default.
    pub fn set(&mut self, name: &str, value: Option<&str>) -> Result<(), SqlError> {
        check(name)?;
        if FIXED.iter().any(|fixed| fixed.eq_ignore_ascii_case(name)) {
            return Err(SqlError::new(
                SqlState::InvalidParameterValue,
                format!("parameter \"{name}\" cannot be changed"),
            ));
        }
        if name.ends_with("_timeout") && value.is_some_and(|value| parse_duration(value).is_none())
        {
            return Err(SqlError::new(
                SqlState::InvalidParameterValue,
                format!("invalid value for parameter \"{name}\""),
            ));
        }
        let name = name.to_lowercase();
        match value {
            Some(value) if self.changed.len() < MAXIMUM_CHANGED_SETTINGS => {
                self.changed.insert(name, value.to_owned());
            }
            Some(_) => {
                return Err(SqlError::new(
                    SqlState::ProgramLimitExceeded,
                    "too many settings are changed",
                ));
            }
            None => {
                self.changed.remove(&name);
            }
        }
        Ok(())
    }

    /// Resets all settings to their defaults.
    pub fn reset_all(&mut self) {
        self.changed.clear();
    }

    /// Returns the value of a setting, or `None` if it does not exist.
    pub fn get(&self, name: &str) -> Option<&str> {
        let lower = name.to_lowercase();
        self.changed
            .get(&lower)
            .or_else(|| self.defaults.get(&lower))
            .map(String::as_str)
            .or_else(|| known(name).map(|known| known.default))
    }

    /// Returns the value of a setting, or the error that SHOW reports.
    pub fn show(&self, name: &str) -> Result<&str, SqlError> {
        self.get(name).ok_or_else(|| unrecognized(name))
    }

    /// Returns all supported settings with their values.
    pub fn all(&self) -> Vec<(String, String)> {
        KNOWN_SETTINGS
            .iter()
            .map(|known| {
                let value = self.get(known.name).unwrap_or(known.default);
                (known.name.to_owned(), value.to_owned())
            })
            .collect()
    }

    /// Returns all settings with their values, keyed by lower-case name.
    pub fn by_name(&self) -> BTreeMap<String, String> {
        let mut values: BTreeMap<String, String> = KNOWN_SETTINGS
            .iter()
            .map(|known| (known.name.to_lowercase(), known.default.to_owned()))
            .collect();
        values.extend(self.defaults.clone());
        values.extend(self.changed.clone());
        values
    }

    /// Returns the settings whose changes are reported to the client.
    pub fn reported(&self) -> Vec<(&'static str, String)> {
        KNOWN_SETTINGS
            .iter()
            .filter(|known| known.reported)
            .map(|known| {
                (
                    known.name,
                    self.get(known.name).unwrap_or(known.default).to_owned(),
                )
            })
            .collect()
    }

    /// Returns a timeout, or `None` when it is 0.
    pub fn timeout(&self, name: &str) -> Option<Duration> {
        let duration = parse_duration(self.get(name)?)?;
        (!duration.is_zero()).then_some(duration)
    }

    /// Returns whether a boolean setting is on.
    pub fn is_on(&self, name: &str) -> bool {
        self.get(name)
            .and_then(super::value::parse_bool)
            .unwrap_or(false)
    }
}

fn check(name: &str) -> Result<(), SqlError> {
    if known(name).is_some() || name.contains('.') {
        Ok(())
    } else {
        Err(unrecognized(name))
    }
}

fn unrecognized(name: &str) -> SqlError {
    SqlError::new(
        SqlState::UndefinedObject,
        format!("unrecognized configuration parameter \"{name}\""),
    )
}

/// Parses a duration such as `5s`; a number without a unit is in milliseconds.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let text = text.trim();
    let digits = text
        .find(|letter: char| !letter.is_ascii_digit())
        .unwrap_or(text.len());
    let amount: u64 = text[..digits].parse().ok()?;
    let unit = match text[digits..].trim() {
        "" | "ms" => 1,
        "s" => 1000,
        "min" => 60_000,
        "h" => 3_600_000,
        "d" => 86_400_000,
        _ => return None,
    };
    let milliseconds = amount.checked_mul(unit)?;
    (milliseconds <= MAXIMUM_MILLISECONDS).then(|| Duration::from_millis(milliseconds))
}
