//! Checks whether a session's caller may use its route under the current configuration.

use std::rc::Rc;

use hookpoint_coordination::serving::tenancy::{Denial, Principal, identify};
use hookpoint_coordination::serving::topology::Route;

use super::refusals::{no_such_database, not_configured};
use super::{Session, Transaction};
use crate::message::{Failure, FailureCode};
use crate::statement::rolled_back;

impl Session {
    /// Returns the session's route and the principal that its key identifies, by the current
    /// configuration, or the failure to answer with.
    pub(super) fn admission(&self) -> Result<(Rc<Route>, Principal), Failure> {
        let configuration = self.node.configuration().ok_or_else(not_configured)?;
        let route = configuration.routes.get(&self.database);
        let route = route.ok_or_else(no_such_database)?;
        let accepts_keys = self.node.accepts_keys();
        let identified = identify(&configuration.tenants, route, &self.key, accepts_keys);
        match identified {
            Ok(principal) => Ok((Rc::clone(route), principal)),
            Err(denial) => Err(self.denied(denial)),
        }
    }

    fn denied(&self, denial: Denial) -> Failure {
        let reason = match denial {
            Denial::UnknownKey => "unknown_key",
            Denial::Partitioned => "partitioned",
        };
        self.node.counters.count("denied", reason);
        self.node.log(
            "caller_denied",
            &[
                ("database", self.database.as_str().into()),
                ("reason", reason.into()),
                ("configuration", self.node.configuration_version().into()),
            ],
        );
        Failure::new(FailureCode::Denied, "the key is not valid here")
    }

    /// Returns the failure that ends the caller's transaction, if it may not continue: its key was
    /// revoked or now belongs to another tenant, or its database was evacuated.
    pub(super) fn transaction_failure(&self, transaction: &Transaction) -> Option<Failure> {
        if transaction.evacuated {
            return Some(rolled_back());
        }
        let configuration = self.node.configuration()?;
        let route = &transaction.route;
        let accepts_keys = self.node.accepts_keys();
        match identify(&configuration.tenants, route, &self.key, accepts_keys) {
            Ok(principal) if principal == transaction.principal => None,
            Ok(_) => Some(rolled_back()),
            Err(denial) => Some(self.denied(denial)),
        }
    }
}
