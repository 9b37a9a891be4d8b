//! How many questions about primaries a node has on their way through other nodes.
//!
//! While no primary is known a node asks the databases of a group; those that it holds no
//! connections to it asks through nodes that do. At the start of a fleet no node knows any
//! primary, and the product of nodes and databases would be asked at once, each time on a link
//! and a connection of its own. So a node has a bounded number of them on their way; the
//! groups that requests ask for come first.

/// Questions through other nodes on their way at the most: with 100 ms for each these are
/// 80 a second, so that a node knows the primaries of the groups in use within moments.
pub const MOST_AFAR: usize = 8;

/// Of those, questions for groups that no request asks for.
pub const MOST_AFAR_UNUSED: usize = 2;

/// Whether one more question may be sent through another node, while `on_their_way` are.
pub fn may_ask_afar(on_their_way: usize, in_use: bool) -> bool {
    let most = if in_use { MOST_AFAR } else { MOST_AFAR_UNUSED };
    on_their_way < most
}
