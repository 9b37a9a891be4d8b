//! Operators' commands on bundles, carried out on the platform's key-value service.
//!
//! Every change is one transaction that compares the revision the operator read and
//! carries an identifier of the attempt. After a lost answer the same transaction is sent
//! again: if the first one was applied, the comparison fails and the store holds the
//! attempt's own identifier. So no change is applied twice, and the outcome is reported as
//! unknown only if the store cannot be read before the deadline.

mod approve;
mod error;
mod history;
mod prepare;
mod roll;
mod store;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hookpoint_protocol::platform::records::{AttemptId, ChangeStamp};
use hookpoint_transport::platform::PlatformClient;

pub use approve::Approval;
pub use error::{AppliedRoll, OperatorError};
pub use history::{BundleStatus, PreparedBundle};
pub use roll::Rolled;

/// Carries out an operator's commands on the platform.
pub struct Operator {
    client: PlatformClient,
    name: String,
    timeout: Duration,
}

impl Operator {
    /// Creates an operator called `name`; `timeout` limits each command, retries included.
    pub fn new(client: PlatformClient, name: impl Into<String>, timeout: Duration) -> Self {
        Self {
            client,
            name: name.into(),
            timeout,
        }
    }

    fn stamp(&self) -> ChangeStamp {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let at_ms = since_epoch.unwrap_or_default().as_millis();
        ChangeStamp {
            by: self.name.clone(),
            at_ms: u64::try_from(at_ms).unwrap_or(u64::MAX),
            attempt: AttemptId::new(rand::random()),
        }
    }
}
