//! How old a node's knowledge of the state store is, and where it turns for newer.
//!
//! Only the store's own answers make knowledge newer: each answer along the tree of followers
//! carries how long ago the store told of it, and the time under way counts as age. So nodes
//! that follow each other in a circle grow old together and turn elsewhere. A node turns to
//! another upstream, and then to the store itself, while its configuration is still young
//! enough to be used; those that could all do so at once do it in turns.

use std::collections::BTreeMap;
use std::time::Duration;

use hookpoint_state::Timestamp;

/// Longest wait of one watch: each costs a call, and a silent store is noticed after one.
pub const LONGEST_WATCH: Duration = Duration::from_millis(2_000);
/// Age that knowledge has beyond one watch before its holder turns elsewhere: an answer of
/// the store under way, and passes over a few nodes that are short of processor time.
const PASSING_TIME: Duration = Duration::from_millis(1_000);
/// How late an answer of the store may be before it is taken for refused: a round trip
/// and the transfer of a large configuration on a link of some megabits a second.
const ANSWER_SLACK: Duration = Duration::from_millis(400);
/// The same where the answer is wanted at once: two of the longest usual round trips. A later
/// one still counts, but meanwhile others are asked.
const TRY_SLACK: Duration = Duration::from_millis(150);
/// Wait of a watch that asks where the store stands: an answer without changes is wanted now.
const SHORT_WATCH: Duration = Duration::from_millis(20);
/// Knowledge older than this is made young by a short watch before a long one begins: longer
/// than the pause in which a watcher gathers changes.
const RECENT: Duration = Duration::from_millis(600);
/// Word of the store counts as newer than another from this difference on: the time under way
/// is only known to be in the round trip, and an answer that makes nothing newer is of no use.
const NEWER_BY: Duration = Duration::from_millis(250);
/// How long an upstream may take to answer a node that looks for one: a few round trips.
const SEARCH_HOLD: Duration = Duration::from_millis(150);
/// The same for a node that has had no word since it started: its upstream may be starting as
/// well, and have its first word when it has read a listing and registered.
const STARTING_HOLD: Duration = Duration::from_millis(800);
/// Shortest and longest pause between rounds of such a search. An outage that concerns
/// everybody costs few messages, and one that does not is over after a few rounds.
const SHORTEST_SEARCH_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_SEARCH_PAUSE: Duration = Duration::from_millis(500);
/// Part of the time of a search that the next pause takes.
const SEARCH_PAUSE_DIVISOR: u32 = 4;
/// How long a node that the store turned away counts as one: as long as the longest time
/// until it tries again, and an answer.
const TURNED_AWAY_MEMORY: Duration = Duration::from_millis(3_400);
/// How long a peer is left out of the tree after it said that the store turns it away: that it
/// still does is asked once meanwhile by each node that would follow it.
const LEFT_OUT: Duration = Duration::from_millis(3_000);
/// When the first of the nodes tries again that follows others only as the store turned it away.
const TRIED_AGAIN_AFTER: Duration = Duration::from_millis(2_000);
/// Time between first tries of two nodes of a region in an outage, and for all of them: the
/// last one still has news in time if the store turned all others away.
const FIRST_TRY_SPACING: Duration = Duration::from_millis(30);
const FIRST_TRIES: Duration = Duration::from_millis(900);
/// Time between further tries of two nodes of a region: refused calls cost as much as others.
const TRY_SPACING: Duration = Duration::from_millis(200);
/// Bounds of the time between two tries of one node.
const SHORTEST_TRY_PERIOD: Duration = Duration::from_millis(1_200);
const LONGEST_TRY_PERIOD: Duration = Duration::from_millis(3_000);

/// How long a node waits for the answer to a watch before it asks others as well.
pub fn patience(wait: Duration) -> Duration {
    let slack = if wait <= SHORT_WATCH {
        TRY_SLACK
    } else {
        ANSWER_SLACK
    };
    wait + slack
}

