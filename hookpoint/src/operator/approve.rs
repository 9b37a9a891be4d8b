//! Approving a prepared bundle.

use hookpoint_protocol::platform::records::{BundleRecord, bundle_key};
use hookpoint_protocol::platform::{Compare, RequestOperation, TransactionRequest};
use hookpoint_state::BundleVersion;
use hookpoint_state::bundle::{KeyId, OperatorKey};

use super::store::encode;
use super::{Operator, OperatorError};

/// An approval that is stored.
#[derive(Clone, Debug, PartialEq)]
pub struct Approval {
    /// Key that approved.
    pub key: KeyId,
    /// The record with its approvals.
    pub record: BundleRecord,
}

impl Operator {
    /// Signs the prepared bundle of `version` with `key`. Approving again changes
    /// nothing.
    ///
    /// # Errors
    /// An [`OperatorError`].
    pub async fn approve(
        &self,
        key: &OperatorKey,
        version: BundleVersion,
    ) -> Result<Approval, OperatorError> {
        let mut attempts = self.attempts();
        loop {
            let (mut record, revision) = self.read_bundle(&mut attempts, version).await?;
            let signature = key.sign(version, record.digest);
            if record.signatures.contains(&signature) {
                let key = key.id();
                return Ok(Approval { key, record });
            }
            record.signatures.retain(|held| held.key != signature.key);
            record.signatures.push(signature);
            let name = bundle_key(version);
            let request = TransactionRequest {
                compare: vec![Compare::unchanged_since(&name, revision)],
                success: vec![RequestOperation::put(&name, encode(&name, &record)?)],
                failure: Vec::new(),
            };
            // Whether this attempt or an earlier one took effect, the next round finds
            // the signature; if another approval came first, it is kept.
            self.settle(&mut attempts, &request).await?;
        }
    }
}
