//! Faults and planned changes of a database.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use super::Node;
use crate::database::consensus::Member;

impl Node {
    /// Stops the process without a word.
    pub fn kill(&self) {
        let mut inner = self.inner.lock();
        inner.alive = false;
        inner.working = None;
        self.end_connections(true);
    }

    /// Starts the process again with the log it had flushed.
    pub fn restart(&self) {
        let mut inner = self.inner.lock();
        if inner.alive {
            return;
        }
        inner.alive = true;
        inner.paused = false;
        inner.consensus.restart(Instant::now());
        drop(inner);
        self.set_gate(false);
    }

    /// Stops or continues all work, with sockets kept open.
    pub fn set_paused(&self, paused: bool) {
        self.inner.lock().paused = paused;
        self.set_gate(paused);
    }

    /// Cuts the database off from its peers, or ends that.
    pub fn set_isolated(&self, isolated: bool, clients_too: bool) {
        self.isolated.store(isolated, Ordering::Relaxed);
        self.clients_cut
            .store(isolated && clients_too, Ordering::Relaxed);
        let paused = self.inner.lock().paused;
        self.set_gate(paused);
    }

    fn set_gate(&self, paused: bool) {
        let open = !paused && !self.clients_cut.load(Ordering::Relaxed);
        self.gate.send_replace(open);
        self.tick_wake.notify_one();
        self.replay_wake.notify_one();
    }

    /// Changes how long entries wait before they are replayed.
    pub fn set_replay_lag(&self, lag: Duration) {
        *self.replay_lag.lock() = lag;
        self.replay_wake.notify_one();
    }

    /// Whether `target` has flushed all of this primary's log.
    pub fn has_all(&self, target: Member) -> bool {
        let inner = self.inner.lock();
        let length = inner.consensus.log().len();
        inner
            .consensus
            .peers()
            .get(target)
            .is_some_and(|peer| peer.flushed == length)
    }

    /// Asks `target` to become primary.
    pub fn hand_over(&self, target: Member) {
        self.step(|consensus, _| consensus.hand_over(target));
    }
}
