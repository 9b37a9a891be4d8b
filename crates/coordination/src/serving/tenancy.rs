//! Identification of callers: the access key, the tenant that holds it, and what a route requires.
//!
//! Only the digest of a key is ever kept. The tenant of a session is determined anew for each
//! statement from the newest configuration, so a key that was revoked or assigned to another tenant
//! takes effect on open sessions as well.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use hookpoint_state::{RegionName, TenantName};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::quota::OperationLimit;
use super::topology::Route;

/// Length of a key's digest in bytes. With 128 bits, an accidental collision of two keys is out of
/// reach.
const DIGEST_BYTES: usize = 16;

/// Digest by which an access key is recognised. The key cannot be recovered from it, and `Debug`
/// does not print it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Returns the digest of a key as written by a caller or the operator.
    pub fn of(key: &[u8]) -> Self {
        let whole = Sha256::digest(key);
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&whole[..DIGEST_BYTES]);
        Self(digest)
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// The tenants of a configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenants {
    /// Operation limit of each tenant; `None` for a tenant without a limit.
    pub limits: BTreeMap<TenantName, Option<OperationLimit>>,
    /// Tenant that holds each key.
    pub keys: BTreeMap<KeyDigest, TenantName>,
    /// Regions in which a tenant's statements may run and through which they may pass; a tenant
    /// without an entry may use any.
    pub allowed_regions: BTreeMap<TenantName, BTreeSet<RegionName>>,
}

impl Tenants {
    /// Returns the limit of a tenant, if it has one.
    pub fn limit(&self, tenant: &TenantName) -> Option<OperationLimit> {
        self.limits.get(tenant).copied().flatten()
    }
}

/// On whose behalf a statement runs, as reported to databases.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Principal {
    /// No tenant: a caller of an open route, or this node itself.
    #[default]
    Anonymous,
    /// A tenant.
    Tenant(TenantName),
}

impl Principal {
    /// Returns the tenant, or `None` for an anonymous principal.
    pub fn tenant(&self) -> Option<&TenantName> {
        match self {
            Principal::Anonymous => None,
            Principal::Tenant(tenant) => Some(tenant),
        }
    }
}

/// Why a caller may not use a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// No tenant holds the caller's key.
    UnknownKey,
    /// The key may have been revoked: this node has received no update of the store, directly or
    /// through other nodes, for too long.
    Partitioned,
}

/// Whether keys are accepted on a node that receives no updates of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RevocationPolicy {
    /// Time without updates after which all keys are rejected; `None` if keys are always accepted.
    pub refuse_after: Option<Duration>,
}

impl RevocationPolicy {
    /// Returns whether keys are accepted on a node whose knowledge of the store has this `age`.
    pub fn accepts(self, age: Duration) -> bool {
        self.refuse_after.is_none_or(|limit| age < limit)
    }
}

/// Determines the principal on whose behalf a caller with `key` uses `route`.
///
/// `keys_accepted` states whether the known keys are recent enough to be accepted.
pub fn identify(
    tenants: &Tenants,
    route: &Route,
    key: &KeyDigest,
    keys_accepted: bool,
) -> Result<Principal, Denial> {
    match tenants.keys.get(key) {
        Some(tenant) if keys_accepted => Ok(Principal::Tenant(tenant.clone())),
        _ if route.allows_anonymous => Ok(Principal::Anonymous),
        Some(_) => Err(Denial::Partitioned),
        None => Err(Denial::UnknownKey),
    }
}
