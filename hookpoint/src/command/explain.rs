//! `hookpoint explain`.

use anyhow::Result;
use hookpoint_coordination::explain::Entry;
use hookpoint_state::NodeId;
use serde_json::Value;

use super::{http, in_system};
use crate::flags::Explain;

/// Carries out the command.
///
/// # Errors
/// When the endpoint does not answer.
pub fn run(flags: &Explain) -> Result<()> {
    let path = match flags.session {
        Some(session) => format!("/explain?session={session}"),
        None => "/explain".to_owned(),
    };
    let entries: Vec<Entry> = in_system(http::get_json(&flags.admin, &path))?;
    for entry in &entries {
        println!("{}", line(entry)?);
    }
    Ok(())
}

/// One entry: seconds since the proxy's start, the session, and the decision's fields.
fn line(entry: &Entry) -> Result<String> {
    let seconds = entry.at.0 as f64 / 1e6;
    let session = entry.session.map(|session| format!(" session {session}"));
    let mut text = format!("{seconds:.6}{}", session.unwrap_or_default());
    if let Value::Object(fields) = serde_json::to_value(&entry.decision)? {
        let kind = fields.get("kind").and_then(Value::as_str);
        text.push_str(&format!(" {}", kind.unwrap_or("decision")));
        for (key, value) in fields.iter().filter(|(key, _)| *key != "kind") {
            text.push_str(&field(key, value));
        }
    }
    Ok(text)
}

/// One field. A node is written as everywhere else, in hexadecimal digits.
fn field(key: &str, value: &Value) -> String {
    match value.as_u64() {
        Some(number) if key == "node" => format!(" {key}={}", NodeId(number)),
        _ => format!(" {key}={value}"),
    }
}
