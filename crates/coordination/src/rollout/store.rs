//! Storage of the bundle in force and of the latest deltas that led to it.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use hookpoint_state::BundleVersion;
use hookpoint_state::bundle::{
    Bundle, BundleDelta, BundleProblem, DeltaError, SignatureError, SignedBundle, TrustedKeys,
};
use thiserror::Error;

use super::message::{Change, MAXIMUM_CHANGE_BYTES};

/// Maximum number of deltas kept for nodes that are a few versions behind.
const MAXIMUM_KEPT_DELTAS: usize = 64;
/// Maximum number of entries in all kept deltas together.
const MAXIMUM_KEPT_ENTRIES: usize = 16_384;

/// Storage of the bundle in force. The simulator implements it with version numbers
/// only.
pub trait BundleStore {
    /// Returns the version in force; 0 when there is none.
    fn version(&self) -> BundleVersion;

    /// Returns the encoded change from `have` to the version in force; `None` when
    /// `have` is not older.
    fn change_since(&self, have: BundleVersion) -> Option<Bytes>;

    /// Verifies a change and applies it if it leads to a newer version. Returns that
    /// version, or `None` when the change contains nothing newer.
    ///
    /// # Errors
    /// Returns a [`ChangeError`] when the change is rejected; the store is then
    /// unchanged.
    fn apply(&mut self, change: &[u8]) -> Result<Option<BundleVersion>, ChangeError>;
}

/// Reason why a change is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// The change is larger than [`MAXIMUM_CHANGE_BYTES`].
    #[error("the change is too large")]
    TooLarge,
    /// The change can't be decoded.
    #[error("the change is malformed")]
    Malformed,
    /// The delta does not apply to the stored bundle.
    #[error(transparent)]
    Delta(#[from] DeltaError),
    /// The change is not approved by a trusted signature.
    #[error(transparent)]
    Signature(#[from] SignatureError),
    /// The resulting bundle violates a validation rule.
    #[error("{0}")]
    Rule(BundleProblem),
}

/// Stores the signed bundle in force and the latest deltas that led to it.
#[derive(Debug)]
pub struct SignedStore {
    trusted: TrustedKeys,
    current: Option<SignedBundle>,
    recent_deltas: VecDeque<BundleDelta>,
}

impl SignedStore {
    /// Creates an empty store that accepts bundles approved by `trusted`.
    pub fn new(trusted: TrustedKeys) -> Self {
        Self {
            trusted,
            current: None,
            recent_deltas: VecDeque::new(),
        }
    }

    /// Returns the bundle in force.
    pub fn current(&self) -> Option<&SignedBundle> {
        self.current.as_ref()
    }

    fn apply_full(&mut self, signed: SignedBundle) -> Result<(), ChangeError> {
        self.trusted.verify(&signed)?;
        signed.bundle.check().map_err(ChangeError::Rule)?;
        if let Some(current) = &self.current {
            let delta = BundleDelta::between(&current.bundle, &signed);
            self.keep_delta(delta);
        }
        self.current = Some(signed);
        Ok(())
    }

    fn apply_delta(&mut self, delta: BundleDelta) -> Result<(), ChangeError> {
        // The signature is checked first: it is cheap, and a delta from an untrusted
        // source is then never processed.
        self.trusted
            .verify_digest(delta.to, delta.digest, &delta.signatures)?;
        let none = Bundle::default();
        let current = self.current.as_ref().map(|signed| &*signed.bundle);
        let bundle = delta.apply(current.unwrap_or(&none))?;
        bundle.check().map_err(ChangeError::Rule)?;
        self.current = Some(SignedBundle {
            bundle: Arc::new(bundle),
            signatures: delta.signatures.clone(),
        });
        self.keep_delta(delta);
        Ok(())
    }

    fn keep_delta(&mut self, delta: BundleDelta) {
        self.recent_deltas.push_back(delta);
        let mut entries: usize = self.recent_deltas.iter().map(BundleDelta::entries).sum();
        while self.recent_deltas.len() > MAXIMUM_KEPT_DELTAS || entries > MAXIMUM_KEPT_ENTRIES {
            let Some(oldest) = self.recent_deltas.pop_front() else {
                return;
            };
            entries -= oldest.entries();
        }
    }

    fn delta_since(&self, have: BundleVersion) -> Option<BundleDelta> {
        let start = self
            .recent_deltas
            .iter()
            .position(|delta| delta.from == have)?;
        let mut later = self.recent_deltas.iter().skip(start);
        let first = later.next()?.clone();
        later.try_fold(first, |sum, delta| sum.then(delta)).ok()
    }
}

impl BundleStore for SignedStore {
    fn version(&self) -> BundleVersion {
        self.current
            .as_ref()
            .map_or(BundleVersion(0), SignedBundle::version)
    }

    fn change_since(&self, have: BundleVersion) -> Option<Bytes> {
        let current = self.current.as_ref()?;
        if have >= current.version() {
            return None;
        }
        let change = match self.delta_since(have) {
            Some(delta) => Change::Delta(Box::new(delta)),
            None => Change::Full(current.clone()),
        };
        Some(change.encode())
    }

    fn apply(&mut self, change: &[u8]) -> Result<Option<BundleVersion>, ChangeError> {
        if change.len() > MAXIMUM_CHANGE_BYTES {
            return Err(ChangeError::TooLarge);
        }
        let change = postcard::from_bytes(change).map_err(|_| ChangeError::Malformed)?;
        let offered = match &change {
            Change::Full(signed) => signed.version(),
            Change::Delta(delta) => delta.to,
        };
        if offered <= self.version() {
            return Ok(None);
        }
        match change {
            Change::Full(signed) => self.apply_full(signed)?,
            Change::Delta(delta) => self.apply_delta(*delta)?,
        }
        Ok(Some(offered))
    }
}
