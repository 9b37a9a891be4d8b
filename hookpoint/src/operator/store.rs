//! Reads and transactions that are retried until a deadline.

use std::future::Future;
use std::time::Duration;

use hookpoint_protocol::platform::records::{ACTIVE_KEY, ActivePointer, BundleRecord, bundle_key};
use hookpoint_protocol::platform::{
    KeyValue, ResponseOperation, TransactionRequest, TransactionResponse,
};
use hookpoint_state::{BundleVersion, Outcome};
use hookpoint_transport::platform::{Backoff, PlatformError};
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use super::{Operator, OperatorError};

/// Shortest and longest backoff between attempts.
const RETRY_BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// A value with the revision of its latest change; a missing key has no value and revision
/// 0.
#[derive(Clone, Debug)]
pub(super) struct Versioned<T> {
    pub value: Option<T>,
    pub revision: i64,
}

/// Retry state of one command: its deadline, backoff, and whether an attempt may have been
/// applied.
pub(super) struct Attempts {
    deadline: Instant,
    backoff: Backoff,
    /// Whether an earlier attempt may have been applied.
    uncertain: bool,
}

impl Attempts {
    pub fn with_timeout(timeout: Duration) -> Self {
        let (shortest, longest) = RETRY_BACKOFF;
        Self {
            deadline: Instant::now() + timeout,
            backoff: Backoff::new(shortest, longest),
            uncertain: false,
        }
    }

    /// Waits before the next attempt. Returns false if the error is permanent or the
    /// deadline would pass.
    pub async fn wait_after(&mut self, error: &PlatformError) -> bool {
        let pause = self.backoff.after(error);
        if !error.is_transient() || Instant::now() + pause >= self.deadline {
            return false;
        }
        tokio::time::sleep(pause).await;
        true
    }

    /// Waits before the next attempt, or returns the outcome of the command if there is
    /// none.
    async fn pause(&mut self, error: PlatformError) -> Result<(), OperatorError> {
        if self.wait_after(&error).await {
            Ok(())
        } else if self.uncertain {
            Err(OperatorError::Unknown(Some(error)))
        } else {
            Err(OperatorError::NotRun(Some(error)))
        }
    }

    /// Clears the uncertainty of earlier attempts, which can no longer be applied.
    pub fn clear_uncertainty(&mut self) {
        self.uncertain = false;
    }

    /// Repeats `read` until it is answered or the deadline passes.
    pub async fn read<Answer, Reading>(
        &mut self,
        read: impl Fn() -> Reading,
    ) -> Result<Answer, OperatorError>
    where
        Reading: Future<Output = Result<Answer, PlatformError>>,
    {
        loop {
            match read().await {
                Ok(answer) => return Ok(answer),
                Err(error) => self.pause(error).await?,
            }
        }
    }
}

impl Operator {
    pub(super) fn attempts(&self) -> Attempts {
        Attempts::with_timeout(self.timeout)
    }

    /// Sends a transaction until it is answered or the deadline passes. Repeating it is
    /// safe: once it was applied its comparison fails, and the caller finds its own attempt
    /// in the store.
    pub(super) async fn send_until_answered(
        &self,
        attempts: &mut Attempts,
        request: &TransactionRequest,
    ) -> Result<TransactionResponse, OperatorError> {
        loop {
            match self.client.transaction(request).await {
                Ok(response) => return Ok(response),
                Err(error) => {
                    attempts.uncertain |= error.outcome() == Outcome::Unknown;
                    attempts.pause(error).await?;
                }
            }
        }
    }

    pub(super) async fn read_pointer(
        &self,
        attempts: &mut Attempts,
    ) -> Result<Versioned<ActivePointer>, OperatorError> {
        let entry = attempts.read(|| self.client.get(ACTIVE_KEY)).await?;
        decode(ACTIVE_KEY, entry)
    }

    /// Reads a prepared bundle with its revision, and checks its version and digest.
    pub(super) async fn read_bundle(
        &self,
        attempts: &mut Attempts,
        version: BundleVersion,
    ) -> Result<(BundleRecord, i64), OperatorError> {
        let key = bundle_key(version);
        let entry = attempts.read(|| self.client.get(&key)).await?;
        let found: Versioned<BundleRecord> = decode(&key, entry)?;
        let record = found
            .value
            .ok_or(OperatorError::NoSuchVersion { version })?;
        let intact = record.bundle.version == version && record.bundle.digest() == record.digest;
        if !intact {
            return Err(OperatorError::DamagedRecord {
                key,
                reason: "its version or digest is not that of its bundle".to_owned(),
            });
        }
        Ok((record, found.revision))
    }
}

/// Decodes the JSON value of `entry`, which was read from `key`.
pub(super) fn decode<T: DeserializeOwned>(
    key: &str,
    entry: Option<KeyValue>,
) -> Result<Versioned<T>, OperatorError> {
    let Some(entry) = entry else {
        return Ok(Versioned {
            value: None,
            revision: 0,
        });
    };
    let value =
        serde_json::from_slice(&entry.value.0).map_err(|error| OperatorError::DamagedRecord {
            key: key.to_owned(),
            reason: error.to_string(),
        })?;
    Ok(Versioned {
        value: Some(value),
        revision: entry.mod_revision,
    })
}

/// Returns the entry that the read operation at `index` of a transaction found, if any.
pub(super) fn key_read_by(responses: &[ResponseOperation], index: usize) -> Option<KeyValue> {
    let range = responses.get(index)?.response_range.as_ref()?;
    range.kvs.first().cloned()
}

/// Encodes the record to be stored under `key` as JSON.
pub(super) fn encode<T: serde::Serialize>(key: &str, value: &T) -> Result<Vec<u8>, OperatorError> {
    serde_json::to_vec(value).map_err(|error| OperatorError::DamagedRecord {
        key: key.to_owned(),
        reason: error.to_string(),
    })
}
