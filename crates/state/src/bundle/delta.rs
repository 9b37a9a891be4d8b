//! The difference between two versions of a bundle, section by section.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{
    Bundle, BundleDigest, BundleSignature, BundleVersion, Database, Group, Limits, SignedBundle,
    TenantLimits,
};
use crate::names::{DatabaseName, GroupName, RegionName, TenantName, ZoneName};

/// Entries of a map that were added, changed or removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MapDelta<Key: Ord, Value> {
    /// New values by key.
    pub changed: BTreeMap<Key, Value>,
    /// Removed keys.
    pub removed: BTreeSet<Key>,
}

/// Entries of a set that were added or removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SetDelta<Key: Ord> {
    /// New entries.
    pub added: BTreeSet<Key>,
    /// Removed entries.
    pub removed: BTreeSet<Key>,
}

/// The difference between two versions of a bundle, with the approvals of the later
/// version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BundleDelta {
    /// Version that the delta applies to.
    pub from: BundleVersion,
    /// Version of the resulting bundle.
    pub to: BundleVersion,
    /// Digest of the resulting bundle.
    pub digest: BundleDigest,
    /// Approvals of the resulting bundle.
    pub signatures: Vec<BundleSignature>,
    description: Option<String>,
    limits: Option<Limits>,
    zones: MapDelta<ZoneName, RegionName>,
    groups: MapDelta<GroupName, Group>,
    databases: MapDelta<DatabaseName, Database>,
    tenants: MapDelta<TenantName, TenantLimits>,
    drain: SetDelta<DatabaseName>,
}

/// Reason why a delta cannot be applied or combined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DeltaError {
    /// The delta applies to another version than the one held.
    #[error("the change starts from version {from} and version {held} is held", from = from.0, held = held.0)]
    WrongBase {
        /// Version that the delta applies to.
        from: BundleVersion,
        /// Version of the bundle held.
        held: BundleVersion,
    },
    /// The resulting bundle does not have the digest stated in the delta.
    #[error("the change does not lead to the bundle it names")]
    DigestMismatch,
    /// The second delta does not apply to the version that the first one results in.
    #[error("the changes do not follow each other")]
    NotConsecutive,
}

impl<Key: Ord + Clone, Value: Clone + PartialEq> MapDelta<Key, Value> {
    fn between(from: &BTreeMap<Key, Value>, to: &BTreeMap<Key, Value>) -> Self {
        let changed = to
            .iter()
            .filter(|(key, value)| from.get(*key) != Some(*value))
            .map(|(key, value)| (key.clone(), value.clone()))
            .collect();
        let removed = from
            .keys()
            .filter(|key| !to.contains_key(*key))
            .cloned()
            .collect();
        Self { changed, removed }
    }

    fn apply(&self, map: &mut BTreeMap<Key, Value>) {
        for key in &self.removed {
            map.remove(key);
        }
        for (key, value) in &self.changed {
            map.insert(key.clone(), value.clone());
        }
    }

    fn then(&mut self, later: &Self) {
        for key in &later.removed {
            self.changed.remove(key);
            self.removed.insert(key.clone());
        }
        for (key, value) in &later.changed {
            self.removed.remove(key);
            self.changed.insert(key.clone(), value.clone());
        }
    }

    fn len(&self) -> usize {
        self.changed.len() + self.removed.len()
    }
}

impl<Key: Ord + Clone> SetDelta<Key> {
    fn between(from: &BTreeSet<Key>, to: &BTreeSet<Key>) -> Self {
        Self {
            added: to.difference(from).cloned().collect(),
            removed: from.difference(to).cloned().collect(),
        }
    }

    fn apply(&self, set: &mut BTreeSet<Key>) {
        for key in &self.removed {
            set.remove(key);
        }
        set.extend(self.added.iter().cloned());
    }

    fn then(&mut self, later: &Self) {
        for key in &later.removed {
            self.added.remove(key);
            self.removed.insert(key.clone());
        }
        for key in &later.added {
            self.removed.remove(key);
            self.added.insert(key.clone());
        }
    }
}

impl BundleDelta {
    /// Computes the delta from `from` to `to`.
    pub fn between(from: &Bundle, to: &SignedBundle) -> Self {
        let signatures = to.signatures.clone();
        let to = &to.bundle;
        Self {
            from: from.version,
            to: to.version,
            digest: to.digest(),
            signatures,
            description: (from.description != to.description).then(|| to.description.clone()),
            limits: (from.limits != to.limits).then(|| to.limits.clone()),
            zones: MapDelta::between(&from.zones, &to.zones),
            groups: MapDelta::between(&from.groups, &to.groups),
            databases: MapDelta::between(&from.databases, &to.databases),
            tenants: MapDelta::between(&from.tenants, &to.tenants),
            drain: SetDelta::between(&from.drain, &to.drain),
        }
    }

    /// Applies the delta to `base`. The result has the stated digest; the caller must
    /// still verify its approvals.
    ///
    /// # Errors
    /// Returns [`DeltaError::WrongBase`] or [`DeltaError::DigestMismatch`].
    pub fn apply(&self, base: &Bundle) -> Result<Bundle, DeltaError> {
        if base.version != self.from {
            return Err(DeltaError::WrongBase {
                from: self.from,
                held: base.version,
            });
        }
        let mut bundle = base.clone();
        bundle.version = self.to;
        if let Some(description) = &self.description {
            bundle.description.clone_from(description);
        }
        if let Some(limits) = &self.limits {
            bundle.limits = limits.clone();
        }
        self.zones.apply(&mut bundle.zones);
        self.groups.apply(&mut bundle.groups);
        self.databases.apply(&mut bundle.databases);
        self.tenants.apply(&mut bundle.tenants);
        self.drain.apply(&mut bundle.drain);
        if bundle.digest() != self.digest {
            return Err(DeltaError::DigestMismatch);
        }
        Ok(bundle)
    }

    /// Combines this delta with `later` into one delta.
    ///
    /// # Errors
    /// Returns [`DeltaError::NotConsecutive`] if `later` does not apply to the result of
    /// this delta.
    pub fn then(mut self, later: &BundleDelta) -> Result<Self, DeltaError> {
        if later.from != self.to {
            return Err(DeltaError::NotConsecutive);
        }
        self.to = later.to;
        self.digest = later.digest;
        self.signatures.clone_from(&later.signatures);
        if later.description.is_some() {
            self.description.clone_from(&later.description);
        }
        if later.limits.is_some() {
            self.limits.clone_from(&later.limits);
        }
        self.zones.then(&later.zones);
        self.groups.then(&later.groups);
        self.databases.then(&later.databases);
        self.tenants.then(&later.tenants);
        self.drain.then(&later.drain);
        Ok(self)
    }

    /// Returns the number of entries that the delta adds, changes or removes.
    pub fn entries(&self) -> usize {
        self.zones.len()
            + self.groups.len()
            + self.databases.len()
            + self.tenants.len()
            + self.drain.added.len()
            + self.drain.removed.len()
    }
}
