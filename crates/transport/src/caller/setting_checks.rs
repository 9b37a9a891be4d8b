//! Checks start-up parameters on a database before the session's first request.
//!
//! A pool applies a session's parameters to a connection in the same batch as the
//! request. If a parameter were refused only there, the request would run without it, and
//! a write might go to another schema.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

use hookpoint_protocol::errors::BackendError;
use hookpoint_protocol::extended;
use hookpoint_protocol::frame::Frame;
use parking_lot::Mutex;

use crate::caller::error::SessionEnd;
use crate::caller::session::Session;
use crate::caller::unit::UnitPlan;

/// Maximum number of accepted parameters that a node remembers.
const MAXIMUM_ACCEPTED_SETTINGS: usize = 4_096;

/// Names and values of parameters that databases have accepted. All of them are forgotten
/// when the limit is reached.
#[derive(Debug, Default)]
pub struct AcceptedSettings {
    accepted: Mutex<BTreeSet<(String, String)>>,
}

impl AcceptedSettings {
    /// Returns the parameters in `settings` that no database has accepted yet.
    pub fn not_yet_accepted(&self, settings: &BTreeMap<String, String>) -> Vec<(String, String)> {
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
        if accepted.len() + settings.len() > MAXIMUM_ACCEPTED_SETTINGS {
            accepted.clear();
        }
        accepted.extend(settings.into_iter().take(MAXIMUM_ACCEPTED_SETTINGS));
    }
}

impl Session {
    /// Checks on a database the start-up parameters that no database has accepted yet.
    /// Returns false if the check could not be done; the caller has then been sent the
    /// reason.
    ///
    /// # Errors
    /// When a database refuses a parameter; the session ends.
    pub(super) async fn check_settings(&mut self) -> Result<bool, SessionEnd> {
        if self.unchecked_settings.is_empty() || self.transaction.is_some() {
            return Ok(true);
        }
        let query = extended::query(&set_statements(&self.unchecked_settings));
        let mut plan = UnitPlan::simple(&query, &self.context.classifier)
            .map_err(|_| SessionEnd::Setting(None))?;
        if plan.traits.unsupported.is_some() {
            return Err(SessionEnd::Setting(None));
        }
        plan.internal = true;
        self.check_failed = false;
        self.run_unit(plan).await?;
        if self.check_failed {
            return Ok(false);
        }
        let checked = std::mem::take(&mut self.unchecked_settings);
        self.context.accepted_settings.accept(checked);
        Ok(true)
    }
}

/// Returns whether a parameter is one that nearly every driver sends and every database
/// accepts.
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

/// Evaluates the answer to the check.
///
/// # Errors
/// When a parameter was refused.
pub fn check_result(answer: &[Frame]) -> Result<(), SessionEnd> {
    match answer.iter().find_map(BackendError::from_frame) {
        Some(error) => Err(SessionEnd::Setting(Some(error))),
        None => Ok(()),
    }
}

fn set_statements(settings: &[(String, String)]) -> String {
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
