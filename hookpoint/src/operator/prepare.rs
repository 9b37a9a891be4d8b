//! Preparing a bundle: it gets the next version and is stored, not yet in force.

use std::sync::Arc;

use hookpoint_protocol::platform::records::{
    BUNDLE_PREFIX, BundleRecord, HISTORY_PREFIX, VERSION_COUNTER_KEY, VersionCounter, bundle_key,
    history_key,
};
use hookpoint_protocol::platform::{
    Compare, DeleteRangeRequest, RequestOperation, TransactionRequest,
};
use hookpoint_state::BundleVersion;
use hookpoint_state::bundle::Bundle;

use super::store::{Versioned, decode, encode, read_by};
use super::{Operator, OperatorError};

/// Bundles kept behind the one in force; older ones are deleted.
const BUNDLES_KEPT: u64 = 64;
/// Pointers kept in the history; older ones are deleted.
const HISTORY_KEPT: u64 = 10_000;

impl Operator {
    /// Stores `bundle` under the next version.
    ///
    /// # Errors
    /// An [`OperatorError`].
    pub async fn prepare(&self, bundle: Bundle) -> Result<BundleRecord, OperatorError> {
        self.prepare_above(bundle, BundleVersion(0)).await
    }

    /// Stores `bundle` under the next version that is above `floor`: needed once after
    /// the platform was restored from a backup older than what the fleet has in force.
    ///
    /// # Errors
    /// An [`OperatorError`].
    pub async fn prepare_above(
        &self,
        bundle: Bundle,
        floor: BundleVersion,
    ) -> Result<BundleRecord, OperatorError> {
        bundle.check().map_err(OperatorError::BadBundle)?;
        let mut attempts = self.attempts();
        loop {
            let entry = attempts
                .read(|| self.client.get(VERSION_COUNTER_KEY))
                .await?;
            let counter: Versioned<VersionCounter> = decode(VERSION_COUNTER_KEY, entry)?;
            let active = self.read_pointer(&mut attempts).await?.value;
            let active = active.map(|pointer| pointer.version).unwrap_or_default();
            let highest = counter
                .value
                .unwrap_or_default()
                .highest
                .max(active)
                .max(floor);
            let version = BundleVersion(highest.0 + 1);
            let record = self.record_of(bundle.clone().with_version(version));
            let request = preparation(&record, counter.revision, active)?;
            let answer = self.settle(&mut attempts, &request).await?;
            if answer.succeeded {
                return Ok(record);
            }
            let key = bundle_key(version);
            let stored: Versioned<BundleRecord> = decode(&key, read_by(&answer.responses, 0))?;
            if stored
                .value
                .is_some_and(|stored| stored.prepared == record.prepared)
            {
                return Ok(record);
            }
            // Another operator took the number; this attempt can no longer take effect.
            attempts.forget_doubt();
        }
    }

    fn record_of(&self, bundle: Bundle) -> BundleRecord {
        BundleRecord {
            digest: bundle.digest(),
            bundle: Arc::new(bundle),
            prepared: self.stamp(),
            signatures: Vec::new(),
        }
    }
}

fn preparation(
    record: &BundleRecord,
    counter_revision: i64,
    active: BundleVersion,
) -> Result<TransactionRequest, OperatorError> {
    let version = record.bundle.version;
    let key = bundle_key(version);
    let counter = VersionCounter { highest: version };
    let oldest_bundle = BundleVersion(active.0.min(version.0.saturating_sub(BUNDLES_KEPT)));
    let oldest_pointer = BundleVersion(active.0.saturating_sub(HISTORY_KEPT));
    Ok(TransactionRequest {
        compare: vec![Compare::unchanged_since(
            VERSION_COUNTER_KEY,
            counter_revision,
        )],
        success: vec![
            RequestOperation::put(VERSION_COUNTER_KEY, encode(VERSION_COUNTER_KEY, &counter)?),
            RequestOperation::put(&key, encode(&key, record)?),
            delete(BUNDLE_PREFIX, &bundle_key(oldest_bundle)),
            delete(HISTORY_PREFIX, &history_key(oldest_pointer)),
        ],
        failure: vec![RequestOperation::get(&key)],
    })
}

/// Deletes the keys from `first` up to `end`.
fn delete(first: &str, end: &str) -> RequestOperation {
    RequestOperation {
        request_delete_range: Some(DeleteRangeRequest {
            key: first.into(),
            range_end: end.into(),
        }),
        ..RequestOperation::default()
    }
}
