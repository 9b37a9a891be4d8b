//! Who is next to use a connection that became free.
//!
//! A connection serves one principal for its life. To give it to another one it has to be
//! closed, and a new one opened, which takes a round trip and a slot of the database. So
//! one that becomes free goes to the next of its own principal, unless somebody else has
//! waited for long.

use std::time::Duration;

use super::tenancy::Principal;

/// Whoever has waited this long gets the next connection, whosoever it is: four times what
/// opening one takes (12 ms of a slot and up to 40 ms of way), so that opening takes at most a
/// fifth of the time of a connection that many principals compete for.
pub const TURN_AT_THE_LATEST: Duration = Duration::from_millis(200);

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub struct Waiting<'a> {
    /// 0 is served first.
    pub priority: u8,
    /// Who it is for; none for a question of the node's own, which any connection serves.
    pub principal: Option<&'a Principal>,
    /// How long it has waited.
    pub waited: Duration,
}

/// The one of `queue`, which stands in the order of arrival within each priority, that gets a
/// connection of `principal`, by its place.
pub fn next_turn<'a>(
    queue: impl Iterator<Item = Waiting<'a>>,
    principal: &Principal,
) -> Option<usize> {
    let mut first = None;
    for (place, waiting) in queue.enumerate() {
        let (_, priority) = *first.get_or_insert((place, waiting.priority));
        if waiting.priority != priority {
            break;
        }
        if waiting.principal.is_none_or(|wanted| wanted == principal) {
            return Some(place);
        }
        if place == 0 && waiting.waited >= TURN_AT_THE_LATEST {
            break;
        }
    }
    first.map(|(place, _)| place)
}
