//! Connects the consensus state machine of a database to its storage and network.

use std::sync::Arc;
use std::time::Instant;

use super::replay::Committed;
use super::{Inner, Node};
use crate::database::consensus::{Action, Consensus, Member, Message};
use crate::database::store::Store;
use crate::database::working_rows::WorkingRows;

impl Node {
    /// Runs one step of the consensus state machine and executes the resulting
    /// actions. Does nothing while the process is down or paused.
    pub(super) fn step(&self, run: impl FnOnce(&mut Consensus, Instant) -> Vec<Action>) {
        let mut inner = self.inner.lock();
        if inner.alive && !inner.paused {
            let actions = run(&mut inner.consensus, Instant::now());
            self.apply(&mut inner, actions);
        }
        drop(inner);
        self.tick_wake.notify_one();
    }

    /// Handles a message from a peer.
    pub fn receive(&self, from: Member, message: Message) {
        let replayed = self.replayed();
        self.step(|consensus, now| consensus.receive(now, from, message, replayed));
    }

    /// Drives heartbeats and elections until the task is aborted.
    pub async fn run_ticks(self: Arc<Self>) {
        loop {
            let next = self.inner.lock().consensus.next_tick();
            let tick_due = tokio::time::sleep_until(next.into());
            tokio::select! {
                () = tick_due => {}
                () = self.tick_wake.notified() => continue,
            }
            if self.is_stopped_or_paused() {
                tokio::time::sleep(self.group.heartbeat_interval).await;
            }
            self.step(Consensus::tick);
        }
    }

    fn is_stopped_or_paused(&self) -> bool {
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
                    log::info!("database: {} stepped down as primary.", self.settings.name);
                    self.close_connections(false);
                }
                Action::MajorityFlushedAdvanced => {
                    self.majority_flushed
                        .send_replace(inner.consensus.majority_flushed());
                    self.replay_wake.notify_one();
                }
            }
        }
    }

    fn flushed(&self, inner: &mut Inner) {
        let length = inner.consensus.log().len();
        inner.received_at.resize(length, Instant::now());
        self.replay_wake.notify_one();
    }

    fn truncate(&self, inner: &mut Inner, length: usize) {
        inner.received_at.truncate(length);
        inner.truncations += 1;
        let mut committed = self.committed.lock();
        // Entries selected from the old log must no longer be replayed.
        committed.truncations = inner.truncations;
        if committed.applied <= length {
            return;
        }
        log::info!(
            "database: {} discards {} replayed entries that the new primary does not have.",
            self.settings.name,
            committed.applied - length
        );
        self.close_connections(false);
        match Committed::rebuild(&inner.consensus.log()[..length], inner.truncations) {
            Ok(rebuilt) => {
                *committed = rebuilt;
                self.publish(&committed);
            }
            Err(error) => log::error!(
                "database: {} cannot rebuild its rows: {error}.",
                self.settings.name
            ),
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
            Ok(copy) => inner.working = Some(Arc::new(WorkingRows::new(copy))),
            Err(error) => log::error!(
                "database: {} cannot copy its rows for promotion: {error}.",
                self.settings.name
            ),
        }
        let term = inner.consensus.term();
        log::info!(
            "database: {} became primary in term {term}.",
            self.settings.name
        );
        let last_primary_message = inner.consensus.last_primary_message_at();
        self.history
            .elected(term, &self.settings.name, Some(last_primary_message));
    }

    pub(super) fn close_connections(&self, abrupt: bool) {
        self.epoch.send_modify(|epoch| {
            epoch.number += 1;
            epoch.abrupt = abrupt;
        });
    }
}
