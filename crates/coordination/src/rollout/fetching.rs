//! Fetching bundles from the platform, done by the watchers and by nodes that have no
//! peer to pull from.

use std::time::Duration;

use hookpoint_state::{BundleVersion, Timestamp};
use rand::Rng;

use super::event::{ChangeSource, RolloutAction};
use super::machine::{Fetch, RolloutMachine};
use super::store::BundleStore;

/// Minimum and maximum pause between attempts to read the platform, before jitter.
const FETCH_PAUSE: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(5));
/// How long to wait for the platform's answer before the attempt counts as failed.
const FETCH_TIMEOUT: Duration = Duration::from_secs(10);

impl<Store: BundleStore> RolloutMachine<Store> {
    pub(super) fn handle_platform_version(
        &mut self,
        now: Timestamp,
        version: BundleVersion,
        actions: &mut Vec<RolloutAction>,
    ) {
        self.platform_version = version.max(self.platform_version);
        let waiting = matches!(self.fetch, Fetch::Pending { .. });
        if version > self.store.version() && !waiting {
            self.start_fetch(now, actions);
        }
    }

    pub(super) fn handle_platform_change(
        &mut self,
        now: Timestamp,
        change: &[u8],
        actions: &mut Vec<RolloutAction>,
    ) {
        self.fetch = Fetch::Idle;
        let accepted = self.apply_change(now, change, ChangeSource::Platform, actions);
        if accepted && self.holders.is_empty() {
            // The nodes that had a newer version are gone, and the platform does not
            // have it.
            self.highest_peer_version = self.store.version();
        }
        if !accepted || self.platform_version > self.store.version() {
            self.schedule_fetch_retry(now);
        } else {
            self.fetch_failures = 0;
        }
    }

    /// Schedules another fetch from the platform, unless a bundle is in force and no newer
    /// version is known.
    pub(super) fn schedule_fetch_retry(&mut self, now: Timestamp) {
        let current = self.store.version();
        let known = self.platform_version.max(self.highest_peer_version);
        if current != BundleVersion(0) && known <= current {
            self.fetch = Fetch::Idle;
            self.fetch_failures = 0;
            return;
        }
        let (minimum, maximum) = FETCH_PAUSE;
        let factor = 1_u32 << self.fetch_failures.min(8);
        let pause = (minimum * factor).min(maximum);
        self.fetch_failures += 1;
        let at = now + pause.mul_f64(0.5 + self.random.random::<f64>());
        self.fetch = Fetch::Scheduled { at };
    }

    pub(super) fn start_fetch(&mut self, now: Timestamp, actions: &mut Vec<RolloutAction>) {
        self.fetch = Fetch::Pending {
            deadline: now + FETCH_TIMEOUT,
        };
        actions.push(RolloutAction::FetchFromPlatform);
    }
}
