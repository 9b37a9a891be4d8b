//! The `hookpoint explain` command.

use std::io::{BufRead, BufReader, Read};
use std::path::Path;

use anyhow::{Context, Result, bail};
use hookpoint_coordination::explain::Entry;
use hookpoint_serving::explanation::{Event, Subject, format_lines, select};
use hookpoint_state::NodeId;
use serde_json::Value;

use super::{http, run_in_actix_system};
use crate::flags::Explain;

/// Prints the decisions of a proxy, or the logged events of a request, database,
/// configuration or zone.
///
/// # Errors
/// Fails if the endpoint does not answer, the log cannot be read, or no event matches.
pub fn run(flags: &Explain) -> Result<()> {
    match (&flags.admin, &flags.log) {
        (Some(admin), None) => print_decisions(flags, admin),
        (None, Some(log)) => print_log_events(flags, log),
        _ => bail!("give one of --admin and --log"),
    }
}

/// Prints the events of a log that concern the requested subject.
fn print_log_events(flags: &Explain, log: &Path) -> Result<()> {
    let subject = subject(flags)?;
    let input: Box<dyn Read> = if log == Path::new("-") {
        Box::new(std::io::stdin())
    } else {
        let file = std::fs::File::open(log);
        Box::new(file.with_context(|| format!("cannot read {}", log.display()))?)
    };
    let events: Vec<Event> = BufReader::new(input)
        .lines()
        .map_while(Result::ok)
        .filter_map(|line| Event::parse(&line))
        .collect();
    let selected = select(&events, &subject);
    if selected.is_empty() {
        bail!(
            "none of {} events concerns the requested subject",
            events.len()
        );
    }
    for line in format_lines(&selected) {
        println!("{line}");
    }
    Ok(())
}

/// Returns the subject named by the flags; exactly one of them must be given.
fn subject(flags: &Explain) -> Result<Subject> {
    let given = [
        flags.request.clone().map(Subject::Request),
        flags.database.clone().map(Subject::Database),
        flags.configuration.map(Subject::Configuration),
        flags.zone.clone().map(Subject::Zone),
    ];
    let mut given = given.into_iter().flatten();
    match (given.next(), given.next()) {
        (Some(subject), None) => Ok(subject),
        _ => bail!("--log takes one of --request, --database, --configuration and --zone"),
    }
}

/// Fetches and prints the recent decisions that a proxy keeps in memory.
fn print_decisions(flags: &Explain, admin: &str) -> Result<()> {
    let path = match flags.session {
        Some(session) => format!("/explain?session={session}"),
        None => "/explain".to_owned(),
    };
    let entries: Vec<Entry> = run_in_actix_system(http::get_json(admin, &path))?;
    for entry in &entries {
        println!("{}", decision_line(entry)?);
    }
    Ok(())
}

/// Formats an entry: seconds since the proxy's start, the session, and the decision's
/// fields.
fn decision_line(entry: &Entry) -> Result<String> {
    let seconds = entry.at.0 as f64 / 1e6;
    let session = entry.session.map(|session| format!(" session {session}"));
    let mut text = format!("{seconds:.6}{}", session.unwrap_or_default());
    if let Value::Object(fields) = serde_json::to_value(&entry.decision)? {
        let kind = fields.get("kind").and_then(Value::as_str);
        text.push_str(&format!(" {}", kind.unwrap_or("decision")));
        for (key, value) in fields.iter().filter(|(key, _)| *key != "kind") {
            text.push_str(&field_text(key, value));
        }
    }
    Ok(text)
}

/// Formats a field as ` key=value`. Node ids are written in hexadecimal, as in all other
/// output.
fn field_text(key: &str, value: &Value) -> String {
    match value.as_u64() {
        Some(number) if key == "node" => format!(" {key}={}", NodeId(number)),
        _ => format!(" {key}={value}"),
    }
}
