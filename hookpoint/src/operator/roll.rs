//! Rolling a bundle: moving the pointer.

use hookpoint_protocol::platform::records::{
    ACTIVE_KEY, ActivePointer, AttemptId, BundleRecord, history_key,
};
use hookpoint_protocol::platform::{Compare, RequestOperation, TransactionRequest};
use hookpoint_state::BundleVersion;
use hookpoint_state::bundle::{SignatureError, TrustedKeys};

use super::store::{Versioned, decode, encode, read_by};
use super::{Operator, OperatorError};

/// A roll that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rolled {
    /// The pointer as it was set.
    pub pointer: ActivePointer,
    /// Whether another version has been rolled since.
    pub superseded: bool,
}

impl Operator {
    /// Puts `version` in force, if the version in force is still the one that the
    /// operator has seen; without `seen` it is the one read at the beginning of this
    /// call. With trusted keys, the approvals are verified first.
    ///
    /// # Errors
    /// An [`OperatorError`]. On [`OperatorError::Conflict`] nothing was changed.
    pub async fn roll(
        &self,
        version: BundleVersion,
        seen: Option<BundleVersion>,
        trusted: Option<&TrustedKeys>,
    ) -> Result<Rolled, OperatorError> {
        let mut attempts = self.attempts();
        let (record, _) = self.read_bundle(&mut attempts, version).await?;
        check_approval(&record, trusted)?;
        let active = self.read_pointer(&mut attempts).await?;
        let active_version = check_seen(&active, seen)?;
        if version <= active_version {
            return Err(OperatorError::NotNewer {
                version,
                active: active_version,
            });
        }
        let pointer = ActivePointer {
            version,
            digest: record.digest,
            previous: active_version,
            rolled: self.stamp(),
        };
        let request = roll_of(&pointer, active.revision)?;
        let answer = self.settle(&mut attempts, &request).await?;
        if answer.succeeded {
            return Ok(Rolled {
                pointer,
                superseded: false,
            });
        }
        let found = decode(ACTIVE_KEY, read_by(&answer.responses, 0))?;
        let past = decode(&history_key(version), read_by(&answer.responses, 1))?;
        resolve(pointer, &found, &past)
    }
}

fn check_approval(
    record: &BundleRecord,
    trusted: Option<&TrustedKeys>,
) -> Result<(), OperatorError> {
    let result = match trusted {
        Some(keys) => keys.verify(&record.signed()),
        None if record.signatures.is_empty() => Err(SignatureError::Unsigned),
        None => Ok(()),
    };
    result.map_err(|source| OperatorError::NotApproved {
        version: record.bundle.version,
        source,
    })
}

fn check_seen(
    active: &Versioned<ActivePointer>,
    seen: Option<BundleVersion>,
) -> Result<BundleVersion, OperatorError> {
    let pointer = active.value.as_ref();
    let version = pointer.map(|pointer| pointer.version).unwrap_or_default();
    match seen {
        Some(seen) if seen != version => Err(OperatorError::Conflict {
            winner: pointer.into(),
        }),
        _ => Ok(version),
    }
}

fn roll_of(pointer: &ActivePointer, revision: i64) -> Result<TransactionRequest, OperatorError> {
    let value = encode(ACTIVE_KEY, pointer)?;
    let history = history_key(pointer.version);
    Ok(TransactionRequest {
        compare: vec![Compare::unchanged_since(ACTIVE_KEY, revision)],
        success: vec![
            RequestOperation::put(ACTIVE_KEY, value.clone()),
            RequestOperation::put(&history, value),
        ],
        failure: vec![
            RequestOperation::get(ACTIVE_KEY),
            RequestOperation::get(&history),
        ],
    })
}

/// The comparison failed: either an earlier sending of this attempt took effect, or
/// another roll came first. In both cases this attempt cannot take effect any more.
fn resolve(
    pointer: ActivePointer,
    found: &Versioned<ActivePointer>,
    past: &Versioned<ActivePointer>,
) -> Result<Rolled, OperatorError> {
    let own = |entry: &Versioned<ActivePointer>| attempt_of(entry) == Some(&pointer.rolled.attempt);
    let in_force = own(found);
    if in_force || own(past) {
        return Ok(Rolled {
            pointer,
            superseded: !in_force,
        });
    }
    Err(OperatorError::Conflict {
        winner: found.value.as_ref().into(),
    })
}

fn attempt_of(entry: &Versioned<ActivePointer>) -> Option<&AttemptId> {
    entry.value.as_ref().map(|pointer| &pointer.rolled.attempt)
}
