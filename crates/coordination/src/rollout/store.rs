//! Where a node keeps the bundle it has in force, and the changes that led to it.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use hookpoint_state::BundleVersion;
use hookpoint_state::bundle::{
    Bundle, BundleDelta, BundleProblem, DeltaError, SignatureError, SignedBundle, TrustedKeys,
};
use thiserror::Error;

use super::message::{Change, MAXIMUM_CHANGE_BYTES};

/// Changes kept for nodes that are a little behind.
const MAXIMUM_CHAIN: usize = 64;
/// Entries that the kept changes hold together.
const MAXIMUM_CHAIN_ENTRIES: usize = 16_384;

/// Keeps the bundle in force. The simulator has a store of bare numbers.
pub trait BundleStore {
    /// Version in force; 0 when there is none.
    fn version(&self) -> BundleVersion;

    /// The encoded change from `have` to the version in force; none when `have` is not
    /// older.
    fn change_since(&self, have: BundleVersion) -> Option<Bytes>;

    /// Verifies a change and takes it, if it leads to a newer version. Returns that
    /// version, or none when the change brings nothing newer.
    ///
    /// # Errors
    /// A [`ChangeError`]; the store is as before.
    fn apply(&mut self, change: &[u8]) -> Result<Option<BundleVersion>, ChangeError>;
}

/// Why a change is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// Larger than [`MAXIMUM_CHANGE_BYTES`].
    #[error("the change is too large")]
    TooLarge,
    /// Not an encoded change.
    #[error("the change is malformed")]
    Malformed,
    /// It does not follow from the bundle held.
    #[error(transparent)]
    Delta(#[from] DeltaError),
    /// It is not approved.
    #[error(transparent)]
    Signature(#[from] SignatureError),
    /// The bundle it leads to breaks a rule.
    #[error("{0}")]
    Rule(BundleProblem),
}

/// Keeps signed bundles and the latest changes between them.
#[derive(Debug)]
pub struct SignedStore {
    trusted: TrustedKeys,
    current: Option<SignedBundle>,
    chain: VecDeque<BundleDelta>,
}

impl SignedStore {
    /// An empty store that accepts the approval of `trusted`.
    pub fn new(trusted: TrustedKeys) -> Self {
        Self {
            trusted,
            current: None,
            chain: VecDeque::new(),
        }
    }

    /// The bundle in force.
    pub fn current(&self) -> Option<&SignedBundle> {
        self.current.as_ref()
    }

    fn take_full(&mut self, signed: SignedBundle) -> Result<(), ChangeError> {
        self.trusted.verify(&signed)?;
        signed.bundle.check().map_err(ChangeError::Rule)?;
        if let Some(held) = &self.current {
            let delta = BundleDelta::between(&held.bundle, &signed);
            self.remember(delta);
        }
        self.current = Some(signed);
        Ok(())
    }

    fn take_delta(&mut self, delta: BundleDelta) -> Result<(), ChangeError> {
        // The signature comes first: it is cheap, and a change of a stranger's making
        // is then never worked through.
        self.trusted
            .verify_digest(delta.to, delta.digest, &delta.signatures)?;
        let none = Bundle::default();
        let held = self.current.as_ref().map(|signed| &*signed.bundle);
        let bundle = delta.apply(held.unwrap_or(&none))?;
        bundle.check().map_err(ChangeError::Rule)?;
        self.current = Some(SignedBundle {
            bundle: Arc::new(bundle),
            signatures: delta.signatures.clone(),
        });
        self.remember(delta);
        Ok(())
    }

    fn remember(&mut self, delta: BundleDelta) {
        self.chain.push_back(delta);
        let mut entries: usize = self.chain.iter().map(BundleDelta::entries).sum();
        while self.chain.len() > MAXIMUM_CHAIN || entries > MAXIMUM_CHAIN_ENTRIES {
            let Some(oldest) = self.chain.pop_front() else {
                return;
            };
            entries -= oldest.entries();
        }
    }

    fn delta_since(&self, have: BundleVersion) -> Option<BundleDelta> {
        let start = self.chain.iter().position(|delta| delta.from == have)?;
        let mut later = self.chain.iter().skip(start);
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
            Change::Full(signed) => self.take_full(signed)?,
            Change::Delta(delta) => self.take_delta(*delta)?,
        }
        Ok(Some(offered))
    }
}
