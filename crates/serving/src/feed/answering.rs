//! Answers to nodes that follow this one.

use std::cmp::Ordering;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hookpoint_coordination::serving::store_news::Reply;
use hookpoint_state::{StoreRevision, Timestamp};
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::node::Node;
use crate::ports::{StoreChange, StoreRecord};
use crate::units::millis;

/// A watcher's answer.
#[derive(Debug, Serialize, Deserialize)]
pub enum FeedAnswer {
    /// The changes after the revision asked for; none if there were none.
    Changes {
        /// The changes and the revision to go on from: [`StoreChanges`], packed.
        changes: Bytes,
        /// Whether they are all records that the store holds: some of the changes after the
        /// revision asked for are not known, but what came of them is.
        everything: bool,
        /// How long the upstream has followed the store without a gap, in milliseconds.
        steady_ms: u64,
        /// How long ago the store itself told of this state, in milliseconds.
        age_ms: u64,
        /// Every change up to so long ago is known to the upstream, in milliseconds.
        covered_ms: u64,
        /// How long the upstream held the question back, in milliseconds.
        held_ms: u64,
    },
    /// The store turns the upstream away at the moment.
    StoreLost,
    /// The upstream knows nothing newer than the follower.
    NothingNew,
    /// It lacks some of the changes.
    Incomplete,
}

/// What a follower asks.
#[derive(Debug, Serialize, Deserialize)]
pub struct FollowQuestion {
    /// It knows everything up to this revision; the default if it knows nothing.
    pub(super) revision: StoreRevision,
    /// Version of the configuration in force there; none if there is none.
    pub(super) configuration: Option<u64>,
    /// How long ago the store told of that, in milliseconds.
    pub(super) age_ms: u64,
    /// How long the answer may be held back, in milliseconds.
    pub(super) hold_ms: u64,
}

impl FollowQuestion {
    /// Whether the follower has just started. What its upstream knows helps it at once, like a
    /// listing that may be old; whether that is the present state it learns as it follows on.
    fn knows_nothing(&self) -> bool {
        self.revision == StoreRevision::default()
    }
}

/// Answers a follower: as soon as there is newer word of the store than it has.
pub async fn answer(node: &Rc<Node>, question: &FollowQuestion) -> FeedAnswer {
    let feed = &node.feed;
    let asked_at = node.now();
    let known_at = asked_at - Duration::from_millis(question.age_ms);
    let until = asked_at + Duration::from_millis(question.hold_ms);
    if question.revision > feed.revision() {
        node.counters.count("followers_answered", "ahead");
    }
    loop {
        let advanced = feed.advanced.notified();
        let now = node.now();
        let changes = feed.changes_since(question.revision);
        if question.knows_nothing() && feed.log.borrow().is_whole() {
            return news_answer(node, question, changes, asked_at);
        }
        let changed = changes.as_ref().is_some_and(|changes| !changes.is_empty());
        let (changed, known_at) = match question.revision.era().cmp(&feed.revision().era()) {
            Ordering::Less => (true, known_at),
            Ordering::Equal => {
                let newer = question.configuration < node.configuration_version();
                (changed || newer, known_at)
            }
            // However lately the store told of an earlier era, the follower knows better.
            Ordering::Greater => (false, now),
        };
        match feed.news.borrow().reply(known_at, changed, until, now) {
            Reply::News => return news_answer(node, question, changes, asked_at),
            Reply::StoreLost => return FeedAnswer::StoreLost,
            Reply::NothingNew => return FeedAnswer::NothingNew,
            Reply::Wait => {}
        }
        let _ = timeout(until.since(now), advanced).await;
    }
}

/// The answer that tells of `changes`, which are all after the follower's revision, or of
/// everything if some of those are not known.
fn news_answer(
    node: &Rc<Node>,
    question: &FollowQuestion,
    changes: Option<Vec<Rc<StoreChange>>>,
    asked_at: Timestamp,
) -> FeedAnswer {
    if let Some(changes) = changes {
        return changes_answer(node, question, Some(question.revision), changes, asked_at);
    }
    let everything = node.feed.log.borrow().everything();
    match everything {
        Some(all) => changes_answer(node, question, None, all, asked_at),
        None => FeedAnswer::Incomplete,
    }
}

/// The configuration in force, if neither the follower nor `changes` know one as new: the store
/// may have come back without it.
fn unlisted_configuration(
    node: &Node,
    question: &FollowQuestion,
    changes: &[Rc<StoreChange>],
) -> Option<StoreChange> {
    let in_force = node.configuration()?;
    let is_known = |change: &Rc<StoreChange>| match &change.record {
        StoreRecord::Configuration(listed) => listed.version >= in_force.version,
        _ => false,
    };
    let known = question.configuration >= Some(in_force.version) || changes.iter().any(is_known);
    (!known).then(|| StoreChange {
        revision: node.feed.revision(),
        record: StoreRecord::Configuration((*in_force).clone()),
    })
}

/// The answer that tells of `changes`, which are all after `after`, or everything.
fn changes_answer(
    node: &Rc<Node>,
    question: &FollowQuestion,
    after: Option<StoreRevision>,
    mut changes: Vec<Rc<StoreChange>>,
    asked_at: Timestamp,
) -> FeedAnswer {
    let now = node.now();
    let packed = match unlisted_configuration(node, question, &changes) {
        Some(configuration) => {
            changes.push(Rc::new(configuration));
            node.feed.pack_anew(after, &changes)
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
        // Rounded up: knowledge never gets younger on its way.
        age_ms: millis(now.since(node.feed.news_at())) + 1,
        covered_ms: millis(now.since(node.feed.coverage.borrow().until())) + 1,
        held_ms: millis(now.since(asked_at)),
    }
}
