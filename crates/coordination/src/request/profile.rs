//! Properties of a request that are known before it runs.

use hookpoint_state::{GroupName, Position, SessionId, TenantName, Timestamp, ZoneName};

/// Access of a unit, as proved by the classifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// A read without side effects; it may be repeated, and may run on a replica.
    Read,
    /// Anything that was not proved to be such a read.
    Write,
}

/// One unit of a caller's messages: a simple query, or extended-protocol messages up to
/// and including `Sync`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unit {
    /// Access that the unit needs.
    pub access: Access,
    /// Whether the end of the unit may commit a transaction: it is a write outside a
    /// transaction block, or contains `COMMIT`.
    pub may_commit: bool,
}

/// A request, as passed by the session to the machine.
#[derive(Clone, Debug)]
pub struct RequestProfile {
    /// Session that the request belongs to, for the explain log.
    pub session: SessionId,
    /// Tenant of the session.
    pub tenant: TenantName,
    /// Group that the session uses.
    pub group: GroupName,
    /// Zone of this proxy.
    pub zone: ZoneName,
    /// First unit. A read means that the whole transaction is a read, as in `BEGIN READ
    /// ONLY`.
    pub unit: Unit,
    /// Position that reads must see. `None` when the session's history is not known
    /// because its token is missing, old or forged.
    pub required: Option<Position>,
    /// When to stop waiting for a connection or a primary.
    pub deadline: Timestamp,
}
