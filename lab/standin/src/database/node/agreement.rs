//! A database's part in the agreement of its group.

use std::sync::Arc;
use std::time::Instant;

use super::replay::Committed;
use super::{Inner, Node};
use crate::database::consensus::{Action, Consensus, Member, Message};
use crate::database::store::Store;
use crate::database::working::Working;

impl Node {
    /// Runs one step of the agreement and does what it asks.
    pub(super) fn step(&self, run: impl FnOnce(&mut Consensus, Instant) -> Vec<Action>) {
        let mut inner = self.inner.lock();
        if inner.alive && !inner.paused {
            let actions = run(&mut inner.consensus, Instant::now());
            self.apply(&mut inner, actions);
        }
        drop(inner);
        self.tick_wake.notify_one();
    }

    /// Takes in a message from a peer.
    pub fn receive(&self, from: Member, message: Message) {
        let replayed = self.replayed();
        self.step(|consensus, now| consensus.receive(now, from, message, replayed));
    }

    /// Drives heartbeats and elections until dropped.
    pub async fn run_ticks(self: Arc<Self>) {
        loop {
            let next = self.inner.lock().consensus.next_tick();
            let asleep = tokio::time::sleep_until(next.into());
            tokio::select! {
                () = asleep => {}
                () = self.tick_wake.notified() => continue,
            }
            if self.stands_still() {
                tokio::time::sleep(self.group.heartbeat_interval).await;
            }
            self.step(Consensus::tick);
        }
    }

    fn stands_still(&self) -> bool {
        let inner = self.inner.lock();
        !inner.alive || inner.paused
    }

    pub(super) fn apply(&self, inner: &mut Inner, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) => {
                    if let Some(links) = self.links.get() {
                        links.send(to, message);
                    }
                }
                Action::Truncated(length) => self.truncate(inner, length),
                Action::Flushed => self.flushed(inner),
                Action::BecamePrimary => self.promote(inner),
                Action::SteppedDown => {
                    inner.working = None;
                    log::info!("database: {} leads no more.", self.settings.name);
                    self.end_connections(false);
                }
                Action::MajorityAdvanced => {
                    self.majority.send_replace(inner.consensus.majority());
                    self.replay_wake.notify_one();
                }
            }
        }
    }

    fn flushed(&self, inner: &mut Inner) {
        let length = inner.consensus.log().len();
        inner.received.resize(length, Instant::now());
        self.replay_wake.notify_one();
    }

    fn truncate(&self, inner: &mut Inner, length: usize) {
        inner.received.truncate(length);
        inner.cuts += 1;
        let mut committed = self.committed.lock();
        // What is due of the old log must not be replayed any more.
        committed.cuts = inner.cuts;
        if committed.applied <= length {
            return;
        }
        log::info!(
            "database: {} discards {} entries.",
            self.settings.name,
            committed.applied - length
        );
        self.end_connections(false);
        match Committed::rebuild(&inner.consensus.log()[..length], inner.cuts) {
            Ok(rebuilt) => {
                *committed = rebuilt;
                self.publish(&committed);
            }
            Err(error) => log::error!("database: {} cannot rebuild: {error}.", self.settings.name),
        }
    }

    fn promote(&self, inner: &mut Inner) {
        let mut committed = self.committed.lock();
        let log = inner.consensus.log();
        for entry in &log[committed.applied..] {
            committed.apply(entry);
        }
        self.publish(&committed);
        match Store::copy(&committed.store) {
            Ok(copy) => inner.working = Some(Arc::new(Working::new(copy))),
            Err(error) => log::error!("database: {} cannot promote: {error}.", self.settings.name),
        }
        let term = inner.consensus.term();
        log::info!("database: {} leads term {term}.", self.settings.name);
        let heard_at = inner.consensus.heard_at();
        self.history
            .elected(term, &self.settings.name, Some(heard_at));
    }

    pub(super) fn end_connections(&self, abrupt: bool) {
        self.epoch.send_modify(|epoch| {
            epoch.number += 1;
            epoch.abrupt = abrupt;
        });
    }
}
