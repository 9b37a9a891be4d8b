//! Rolling a bundle: moves the active pointer by the steps of a [`RollMachine`].

use hookpoint_coordination::rollout::{PointerView, RollEvent, RollMachine, RollResult, RollStep};
use hookpoint_protocol::platform::records::{
    ACTIVE_KEY, ActivePointer, BundleRecord, ChangeStamp, history_key,
};
use hookpoint_protocol::platform::{Compare, KeyValue, RequestOperation, TransactionRequest};
use hookpoint_state::BundleVersion;
use hookpoint_state::bundle::{SignatureError, TrustedKeys};
use hookpoint_transport::platform::PlatformError;

use super::error::AppliedRoll;
use super::store::{Attempts, Versioned, decode, encode, key_read_by};
use super::{Operator, OperatorError};

/// Event for the roll machine, or the error of the request that should have produced it.
type StepResult = Result<RollEvent<ChangeStamp>, PlatformError>;

/// A roll that was applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rolled {
    /// The active pointer as this roll wrote it.
    pub pointer: ActivePointer,
    /// Whether another version has already been rolled after this one.
    pub superseded: bool,
}

impl Operator {
    /// Puts `version` in force if the version in force is still `seen`, or, without `seen`,
    /// the version read at the beginning of this call. With `trusted` keys, the signatures
    /// are verified first; without, at least one signature must be present.
    ///
    /// # Errors
    /// Returns an [`OperatorError`]. On [`OperatorError::Conflict`] nothing was changed.
    pub async fn roll(
        &self,
        version: BundleVersion,
        seen: Option<BundleVersion>,
        trusted: Option<&TrustedKeys>,
    ) -> Result<Rolled, OperatorError> {
        let mut attempts = self.attempts();
        let (record, _) = self.read_bundle(&mut attempts, version).await?;
        check_approval(&record, trusted)?;
        let stamp = self.stamp();
        let machine = RollMachine::new(version, seen, stamp.clone());
        let pointer = ActivePointer {
            version,
            digest: record.digest,
            previous: BundleVersion(0),
            rolled: stamp,
        };
        self.run_machine(machine, pointer, &mut attempts).await
    }

    /// Carries out the machine's steps until it has finished.
    async fn run_machine(
        &self,
        mut machine: RollMachine<ChangeStamp>,
        mut pointer: ActivePointer,
        attempts: &mut Attempts,
    ) -> Result<Rolled, OperatorError> {
        let mut failure = None;
        loop {
            let answer = match machine.step() {
                RollStep::ReadPointer => self.read_active_pointer().await?,
                RollStep::MovePointer {
                    unchanged_since,
                    previous,
                } => {
                    pointer.previous = *previous;
                    self.move_pointer(&pointer, *unchanged_since).await?
                }
                RollStep::Finished(result) => return finish(pointer, result, failure),
            };
            match answer {
                Ok(event) => machine.handle(event),
                Err(error) => {
                    let outcome = error.outcome();
                    machine.handle(RollEvent::Failed { outcome });
                    if !attempts.wait_after(&error).await {
                        machine.handle(RollEvent::TimedOut);
                    }
                    failure = Some(error);
                }
            }
        }
    }

    async fn read_active_pointer(&self) -> Result<StepResult, OperatorError> {
        let entry = match self.client.get(ACTIVE_KEY).await {
            Ok(entry) => entry,
            Err(error) => return Ok(Err(error)),
        };
        let found: Versioned<ActivePointer> = decode(ACTIVE_KEY, entry)?;
        Ok(Ok(RollEvent::PointerRead {
            pointer: found.value.map(view),
            revision: found.revision,
        }))
    }

    async fn move_pointer(
        &self,
        pointer: &ActivePointer,
        unchanged_since: i64,
    ) -> Result<StepResult, OperatorError> {
        let request = roll_request(pointer, unchanged_since)?;
        let answer = match self.client.transaction(&request).await {
            Ok(answer) => answer,
            Err(error) => return Ok(Err(error)),
        };
        if answer.succeeded {
            return Ok(Ok(RollEvent::Moved));
        }
        Ok(Ok(RollEvent::NotMoved {
            pointer: decode_view(ACTIVE_KEY, key_read_by(&answer.responses, 0))?,
            historical: decode_view(
                &history_key(pointer.version),
                key_read_by(&answer.responses, 1),
            )?,
        }))
    }
}

fn finish(
    pointer: ActivePointer,
    result: &RollResult<ChangeStamp>,
    failure: Option<PlatformError>,
) -> Result<Rolled, OperatorError> {
    match result {
        RollResult::Rolled { superseded, .. } => Ok(Rolled {
            pointer,
            superseded: *superseded,
        }),
        RollResult::Conflict { conflicting } => Err(OperatorError::Conflict {
            conflicting: AppliedRoll::of(conflicting.as_ref()),
        }),
        RollResult::NotNewer { active } => Err(OperatorError::NotNewer {
            version: pointer.version,
            active: *active,
        }),
        RollResult::NotRun => Err(OperatorError::NotRun(failure)),
        RollResult::Unknown => Err(OperatorError::Unknown(failure)),
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

fn roll_request(
    pointer: &ActivePointer,
    revision: i64,
) -> Result<TransactionRequest, OperatorError> {
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

fn view(pointer: ActivePointer) -> PointerView<ChangeStamp> {
    PointerView {
        version: pointer.version,
        attempt: pointer.rolled,
    }
}

fn decode_view(
    key: &str,
    entry: Option<KeyValue>,
) -> Result<Option<PointerView<ChangeStamp>>, OperatorError> {
    let found: Versioned<ActivePointer> = decode(key, entry)?;
    Ok(found.value.map(view))
}
