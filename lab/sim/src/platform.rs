//! The model platform: a pointer to the active bundle, with outages and old answers.

use bytes::Bytes;
use hookpoint_coordination::rollout::{BundleStore, ChangeError};
use hookpoint_state::{BundleVersion, Timestamp};

/// The platform's service.
#[derive(Debug, Default)]
pub(crate) struct Platform {
    active: u64,
    down_until: Timestamp,
    old_answers_until: Timestamp,
    /// Requests it has answered.
    pub(crate) requests: u64,
}

impl Platform {
    /// Moves the pointer to the next version.
    pub(crate) fn roll(&mut self) -> BundleVersion {
        self.active += 1;
        BundleVersion(self.active)
    }

    /// The version it would answer with, if it is reachable and has one.
    pub(crate) fn read(&mut self, now: Timestamp) -> Option<BundleVersion> {
        if now < self.down_until || self.active == 0 {
            return None;
        }
        self.requests += 1;
        let old = now < self.old_answers_until && self.requests.is_multiple_of(2);
        let version = self.active - u64::from(old && self.active > 1);
        Some(BundleVersion(version))
    }

    pub(crate) fn fail_until(&mut self, until: Timestamp) {
        self.down_until = self.down_until.max(until);
    }

    pub(crate) fn answer_old_until(&mut self, until: Timestamp) {
        self.old_answers_until = self.old_answers_until.max(until);
    }
}

/// A store of bare version numbers, whose changes are eight bytes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NumberStore {
    version: u64,
    /// Mutation: it forgets what it has and takes whatever comes.
    forgetful: bool,
}

impl NumberStore {
    pub(crate) fn new(forgetful: bool) -> Self {
        Self {
            version: 0,
            forgetful,
        }
    }

    /// What it really holds.
    pub(crate) fn held(&self) -> BundleVersion {
        BundleVersion(self.version)
    }

    /// The encoded change to `version`.
    pub(crate) fn change(version: BundleVersion) -> Bytes {
        Bytes::copy_from_slice(&version.0.to_le_bytes())
    }
}

impl BundleStore for NumberStore {
    fn version(&self) -> BundleVersion {
        BundleVersion(if self.forgetful { 0 } else { self.version })
    }

    fn change_since(&self, have: BundleVersion) -> Option<Bytes> {
        (have.0 < self.version).then(|| Self::change(BundleVersion(self.version)))
    }

    fn apply(&mut self, change: &[u8]) -> Result<Option<BundleVersion>, ChangeError> {
        let bytes: [u8; 8] = change.try_into().map_err(|_| ChangeError::Malformed)?;
        let version = u64::from_le_bytes(bytes);
        let newer = version > self.version || (self.forgetful && version != self.version);
        if newer {
            self.version = version;
        }
        Ok(newer.then_some(BundleVersion(version)))
    }
}
