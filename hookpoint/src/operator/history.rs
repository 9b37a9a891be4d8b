//! Reads the bundle in force, the prepared bundles and the history of rolls.

use hookpoint_protocol::platform::records::{
    ActivePointer, BUNDLE_PREFIX, BundleRecord, ChangeStamp, HISTORY_PREFIX, bundle_key,
    history_key,
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
    /// Version of the bundle.
    pub version: BundleVersion,
    /// Digest of the bundle.
    pub digest: BundleDigest,
    /// Operator, time and attempt of its preparation.
    pub prepared: ChangeStamp,
    /// Identifiers of the keys that signed it.
    pub approved_by: Vec<KeyId>,
    /// Description given in the bundle.
    pub description: String,
}

/// The bundle in force and the bundles that may be rolled next.
#[derive(Clone, Debug, PartialEq)]
pub struct BundleStatus {
    /// The active pointer; `None` before the first roll.
    pub active: Option<ActivePointer>,
    /// Prepared bundles above the version in force, in ascending order of version.
    pub prepared: Vec<PreparedBundle>,
}

impl Operator {
    /// Reads the active pointer and the prepared bundles.
    ///
    /// # Errors
    /// Returns an [`OperatorError`].
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

    /// Reads the pointers of the last `count` versions, in ascending order of version.
    ///
    /// # Errors
    /// Returns an [`OperatorError`].
    pub async fn history(&self, count: u64) -> Result<Vec<ActivePointer>, OperatorError> {
        let mut attempts = self.attempts();
        let active = self.read_pointer(&mut attempts).await?.value;
        let newest = active.map_or(0, |pointer| pointer.version.0);
        let first = history_key(BundleVersion((newest + 1).saturating_sub(count)));
        self.read_range(&mut attempts, &first, HISTORY_PREFIX).await
    }

    /// Reads the records from key `first`, inclusive, to the end of `prefix`.
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
            approved_by: record
                .signatures
                .iter()
                .map(|signature| signature.key)
                .collect(),
            description: record.bundle.description.clone(),
        }
    }
}
