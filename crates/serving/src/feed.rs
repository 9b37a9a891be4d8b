//! Changes of the state store, passed from the node that watches it to the others.
//!
//! A node that hears nothing useful from its upstreams watches the store itself, so an
//! upstream that is lost or cut off costs its followers one time limit.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hookpoint_coordination::serving::feed::{
    self as decisions, ChangeLog, OwnTries, region_size, store_upstreams,
};
use hookpoint_state::Timestamp;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::homes::Peer;
use crate::link::{self, LinkReply, LinkRequest};
use crate::node::Node;
use crate::packed::{self, PackError};
use crate::ports::{ChangeSubject, StoreChange, StoreChanges};
use crate::units::millis;

/// How long a watcher waits for a change before it answers that there is none.
const FOLLOW_WAIT: Duration = Duration::from_millis(800);
/// How long one watch of the store waits for a change. A watch that is silent is told from
/// one with nothing to say by its answer after this time.
pub(crate) const WATCH_WAIT: Duration = Duration::from_millis(2_000);
/// Time that its answer may be late: a large configuration takes its time on a slow link,
/// and an upstream that does not answer is found out by probes long before.
const FOLLOW_SLACK: Duration = Duration::from_millis(800);
/// News of the store that is older than this may come from nodes that have lost it and do not
/// know yet: a watch without changes, its answer, and a pass.
const RECENT: Duration = Duration::from_millis(3_000);
/// Knowledge of the store that is older than this is not passed on as the present state: a
/// watch without changes, its answer, and five passes from node to node.
const FRESH: Duration = Duration::from_millis(6_700);
/// How long an upstream may leave probes unanswered. One that passes a large configuration
/// to all its followers fills its link; a follower that turned from it for that would have
/// the store send it the whole configuration, which takes longer and fills links as well.
const UPSTREAM_SILENCE: Duration = Duration::from_millis(700);
/// How long a watcher that did not answer is passed over.
const PASSED_OVER: Duration = Duration::from_secs(2);
/// The same for one that lacks some of the changes.
const PASSED_OVER_INCOMPLETE: Duration = Duration::from_millis(500);

/// A watcher's answer.
#[derive(Debug, Serialize, Deserialize)]
pub enum FeedAnswer {
    /// The changes after the revision asked for; none if there were none in a while.
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
    },
    /// The upstream does not reach the store at the moment.
    StoreLost,
    /// It lacks some of the changes.
    Incomplete,
}

/// What this node knows of the store's changes.
#[derive(Default)]
pub struct Feed {
    log: RefCell<ChangeLog<ChangeSubject, Rc<StoreChange>>>,
    /// Up to where this node follows the store.
    revision: Cell<u64>,
    /// When the store itself last told where it stands: this node, or an upstream.
    verified_at: Cell<Timestamp>,
    /// The same, and it outlasts the loss of the store.
    news_at: Cell<Timestamp>,
    /// The same before the newest news.
    news_before: Cell<Timestamp>,
    /// Whether the upstreams said that they do not reach the store.
    upstreams_lost: Cell<bool>,
    /// Questions to nodes that are no upstreams.
    others_asked: Cell<usize>,
    caught_up: Cell<bool>,
    advanced: Notify,
    passed_over: RefCell<Vec<(String, Timestamp)>>,
    failures: Cell<u32>,
    own_tries: Cell<OwnTries>,
    /// What was last packed for a follower: most of them ask for the same.
    packed: RefCell<Option<PackedChanges>>,
}

/// Changes as they are sent to followers.
struct PackedChanges {
    /// The follower knows everything up to this revision; none if they are everything.
    after: Option<u64>,
    /// The changes are all up to this one.
    revision: u64,
    bytes: Bytes,
}

/// What following an upstream came to.
pub enum Followed {
    /// The changes that it told of; none if there were none in a while.
    Changes(StoreChanges),
    /// Everything that the store holds.
    Everything(StoreChanges),
    /// Upstreams answered that they do not reach the store.
    StoreLost,
    /// There is none, or none answered.
    Nobody,
}

