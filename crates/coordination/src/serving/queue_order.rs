//! Selects the request that uses a connection that became free.
//!
//! A connection serves one principal for its lifetime. To give it to another principal, it has to
//! be closed and a new one opened, which takes a round trip and a slot of the database. A free
//! connection therefore goes to the next request of its own principal, unless another request has
//! waited for long.

use std::time::Duration;

use super::tenancy::Principal;

/// A request that has waited this long gets the next connection regardless of its principal. This
/// is four times the time of opening a connection (12 ms of a slot and up to 40 ms in transit), so
/// that opening takes at most a fifth of the time of a connection for which many principals
/// compete.
pub const MAX_PRINCIPAL_WAIT: Duration = Duration::from_millis(200);

/// The properties of a waiting request that determine its place in the queue.
#[derive(Clone, Copy, Debug)]
pub struct QueuedRequest<'a> {
    /// Priority; 0 is served first.
    pub priority: u8,
    /// Principal of the request; `None` for a status query of the node itself, which any connection
    /// serves.
    pub principal: Option<&'a Principal>,
    /// How long it has waited.
    pub waited: Duration,
}

/// Returns the index of the request in `queue` that gets a connection of `principal`. The queue is
/// ordered by priority, and by arrival within each priority.
pub fn next_waiter_index<'a>(
    queue: impl Iterator<Item = QueuedRequest<'a>>,
    principal: &Principal,
) -> Option<usize> {
    let mut first = None;
    for (index, waiting) in queue.enumerate() {
        let (_, priority) = *first.get_or_insert((index, waiting.priority));
        if waiting.priority != priority {
            break;
        }
        if waiting.principal.is_none_or(|wanted| wanted == principal) {
            return Some(index);
        }
        if index == 0 && waiting.waited >= MAX_PRINCIPAL_WAIT {
            break;
        }
    }
    first.map(|(index, _)| index)
}
