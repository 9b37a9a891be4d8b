//! The rollout machine of one node.

use std::time::Duration;

use hookpoint_state::{BundleVersion, NodeId, Timestamp};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::event::{ChangeSource, RolloutAction, RolloutEvent};
use super::holders::Holders;
use super::leaving::LeavingList;
use super::message::RolloutMessage;
use super::pulling::PULL_SPREAD;
use super::serving::ServeLimit;
use super::store::{BundleStore, ChangeError};

/// Nodes of a zone that watch the platform.
pub const WATCHERS_PER_ZONE: usize = 2;
/// How long a node without any bundle waits for word from its peers before it asks the
/// platform itself; the actual wait is between this and twice this.
pub(super) const LONELY_WAIT: Duration = Duration::from_millis(500);

/// The pull from a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Pull {
    Idle,
    Planned {
        at: Timestamp,
        avoid: Option<NodeId>,
    },
    Asked {
        node: NodeId,
        deadline: Timestamp,
    },
}

/// The reading of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fetch {
    Idle,
    Planned { at: Timestamp },
    Asked { deadline: Timestamp },
}

/// One node's part in the spread of bundles.
#[derive(Clone, Debug)]
pub struct RolloutMachine<Store> {
    pub(super) store: Store,
    pub(super) random: ChaCha8Rng,
    pub(super) watching: bool,
    /// When to begin to watch, if the rank is still low enough then.
    pub(super) watch_at: Option<Timestamp>,
    pub(super) platform_version: BundleVersion,
    /// Newest version that any member was heard to have.
    pub(super) heard_version: BundleVersion,
    pub(super) holders: Holders,
    pub(super) serving: ServeLimit,
    pub(super) pull: Pull,
    pub(super) pull_failures: u32,
    /// Ask for the whole bundle next, since a change did not fit.
    pub(super) pull_whole: bool,
    pub(super) fetch: Fetch,
    pub(super) fetch_failures: u32,
    pub(super) leaving: LeavingList,
}

impl<Store: BundleStore> RolloutMachine<Store> {
    /// A node that has just started with what `store` holds, usually nothing.
    pub fn new(now: Timestamp, store: Store, mut random: ChaCha8Rng) -> Self {
        let lonely = LONELY_WAIT + LONELY_WAIT.mul_f64(random.random());
        let fetch = if store.version() == BundleVersion(0) {
            Fetch::Planned { at: now + lonely }
        } else {
            Fetch::Idle
        };
        Self {
            store,
            random,
            watching: false,
            watch_at: None,
            platform_version: BundleVersion(0),
            heard_version: BundleVersion(0),
            holders: Holders::default(),
            serving: ServeLimit::default(),
            pull: Pull::Idle,
            pull_failures: 0,
            pull_whole: false,
            fetch,
            fetch_failures: 0,
            leaving: LeavingList::default(),
        }
    }

    /// The store.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Whether this node watches the platform.
    pub fn is_watching(&self) -> bool {
        self.watching
    }

    /// Takes an event and appends the actions it causes to `actions`.
    pub fn handle(
        &mut self,
        now: Timestamp,
        event: RolloutEvent,
        actions: &mut Vec<RolloutAction>,
    ) {
        match event {
            RolloutEvent::ZoneRank(rank) => self.set_rank(now, rank, actions),
            RolloutEvent::PlatformVersion(version) => {
                self.take_platform_version(now, version, actions);
            }
            RolloutEvent::PlatformChange(change) => {
                self.take_platform_change(now, &change, actions);
            }
            RolloutEvent::PlatformFailed => self.plan_fetch_again(now),
            RolloutEvent::PlatformLeaving(list) => self.take_leaving(list, actions),
            RolloutEvent::PeerVersion { node, version } => {
                self.take_peer_version(now, node, version);
            }
            RolloutEvent::PeerGone(node) => self.lose_peer(now, node),
            RolloutEvent::PeerMessage { from, message } => {
                self.take_message(now, from, message, actions);
            }
            RolloutEvent::Timer => self.run_timers(now, actions),
        }
    }

