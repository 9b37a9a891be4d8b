//! Requests that are not repeatable: which unit carries which request identifier.

use hookpoint_state::{Refusal, RequestId};

use crate::caller::session::Session;
use crate::caller::unit::UnitPlan;

/// Maximum length of a request identifier, in bytes.
const MAXIMUM_REQUEST_ID: usize = 255;

impl Session {
    /// Returns the identifier that must be in the ledger before `plan` runs. An
    /// identifier in a comment applies to the unit that contains it; one in the session
    /// parameter applies to the next write.
    pub(super) fn ledger_id_of(&self, plan: &UnitPlan) -> Option<RequestId> {
        let traits = &plan.traits;
        if !traits.executes || traits.only_opens || traits.only_ends {
            return None;
        }
        if !self.context.settings.checks.ledger {
            return None;
        }
        if let Some(request) = &traits.request_id {
            return Some(request.clone());
        }
        if traits.reads_only {
            return None;
        }
        self.next_request_id.clone()
    }

    /// Keeps an identifier given in a comment on a lone `BEGIN` for the transaction's
    /// first write.
    pub(super) fn keep_transaction_request_id(&mut self, plan: &UnitPlan) {
        let traits = &plan.traits;
        if traits.executes && traits.only_opens && traits.request_id.is_some() {
            self.next_request_id.clone_from(&traits.request_id);
        }
    }

    /// Returns why the unit cannot be run with its request identifier, if so.
    pub(super) fn request_id_refusal(&self, plan: &UnitPlan) -> Option<Refusal> {
        let request = self.ledger_id_of(plan)?;
        let text = request.as_str();
        let feature = if text.len() > MAXIMUM_REQUEST_ID
            || text.contains(|character: char| character == '\\' || character.is_control())
        {
            "a request identifier that is too long or holds a backslash or control character"
        } else if plan.open {
            "a request identifier on messages that are flushed before their Sync"
        } else if plan.traits.opens_transaction.is_some() || plan.traits.ends_transaction {
            "a request identifier on a unit that opens or ends a transaction block itself"
        } else if self.is_behind_savepoint(plan, &request) {
            "a request identifier behind a savepoint"
        } else {
            return None;
        };
        Some(Refusal::Unsupported {
            feature: feature.to_owned(),
        })
    }

    /// Returns whether `request` would be written to the ledger behind a savepoint.
    /// Rolling back to the savepoint would remove the ledger row while the transaction
    /// continues.
    fn is_behind_savepoint(&self, plan: &UnitPlan, request: &RequestId) -> bool {
        let active = self.transaction.as_ref();
        let recorded = active.is_some_and(|active| active.recorded_ids.contains(request));
        let savepoints = active.is_some_and(|active| active.savepoints);
        !recorded && (savepoints || plan.traits.savepoints)
    }

    /// Clears the request identifier for the next write, because that request is known to
    /// have run.
    pub(super) fn clear_next_request_id(&mut self, request: &RequestId) {
        if self.next_request_id.as_ref() == Some(request) {
            self.next_request_id = None;
        }
    }
}
