//! Answers the requests of nodes that follow this one.

use std::cmp::Ordering;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hookpoint_coordination::serving::store_freshness::Reply;
use hookpoint_state::{StoreRevision, Timestamp};
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::node::Node;
use crate::ports::{StoreChange, StoreRecord};
use crate::units::millis;

/// The answer to a follower's request for changes.
#[derive(Debug, Serialize, Deserialize)]
pub enum FeedAnswer {
    /// The changes after the requested revision; empty if there were none.
    Changes {
        /// The changes and the revision to continue from: packed
        /// [`StoreChanges`](crate::ports::StoreChanges).
        changes: Bytes,
        /// Whether the changes are a complete listing of the store. It is sent if some of the
        /// changes after the requested revision are no longer known individually.
        everything: bool,
        /// How long the upstream has followed the store without a gap, in milliseconds.
        steady_ms: u64,
        /// Time since the store itself reported this state, in milliseconds.
        age_ms: u64,
        /// The upstream knows every change up to this long ago, in milliseconds.
        covered_ms: u64,
        /// How long the upstream held the request before answering, in milliseconds.
        held_ms: u64,
    },
    /// The store currently refuses the upstream's calls.
    StoreLost,
    /// The upstream knows nothing newer than the follower.
    NothingNew,
    /// The upstream lacks some of the changes after the requested revision.
    Incomplete,
}

/// A follower's request for changes.
#[derive(Debug, Serialize, Deserialize)]
pub struct FollowRequest {
    /// Revision up to which the follower knows all changes; the default if it knows nothing.
    pub(super) revision: StoreRevision,
    /// Version of the configuration in force on the follower, or `None` if it has none.
    pub(super) configuration: Option<u64>,
    /// Time since the store reported the follower's state, in milliseconds.
    pub(super) age_ms: u64,
    /// Longest time for which the answer may be held back, in milliseconds.
    pub(super) hold_ms: u64,
}

impl FollowRequest {
    /// Returns whether the follower has just started. It can use the upstream's state immediately,
    /// like a listing that may be old, and learns whether that state is current as it continues to
    /// follow.
    fn is_from_new_node(&self) -> bool {
        self.revision == StoreRevision::default()
    }
}

/// Answers a follower as soon as this node has newer information from the store than the follower.
pub async fn answer(node: &Rc<Node>, request: &FollowRequest) -> FeedAnswer {
    let feed = &node.feed;
    let asked_at = node.now();
    let known_at = asked_at - Duration::from_millis(request.age_ms);
    let until = asked_at + Duration::from_millis(request.hold_ms);
    if request.revision > feed.revision() {
        node.counters.count("followers_answered", "ahead");
    }
    loop {
        let advanced = feed.advanced.notified();
        let now = node.now();
        let changes = feed.changes_since(request.revision);
        if request.is_from_new_node() && feed.log.borrow().is_complete() {
            return new_changes_answer(node, request, changes, asked_at);
        }
        let changed = changes.as_ref().is_some_and(|changes| !changes.is_empty());
        let (changed, known_at) = match request.revision.era().cmp(&feed.revision().era()) {
            Ordering::Less => (true, known_at),
            Ordering::Equal => {
                let newer = request.configuration < node.configuration_version();
                (changed || newer, known_at)
            }
            // The follower's information is newer, however recently the store reported the earlier
            // era.
            Ordering::Greater => (false, now),
        };
        match feed.freshness.borrow().reply(known_at, changed, until, now) {
            Reply::Update => return new_changes_answer(node, request, changes, asked_at),
            Reply::StoreLost => return FeedAnswer::StoreLost,
            Reply::NoUpdate => return FeedAnswer::NothingNew,
            Reply::Wait => {}
        }
        let _ = timeout(until.since(now), advanced).await;
    }
}

/// Returns an answer with `changes`, which are all changes after the follower's revision, or with
/// a complete listing if some of those are not known.
fn new_changes_answer(
    node: &Rc<Node>,
    request: &FollowRequest,
    changes: Option<Vec<Rc<StoreChange>>>,
    asked_at: Timestamp,
) -> FeedAnswer {
    if let Some(changes) = changes {
        return changes_answer(node, request, Some(request.revision), changes, asked_at);
    }
    let everything = node.feed.log.borrow().everything();
    match everything {
        Some(all) => changes_answer(node, request, None, all, asked_at),
        None => FeedAnswer::Incomplete,
    }
}

/// Returns the configuration in force unless the follower or `changes` already have one that is at
/// least as new: the store may have been restored without it.
fn unlisted_configuration(
    node: &Node,
    request: &FollowRequest,
    changes: &[Rc<StoreChange>],
) -> Option<StoreChange> {
    let in_force = node.configuration()?;
    let is_known = |change: &Rc<StoreChange>| match &change.record {
        StoreRecord::Configuration(listed) => listed.version >= in_force.version,
        _ => false,
    };
    let known = request.configuration >= Some(in_force.version) || changes.iter().any(is_known);
    (!known).then(|| StoreChange {
        revision: node.feed.revision(),
        record: StoreRecord::Configuration((*in_force).clone()),
    })
}

/// Returns an answer with `changes`, which are all changes after the revision `after`, or a
/// complete listing if `after` is `None`.
fn changes_answer(
    node: &Rc<Node>,
    request: &FollowRequest,
    after: Option<StoreRevision>,
    mut changes: Vec<Rc<StoreChange>>,
    asked_at: Timestamp,
) -> FeedAnswer {
    let now = node.now();
    let packed = match unlisted_configuration(node, request, &changes) {
        Some(configuration) => {
            changes.push(Rc::new(configuration));
            node.feed.pack_uncached(after, &changes)
        }
        None => node.feed.pack(after, &changes),
    };
    let Ok(packed) = packed else {
        node.counters.count("store_followed", "not_packed");
        return FeedAnswer::Incomplete;
    };
    FeedAnswer::Changes {
        changes: packed,
        everything: after.is_none(),
        steady_ms: millis(now.since(node.store_steady_since.get())),
        // Rounded up, so that the age never decreases while it is passed on.
        age_ms: millis(now.since(node.feed.known_at())) + 1,
        covered_ms: millis(now.since(node.feed.coverage.borrow().until())) + 1,
        held_ms: millis(now.since(asked_at)),
    }
}
