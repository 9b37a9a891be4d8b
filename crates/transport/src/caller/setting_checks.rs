//! Start-up parameters are checked by a database before the session's first request.
//!
//! A pool puts a session's parameters on a connection ahead of its request, in the same
//! flight. Were one of them refused only there, the request would run without them: a
//! write might go to another schema.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

use hookpoint_protocol::errors::BackendError;
use hookpoint_protocol::extended;
use hookpoint_protocol::frame::Frame;
use parking_lot::Mutex;

use crate::caller::error::SessionEnd;
use crate::caller::session::Session;
use crate::caller::unit::UnitPlan;

/// Parameters that a node remembers as accepted.
const REMEMBERED: usize = 4_096;

/// Names and values that databases have accepted. They are forgotten together when
/// there are too many.
#[derive(Debug, Default)]
pub struct AcceptedSettings {
    accepted: Mutex<BTreeSet<(String, String)>>,
}

impl AcceptedSettings {
    /// Those of `settings` that no database has accepted yet.
    pub fn unknown_of(&self, settings: &BTreeMap<String, String>) -> Vec<(String, String)> {
        let accepted = self.accepted.lock();
        let pairs = settings.iter();
        pairs
            .filter(|(name, value)| !is_always_accepted(name, value))
            .map(|(name, value)| (name.clone(), value.clone()))
            .filter(|pair| !accepted.contains(pair))
            .collect()
    }

    fn accept(&self, settings: Vec<(String, String)>) {
        let mut accepted = self.accepted.lock();
        if accepted.len() + settings.len() > REMEMBERED {
            accepted.clear();
        }
        accepted.extend(settings.into_iter().take(REMEMBERED));
    }
}

impl Session {
    /// Has a database check the start-up parameters that no database has accepted yet.
    /// Returns false when that could not be done; the caller has been told why.
    ///
    /// # Errors
    /// When a database refuses a parameter; the session ends.
    pub(super) async fn check_settings(&mut self) -> Result<bool, SessionEnd> {
        if self.unchecked.is_empty() || self.transaction.is_some() {
            return Ok(true);
        }
        let query = extended::query(&statements(&self.unchecked));
        let mut plan = UnitPlan::simple(&query, &self.context.classifier)
            .map_err(|_| SessionEnd::Setting(None))?;
        if plan.traits.unsupported.is_some() {
            return Err(SessionEnd::Setting(None));
        }
        plan.silent = true;
        self.check_failed = false;
        self.run_unit(plan).await?;
        if self.check_failed {
            return Ok(false);
        }
        let checked = std::mem::take(&mut self.unchecked);
        self.context.accepted_settings.accept(checked);
        Ok(true)
    }
}

/// What nearly every driver sends and every database accepts.
fn is_always_accepted(name: &str, value: &str) -> bool {
    match name {
        "application_name" => true,
        "client_encoding" => matches!(value.to_ascii_lowercase().as_str(), "utf8" | "utf-8"),
        "extra_float_digits" => value
            .parse()
            .is_ok_and(|digits| (-15..=3).contains(&digits)),
        _ => false,
    }
}

/// What the answer to the check says.
///
/// # Errors
/// When a parameter was refused.
pub fn verdict(answer: &[Frame]) -> Result<(), SessionEnd> {
    match answer.iter().find_map(BackendError::from_frame) {
        Some(error) => Err(SessionEnd::Setting(Some(error))),
        None => Ok(()),
    }
}

fn statements(settings: &[(String, String)]) -> String {
    let mut text = String::new();
    for (name, value) in settings {
        let doubled = value.replace('\'', "''");
        // Writing to a string cannot fail.
        let _ = if doubled.contains('\\') {
            write!(text, "SET {name} TO E'{}';", doubled.replace('\\', "\\\\"))
        } else {
            write!(text, "SET {name} TO '{doubled}';")
        };
    }
    text
}
