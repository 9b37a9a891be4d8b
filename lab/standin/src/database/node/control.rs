//! Fault injection and planned role changes of a database.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use super::Node;
use crate::database::consensus::Member;

impl Node {
    /// Kills the process: all connections are reset without an error message.
    pub fn kill(&self) {
        let mut inner = self.inner.lock();
        inner.alive = false;
        inner.working = None;
        self.close_connections(true);
    }

    /// Restarts the process with the log that it had flushed.
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

    /// Pauses or resumes all work while sockets stay open.
    pub fn set_paused(&self, paused: bool) {
        self.inner.lock().paused = paused;
        self.set_gate(paused);
    }

    /// Isolates the database from its peers, and from clients with `clients_too`, or
    /// ends the isolation.
    pub fn set_isolated(&self, isolated: bool, clients_too: bool) {
        self.isolated.store(isolated, Ordering::Relaxed);
        self.clients_isolated
            .store(isolated && clients_too, Ordering::Relaxed);
        let paused = self.inner.lock().paused;
        self.set_gate(paused);
    }

    fn set_gate(&self, paused: bool) {
        let open = !paused && !self.clients_isolated.load(Ordering::Relaxed);
        self.gate.send_replace(open);
        self.tick_wake.notify_one();
        self.replay_wake.notify_one();
    }

    /// Sets the delay between receiving and replaying an entry on a replica.
    pub fn set_replay_lag(&self, lag: Duration) {
        *self.replay_lag.lock() = lag;
        self.replay_wake.notify_one();
    }

    /// Returns whether `target` has flushed the complete log of this primary.
    pub fn has_flushed_all(&self, target: Member) -> bool {
        let inner = self.inner.lock();
        let length = inner.consensus.log().len();
        inner
            .consensus
            .peers()
            .get(target)
            .is_some_and(|peer| peer.flushed == length)
    }

    /// Requests `target` to take over as primary.
    pub fn hand_over(&self, target: Member) {
        self.step(|consensus, _| consensus.hand_over(target));
    }
}
