//! The age of a node's knowledge of the state store, and the sources from which it obtains newer
//! updates.
//!
//! A source is either the store itself, which the node watches, or an upstream: a peer node that
//! forwards the store's changes to this node, its follower.
//!
//! Only answers of the store itself make this knowledge newer. Each answer along the tree of
//! followers states how long ago the store gave it, and the time in transit counts as age. Nodes
//! that follow each other in a cycle therefore see their knowledge age together and switch to other
//! sources. A node switches to another upstream, and then to the store itself, while its
//! configuration is still recent enough to be used. Nodes that could all do so at the same moment
//! take turns.

use std::collections::BTreeMap;
use std::time::Duration;

use hookpoint_state::Timestamp;

/// Maximum wait of one watch. Each watch costs a call, and a silent store is noticed after one
/// watch.
pub const MAX_WATCH_WAIT: Duration = Duration::from_millis(2_000);
/// Age of the knowledge, in excess of one watch, at which a node switches to another source: allows
/// for an answer of the store in transit, and forwarding by a few nodes that are short of processor
/// time.
const FORWARDING_TIME: Duration = Duration::from_millis(1_000);
/// How late an answer of the store may be before the call counts as rejected: a round trip plus the
/// transfer of a large configuration over a link of some megabits per second.
const ANSWER_SLACK: Duration = Duration::from_millis(400);
/// How late the store's answer to a short watch may be: two of the longest usual round trips. A
/// later answer still counts, but other nodes are asked in the meantime.
const SHORT_ANSWER_SLACK: Duration = Duration::from_millis(150);
/// Wait of a watch that asks for the store's current revision, where an answer without changes is
/// wanted immediately.
const SHORT_WATCH: Duration = Duration::from_millis(20);
/// Knowledge older than this is refreshed by a short watch before a long one begins. This is longer
/// than the interval over which a watcher batches changes.
const RECENT_AGE: Duration = Duration::from_millis(600);
/// Minimum difference from which one update counts as newer than another. The time in transit is
/// only known to be within the round trip, and an answer that makes no knowledge newer is of no
/// use.
const MIN_NEWER_BY: Duration = Duration::from_millis(250);
/// How long an upstream may hold the request of a follower that searches for a source of newer
/// updates before it answers that it has none: a few round trips.
const SEARCH_HOLD: Duration = Duration::from_millis(150);
/// How long an upstream may hold the request of a follower that has received no update since it
/// started. The upstream may be starting as well, and has its first update once it has read a
/// listing and registered.
const STARTING_HOLD: Duration = Duration::from_millis(800);
/// Minimum interval between rounds in which a searching node asks its upstreams. An outage that
/// affects all nodes costs few messages, and any other outage ends after a few rounds.
const MIN_SEARCH_PAUSE: Duration = Duration::from_millis(50);
/// Maximum interval between rounds in which a searching node asks its upstreams.
const MAX_SEARCH_PAUSE: Duration = Duration::from_millis(500);
/// The next interval is this fraction (one part in this many) of the duration of the search so far.
const SEARCH_PAUSE_DIVISOR: u32 = 4;
/// How long a node whose call was rejected by the store counts as rejected: as long as the longest
/// time until it retries, plus an answer.
const REJECTION_MEMORY: Duration = Duration::from_millis(3_400);
/// How long a peer is left out of the tree after it reported that the store rejects its calls. Each
/// node that would follow the peer asks it once in this time whether that is still so.
const EXCLUSION_TIME: Duration = Duration::from_millis(3_000);
/// Time after which the first node retries the store, among nodes that follow others only because
/// the store rejected their calls.
const RETRY_AFTER: Duration = Duration::from_millis(2_000);
/// Maximum time between the first tries of two nodes of a region in an outage.
const FIRST_TRY_SPACING: Duration = Duration::from_millis(30);
/// Time within which all nodes of a region make their first try: the last node still has its update
/// in time if the store rejected all others.
const FIRST_TRY_TIME: Duration = Duration::from_millis(900);
/// Time between further tries of two nodes of a region; rejected calls cost as much as others.
const TRY_SPACING: Duration = Duration::from_millis(200);
/// Minimum time between two tries of one node.
const MIN_TRY_PERIOD: Duration = Duration::from_millis(1_200);
/// Maximum time between two tries of one node.
const MAX_TRY_PERIOD: Duration = Duration::from_millis(3_000);