    /// When [`RolloutEvent::Timer`] is due, if at all.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let pull = match self.pull {
            Pull::Idle => None,
            Pull::Planned { at, .. } => Some(at),
            Pull::Asked { deadline, .. } => Some(deadline),
        };
        let fetch = match self.fetch {
            Fetch::Idle => None,
            Fetch::Planned { at } => Some(at),
            Fetch::Asked { deadline } => Some(deadline),
        };
        pull.into_iter().chain(fetch).chain(self.watch_at).min()
    }

    /// A node that has just started knows nobody and takes itself for the first of its
    /// zone, so it waits a little before it believes that.
    fn set_rank(&mut self, now: Timestamp, rank: usize, actions: &mut Vec<RolloutAction>) {
        if rank >= WATCHERS_PER_ZONE {
            self.watch_at = None;
            if std::mem::take(&mut self.watching) {
                actions.push(RolloutAction::WatchPlatform(false));
            }
        } else if !self.watching && self.watch_at.is_none() {
            self.watch_at = Some(now + LONELY_WAIT.mul_f64(self.random.random()));
        }
    }

    fn take_message(
        &mut self,
        now: Timestamp,
        from: NodeId,
        message: RolloutMessage,
        actions: &mut Vec<RolloutAction>,
    ) {
        match message {
            RolloutMessage::Pull { have } => self.serve(now, from, have, actions),
            RolloutMessage::Leaving(list) => self.hear_leaving(list, actions),
            answer => self.take_answer(now, from, answer, actions),
        }
    }

    fn take_leaving(&mut self, list: LeavingList, actions: &mut Vec<RolloutAction>) {
        if self.leaving.read(list) {
            let list = self.leaving.clone();
            actions.push(RolloutAction::DrainLeaving(list.addresses.clone()));
            actions.push(RolloutAction::TellZone(RolloutMessage::Leaving(list)));
        }
    }

    /// A watcher goes by what it reads itself.
    fn hear_leaving(&mut self, list: LeavingList, actions: &mut Vec<RolloutAction>) {
        if !self.watching && self.leaving.hear(list) {
            let addresses = self.leaving.addresses.clone();
            actions.push(RolloutAction::DrainLeaving(addresses));
        }
    }

    fn serve(
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

    /// Takes a change; false when it was rejected.
    pub(super) fn take_change(
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
                // A change that does not fit is worth one attempt with the whole bundle.
                self.pull_whole = !self.pull_whole && matches!(error, ChangeError::Delta(_));
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
        self.pull_whole = false;
        self.pull_failures = 0;
        self.holders.keep_newer_than(version);
        actions.push(RolloutAction::Install(version));
        let newest = self.platform_version.max(self.heard_version);
        if matches!(self.fetch, Fetch::Planned { .. }) && newest <= version {
            self.fetch = Fetch::Idle;
            self.fetch_failures = 0;
        }
        if matches!(self.pull, Pull::Planned { .. }) {
            self.plan_pull(now, PULL_SPREAD, None);
        }
    }

    fn run_timers(&mut self, now: Timestamp, actions: &mut Vec<RolloutAction>) {
        if self.watch_at.is_some_and(|at| at <= now) {
            self.watch_at = None;
            self.watching = true;
            actions.push(RolloutAction::WatchPlatform(true));
        }
        match self.pull {
            Pull::Planned { at, avoid } if at <= now => self.ask(now, avoid, actions),
            Pull::Asked { node, deadline } if deadline <= now => {
                self.plan_pull_after_silence(now, node);
            }
            Pull::Idle | Pull::Planned { .. } | Pull::Asked { .. } => {}
        }
        match self.fetch {
            Fetch::Planned { at } if at <= now => self.fetch_now(now, actions),
            Fetch::Asked { deadline } if deadline <= now => self.plan_fetch_again(now),
            Fetch::Idle | Fetch::Planned { .. } | Fetch::Asked { .. } => {}
        }
    }
}
