//! Who a caller is: its access key, the tenant that holds the key, and what a route asks.
//!
//! A key is only ever kept as a digest. Which tenant a session belongs to is worked out anew
//! for each statement from the newest configuration, so a key that was withdrawn or that
//! moved to another tenant binds open sessions as well.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use hookpoint_state::{RegionName, TenantName};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::quota::OperationLimit;
use super::topology::Route;

/// Bytes of a key's digest: a chance collision of two keys is out of reach with 128 bits.
const DIGEST_BYTES: usize = 16;

/// What an access key is recognised by. The key cannot be had back from it; `Debug` shows
/// nothing of it either.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// The digest of a key as a caller or the operator wrote it.
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
    /// How much each tenant may ask for; none for a tenant without a limit.
    pub limits: BTreeMap<TenantName, Option<OperationLimit>>,
    /// Which tenant holds each key.
    pub keys: BTreeMap<KeyDigest, TenantName>,
    /// Regions that a tenant's statements may run in and pass through; a tenant without an
    /// entry may use any.
    pub allowed_regions: BTreeMap<TenantName, BTreeSet<RegionName>>,
}

impl Tenants {
    /// The limit of a tenant, if it has one.
    pub fn limit(&self, tenant: &TenantName) -> Option<OperationLimit> {
        self.limits.get(tenant).copied().flatten()
    }
}

/// On whose behalf a statement runs, as databases are told.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Principal {
    /// Nobody in particular: a caller of an open route, or this node itself.
    #[default]
    Anonymous,
    /// A tenant.
    Tenant(TenantName),
}

impl Principal {
    /// The tenant, if it is one.
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
    /// No tenant holds its key.
    UnknownKey,
    /// The key may have been withdrawn: this node has heard nothing of the store, directly or
    /// from others, for too long.
    Partitioned,
}

/// Whether keys still pass on a node that is cut off from the store's news.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RevocationPolicy {
    /// After this time without news no key passes; none if keys pass however long it lasts.
    pub refuse_after: Option<Duration>,
}

impl RevocationPolicy {
    /// Whether keys pass on a node whose newest news of the store is `age` old.
    pub fn accepts(self, age: Duration) -> bool {
        self.refuse_after.is_none_or(|limit| age < limit)
    }
}

/// Works out on whose behalf a caller with `key` uses `route`.
///
/// `keys_pass` tells whether what is known of keys is young enough to act on.
pub fn identify(
    tenants: &Tenants,
    route: &Route,
    key: &KeyDigest,
    keys_pass: bool,
) -> Result<Principal, Denial> {
    match tenants.keys.get(key) {
        Some(tenant) if keys_pass => Ok(Principal::Tenant(tenant.clone())),
        _ if route.open => Ok(Principal::Anonymous),
        Some(_) => Err(Denial::Partitioned),
        None => Err(Denial::UnknownKey),
    }
}
