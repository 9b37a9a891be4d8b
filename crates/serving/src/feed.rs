//! Changes of the state store, passed from the node that watches it to the others.
//!
//! How old this node's knowledge is, and where it turns for newer, is decided by
//! `hookpoint_coordination::serving::store_news`.

use std::cell::{Cell, RefCell};
use std::cmp::Ordering;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hookpoint_coordination::serving::departure::Coverage;
use hookpoint_coordination::serving::feed::{
    ChangeLog, is_small_region, store_upstreams, try_order,
};
use hookpoint_coordination::serving::store_news::{LONGEST_WATCH, NewsLimits, Reply, StoreNews};
use hookpoint_state::{StoreRevision, Timestamp};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::homes::Peer;
use crate::link::{self, LinkReply, LinkRequest};
use crate::node::Node;
use crate::packed::{self, PackError};
use crate::ports::{ChangeSubject, StoreChange, StoreChanges, StoreRecord};
use crate::units::millis;

/// Time that an upstream's answer may be late: a large configuration takes its time on a slow
/// link, and an upstream that does not answer is found out by probes long before.
const FOLLOW_SLACK: Duration = Duration::from_millis(800);
/// How long an upstream may leave probes unanswered. One that passes a large configuration
/// to all its followers fills its link; a follower that turned from it for that would have
/// the store send it the whole configuration, which takes longer and fills links as well.
const UPSTREAM_SILENCE: Duration = Duration::from_millis(700);
/// Upstreams asked in one round at the most, before a node looks whether it is to try the
/// store itself. If the store turns away a third of all nodes, five in a row are rare.
const ASKED_IN_A_ROUND: usize = 5;
/// How long a watcher that did not answer is passed over.
const PASSED_OVER: Duration = Duration::from_secs(2);
/// The same for one that lacks some of the changes.
const PASSED_OVER_INCOMPLETE: Duration = Duration::from_millis(500);

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

/// What this node knows of the store's changes.
#[derive(Default)]
pub struct Feed {
    log: RefCell<ChangeLog<ChangeSubject, Rc<StoreChange>>>,
    /// Up to where this node follows the store.
    revision: Cell<StoreRevision>,
    /// How old that is, and the search for newer.
    news: RefCell<StoreNews>,
    /// Up to when every change is known here.
    coverage: RefCell<Coverage>,
    caught_up: Cell<bool>,
    advanced: Notify,
    passed_over: RefCell<Vec<(String, Timestamp)>>,
    failures: Cell<u32>,
    /// What was last packed for a follower: most of them ask for the same.
    packed: RefCell<Option<PackedChanges>>,
}

/// Changes as they are sent to followers.
struct PackedChanges {
    /// The follower knows everything up to this revision; none if they are everything.
    after: Option<StoreRevision>,
    /// The changes are all up to this one.
    revision: StoreRevision,
    bytes: Bytes,
}

/// What following an upstream came to.
pub enum Followed {
    /// The changes that it told of; none if there were none.
    Changes(StoreChanges),
    /// Everything that the store holds.
    Everything(StoreChanges),
    /// No upstream told anything newer.
    Nothing,
}