/// Returns how long a node waits for the answer to a watch before it asks other nodes as well.
pub fn watch_timeout(wait: Duration) -> Duration {
    let slack = if wait <= SHORT_WATCH {
        SHORT_ANSWER_SLACK
    } else {
        ANSWER_SLACK
    };
    wait + slack
}

/// The answer to a watch, with the times from which its validity follows.
#[derive(Clone, Copy, Debug)]
pub struct WatchAnswer {
    /// When the watch was requested.
    pub asked_at: Timestamp,
    /// How long the watch was to wait for a change.
    pub wait: Duration,
    /// Whether the answer contains changes.
    pub changed: bool,
    /// When the answer was read.
    pub read_at: Timestamp,
}

impl WatchAnswer {
    /// Returns the latest time at which the store can have given the answer: the end of the wait,
    /// however late the answer was read. A node that was paused in the meantime thus gains no newer
    /// knowledge.
    pub fn known_at(&self) -> Timestamp {
        self.read_at.min(self.asked_at + self.wait)
    }

    /// Returns the time up to which the answer includes every change. An answer without changes was
    /// given at the end of the wait. An answer with changes may have been given at any time since
    /// the request; later changes are in the next answer.
    pub fn covered(&self) -> Timestamp {
        if self.changed {
            self.asked_at
        } else {
            self.known_at()
        }
    }
}

/// Limits derived from the time within which a configuration has to be in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessLimits {
    /// Wait of a watch on which other nodes depend.
    pub watch: Duration,
    /// Age at which a node switches to another source.
    pub max_age: Duration,
}

impl FreshnessLimits {
    /// Returns the limits if a configuration has to be in force within `limit`.
    pub fn of(limit: Duration) -> Self {
        let watch = MAX_WATCH_WAIT.min(limit / 2);
        Self {
            watch,
            max_age: (watch + FORWARDING_TIME).min(limit * 3 / 4),
        }
    }
}

/// Rank of a node among those of its region that may try the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreTryOrder {
    /// Number of nodes of the region that try the store before this node.
    pub rank: u32,
    /// Number of nodes in the region.
    pub nodes: u32,
}

impl StoreTryOrder {
    /// Returns how long after the loss of the watchers the node first tries the store.
    fn first_after(self) -> Duration {
        FIRST_TRY_SPACING.min(FIRST_TRY_TIME / self.nodes.max(1)) * self.rank
    }

    /// Returns the time between two tries of the store by this node.
    fn period(self) -> Duration {
        TRY_SPACING
            .saturating_mul(self.nodes)
            .clamp(MIN_TRY_PERIOD, MAX_TRY_PERIOD)
    }
}

/// The reply to a follower that asked this node for newer knowledge of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// This node has changes or newer knowledge; they are sent.
    Update,
    /// This node has nothing newer yet, and holds the request.
    Wait,
    /// Nothing newer arrived within the time for which the request may be held.
    NoUpdate,
    /// The store rejects this node's calls.
    StoreLost,
}

/// The age of one node's knowledge of the store, and the state of its search for newer updates.
#[derive(Clone, Debug, Default)]
pub struct StoreFreshness {
    /// Time as of which the store's state is known here, directly or through other nodes; never
    /// later than when the store gave its answer.
    known_at: Timestamp,
    /// When a call of this node last failed; `None` after a call that succeeded.
    rejected_at: Option<Timestamp>,
    /// Since when no upstream has provided anything newer; `None` while answers are newer.
    searching_since: Option<Timestamp>,
    /// Peers whose calls the store rejected, and until when they are left out.
    excluded: BTreeMap<String, Timestamp>,
}

impl StoreFreshness {
    /// Records that the store answered a call of this node with its state as of `when`.
    pub fn note_store_answer(&mut self, when: Timestamp) {
        self.rejected_at = None;
        self.searching_since = None;
        self.known_at = self.known_at.max(when);
    }

    /// Records that an upstream forwarded the store's state as of `when`, by this node's clock.
    pub fn note_upstream_answer(&mut self, when: Timestamp) {
        if when > self.known_at {
            self.known_at = when;
            self.searching_since = None;
        }
    }

    /// Records that the store answered a call of this node, possibly with an old state, so that it
    /// does not reject the node's calls. Otherwise a node that starts in an outage would send its
    /// followers to other nodes for seconds after the store is back.
    pub fn note_answered(&mut self) {
        self.rejected_at = None;
    }

    /// Records that a call of this node failed, or that its answer is overdue.
    pub fn note_rejected(&mut self, now: Timestamp) {
        self.rejected_at = Some(now);
    }

