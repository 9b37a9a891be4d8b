//! What operators do with bundles, against the platform's key-value service.
//!
//! Every change is one transaction that compares the revision the operator saw, and
//! carries an identifier of the attempt. A lost answer is resolved by sending the same
//! transaction again: if the first one took effect, the comparison fails and the
//! identifier found in the store is the attempt's own. So nothing is applied twice, and
//! "unknown" is only said when the store cannot be read before the deadline.

mod approve;
mod error;
mod history;
mod prepare;
mod roll;
mod store;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hookpoint_protocol::platform::records::{AttemptId, Stamp};
use hookpoint_transport::platform::PlatformClient;

pub use approve::Approval;
pub use error::{OperatorError, Winner};
pub use history::{BundleStatus, PreparedBundle};
pub use roll::Rolled;

/// An operator at work.
pub struct Operator {
    client: PlatformClient,
    name: String,
    timeout: Duration,
}

impl Operator {
    /// An operator called `name` who gives each command `timeout` in all.
    pub fn new(client: PlatformClient, name: impl Into<String>, timeout: Duration) -> Self {
        Self {
            client,
            name: name.into(),
            timeout,
        }
    }

    fn stamp(&self) -> Stamp {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let at_ms = since.unwrap_or_default().as_millis();
        Stamp {
            by: self.name.clone(),
            at_ms: u64::try_from(at_ms).unwrap_or(u64::MAX),
            attempt: AttemptId::new(rand::random()),
        }
    }
}
