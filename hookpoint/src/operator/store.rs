//! Reads and transactions with retries until a deadline.

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

/// Shortest and longest pause between attempts.
const PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// A value with the revision of its latest change; revision 0 for a missing key.
#[derive(Clone, Debug)]
pub(super) struct Versioned<T> {
    pub value: Option<T>,
    pub revision: i64,
}

/// Attempts of one command, until its deadline.
pub(super) struct Attempts {
    deadline: Instant,
    backoff: Backoff,
    /// Whether an earlier attempt may have taken effect.
    uncertain: bool,
}

impl Attempts {
    pub fn within(timeout: Duration) -> Self {
        let (shortest, longest) = PAUSE;
        Self {
            deadline: Instant::now() + timeout,
            backoff: Backoff::new(shortest, longest),
            uncertain: false,
        }
    }

    /// Waits before the next attempt; false when there is to be none.
    pub async fn wait_after(&mut self, error: &PlatformError) -> bool {
        let pause = self.backoff.after(error);
        if !error.is_transient() || Instant::now() + pause >= self.deadline {
            return false;
        }
        tokio::time::sleep(pause).await;
        true
    }

    /// Waits before the next attempt, or says what the command came to.
    async fn pause(&mut self, error: PlatformError) -> Result<(), OperatorError> {
        if self.wait_after(&error).await {
            Ok(())
        } else if self.uncertain {
            Err(OperatorError::Unknown(Some(error)))
        } else {
            Err(OperatorError::NotRun(Some(error)))
        }
    }

    /// Forgets the doubt of an earlier attempt that can no longer take effect.
    pub fn forget_doubt(&mut self) {
        self.uncertain = false;
    }

    /// Reads until an answer comes.
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
        Attempts::within(self.timeout)
    }

    /// Sends a transaction until an answer comes. Sending it again is harmless, since
    /// its comparison fails once it has taken effect; the caller then finds its own
    /// attempt in the store.
    pub(super) async fn settle(
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

    /// Reads a prepared bundle and checks that it is what it says.
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

/// Reads the value of `entry`.
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

/// The one key that the operation at `index` of a transaction read.
pub(super) fn read_by(responses: &[ResponseOperation], index: usize) -> Option<KeyValue> {
    let range = responses.get(index)?.response_range.as_ref()?;
    range.kvs.first().cloned()
}

/// Encodes a record.
pub(super) fn encode<T: serde::Serialize>(key: &str, value: &T) -> Result<Vec<u8>, OperatorError> {
    serde_json::to_vec(value).map_err(|error| OperatorError::DamagedRecord {
        key: key.to_owned(),
        reason: error.to_string(),
    })
}
