//! Answers that a session gives without a database: its own parameters, `DEALLOCATE`,
//! `DISCARD ALL`, and every unit inside a failed transaction block that has no connection
//! any more.

use hookpoint_protocol::frame::Frame;
use hookpoint_protocol::reply::{self, TransactionStatus};
use hookpoint_protocol::tags::backend;
use hookpoint_state::{Position, RequestId, SessionToken};

use crate::caller::error;
use crate::caller::local::{LocalSetting, LocalStatement, TOKEN_SETTING};
use crate::caller::session::Session;
use crate::caller::unit::{LocalStep, UnitPlan};

/// Command tag of the answer to a statement that ended a failed transaction block.
const ROLLBACK_TAG: &str = "ROLLBACK";

impl Session {
    /// Answers a unit that needs no connection.
    pub(super) fn answer_locally(&mut self, plan: &UnitPlan) {
        let mut failed = false;
        for step in &plan.local {
            match step {
                LocalStep::Message(frame) => self.stream.write(frame),
                LocalStep::Run(statement) => {
                    if let Err(error) = self.run_local(statement) {
                        self.stream.write(&error);
                        self.fail_transaction();
                        failed = true;
                        break;
                    }
                }
            }
        }
        if plan.ready {
            self.write_ready();
        } else if failed {
            self.skipping = true;
        }
    }

    fn run_local(&mut self, statement: &LocalStatement) -> Result<(), Frame> {
        match statement {
            LocalStatement::Show(setting) => {
                let value = self.show_local(*setting);
                self.stream.write(&reply::text_row(&value));
            }
            LocalStatement::Set(setting, value) => self.set_local(*setting, value.clone()),
            LocalStatement::Deallocate(Some(name)) => {
                if !self.statements.remove(name) {
                    return Err(error::missing_statement(name));
                }
            }
            LocalStatement::Deallocate(None) => self.statements.clear(),
            LocalStatement::DiscardAll if self.status.is_open() => {
                return Err(error::discard_in_transaction());
            }
            LocalStatement::DiscardAll => {
                self.statements.clear();
                self.settings.reset();
                self.next_request_id = None;
            }
        }
        let complete = reply::command_complete(statement.tag());
        self.stream.write(&complete);
        Ok(())
    }

    fn show_local(&self, setting: LocalSetting) -> String {
        match setting {
            LocalSetting::Token => self.token().unwrap_or_default(),
            LocalSetting::RequestId => {
                let request_id = self.next_request_id.as_ref();
                request_id.map(ToString::to_string).unwrap_or_default()
            }
        }
    }

    /// Sets one of the proxy's own parameters.
    pub(super) fn set_local(&mut self, setting: LocalSetting, value: Option<String>) {
        match setting {
            LocalSetting::Token => self.apply_token(value.as_deref()),
            LocalSetting::RequestId => {
                let value = value.filter(|text| !text.is_empty());
                self.next_request_id = value.map(RequestId::from);
            }
        }
    }

    /// Adds the position of a token to the position that the session requires. Without an
    /// authentic token of the session's own group the history of the session is unknown.
    fn apply_token(&mut self, text: Option<&str>) {
        let keys = self.context.settings.token_keys.iter().map(Vec::as_slice);
        let opened = text.and_then(|text| SessionToken::open(text, keys).ok());
        match opened {
            Some(token) if token.group == self.group => {
                self.context
                    .shared
                    .raise_term(&self.group, token.position.term);
                self.require(token.position);
            }
            _ => self.required = None,
        }
        self.reported = self.required;
    }

    /// Raises the position that the session's reads must have reached to at least
    /// `position`.
    pub(super) fn require(&mut self, position: Position) {
        self.required = Some(match self.required {
            Some(required) => required.merge(position),
            None => position,
        });
    }

    fn token(&self) -> Option<String> {
        let key = self.context.settings.token_keys.first()?;
        let token = SessionToken {
            group: self.group.clone(),
            position: self.required?,
        };
        Some(token.seal(key))
    }

    /// Reports the session's token to the caller if it has changed.
    pub(super) fn report_token(&mut self) {
        if self.required == self.reported {
            return;
        }
        if let Some(token) = self.token() {
            self.stream
                .write(&reply::parameter_status(TOKEN_SETTING, &token));
            self.reported = self.required;
        }
    }

    /// Answers a unit inside a failed transaction block that has no connection: only
    /// statements that end the block are accepted.
    pub(super) fn answer_aborted(&mut self, plan: &UnitPlan) {
        let empty = !plan.needs_connection && !plan.has_local;
        if !empty && !plan.traits.only_ends {
            self.stream.write(&error::aborted_transaction());
            self.end_refused(plan.ready);
            return;
        }
        if plan.simple {
            self.end_aborted();
            self.stream.write(&reply::command_complete(ROLLBACK_TAG));
        } else {
            for tag in &plan.answer_tags {
                self.answer_aborted_step(*tag);
            }
        }
        if plan.ready {
            self.write_ready();
        }
    }

    fn answer_aborted_step(&mut self, tag: u8) {
        match tag {
            backend::COMMAND_COMPLETE => {
                self.end_aborted();
                self.stream.write(&reply::command_complete(ROLLBACK_TAG));
            }
            backend::PARAMETER_DESCRIPTION => self.stream.write(&reply::no_parameters()),
            tag => self.stream.write(&reply::empty(tag)),
        }
    }

    fn end_aborted(&mut self) {
        self.aborted = false;
        self.status = TransactionStatus::Idle;
    }
}