impl Feed {
    /// Takes in everything that the store holds.
    pub fn take_listing(&self, all: &StoreChanges) {
        self.failures.set(0);
        let listed = all.changes.iter().map(|change| {
            let subject = change.record.subject();
            (change.revision, subject, Rc::new(change.clone()))
        });
        let gone = |subject: &ChangeSubject, known: &Rc<StoreChange>| {
            let record = StoreRecord::gone(subject).filter(|gone| *gone != known.record)?;
            let revision = all.revision;
            Some(Rc::new(StoreChange { revision, record }))
        };
        self.log
            .borrow_mut()
            .take_listing(all.revision, listed.collect(), gone);
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
    pub fn advance(&self, revision: StoreRevision) {
        self.revision.set(revision);
        self.advanced.notify_waiters();
    }

    /// Up to where this node follows the store; the default before it knows anything.
    pub(crate) fn revision(&self) -> StoreRevision {
        self.revision.get()
    }

    /// The store answered a call of this node's own at `when`; the answer is about to be taken
    /// in, and holds every change up to `covered`.
    pub fn note_told(&self, when: Timestamp, covered: Timestamp) {
        self.failures.set(0);
        self.caught_up.set(true);
        self.coverage.borrow_mut().extend(covered);
        self.news.borrow_mut().note_told(when);
        self.advanced.notify_waiters();
    }

    /// The store answered a call of this node's own, maybe with an old state.
    pub(crate) fn note_answered(&self) {
        self.news.borrow_mut().note_answered();
    }

    /// The store is in another era than was known, or this node hears of its era for the first
    /// time.
    pub(crate) fn note_era(&self, now: Timestamp) {
        self.coverage.borrow_mut().note_era(now);
    }

    /// The store has been in its era for so long that it holds again what it lost.
    pub(crate) fn note_settled(&self) {
        self.coverage.borrow_mut().settle();
    }

    fn note_heard(&self, when: Timestamp, covered: Timestamp) {
        self.failures.set(0);
        self.caught_up.set(true);
        self.coverage.borrow_mut().extend(covered);
        self.news.borrow_mut().note_heard(when);
        self.advanced.notify_waiters();
    }

    /// A call of this node's own failed, or its answer is overdue: those who wait here are told
    /// so at once.
    pub fn note_turned_away(&self, now: Timestamp) {
        self.failures.set(self.failures.get().saturating_add(1));
        self.news.borrow_mut().note_turned_away(now);
        self.advanced.notify_waiters();
    }

    /// Calls to the store that failed since the last that did not.
    pub fn failures(&self) -> u32 {
        self.failures.get()
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
        self.news.borrow().told_at()
    }

    /// Up to when every change was known before the news that was taken in last: what that
    /// tells of changed later.
    pub(crate) fn covered_before_news(&self) -> Timestamp {
        self.coverage.borrow().before_news()
    }

    /// Pause before upstreams that told nothing newer are asked again.
    pub fn search_pause(&self, now: Timestamp) -> Duration {
        self.news.borrow().search_pause(now)
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
    fn changes_since(&self, revision: StoreRevision) -> Option<Vec<Rc<StoreChange>>> {
        self.log.borrow().since(revision)
    }

    /// Keeps everything as an upstream packed it, so that it can be passed on as it is.
    fn keep_packed(&self, everything: &StoreChanges, bytes: &Bytes) {
        *self.packed.borrow_mut() = Some(PackedChanges {
            after: None,
            revision: everything.revision,
            bytes: bytes.clone(),
        });
    }

    /// Packs `changes`, which are all after `after`, or everything; those that were packed last
    /// are neither copied nor packed again.
    fn pack(
        &self,
        after: Option<StoreRevision>,
        changes: &[Rc<StoreChange>],
    ) -> Result<Bytes, PackError> {
        let revision = self.known_after(after);
        if let Some(last) = &*self.packed.borrow()
            && (last.after, last.revision) == (after, revision)
        {
            return Ok(last.bytes.clone());
        }
        let bytes = self.pack_anew(after, changes)?;
        *self.packed.borrow_mut() = Some(PackedChanges {
            after,
            revision,
            bytes: bytes.clone(),
        });
        Ok(bytes)
    }

    /// The same without a look at what was packed last.
    fn pack_anew(
        &self,
        after: Option<StoreRevision>,
        changes: &[Rc<StoreChange>],
    ) -> Result<Bytes, PackError> {
        let changes = changes.iter().map(|change| StoreChange::clone(change));
        packed::pack(&StoreChanges {
            revision: self.known_after(after),
            changes: changes.collect(),
        })
    }

    /// Up to where this node knows the changes after `after`.
    fn known_after(&self, after: Option<StoreRevision>) -> StoreRevision {
        self.revision.get().max(after.unwrap_or_default())
    }
}

/// What a follower asks.
#[derive(Debug, Serialize, Deserialize)]
pub struct FollowQuestion {
    /// It knows everything up to this revision; the default if it knows nothing.
    revision: StoreRevision,
    /// Version of the configuration in force there; none if there is none.
    configuration: Option<u64>,
    /// How long ago the store told of that, in milliseconds.
    age_ms: u64,
    /// How long the answer may be held back, in milliseconds.
    hold_ms: u64,
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

/// Why an upstream told nothing newer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NoNews {
    /// It did not answer, or not so that it could be read.
    NotAnswered,
    /// The store turns it away.
    TurnedAway,
    /// It knew nothing newer in time.
    Behind,
    /// It lacks some of the changes.
    Incomplete,
}

/// Follows the store through an upstream. One that the store turns away tells so at once, and
/// the next one is asked until it is this node's turn to try the store itself.
pub async fn follow_upstream(node: &Rc<Node>, revision: StoreRevision) -> Followed {
    let mut asked: Vec<String> = Vec::new();
    while let Some(upstream) = next_upstream(node, &asked) {
        asked.push(upstream.name.clone());
        match ask(node, &upstream, revision).await {
            Ok(followed) => return followed,
            Err(reason) => note_no_news(node, &upstream, reason),
        }
        node.feed.news.borrow_mut().note_nothing_heard(node.now());
        if turn_is_due(node) {
            return Followed::Nothing;
        }
    }
    let mut news = node.feed.news.borrow_mut();
    news.note_nothing_heard(node.now());
    if asked.is_empty() {
        news.ask_all_again();
    }
    Followed::Nothing
}

/// Takes in that an upstream was of no help, so that another one is asked.
fn note_no_news(node: &Rc<Node>, upstream: &Peer, reason: NoNews) {
    let now = node.now();
    let feed = &node.feed;
    let label = match reason {
        NoNews::NotAnswered => {
            feed.pass_over(&upstream.name, now + PASSED_OVER);
            "peer_failed"
        }
        NoNews::TurnedAway => {
            feed.news.borrow_mut().leave_out(&upstream.name, now);
            "peer_turned_away"
        }
        NoNews::Behind => "peer_behind",
        NoNews::Incomplete => {
            feed.pass_over(&upstream.name, now + PASSED_OVER_INCOMPLETE);
            "peer_incomplete"
        }
    };
    node.counters.count("store_followed", label);
}

/// The next upstream to ask in a round, after those that were asked in it.
fn next_upstream(node: &Rc<Node>, asked: &[String]) -> Option<Peer> {
    if asked.len() == ASKED_IN_A_ROUND {
        return None;
    }
    let now = node.now();
    upstreams(node)
        .into_iter()
        .filter(|upstream| !asked.contains(&upstream.name))
        .find(|upstream| !node.feed.is_passed_over(&upstream.name, now))
}

/// Asks an upstream for the changes after `revision`, and takes in how old what it tells is.
async fn ask(
    node: &Rc<Node>,
    upstream: &Peer,
    revision: StoreRevision,
) -> Result<Followed, NoNews> {
    let asked_at = node.now();
    match call(node, upstream, revision).await {
        Some(FeedAnswer::Changes {
            changes,
            everything,
            steady_ms,
            age_ms,
            covered_ms,
            held_ms,
        }) => {
            let packed_changes = changes;
            let changes = unpack(node, upstream, &packed_changes).ok_or(NoNews::NotAnswered)?;
            if changes.revision.era() < revision.era() {
                return Err(NoNews::Behind);
            }
            // All of the time that the upstream did not hold the question back may be the
            // answer's way.
            let told_at = node.now().min(asked_at + Duration::from_millis(held_ms));
            node.counters.count("store_followed", "peer");
            let age = Duration::from_millis(age_ms);
            // A node that starts may be told an old state, which proves nothing of the present.
            if revision != StoreRevision::default() || age < limits(node).oldest {
                let covered = told_at - Duration::from_millis(covered_ms);
                node.feed.note_heard(told_at - age, covered);
            }
            note_steady(node, Duration::from_millis(steady_ms));
            Ok(if everything {
                node.feed.keep_packed(&changes, &packed_changes);
                Followed::Everything(changes)
            } else {
                Followed::Changes(changes)
            })
        }
        Some(FeedAnswer::StoreLost) => Err(NoNews::TurnedAway),
        Some(FeedAnswer::NothingNew) => Err(NoNews::Behind),
        Some(FeedAnswer::Incomplete) => Err(NoNews::Incomplete),
        None => Err(NoNews::NotAnswered),
    }
}

/// What a peer answered that was asked for everything.
pub(crate) enum Everything {
    /// All that the store holds.
    Told(StoreChanges),
    /// It does not know that yet.
    NotYet,
    /// It did not answer, or is of no help.
    NotAnswered,
}

/// Asks a peer for everything that the store holds, for a node that knows nothing.
pub(crate) async fn ask_for_everything(node: &Rc<Node>, upstream: &Peer) -> Everything {
    match ask(node, upstream, StoreRevision::default()).await {
        Ok(Followed::Everything(everything)) => Everything::Told(everything),
        Err(NoNews::Behind | NoNews::Incomplete) => Everything::NotYet,
        Ok(_) | Err(NoNews::NotAnswered | NoNews::TurnedAway) => Everything::NotAnswered,
    }
}

/// Sends the question. Nothing if it is not answered.
async fn call(node: &Rc<Node>, upstream: &Peer, revision: StoreRevision) -> Option<FeedAnswer> {
    let now = node.now();
    let (age, hold) = {
        let news = node.feed.news.borrow();
        (news.age(now), news.hold(now, limits(node)))
    };
    let request = LinkRequest::Follow(FollowQuestion {
        revision,
        configuration: node.configuration_version(),
        age_ms: millis(age),
        hold_ms: millis(hold),
    });
    let limit = hold + FOLLOW_SLACK;
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

fn limits(node: &Node) -> NewsLimits {
    NewsLimits::of(node.changeable().configuration_limit)
}

/// Whether what is known here may be taken for the store's present state.
pub fn is_fresh(node: &Node) -> bool {
    let news = node.feed.news.borrow();
    news.is_fresh(node.now(), limits(node))
}

/// Whether this node watches the store now.
pub fn watches(node: &Rc<Node>) -> bool {
    let names = upstream_names(node, |name| {
        node.answers(name) && node.feed.news.borrow().helps(name, node.now())
    });
    names.is_empty() && node.feed.news.borrow().watches(node.now())
}

/// Whether this node tries the store itself, as its upstreams told nothing newer. The one that
/// is to watch always does; the other nodes of a region take turns.
pub fn own_try_is_due(node: &Rc<Node>) -> bool {
    is_watcher(node) || turn_is_due(node)
}

fn turn_is_due(node: &Rc<Node>) -> bool {
    let regions = &node.changeable().regions;
    let order = try_order(&node.as_candidate(), &node.registered_nodes(), regions);
    node.feed.news.borrow().try_is_due(order, node.now())
}

/// How long the next watch of the store waits for a change.
pub fn watch_wait(node: &Rc<Node>) -> Duration {
    let regions = &node.changeable().regions;
    let longest = if is_small_region(&node.settings.zone, &node.registered_nodes(), regions) {
        // Nobody follows this node.
        LONGEST_WATCH
    } else {
        limits(node).watch
    };
    node.feed.news.borrow().watch_wait(longest, node.now())
}

/// The nodes that this node follows; none if it watches the store itself. While the store
/// turns it away it follows others, though it is the one to watch.
fn upstreams(node: &Rc<Node>) -> Vec<Peer> {
    let now = node.now();
    let turned_away = node.feed.news.borrow().is_turned_away(now);
    let names = upstream_names(node, |name| {
        if name == node.settings.name {
            return !turned_away;
        }
        node.answers(name) && node.feed.news.borrow().helps(name, now)
    });
    names.iter().filter_map(|name| node.peer(name)).collect()
}

fn upstream_names(node: &Rc<Node>, helps: impl Fn(&str) -> bool) -> Vec<String> {
    let nodes = node.registered_nodes();
    let regions = &node.changeable().regions;
    store_upstreams(&node.as_candidate(), &nodes, regions, helps)
        .into_iter()
        .map(str::to_owned)
        .collect()
}

/// Whether this node is the one to watch the store itself, if the store answers all nodes.
pub fn is_watcher(node: &Rc<Node>) -> bool {
    let own = &node.settings.name;
    upstream_names(node, |name| name == own || node.answers(name)).is_empty()
}
