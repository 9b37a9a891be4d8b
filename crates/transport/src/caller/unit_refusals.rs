//! Units that are refused before any part of them is sent.

use hookpoint_state::Refusal;

use crate::caller::session::Session;
use crate::caller::unit::UnitPlan;

impl Session {
    /// Returns why the unit cannot be run at all, if so.
    pub(super) fn refusal_of(&self, plan: &UnitPlan) -> Option<Refusal> {
        if let Some(feature) = &plan.traits.unsupported {
            return Some(unsupported(feature));
        }
        if !plan.needs_connection {
            return None;
        }
        if plan.has_local {
            let feature = "the proxy's own settings together with other statements";
            return Some(unsupported(feature));
        }
        match self.context.shared.bundle() {
            None => Some(Refusal::NoBundle),
            Some(bundle) if !bundle.groups.contains_key(&self.group) => Some(Refusal::UnknownGroup),
            Some(_) => self
                .block_refusal(plan)
                .map(unsupported)
                .or_else(|| self.request_id_refusal(plan)),
        }
    }

    /// Returns why an open unit cannot go on with the message just added to it, if so.
    pub(super) fn open_refusal(&self) -> Option<Refusal> {
        let active = self.transaction.as_ref()?;
        let plan = &active.plan;
        if let Some(feature) = &plan.traits.unsupported {
            return Some(unsupported(feature));
        }
        if plan.has_local {
            return Some(unsupported(
                "the proxy's own settings in messages behind a flush",
            ));
        }
        if active.ledger_id.is_none() && self.ledger_id_of(plan).is_some() {
            return Some(unsupported(
                "a request identifier in messages behind a flush",
            ));
        }
        None
    }

    /// Returns what the unit does inside its transaction block that the proxy cannot
    /// track, if anything.
    ///
    /// A read-only block is routed and ended without the proof of commit that a write
    /// needs, so it must stay read-only to its end. A parameter set behind a savepoint
    /// may be rolled back without the proxy noticing.
    fn block_refusal(&self, plan: &UnitPlan) -> Option<&'static str> {
        let traits = &plan.traits;
        let active = self.transaction.as_ref();
        let opens_read = traits.opens_transaction.is_some_and(|mode| mode.read_only);
        let in_read = active.is_some_and(|active| active.read_only);
        if traits.changes_mode && (in_read || opens_read) {
            return Some("a change of the mode of a READ ONLY transaction");
        }
        if in_read && traits.ends_transaction && !traits.reads_only {
            return Some("writes in one query with the end of a READ ONLY transaction");
        }
        let savepoints = active.is_some_and(|active| active.savepoints) || traits.savepoints;
        if savepoints && traits.sets_beyond_transaction() {
            return Some("SET in a transaction with savepoints; SET LOCAL is carried");
        }
        None
    }
}

fn unsupported(feature: &str) -> Refusal {
    Refusal::Unsupported {
        feature: feature.to_owned(),
    }
}
