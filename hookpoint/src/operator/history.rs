//! What is in force, what is prepared, and what was in force before.

use hookpoint_protocol::platform::records::{
    ActivePointer, BUNDLE_PREFIX, BundleRecord, HISTORY_PREFIX, Stamp, bundle_key, history_key,
};
use hookpoint_protocol::platform::{KeyValue, RangeRequest, prefix_end};
use hookpoint_state::BundleVersion;
use hookpoint_state::bundle::{BundleDigest, KeyId};
use serde::de::DeserializeOwned;

use super::store::{Attempts, decode};
use super::{Operator, OperatorError};

/// A prepared bundle without its contents.
#[derive(Clone, Debug, PartialEq)]
pub struct PreparedBundle {
    /// Its version.
    pub version: BundleVersion,
    /// Its digest.
    pub digest: BundleDigest,
    /// Who prepared it.
    pub prepared: Stamp,
    /// Keys that approved it.
    pub approved_by: Vec<KeyId>,
    /// Its description.
    pub description: String,
}

/// What is in force and what may be rolled next.
#[derive(Clone, Debug, PartialEq)]
pub struct BundleStatus {
    /// The pointer, once anything was rolled.
    pub active: Option<ActivePointer>,
    /// Prepared bundles above the version in force, the oldest first.
    pub prepared: Vec<PreparedBundle>,
}

impl Operator {
    /// Reads what is in force and what is prepared.
    ///
    /// # Errors
    /// An [`OperatorError`].
    pub async fn status(&self) -> Result<BundleStatus, OperatorError> {
        let mut attempts = self.attempts();
        let active = self.read_pointer(&mut attempts).await?.value;
        let next = active.as_ref().map_or(0, |pointer| pointer.version.0) + 1;
        let first = bundle_key(BundleVersion(next));
        let records: Vec<BundleRecord> = self
            .read_range(&mut attempts, &first, BUNDLE_PREFIX)
            .await?;
        let prepared = records.iter().map(PreparedBundle::of).collect();
        Ok(BundleStatus { active, prepared })
    }

    /// Reads the pointers of the last `count` versions, the oldest first.
    ///
    /// # Errors
    /// An [`OperatorError`].
    pub async fn history(&self, count: u64) -> Result<Vec<ActivePointer>, OperatorError> {
        let mut attempts = self.attempts();
        let active = self.read_pointer(&mut attempts).await?.value;
        let newest = active.map_or(0, |pointer| pointer.version.0);
        let first = history_key(BundleVersion((newest + 1).saturating_sub(count)));
        self.read_range(&mut attempts, &first, HISTORY_PREFIX).await
    }

    /// Reads the records from key `first` to the end of `prefix`.
    async fn read_range<T: DeserializeOwned>(
        &self,
        attempts: &mut Attempts,
        first: &str,
        prefix: &str,
    ) -> Result<Vec<T>, OperatorError> {
        let request = RangeRequest {
            key: first.into(),
            range_end: prefix_end(prefix.as_bytes()).into(),
            ..RangeRequest::default()
        };
        let range = attempts.read(|| self.client.range(&request)).await?;
        let decode_entry = |entry: KeyValue| {
            let key = entry.key.to_text();
            decode(&key, Some(entry)).map(|found| found.value)
        };
        let records: Result<Vec<Option<T>>, _> = range.kvs.into_iter().map(decode_entry).collect();
        Ok(records?.into_iter().flatten().collect())
    }
}

impl PreparedBundle {
    fn of(record: &BundleRecord) -> Self {
        Self {
            version: record.bundle.version,
            digest: record.digest,
            prepared: record.prepared.clone(),
            approved_by: record.signatures.iter().map(|held| held.key).collect(),
            description: record.bundle.description.clone(),
        }
    }
}
