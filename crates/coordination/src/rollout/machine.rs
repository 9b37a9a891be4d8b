//! The rollout state machine of one node.

use std::time::Duration;

use hookpoint_state::{BundleVersion, NodeId, Timestamp};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::event::{ChangeSource, RolloutAction, RolloutEvent};
use super::holders::Holders;
use super::leaving::LeavingList;
use super::message::RolloutMessage;
use super::pulling::MAXIMUM_PULL_DELAY;
use super::serving::ServeLimit;
use super::store::{BundleStore, ChangeError};

/// Number of nodes per zone that watch the platform.
pub const WATCHERS_PER_ZONE: usize = 2;
/// How long a node waits for its peers before it reads the platform itself: a node
/// without a bundle waits between this and twice this, other waits are drawn between
/// zero and this.
pub(super) const PEER_WAIT: Duration = Duration::from_millis(500);

/// State of the pull from a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Pull {
    Idle,
    Scheduled {
        at: Timestamp,
        avoid: Option<NodeId>,
    },
    Pending {
        node: NodeId,
        deadline: Timestamp,
    },
}

/// State of the fetch from the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fetch {
    Idle,
    Scheduled { at: Timestamp },
    Pending { deadline: Timestamp },
}

/// State machine that distributes bundles on one node.
#[derive(Clone, Debug)]
pub struct RolloutMachine<Store> {
    pub(super) store: Store,
    pub(super) random: ChaCha8Rng,
    pub(super) watching: bool,
    /// When to start watching, if the rank is still low enough then.
    pub(super) watch_at: Option<Timestamp>,
    pub(super) platform_version: BundleVersion,
    /// Newest version that any member reported.
    pub(super) highest_peer_version: BundleVersion,
    pub(super) holders: Holders,
    pub(super) serving: ServeLimit,
    pub(super) pull: Pull,
    pub(super) pull_failures: u32,
    /// Whether to pull the whole bundle next, because a delta did not apply.
    pub(super) pull_full: bool,
    pub(super) fetch: Fetch,
    pub(super) fetch_failures: u32,
    pub(super) leaving: LeavingList,
}

impl<Store: BundleStore> RolloutMachine<Store> {
    /// Creates the machine of a node that has just started with the contents of `store`,
    /// which is usually empty.
    pub fn new(now: Timestamp, store: Store, mut random: ChaCha8Rng) -> Self {
        let wait = PEER_WAIT + PEER_WAIT.mul_f64(random.random());
        let fetch = if store.version() == BundleVersion(0) {
            Fetch::Scheduled { at: now + wait }
        } else {
            Fetch::Idle
        };
        Self {
            store,
            random,
            watching: false,
            watch_at: None,
            platform_version: BundleVersion(0),
            highest_peer_version: BundleVersion(0),
            holders: Holders::default(),
            serving: ServeLimit::default(),
            pull: Pull::Idle,
            pull_failures: 0,
            pull_full: false,
            fetch,
            fetch_failures: 0,
            leaving: LeavingList::default(),
        }
    }

    /// Returns the store.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Returns whether this node watches the platform.
    pub fn is_watching(&self) -> bool {
        self.watching
    }

    /// Processes an event and appends the resulting actions to `actions`.
    pub fn handle(
        &mut self,
        now: Timestamp,
        event: RolloutEvent,
        actions: &mut Vec<RolloutAction>,
    ) {
        match event {
            RolloutEvent::ZoneRank(rank) => self.set_rank(now, rank, actions),
            RolloutEvent::PlatformVersion(version) => {
                self.handle_platform_version(now, version, actions);
            }
            RolloutEvent::PlatformChange(change) => {
                self.handle_platform_change(now, &change, actions);
            }
            RolloutEvent::PlatformFailed => self.schedule_fetch_retry(now),
            RolloutEvent::PlatformLeaving(list) => self.handle_leaving(list, actions),
            RolloutEvent::PeerVersion { node, version } => {
                self.handle_peer_version(now, node, version);
            }
            RolloutEvent::PeerLost(node) => self.remove_peer(now, node),
            RolloutEvent::PeerMessage { from, message } => {
                self.handle_message(now, from, message, actions);
            }
            RolloutEvent::Timer => self.run_timers(now, actions),
        }
    }

