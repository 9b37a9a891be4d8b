//! Model of the platform: a pointer to the active bundle, with outages and stale answers.

use bytes::Bytes;
use hookpoint_coordination::rollout::{BundleStore, ChangeError};
use hookpoint_state::{BundleVersion, Timestamp};

/// The platform's bundle service.
#[derive(Debug, Default)]
pub(crate) struct Platform {
    active: u64,
    outage_until: Timestamp,
    stale_until: Timestamp,
    /// Number of requests answered.
    pub(crate) requests: u64,
}

impl Platform {
    /// Advances the pointer to the next version and returns that version.
    pub(crate) fn advance(&mut self) -> BundleVersion {
        self.active += 1;
        BundleVersion(self.active)
    }

    /// Answers a request for the active version: `None` during an outage or before the first
    /// version, and every other time the previous version while answers are stale.
    pub(crate) fn read(&mut self, now: Timestamp) -> Option<BundleVersion> {
        if now < self.outage_until || self.active == 0 {
            return None;
        }
        self.requests += 1;
        let stale = now < self.stale_until && self.requests.is_multiple_of(2);
        let version = self.active - u64::from(stale && self.active > 1);
        Some(BundleVersion(version))
    }

    pub(crate) fn set_outage_until(&mut self, until: Timestamp) {
        self.outage_until = self.outage_until.max(until);
    }

    pub(crate) fn serve_stale_until(&mut self, until: Timestamp) {
        self.stale_until = self.stale_until.max(until);
    }
}

/// Bundle store that holds only a version number; a change is its eight bytes, little-endian.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct VersionStore {
    version: u64,
    /// Mutation: reports version 0 and accepts any different version, also an older one.
    accept_older: bool,
}

impl VersionStore {
    pub(crate) fn new(accept_older: bool) -> Self {
        Self {
            version: 0,
            accept_older,
        }
    }

    /// Returns the version last applied, also when the mutation makes `version` report 0.
    pub(crate) fn actual_version(&self) -> BundleVersion {
        BundleVersion(self.version)
    }

    /// Encodes the change to `version`.
    pub(crate) fn encode_change(version: BundleVersion) -> Bytes {
        Bytes::copy_from_slice(&version.0.to_le_bytes())
    }
}

impl BundleStore for VersionStore {
    fn version(&self) -> BundleVersion {
        BundleVersion(if self.accept_older { 0 } else { self.version })
    }

    fn change_since(&self, have: BundleVersion) -> Option<Bytes> {
        (have.0 < self.version).then(|| Self::encode_change(BundleVersion(self.version)))
    }

    fn apply(&mut self, change: &[u8]) -> Result<Option<BundleVersion>, ChangeError> {
        let bytes: [u8; 8] = change.try_into().map_err(|_| ChangeError::Malformed)?;
        let version = u64::from_le_bytes(bytes);
        let newer = version > self.version || (self.accept_older && version != self.version);
        if newer {
            self.version = version;
        }
        Ok(newer.then_some(BundleVersion(version)))
    }
}