/// The answer to a watch: what it proves of the store, and for when.
#[derive(Clone, Copy, Debug)]
pub struct WatchAnswer {
    /// When the watch was asked.
    pub asked_at: Timestamp,
    /// How long it was to wait for a change.
    pub wait: Duration,
    /// Whether it tells of changes.
    pub changed: bool,
    /// When it was read.
    pub read_at: Timestamp,
}

impl WatchAnswer {
    /// When the store gave it, at the latest: at the end of the wait, however late it was read. A
    /// node that was paused meanwhile has no younger knowledge for that.
    pub fn told_at(&self) -> Timestamp {
        self.read_at.min(self.asked_at + self.wait)
    }

    /// Up to when it holds every change. One without changes was given at the end of the wait. One
    /// with changes may have been given at any time since it was asked: what happened afterwards
    /// is in the next.
    pub fn covered(&self) -> Timestamp {
        if self.changed {
            self.asked_at
        } else {
            self.told_at()
        }
    }
}

/// Bounds that follow from the time within which a configuration has to be in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewsLimits {
    /// Wait of a watch that others depend on.
    pub watch: Duration,
    /// Age at which a node turns elsewhere.
    pub oldest: Duration,
}

impl NewsLimits {
    /// The bounds where a configuration has to be in force within `limit`.
    pub fn of(limit: Duration) -> Self {
        let watch = LONGEST_WATCH.min(limit / 2);
        Self {
            watch,
            oldest: (watch + PASSING_TIME).min(limit * 3 / 4),
        }
    }
}

/// Place of a node among those of its region that may try the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TryOrder {
    /// Nodes before it.
    pub rank: u32,
    /// Nodes of the region.
    pub nodes: u32,
}

impl TryOrder {
    /// How long after the others were lost the node first tries the store.
    fn first_after(self) -> Duration {
        FIRST_TRY_SPACING.min(FIRST_TRIES / self.nodes.max(1)) * self.rank
    }

    /// Time between two tries.
    fn period(self) -> Duration {
        TRY_SPACING
            .saturating_mul(self.nodes)
            .clamp(SHORTEST_TRY_PERIOD, LONGEST_TRY_PERIOD)
    }
}

/// What a follower is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// What is known here, which is newer.
    News,
    /// Nothing yet: it may be in a moment.
    Wait,
    /// Nothing newer came in time.
    NothingNew,
    /// The store turns this node away.
    StoreLost,
}

/// The age of one node's knowledge of the store, and its search for newer.
#[derive(Clone, Debug, Default)]
pub struct StoreNews {
    /// When the store told of what is known here, directly or through others; never later
    /// than it did.
    told_at: Timestamp,
    /// When a call of this node's own last failed; none after one that did not.
    turned_away_at: Option<Timestamp>,
    /// Since when no upstream has told anything newer.
    searching_since: Option<Timestamp>,
    /// Peers that the store turned away, and until when they are left out.
    left_out: BTreeMap<String, Timestamp>,
}

impl StoreNews {
    /// The store answered a call of this node's own at `when`.
    pub fn note_told(&mut self, when: Timestamp) {
        self.turned_away_at = None;
        self.searching_since = None;
        self.told_at = self.told_at.max(when);
    }

    /// An upstream answered that the store had told it something at `when`, as this node's
    /// clock shows it.
    pub fn note_heard(&mut self, when: Timestamp) {
        if when > self.told_at {
            self.told_at = when;
            self.searching_since = None;
        }
    }

    /// The store answered a call of this node's own, maybe with an old state: it does not turn
    /// the node away. One that starts in an outage would else send its followers elsewhere for
    /// seconds after the store is back.
    pub fn note_answered(&mut self) {
        self.turned_away_at = None;
    }

    /// A call of this node's own failed, or its answer is overdue.
    pub fn note_turned_away(&mut self, now: Timestamp) {
        self.turned_away_at = Some(now);
    }

    /// No upstream told anything newer.
    pub fn note_nothing_heard(&mut self, now: Timestamp) {
        self.searching_since.get_or_insert(now);
    }

