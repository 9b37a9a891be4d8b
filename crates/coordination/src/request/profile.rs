//! What is known of a request before it runs.

use hookpoint_state::{GroupName, Position, SessionId, TenantName, Timestamp, ZoneName};

/// What the classifier has proved of a unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// Proved to be a read without side effects; it may run twice, and on a replica.
    Read,
    /// Anything else.
    Write,
}

/// One unit of a caller's messages: a simple query, or extended-protocol messages up
/// to and including `Sync`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unit {
    /// What it may touch.
    pub access: Access,
    /// Whether its end may commit something: a write outside a transaction block, or a
    /// unit that holds `COMMIT`.
    pub may_commit: bool,
}

/// A request, as the session presents it to the machine.
#[derive(Clone, Debug)]
pub struct RequestProfile {
    /// Session it belongs to, for the explain record.
    pub session: SessionId,
    /// Tenant of the session.
    pub tenant: TenantName,
    /// Group the session works on.
    pub group: GroupName,
    /// Zone of this proxy.
    pub zone: ZoneName,
    /// First unit; a read here means that the whole transaction is a read, as in
    /// `BEGIN READ ONLY`.
    pub unit: Unit,
    /// Position that reads must see. `None` when the session's history is not known:
    /// its token is missing, old or forged.
    pub required: Option<Position>,
    /// When waiting for a connection or a primary ends.
    pub deadline: Timestamp,
}
