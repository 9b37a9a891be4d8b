//! Approval of a prepared bundle.

use hookpoint_protocol::platform::records::{BundleRecord, bundle_key};
use hookpoint_protocol::platform::{Compare, RequestOperation, TransactionRequest};
use hookpoint_state::BundleVersion;
use hookpoint_state::bundle::{KeyId, OperatorKey};

use super::store::encode;
use super::{Operator, OperatorError};

/// An approval that has been stored.
#[derive(Clone, Debug, PartialEq)]
pub struct Approval {
    /// Identifier of the key that signed.
    pub key: KeyId,
    /// The bundle's record with all its signatures.
    pub record: BundleRecord,
}

impl Operator {
    /// Signs the prepared bundle of `version` with `key`. Approving twice with the same
    /// key has no further effect.
    ///
    /// # Errors
    /// Returns an [`OperatorError`].
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
            record
                .signatures
                .retain(|existing| existing.key != signature.key);
            record.signatures.push(signature);
            let storage_key = bundle_key(version);
            let request = TransactionRequest {
                compare: vec![Compare::unchanged_since(&storage_key, revision)],
                success: vec![RequestOperation::put(
                    &storage_key,
                    encode(&storage_key, &record)?,
                )],
                failure: Vec::new(),
            };
            // The next iteration reads the record again: it finds the signature if this
            // or an earlier attempt was applied, and otherwise signs again on top of the
            // concurrent approval that won.
            self.send_until_answered(&mut attempts, &request).await?;
        }
    }
}
