//! Timestamps as text, in UTC: `2026-12-02 07:29:51.123456+00`.

use std::time::{SystemTime, UNIX_EPOCH};

/// Microseconds from 1970 to 2000, the epoch of PostgreSQL's binary format.
pub const MICROS_1970_TO_2000: i64 = 946_684_800_000_000;

const MICROS_PER_SECOND: i64 = 1_000_000;
const SECONDS_PER_DAY: i64 = 86_400;

/// Valid years of a timestamp.
const YEARS: std::ops::RangeInclusive<i64> = 1..=9999;
/// Valid hours of a time of day or a zone offset.
const HOURS: std::ops::RangeInclusive<i64> = 0..=24;
/// Valid minutes of a time of day or a zone offset.
const MINUTES: std::ops::RangeInclusive<i64> = 0..=59;

/// Returns the current time in microseconds since 1970.
pub fn now_micros() -> i64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_micros() as i64)
}

/// Formats microseconds since 1970 as text.
pub fn format(micros: i64) -> String {
    let seconds = micros.div_euclid(MICROS_PER_SECOND);
    let fraction = micros.rem_euclid(MICROS_PER_SECOND);
    let (year, month, day) = civil_from_days(seconds.div_euclid(SECONDS_PER_DAY));
    let second_of_day = seconds.rem_euclid(SECONDS_PER_DAY);
    format!(
        "{year:04}-{month:02}-{day:02} {:02}:{:02}:{:02}.{fraction:06}+00",
        second_of_day / 3600,
        second_of_day / 60 % 60,
        second_of_day % 60
    )
}

/// Parses a timestamp with an optional zone offset, or a date, into microseconds
/// since 1970.
pub fn parse(text: &str) -> Option<i64> {
    let text = text.trim();
    let (date, rest) = match text.find([' ', 'T']) {
        Some(at) => (&text[..at], text[at + 1..].trim()),
        None => (text, ""),
    };
    let mut parts = date.splitn(3, '-');
    let year: i64 = parts.next()?.parse().ok()?;
    let month: i64 = parts.next()?.parse().ok()?;
    let day: i64 = parts.next()?.parse().ok()?;
    if !YEARS.contains(&year) || !(1..=12).contains(&month) || !(1..=31).contains(&day) {
        return None;
    }
    let (clock, offset) = split_offset(rest)?;
    let seconds = days_from_civil(year, month, day) * SECONDS_PER_DAY - offset;
    Some(seconds * MICROS_PER_SECOND + parse_clock(clock)?)
}

fn split_offset(text: &str) -> Option<(&str, i64)> {
    if let Some(clock) = text.strip_suffix('Z') {
        return Some((clock, 0));
    }
    let Some(at) = text.find(['+', '-']) else {
        return Some((text, 0));
    };
    let sign = if text.as_bytes()[at] == b'-' { -1 } else { 1 };
    let mut parts = text[at + 1..].split(':');
    let hours: i64 = parts.next()?.parse().ok()?;
    let minutes: i64 = parts.next().map_or(Some(0), |part| part.parse().ok())?;
    if !HOURS.contains(&hours) || !MINUTES.contains(&minutes) {
        return None;
    }
    Some((&text[..at], sign * (hours * 3600 + minutes * 60)))
}

fn parse_clock(clock: &str) -> Option<i64> {
    if clock.is_empty() {
        return Some(0);
    }
    let mut parts = clock.trim().split(':');
    let hours: i64 = parts.next()?.parse().ok()?;
    let minutes: i64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next().map_or(Some(0.0), |part| part.parse().ok())?;
    let known = HOURS.contains(&hours) && MINUTES.contains(&minutes);
    if !known || !(0.0..=60.0).contains(&seconds) {
        return None;
    }
    let micros = (seconds * MICROS_PER_SECOND as f64).round() as i64;
    Some((hours * 3600 + minutes * 60) * MICROS_PER_SECOND + micros)
}

/// Returns the days since 1970-01-01 of a date, by Howard Hinnant's algorithm.
fn days_from_civil(year: i64, month: i64, day: i64) -> i64 {
    let year = if month <= 2 { year - 1 } else { year };
    let era = year.div_euclid(400);
    let year_of_era = year.rem_euclid(400);
    let day_of_year = (153 * (month + if month > 2 { -3 } else { 9 }) + 2) / 5 + day - 1;
    let day_of_era = year_of_era * 365 + year_of_era / 4 - year_of_era / 100 + day_of_year;
    era * 146_097 + day_of_era - 719_468
}

/// Returns the year, month and day of a number of days since 1970-01-01.
fn civil_from_days(days: i64) -> (i64, i64, i64) {
    let days = days + 719_468;
    let era = days.div_euclid(146_097);
    let day_of_era = days.rem_euclid(146_097);
    let year_of_era =
        (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = if shifted_month < 10 {
        shifted_month + 3
    } else {
        shifted_month - 9
    };
    let year = year_of_era + era * 400 + i64::from(month <= 2);
    (year, month, day)
}

/// Parses an interval such as `1 day 2 hours` into microseconds; a month has
/// thirty days.
pub fn parse_interval(text: &str) -> Option<i64> {
    let mut words = text.split_whitespace();
    let mut total = 0.0;
    while let Some(word) = words.next() {
        if word.contains(':') {
            total += parse_clock(word)? as f64 / MICROS_PER_SECOND as f64;
            continue;
        }
        let amount: f64 = word.parse().ok()?;
        let unit = words.next()?.trim_end_matches('s');
        total += amount * unit_seconds(unit)?;
    }
    Some((total * MICROS_PER_SECOND as f64).round() as i64)
}

fn unit_seconds(unit: &str) -> Option<f64> {
    let seconds = match unit {
        "microsecond" => 0.000_001,
        "millisecond" => 0.001,
        "second" | "sec" => 1.0,
        "minute" | "min" => 60.0,
        "hour" => 3600.0,
        "day" => 86_400.0,
        "week" => 604_800.0,
        "month" | "mon" => 2_592_000.0,
        "year" => 31_536_000.0,
        _ => return None,
    };
    Some(seconds)
}
