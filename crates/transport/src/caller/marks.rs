//! Requests that are not repeatable: which unit carries which identifier.

use hookpoint_state::{Refusal, RequestId};

use crate::caller::session::Session;
use crate::caller::unit::UnitPlan;

/// Longest request identifier, in bytes.
const MAXIMUM_REQUEST_ID: usize = 255;

impl Session {
    /// The identifier that has to be in the ledger before `plan` runs. A comment marks
    /// the unit that holds it; the session's parameter marks its next write.
    pub(super) fn mark_of(&self, plan: &UnitPlan) -> Option<RequestId> {
        let traits = &plan.traits;
        if !traits.executes || traits.only_opens || traits.only_ends {
            return None;
        }
        if !self.context.settings.checks.guard {
            return None;
        }
        if let Some(request) = &traits.request_id {
            return Some(request.clone());
        }
        if traits.reads_only {
            return None;
        }
        self.request_mark.clone()
    }

    /// A comment on a lone `BEGIN` marks the transaction's first write.
    pub(super) fn mark_transaction(&mut self, plan: &UnitPlan) {
        let traits = &plan.traits;
        if traits.executes && traits.only_opens && traits.request_id.is_some() {
            self.request_mark.clone_from(&traits.request_id);
        }
    }

    /// Why the unit cannot be run as one that is not repeatable, if so.
    pub(super) fn mark_refusal(&self, plan: &UnitPlan) -> Option<Refusal> {
        let request = self.mark_of(plan)?;
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

    /// Whether `request` would enter the ledger behind a savepoint. Rolling back to it
    /// would take the row out again while the transaction goes on.
    fn is_behind_savepoint(&self, plan: &UnitPlan, request: &RequestId) -> bool {
        let active = self.transaction.as_ref();
        let entered = active.is_some_and(|active| active.marked.contains(request));
        let savepoints = active.is_some_and(|active| active.savepoints);
        !entered && (savepoints || plan.traits.savepoints)
    }

    /// The request with this identifier is known to have run.
    pub(super) fn spend_mark(&mut self, request: &RequestId) {
        if self.request_mark.as_ref() == Some(request) {
            self.request_mark = None;
        }
    }
}
