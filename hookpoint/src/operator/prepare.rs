//! Preparation of a bundle: stores it under the next version without putting it in force.

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

use super::store::{Versioned, decode, encode, key_read_by};
use super::{Operator, OperatorError};

/// Number of versions below the highest one whose bundles are kept; the one in force is
/// never deleted.
const BUNDLES_KEPT: u64 = 64;
/// Number of versions below the one in force whose pointers stay in the history; older ones
/// are deleted.
const HISTORY_KEPT: u64 = 10_000;

impl Operator {
    /// Stores `bundle` under the next version.
    ///
    /// # Errors
    /// Returns an [`OperatorError`].
    pub async fn prepare(&self, bundle: Bundle) -> Result<BundleRecord, OperatorError> {
        self.prepare_above(bundle, BundleVersion(0)).await
    }

    /// Stores `bundle` under the next version that is above `floor`. A floor is needed once
    /// after the platform was restored from a backup that is older than the bundle in force
    /// in the fleet.
    ///
    /// # Errors
    /// Returns an [`OperatorError`].
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
            let record = self.new_record(bundle.clone().with_version(version));
            let request = preparation_request(&record, counter.revision, active)?;
            let answer = self.send_until_answered(&mut attempts, &request).await?;
            if answer.succeeded {
                return Ok(record);
            }
            let key = bundle_key(version);
            let stored: Versioned<BundleRecord> = decode(&key, key_read_by(&answer.responses, 0))?;
            if stored
                .value
                .is_some_and(|stored| stored.prepared == record.prepared)
            {
                return Ok(record);
            }
            // Another operator took this version, so the attempt can no longer be applied.
            attempts.clear_uncertainty();
        }
    }

    fn new_record(&self, bundle: Bundle) -> BundleRecord {
        BundleRecord {
            digest: bundle.digest(),
            bundle: Arc::new(bundle),
            prepared: self.stamp(),
            signatures: Vec::new(),
        }
    }
}

fn preparation_request(
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
            delete_range(BUNDLE_PREFIX, &bundle_key(oldest_bundle)),
            delete_range(HISTORY_PREFIX, &history_key(oldest_pointer)),
        ],
        failure: vec![RequestOperation::get(&key)],
    })
}

/// Returns an operation that deletes the keys from `first`, inclusive, to `end`, exclusive.
fn delete_range(first: &str, end: &str) -> RequestOperation {
    RequestOperation {
        request_delete_range: Some(DeleteRangeRequest {
            key: first.into(),
            range_end: end.into(),
        }),
        ..RequestOperation::default()
    }
}
