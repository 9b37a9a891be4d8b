//! Rate limiting per tenant. An operation is a single statement or a whole transaction, which
//! is counted at its first statement.

use hookpoint_coordination::serving::quota::max_token_wait;

use super::{Request, Work};
use crate::message::{Failure, FailureCode};
use crate::tokens::{self, TokenDenial};
use crate::units::millis;

impl Request<'_> {
    /// Takes a token for the operation that begins with `work`, or refuses the operation before
    /// any of it has run. Callers without a tenant are not limited.
    pub(super) async fn take_token(&self, work: &Work) -> Result<(), Failure> {
        let Some(tenant) = self.principal.tenant() else {
            return Ok(());
        };
        let elapsed = self.node.now().since(self.arrived);
        let max_wait = max_token_wait(self.route.target_latency, elapsed).min(self.time_left());
        let outcome = tokens::take_token(self.node, tenant, max_wait).await;
        let waited = self.node.now().since(self.arrived);
        self.node.counters.observe("token", waited);
        let (reason, retry_after) = match outcome {
            Ok(()) => return Ok(()),
            Err(TokenDenial::OverLimit { retry_after }) => ("over_limit", Some(retry_after)),
            Err(TokenDenial::NotCounted) => ("not_counted", None),
        };
        self.node.counters.count("refused", reason);
        self.node.log(
            "operation_over_limit",
            &[
                ("request", String::from_utf8_lossy(&work.id).as_ref().into()),
                ("tenant", tenant.as_str().into()),
                ("reason", reason.into()),
                ("configuration", self.node.configuration_version().into()),
                ("retry_after_ms", retry_after.map(millis).into()),
                ("held_ms", millis(waited).into()),
            ],
        );
        let hint = retry_after.map_or(250, millis);
        let text = format!("over the tenant's limit, nothing was kept; retry after {hint} ms");
        Err(Failure::new(FailureCode::Overloaded, text))
    }
}
