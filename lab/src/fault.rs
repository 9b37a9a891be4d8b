//! Parser for faults, given as lines of text in a file or on standard input.
//!
//! Each line holds one fault, optionally preceded by `at SECONDS`; without it the fault is
//! due immediately. Empty lines and lines that begin with `#` are skipped. Examples of
//! faults are `kill primary mensajes-1`, `lag mensajes-1-b 2000`, `cut zone al-sala-b`,
//! `stop proxy 2`, `platform down` and `heal`.

use std::str::FromStr;
use std::time::Duration;

use hookpoint_state::{DatabaseName, GroupName, ZoneName};
use thiserror::Error;

/// A database, given by its name or by its role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// The database of that name.
    Database(DatabaseName),
    /// The database that is primary of the group when the fault is injected.
    PrimaryOf(GroupName),
}

/// A fault, or the end of one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A database crashes.
    Kill(Target),
    /// A crashed database restarts with the log that it had flushed.
    Restart(DatabaseName),
    /// A database stops executing, as if its process were suspended.
    Pause(Target),
    /// A paused database resumes.
    Resume(DatabaseName),
    /// A database is cut off from its peers; clients still reach it.
    Isolate(Target),
    /// A database is no longer cut off.
    Rejoin(DatabaseName),
    /// A replica's replay lag is set to this duration.
    Lag(DatabaseName, Duration),
    /// A planned switchover makes this database the group's primary.
    Switchover(GroupName, DatabaseName),
    /// A zone is cut off from the other zones.
    CutZone(ZoneName),
    /// A zone is no longer cut off.
    HealZone(ZoneName),
    /// A proxy stops as planned.
    StopProxy(usize),
    /// A proxy ends abruptly.
    KillProxy(usize),
    /// A new proxy starts in the slot of one that was stopped or killed.
    StartProxy(usize),
    /// The platform accepts requests but does not answer them.
    PlatformDown,
    /// The platform delays each answer by this duration.
    PlatformSlow(Duration),
    /// The platform works normally again.
    PlatformUp,
    /// All cuts, lags, pauses and outages end, and crashed databases restart.
    Heal,
}

/// A fault with the time at which it is injected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScheduledFault {
    /// Time of the injection, relative to the start of the schedule.
    pub after: Duration,
    /// Fault to inject.
    pub fault: Fault,
}

/// Reason why a line is not a valid fault.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FaultError {
    /// The line matches no known fault.
    #[error("line {line}: `{text}` is not a fault")]
    Unknown {
        /// Number of the line, from 1.
        line: usize,
        /// Text of the line.
        text: String,
    },
    /// A number cannot be parsed.
    #[error("line {line}: `{text}` is not a number")]
    Number {
        /// Number of the line, from 1.
        line: usize,
        /// Text found in place of the number.
        text: String,
    },
}

impl FromStr for Fault {
    type Err = FaultError;

    fn from_str(text: &str) -> Result<Self, FaultError> {
        parse_fault(1, text)
    }
}

/// Parses the faults of a file and sorts them by time.
///
/// # Errors
/// Returns a [`FaultError`] that names the first invalid line.
pub fn parse_schedule(text: &str) -> Result<Vec<ScheduledFault>, FaultError> {
    let mut schedule = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        schedule.push(parse_line(index + 1, line)?);
    }
    schedule.sort_by_key(|scheduled| scheduled.after);
    Ok(schedule)
}

fn parse_line(line: usize, text: &str) -> Result<ScheduledFault, FaultError> {
    let Some(rest) = text.strip_prefix("at ") else {
        return Ok(ScheduledFault {
            after: Duration::ZERO,
            fault: parse_fault(line, text)?,
        });
    };
    let (seconds, fault) = rest.split_once(' ').unwrap_or((rest, ""));
    let parsed = seconds.parse::<f64>().ok();
    let after = parsed.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    Ok(ScheduledFault {
        after: after.ok_or_else(|| number_error(line, seconds))?,
        fault: parse_fault(line, fault)?,
    })
}

fn parse_fault(line: usize, text: &str) -> Result<Fault, FaultError> {
    let words: Vec<&str> = text.split_whitespace().collect();
    let fault = match words.as_slice() {
        ["kill", "proxy", index] => Fault::KillProxy(number(line, index)?),
        ["stop", "proxy", index] => Fault::StopProxy(number(line, index)?),
        ["start", "proxy", index] => Fault::StartProxy(number(line, index)?),
        ["kill", rest @ ..] => Fault::Kill(target(line, text, rest)?),
        ["restart", database] => Fault::Restart(DatabaseName::new(database)),
        ["pause", rest @ ..] => Fault::Pause(target(line, text, rest)?),
        ["resume", database] => Fault::Resume(DatabaseName::new(database)),
        ["isolate", rest @ ..] => Fault::Isolate(target(line, text, rest)?),
        ["rejoin", database] => Fault::Rejoin(DatabaseName::new(database)),
        ["lag", database, millis] => {
            let lag = Duration::from_millis(number(line, millis)?);
            Fault::Lag(DatabaseName::new(database), lag)
        }
        ["switchover", group, database] => {
            Fault::Switchover(GroupName::new(group), DatabaseName::new(database))
        }
        ["cut", "zone", zone] => Fault::CutZone(ZoneName::new(zone)),
        ["heal", "zone", zone] => Fault::HealZone(ZoneName::new(zone)),
        ["platform", "down"] => Fault::PlatformDown,
        ["platform", "up"] => Fault::PlatformUp,
        ["platform", "slow", millis] => {
            Fault::PlatformSlow(Duration::from_millis(number(line, millis)?))
        }
        ["heal"] => Fault::Heal,
        _ => return Err(unknown(line, text)),
    };
    Ok(fault)
}

fn target(line: usize, text: &str, words: &[&str]) -> Result<Target, FaultError> {
    match words {
        ["primary", group] => Ok(Target::PrimaryOf(GroupName::new(group))),
        [database] => Ok(Target::Database(DatabaseName::new(database))),
        _ => Err(unknown(line, text)),
    }
}

fn number<T: FromStr>(line: usize, text: &str) -> Result<T, FaultError> {
    text.parse().map_err(|_| number_error(line, text))
}

fn number_error(line: usize, text: &str) -> FaultError {
    FaultError::Number {
        line,
        text: text.to_owned(),
    }
}

fn unknown(line: usize, text: &str) -> FaultError {
    FaultError::Unknown {
        line,
        text: text.to_owned(),
    }
}