    /// A peer said that the store turns it away.
    pub fn leave_out(&mut self, peer: &str, now: Timestamp) {
        self.left_out.retain(|_, until| now < *until);
        self.left_out.insert(peer.to_owned(), now + LEFT_OUT);
    }

    /// All peers said that the store turns them away: they are asked anew.
    pub fn ask_all_again(&mut self) {
        self.left_out.clear();
    }

    /// Whether the store is not known to turn a peer away.
    pub fn helps(&self, peer: &str, now: Timestamp) -> bool {
        self.left_out.get(peer).is_none_or(|until| now >= *until)
    }

    /// When the store told of what is known here.
    pub fn told_at(&self) -> Timestamp {
        self.told_at
    }

    /// How long ago that was.
    pub fn age(&self, now: Timestamp) -> Duration {
        now.since(self.told_at)
    }

    /// Whether what is known here may be taken for the store's present state.
    pub fn is_fresh(&self, now: Timestamp, limits: NewsLimits) -> bool {
        self.age(now) < limits.oldest
    }

    /// Whether the store turned this node away a moment ago, and has not answered it since.
    pub fn is_turned_away(&self, now: Timestamp) -> bool {
        self.turned_away_at
            .is_some_and(|at| now.since(at) < TURNED_AWAY_MEMORY)
    }

    /// Whether the node that is to watch the store does so. One that was turned away leaves
    /// that to others, and tries now and then whether the store takes it again.
    pub fn watches(&self, now: Timestamp) -> bool {
        match self.turned_away_at {
            None => true,
            Some(at) => self.searching_since.is_none() && now.since(at) >= TRIED_AGAIN_AFTER,
        }
    }

    /// Whether a node that heard nothing newer from others tries the store itself.
    pub fn try_is_due(&self, order: TryOrder, now: Timestamp) -> bool {
        match (self.turned_away_at, self.searching_since) {
            (Some(at), _) => now.since(at) >= order.period(),
            (None, Some(since)) => now.since(since) >= order.first_after(),
            (None, None) => false,
        }
    }

    /// How long the next watch waits for a change, at most `longest`.
    ///
    /// The first one of a node that starts is short: until it has an answer, the node cannot tell
    /// how old an announcement is that it hears, and counts a leaving database's time as over.
    pub fn watch_wait(&self, longest: Duration, now: Timestamp) -> Duration {
        let sure = self.turned_away_at.is_none() && self.searching_since.is_none();
        if sure && self.age(now) < RECENT {
            longest
        } else {
            SHORT_WATCH
        }
    }

    /// Whether there was no word of the store yet.
    fn has_just_started(&self) -> bool {
        self.told_at == Timestamp::default()
    }

    /// How long an upstream may take to answer.
    pub fn hold(&self, now: Timestamp, limits: NewsLimits) -> Duration {
        if self.has_just_started() {
            return STARTING_HOLD;
        }
        if self.searching_since.is_some() {
            return SEARCH_HOLD;
        }
        limits.oldest.saturating_sub(self.age(now)).max(SEARCH_HOLD)
    }

    /// Pause before upstreams that told nothing newer are asked again.
    pub fn search_pause(&self, now: Timestamp) -> Duration {
        let since = self.searching_since.unwrap_or(now);
        (now.since(since) / SEARCH_PAUSE_DIVISOR).clamp(SHORTEST_SEARCH_PAUSE, LONGEST_SEARCH_PAUSE)
    }

    /// What a follower is told that asked for word later than `known_at`, and waits until
    /// `until`. `changed` says whether something changed that it does not know.
    pub fn reply(
        &self,
        known_at: Timestamp,
        changed: bool,
        until: Timestamp,
        now: Timestamp,
    ) -> Reply {
        if self.is_turned_away(now) {
            Reply::StoreLost
        } else if changed || self.told_at >= known_at + NEWER_BY {
            Reply::News
        } else if now < until {
            Reply::Wait
        } else {
            Reply::NothingNew
        }
    }
}