impl Feed {
    /// Begins anew after everything was read.
    pub fn restart(&self, all: &StoreChanges) {
        self.failures.set(0);
        self.log.borrow_mut().restart(all.revision);
        for change in &all.changes {
            self.record(change);
        }
        self.advance(all.revision);
    }

    /// Takes in one change.
    pub fn record(&self, change: &StoreChange) {
        let subject = change.record.subject();
        let change = Rc::new(change.clone());
        self.log
            .borrow_mut()
            .record(change.revision, subject, change);
    }

    /// All changes up to `revision` are taken in.
    pub fn advance(&self, revision: u64) {
        self.revision.set(revision);
        self.advanced.notify_waiters();
    }

    /// The store itself told this node now where it stands.
    pub fn note_verified(&self, now: Timestamp) {
        self.note_told(Duration::ZERO, now);
    }

    /// An upstream passed on where the store stood `age` ago.
    fn note_told(&self, age: Duration, now: Timestamp) {
        let when = now - age;
        self.failures.set(0);
        if age < RECENT {
            self.upstreams_lost.set(false);
            self.change_own_tries(OwnTries::note_store_known);
        }
        self.caught_up.set(true);
        self.verified_at.set(self.verified_at.get().max(when));
        self.news_before.set(self.news_at.get());
        self.news_at.set(self.news_at.get().max(when));
    }

    /// Takes in whether the store answered a call of this node's own.
    pub fn note_served(&self, served: bool) {
        self.change_own_tries(|own_tries| own_tries.note_served(served));
    }

    fn change_own_tries<T>(&self, change: impl FnOnce(&mut OwnTries) -> T) -> T {
        let mut own_tries = self.own_tries.get();
        let outcome = change(&mut own_tries);
        self.own_tries.set(own_tries);
        outcome
    }

    /// The store cannot be followed: those who wait are told so at once.
    pub fn note_lost(&self) {
        self.failures.set(self.failures.get().saturating_add(1));
        self.verified_at.set(Timestamp::default());
        self.advanced.notify_waiters();
    }

    /// Calls to the store that failed since the last that did not.
    pub fn failures(&self) -> u32 {
        self.failures.get()
    }

    /// Whether it is this node's turn to try the store, once in a `period`.
    pub fn take_turn(&self, name: &str, period: Duration, now: Timestamp) -> bool {
        self.change_own_tries(|own_tries| own_tries.take_turn(name, period, now))
    }

    /// Takes in that a peer told what it knows.
    pub fn note_caught_up(&self) {
        self.caught_up.set(true);
    }

    /// Whether this node has known the store's present state, or what a peer knew of it, since
    /// it started.
    pub fn has_caught_up(&self) -> bool {
        self.caught_up.get()
    }

    /// When the store told, directly or through others, of the state that is known here.
    pub fn news_at(&self) -> Timestamp {
        self.news_at.get()
    }

    /// Up to when all that the store held was known before the news that is being taken in.
    pub(crate) fn news_before(&self) -> Timestamp {
        self.news_before.get()
    }

    /// Whether what is known here may be taken for the store's present state.
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        now.since(self.verified_at.get()) < FRESH
    }

    fn is_passed_over(&self, watcher: &str, now: Timestamp) -> bool {
        let mut passed_over = self.passed_over.borrow_mut();
        passed_over.retain(|(_, until)| now < *until);
        passed_over.iter().any(|(name, _)| name == watcher)
    }

    fn pass_over(&self, watcher: &str, until: Timestamp) {
        self.passed_over
            .borrow_mut()
            .push((watcher.to_owned(), until));
    }

    /// The changes after `revision`, if all of them are known.
    fn changes_since(&self, revision: u64) -> Option<Vec<Rc<StoreChange>>> {
        self.log.borrow().since(revision)
    }

    /// Packs `changes`, which are all after `after`, or everything; those that were packed last
    /// are neither copied nor packed again.
    fn pack(&self, after: Option<u64>, changes: &[Rc<StoreChange>]) -> Result<Bytes, PackError> {
        let revision = self.revision.get().max(after.unwrap_or_default());
        if let Some(last) = &*self.packed.borrow()
            && (last.after, last.revision) == (after, revision)
        {
            return Ok(last.bytes.clone());
        }
        let changes = changes.iter().map(|change| StoreChange::clone(change));
        let bytes = packed::pack(&StoreChanges {
            revision,
            changes: changes.collect(),
        })?;
        *self.packed.borrow_mut() = Some(PackedChanges {
            after,
            revision,
            bytes: bytes.clone(),
        });
        Ok(bytes)
    }
}