    /// Records that no upstream provided anything newer.
    pub fn note_no_update(&mut self, now: Timestamp) {
        self.searching_since.get_or_insert(now);
    }

    /// Records that a peer reported that the store rejects its calls.
    pub fn exclude(&mut self, peer: &str, now: Timestamp) {
        self.excluded.retain(|_, until| now < *until);
        self.excluded.insert(peer.to_owned(), now + EXCLUSION_TIME);
    }

    /// Clears the left-out peers once all peers have reported that the store rejects their calls,
    /// so that they are asked again.
    pub fn clear_excluded(&mut self) {
        self.excluded.clear();
    }

    /// Returns whether the store is not known to reject a peer's calls.
    pub fn may_forward(&self, peer: &str, now: Timestamp) -> bool {
        self.excluded.get(peer).is_none_or(|until| now >= *until)
    }

    /// Returns the time as of which the store's state is known here.
    pub fn known_at(&self) -> Timestamp {
        self.known_at
    }

    /// Returns the age of this node's knowledge of the store.
    pub fn age(&self, now: Timestamp) -> Duration {
        now.since(self.known_at)
    }

    /// Returns whether the knowledge is recent enough to count as the store's current state.
    pub fn is_fresh(&self, now: Timestamp, limits: FreshnessLimits) -> bool {
        self.age(now) < limits.max_age
    }

    /// Returns whether the store rejected a call of this node recently and has not answered one
    /// since.
    pub fn is_rejected(&self, now: Timestamp) -> bool {
        self.rejected_at
            .is_some_and(|at| now.since(at) < REJECTION_MEMORY)
    }

    /// Returns whether the node, if it is chosen to watch the store, does so. A node whose call was
    /// rejected leaves the watch to other nodes, and retries from time to time.
    pub fn watches(&self, now: Timestamp) -> bool {
        match self.rejected_at {
            None => true,
            Some(at) => self.searching_since.is_none() && now.since(at) >= RETRY_AFTER,
        }
    }

    /// Returns whether a node that received nothing newer from other nodes should try the store
    /// itself.
    pub fn try_is_due(&self, order: StoreTryOrder, now: Timestamp) -> bool {
        match (self.rejected_at, self.searching_since) {
            (Some(at), _) => now.since(at) >= order.period(),
            (None, Some(since)) => now.since(since) >= order.first_after(),
            (None, None) => false,
        }
    }

    /// Returns how long the next watch waits for a change, at most `longest`.
    ///
    /// The first watch of a starting node is short. Until it has an answer, the node cannot tell
    /// how old an announcement is that it receives, and treats a leaving database's grace period as
    /// over.
    pub fn watch_wait(&self, longest: Duration, now: Timestamp) -> Duration {
        let healthy = self.rejected_at.is_none() && self.searching_since.is_none();
        if healthy && self.age(now) < RECENT_AGE {
            longest
        } else {
            SHORT_WATCH
        }
    }

    /// Returns whether no update of the store has been received yet.
    fn has_just_started(&self) -> bool {
        self.known_at == Timestamp::default()
    }

    /// Returns how long an upstream may hold this node's request before it answers.
    pub fn upstream_timeout(&self, now: Timestamp, limits: FreshnessLimits) -> Duration {
        if self.has_just_started() {
            return STARTING_HOLD;
        }
        if self.searching_since.is_some() {
            return SEARCH_HOLD;
        }
        limits
            .max_age
            .saturating_sub(self.age(now))
            .max(SEARCH_HOLD)
    }

    /// Returns the interval before upstreams that provided nothing newer are asked again.
    pub fn search_pause(&self, now: Timestamp) -> Duration {
        let since = self.searching_since.unwrap_or(now);
        (now.since(since) / SEARCH_PAUSE_DIVISOR).clamp(MIN_SEARCH_PAUSE, MAX_SEARCH_PAUSE)
    }

    /// Returns the reply to a follower that asked for anything newer than `known_at` and waits
    /// until `until`. `changed` states whether something changed that the follower does not know.
    pub fn reply(
        &self,
        known_at: Timestamp,
        changed: bool,
        until: Timestamp,
        now: Timestamp,
    ) -> Reply {
        if self.is_rejected(now) {
            Reply::StoreLost
        } else if changed || self.known_at >= known_at + MIN_NEWER_BY {
            Reply::Update
        } else if now < until {
            Reply::Wait
        } else {
            Reply::NoUpdate
        }
    }
}
