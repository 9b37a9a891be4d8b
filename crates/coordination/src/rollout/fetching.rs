//! Reading the platform: the watchers' part, and whoever has no one else to ask.

use std::time::Duration;

use hookpoint_state::{BundleVersion, Timestamp};
use rand::Rng;

use super::event::{ChangeSource, RolloutAction};
use super::machine::{Fetch, RolloutMachine};
use super::store::BundleStore;

/// Shortest and longest pause between attempts to read the platform.
const FETCH_PAUSE: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(5));
/// Longest wait for the platform's answer before the attempt counts as failed.
const FETCH_TIMEOUT: Duration = Duration::from_secs(10);

impl<Store: BundleStore> RolloutMachine<Store> {
    pub(super) fn take_platform_version(
        &mut self,
        now: Timestamp,
        version: BundleVersion,
        actions: &mut Vec<RolloutAction>,
    ) {
        self.platform_version = version.max(self.platform_version);
        let waiting = matches!(self.fetch, Fetch::Asked { .. });
        if version > self.store.version() && !waiting {
            self.fetch_now(now, actions);
        }
    }

    pub(super) fn take_platform_change(
        &mut self,
        now: Timestamp,
        change: &[u8],
        actions: &mut Vec<RolloutAction>,
    ) {
        self.fetch = Fetch::Idle;
        let accepted = self.take_change(now, change, ChangeSource::Platform, actions);
        if accepted && self.holders.is_empty() {
            // Whoever had a newer version is gone, and the platform does not have it.
            self.heard_version = self.store.version();
        }
        if !accepted || self.platform_version > self.store.version() {
            self.plan_fetch_again(now);
        } else {
            self.fetch_failures = 0;
        }
    }

    /// Plans another reading of the platform as long as one is of use.
    pub(super) fn plan_fetch_again(&mut self, now: Timestamp) {
        let held = self.store.version();
        let known = self.platform_version.max(self.heard_version);
        if held != BundleVersion(0) && known <= held {
            self.fetch = Fetch::Idle;
            self.fetch_failures = 0;
            return;
        }
        let (shortest, longest) = FETCH_PAUSE;
        let factor = 1_u32 << self.fetch_failures.min(8);
        let pause = (shortest * factor).min(longest);
        self.fetch_failures += 1;
        let at = now + pause.mul_f64(0.5 + self.random.random::<f64>());
        self.fetch = Fetch::Planned { at };
    }

    pub(super) fn fetch_now(&mut self, now: Timestamp, actions: &mut Vec<RolloutAction>) {
        self.fetch = Fetch::Asked {
            deadline: now + FETCH_TIMEOUT,
        };
        actions.push(RolloutAction::FetchFromPlatform);
    }
}