/// Answers a follower: as soon as something changed after `revision`, or after a while.
pub async fn answer(node: &Rc<Node>, revision: u64) -> FeedAnswer {
    let feed = &node.feed;
    let until = node.now() + FOLLOW_WAIT;
    loop {
        let advanced = feed.advanced.notified();
        let now = node.now();
        if !feed.is_fresh(now) {
            if feed.failures() > 0 || now >= until {
                return FeedAnswer::StoreLost;
            }
            // This node has just started: its first watch is on its way.
            let _ = timeout(until.since(now), advanced).await;
            continue;
        }
        let Some(changes) = feed.changes_since(revision) else {
            let everything = feed.log.borrow().everything();
            return match everything {
                Some(all) => changes_answer(node, None, &all),
                None => FeedAnswer::Incomplete,
            };
        };
        if changes.is_empty() && feed.upstreams_lost.get() {
            return FeedAnswer::StoreLost;
        }
        if !changes.is_empty() || now >= until {
            return changes_answer(node, Some(revision), &changes);
        }
        let _ = timeout(until.since(now), advanced).await;
    }
}

/// The answer that tells of `changes`, which are all after `after`, or everything.
fn changes_answer(node: &Rc<Node>, after: Option<u64>, changes: &[Rc<StoreChange>]) -> FeedAnswer {
    let now = node.now();
    let Ok(packed) = node.feed.pack(after, changes) else {
        node.counters.count("store_followed", "not_packed");
        return FeedAnswer::Incomplete;
    };
    FeedAnswer::Changes {
        changes: packed,
        everything: after.is_none(),
        steady_ms: millis(now.since(node.store_steady_since.get())),
        age_ms: millis(now.since(node.feed.verified_at.get())),
    }
}

/// What asking one node for changes came to.
enum Told {
    /// It told of changes, of everything, or that there is nothing new.
    News(Followed),
    /// It does not reach the store.
    StoreLost,
    /// It did not help.
    Nothing,
}

/// Follows the store through an upstream. While those do not reach it, or this node has none and
/// does not reach it itself, another node is asked for news.
pub async fn follow_upstream(node: &Rc<Node>, revision: u64) -> Followed {
    let mut store_lost = false;
    for upstream in upstreams(node) {
        match follow_one(node, &upstream, revision).await {
            Told::News(news) => return news,
            Told::StoreLost => store_lost = true,
            Told::Nothing => {}
        }
    }
    if store_lost {
        node.feed.upstreams_lost.set(true);
    }
    if (store_lost || node.feed.failures() > 0)
        && let Some(other) = other_source(node)
        && let Told::News(news) = follow_one(node, &other, revision).await
    {
        node.counters.count("store_followed", "other_peer");
        return news;
    }
    if store_lost {
        Followed::StoreLost
    } else {
        Followed::Nobody
    }
}