    /// Returns when [`RolloutEvent::Timer`] is due; `None` if no timer is needed.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let pull = match self.pull {
            Pull::Idle => None,
            Pull::Scheduled { at, .. } => Some(at),
            Pull::Pending { deadline, .. } => Some(deadline),
        };
        let fetch = match self.fetch {
            Fetch::Idle => None,
            Fetch::Scheduled { at } => Some(at),
            Fetch::Pending { deadline } => Some(deadline),
        };
        pull.into_iter().chain(fetch).chain(self.watch_at).min()
    }

    /// Sets the zone rank. A node that has just started knows no other members and so
    /// has rank 0, so it waits for a short time before it starts watching.
    fn set_rank(&mut self, now: Timestamp, rank: usize, actions: &mut Vec<RolloutAction>) {
        if rank >= WATCHERS_PER_ZONE {
            self.watch_at = None;
            if std::mem::take(&mut self.watching) {
                actions.push(RolloutAction::WatchPlatform(false));
            }
        } else if !self.watching && self.watch_at.is_none() {
            self.watch_at = Some(now + PEER_WAIT.mul_f64(self.random.random()));
        }
    }

    fn handle_message(
        &mut self,
        now: Timestamp,
        from: NodeId,
        message: RolloutMessage,
        actions: &mut Vec<RolloutAction>,
    ) {
        match message {
            RolloutMessage::Pull { have } => self.answer_pull(now, from, have, actions),
            RolloutMessage::Leaving(list) => self.handle_leaving_from_peer(list, actions),
            answer => self.handle_answer(now, from, answer, actions),
        }
    }

    fn handle_leaving(&mut self, list: LeavingList, actions: &mut Vec<RolloutAction>) {
        if self.leaving.replace(list) {
            let list = self.leaving.clone();
            actions.push(RolloutAction::DrainDatabases(list.addresses.clone()));
            actions.push(RolloutAction::BroadcastToZone(RolloutMessage::Leaving(
                list,
            )));
        }
    }

    /// Handles a peer's list of leaving databases. A watcher ignores it, as it reads the
    /// list itself.
    fn handle_leaving_from_peer(&mut self, list: LeavingList, actions: &mut Vec<RolloutAction>) {
        if !self.watching && self.leaving.replace_if_newer(list) {
            let addresses = self.leaving.addresses.clone();
            actions.push(RolloutAction::DrainDatabases(addresses));
        }
    }

    fn answer_pull(
        &mut self,
        now: Timestamp,
        to: NodeId,
        have: BundleVersion,
        actions: &mut Vec<RolloutAction>,
    ) {
        let message = if have >= self.store.version() {
            RolloutMessage::NothingNewer
        } else if !self.serving.admit(now) {
            RolloutMessage::Busy
        } else {
            let change = self.store.change_since(have);
            change.map_or(RolloutMessage::NothingNewer, RolloutMessage::Change)
        };
        actions.push(RolloutAction::SendPeer { to, message });
        if have == BundleVersion(0) && !self.leaving.addresses.is_empty() {
            let message = RolloutMessage::Leaving(self.leaving.clone());
            actions.push(RolloutAction::SendPeer { to, message });
        }
    }

    /// Applies a change. Returns false when it was rejected.
    pub(super) fn apply_change(
        &mut self,
        now: Timestamp,
        change: &[u8],
        source: ChangeSource,
        actions: &mut Vec<RolloutAction>,
    ) -> bool {
        match self.store.apply(change) {
            Ok(None) => true,
            Ok(Some(version)) => {
                self.after_install(now, version, actions);
                true
            }
            Err(error) => {
                // After a delta that does not apply, the whole bundle is pulled once.
                self.pull_full = !self.pull_full && matches!(error, ChangeError::Delta(_));
                actions.push(RolloutAction::Rejected { source, error });
                false
            }
        }
    }

    fn after_install(
        &mut self,
        now: Timestamp,
        version: BundleVersion,
        actions: &mut Vec<RolloutAction>,
    ) {
        self.pull_full = false;
        self.pull_failures = 0;
        self.holders.keep_newer_than(version);
        actions.push(RolloutAction::Install(version));
        let newest = self.platform_version.max(self.highest_peer_version);
        if matches!(self.fetch, Fetch::Scheduled { .. }) && newest <= version {
            self.fetch = Fetch::Idle;
            self.fetch_failures = 0;
        }
        if matches!(self.pull, Pull::Scheduled { .. }) {
            self.schedule_pull(now, MAXIMUM_PULL_DELAY, None);
        }
    }

    fn run_timers(&mut self, now: Timestamp, actions: &mut Vec<RolloutAction>) {
        if self.watch_at.is_some_and(|at| at <= now) {
            self.watch_at = None;
            self.watching = true;
            actions.push(RolloutAction::WatchPlatform(true));
        }
        match self.pull {
            Pull::Scheduled { at, avoid } if at <= now => self.send_pull(now, avoid, actions),
            Pull::Pending { node, deadline } if deadline <= now => {
                self.schedule_pull_after_timeout(now, node);
            }
            Pull::Idle | Pull::Scheduled { .. } | Pull::Pending { .. } => {}
        }
        match self.fetch {
            Fetch::Scheduled { at } if at <= now => self.start_fetch(now, actions),
            Fetch::Pending { deadline } if deadline <= now => self.schedule_fetch_retry(now),
            Fetch::Idle | Fetch::Scheduled { .. } | Fetch::Pending { .. } => {}
        }
    }
}
