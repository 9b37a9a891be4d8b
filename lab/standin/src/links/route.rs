//! One direction of a link, as its relays see it.

use super::timer::Timer;
use super::zones::ZoneLinks;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// One direction between two places.
#[derive(Debug, Clone)]
pub(super) struct Route {
    pub(super) links: ZoneLinks,
    pub(super) timer: Timer,
    pub(super) from: Arc<str>,
    pub(super) to: Arc<str>,
}

impl Route {
    /// The one-way latency.
    pub(super) fn delay(&self) -> Duration {
        self.links.delay(&self.from, &self.to)
    }

    /// Whether nothing passes.
    pub(super) fn is_cut(&self) -> bool {
        self.links.is_cut(&self.from, &self.to)
    }

    /// The other direction.
    pub(super) fn back(&self) -> Self {
        Self {
            from: Arc::clone(&self.to),
            to: Arc::clone(&self.from),
            ..self.clone()
        }
    }

    /// Sleeps until a moment.
    pub(super) async fn sleep_until(&self, deadline: Instant) {
        self.timer.sleep_until(deadline).await;
    }

    /// Waits while the direction is cut.
    pub(super) async fn passable(&self) {
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
    pub(super) async fn cut_off(&self) {
        let back = self.back();
        let mut changes = self.links.subscribe();
        while !self.is_cut() && !back.is_cut() {
            if changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }
}