async fn follow_one(node: &Rc<Node>, upstream: &Peer, revision: u64) -> Told {
    if node.feed.is_passed_over(&upstream.name, node.now()) {
        return Told::Nothing;
    }
    let passed_over = match ask(node, upstream, revision).await {
        Some(FeedAnswer::Changes {
            changes,
            everything,
            steady_ms,
            age_ms,
        }) => match unpack(node, upstream, &changes) {
            Some(changes) => {
                node.counters.count("store_followed", "peer");
                let age = Duration::from_millis(age_ms);
                node.feed.note_told(age, node.now());
                note_steady(node, Duration::from_millis(steady_ms));
                return Told::News(if everything {
                    Followed::Everything(changes)
                } else {
                    Followed::Changes(changes)
                });
            }
            None => PASSED_OVER,
        },
        Some(FeedAnswer::StoreLost) => return Told::StoreLost,
        Some(FeedAnswer::Incomplete) => PASSED_OVER_INCOMPLETE,
        None => {
            node.counters.count("store_followed", "peer_failed");
            PASSED_OVER
        }
    };
    let until = node.now() + passed_over;
    node.feed.pass_over(&upstream.name, until);
    Told::Nothing
}

/// Another node to ask for news, another one each time.
fn other_source(node: &Rc<Node>) -> Option<Peer> {
    let number = node.feed.others_asked.get();
    node.feed.others_asked.set(number.wrapping_add(1));
    let nodes = node.registered_nodes();
    let own = &node.settings.name;
    let name = decisions::other_source(own, &nodes, number, |name| node.answers(name))?;
    node.peer(name)
}

/// Asks an upstream for the changes after `revision`. Nothing if it does not answer.
async fn ask(node: &Rc<Node>, upstream: &Peer, revision: u64) -> Option<FeedAnswer> {
    let request = LinkRequest::Follow { revision };
    let limit = FOLLOW_WAIT + FOLLOW_SLACK;
    match link::call_for_much(node, upstream, &request, limit, UPSTREAM_SILENCE).await {
        Some((LinkReply::Followed(answer), stream)) => {
            node.links.keep(upstream.name.clone(), stream);
            Some(answer)
        }
        _ => None,
    }
}

/// What an upstream packed. Nothing, with a line in the log, if it cannot be read.
fn unpack(node: &Rc<Node>, upstream: &Peer, changes: &[u8]) -> Option<StoreChanges> {
    match packed::unpack(changes) {
        Ok(changes) => Some(changes),
        Err(error) => {
            node.log(
                "feed_unreadable",
                &[
                    ("peer", upstream.name.as_str().into()),
                    ("detail", error.to_string().into()),
                ],
            );
            None
        }
    }
}

/// The store has been followed without a gap for no longer than by the watcher.
fn note_steady(node: &Rc<Node>, steady: Duration) {
    let since = node.now() - steady;
    let own = node.store_steady_since.get();
    node.store_steady_since.set(own.max(since));
}

/// Nodes registered in this node's region, itself included.
pub fn nodes_in_region(node: &Rc<Node>) -> usize {
    let regions = &node.changeable().regions;
    region_size(&node.settings.zone, &node.registered_nodes(), regions)
}

/// Whether this node counts in the order of those that pass changes on.
#[derive(Clone, Copy, PartialEq, Eq)]
enum OwnPlace {
    Counted,
    LeftOut,
}

/// The nodes that this node follows; none if it watches the store itself. While it does not
/// reach the store it follows others, though it is the one to watch.
fn upstreams(node: &Rc<Node>) -> Vec<Peer> {
    let own_place = if node.feed.failures() == 0 {
        OwnPlace::Counted
    } else {
        OwnPlace::LeftOut
    };
    upstream_names(node, own_place)
        .iter()
        .filter_map(|name| node.peer(name))
        .collect()
}

fn upstream_names(node: &Rc<Node>, own_place: OwnPlace) -> Vec<String> {
    let nodes = node.registered_nodes();
    let own = node.as_candidate();
    let helps = |name: &str| {
        if name == own.node {
            own_place == OwnPlace::Counted
        } else {
            node.answers(name)
        }
    };
    let regions = &node.changeable().regions;
    store_upstreams(&own, &nodes, regions, helps)
        .into_iter()
        .map(str::to_owned)
        .collect()
}

/// Whether this node is one of those that watch the store itself.
pub fn is_watcher(node: &Rc<Node>) -> bool {
    upstream_names(node, OwnPlace::Counted).is_empty()
}
