//! Limits the status queries to primaries that a node has in flight through other nodes.
//!
//! While no primary is known, a node queries the databases of a group. It queries those to which it
//! holds no connections through nodes that do. When a fleet starts, no node knows any primary, and
//! every node would query every database at the same time, each on a link and a connection of its
//! own. The number of such queries in flight per node is therefore bounded, and the groups that
//! requests ask for come first.

/// Maximum number of queries in flight through other nodes. At 100 ms each, these are 80 per
/// second, so that a node soon knows the primaries of the groups in use.
pub const MAX_REMOTE_QUERIES: usize = 8;

/// Maximum number of these that may be for groups that no request asks for.
pub const MAX_REMOTE_QUERIES_UNUSED: usize = 2;

/// Returns whether another query may be sent through another node while `in_flight` are in
/// flight.
pub fn may_send_remote_query(in_flight: usize, in_use: bool) -> bool {
    let limit = if in_use {
        MAX_REMOTE_QUERIES
    } else {
        MAX_REMOTE_QUERIES_UNUSED
    };
    in_flight < limit
}
