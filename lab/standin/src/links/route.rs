//! One direction of a link, as used by the relays.

use super::timer::Timer;
use super::zones::ZoneLinks;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// One direction of a link between two zones.
#[derive(Debug, Clone)]
pub(super) struct Route {
    pub(super) links: ZoneLinks,
    pub(super) timer: Timer,
    pub(super) from: Arc<str>,
    pub(super) to: Arc<str>,
}

impl Route {
    /// Returns the one-way latency.
    pub(super) fn delay(&self) -> Duration {
        self.links.delay(&self.from, &self.to)
    }

    /// Returns whether this direction is cut.
    pub(super) fn is_cut(&self) -> bool {
        self.links.is_cut(&self.from, &self.to)
    }

    /// Returns the opposite direction.
    pub(super) fn reverse(&self) -> Self {
        Self {
            from: Arc::clone(&self.to),
            to: Arc::clone(&self.from),
            ..self.clone()
        }
    }

    /// Sleeps until a deadline.
    pub(super) async fn sleep_until(&self, deadline: Instant) {
        self.timer.sleep_until(deadline).await;
    }

    /// Waits until this direction is not cut.
    pub(super) async fn wait_until_passable(&self) {
        if !self.is_cut() {
            return;
        }
        let mut changes = self.links.subscribe();
        while self.is_cut() {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Waits until either direction is cut.
    pub(super) async fn wait_until_cut(&self) {
        let reverse = self.reverse();
        let mut changes = self.links.subscribe();
        while !self.is_cut() && !reverse.is_cut() {
            if changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }
}
