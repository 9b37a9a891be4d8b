//! Query rounds that concurrent callers share.

use std::collections::BTreeMap;
use std::sync::{Arc, Weak};

use actix::ArbiterHandle;
use futures::future::BoxFuture;
use hookpoint_coordination::observer::{
    RoundAction, RoundEvent, RoundNumber, RoundPolicy, Rounds, WaiterNumber,
};
use hookpoint_state::Timestamp;
use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::shared::Shared;

/// Runs a round of queries about `K` with the result `R`.
pub(crate) type Round<K, R> = Box<dyn Fn(K) -> BoxFuture<'static, R> + Send + Sync>;

struct Entry<R> {
    rounds: Rounds,
    waiters: BTreeMap<WaiterNumber, oneshot::Sender<R>>,
    next_waiter: u64,
    timer: Option<Timestamp>,
}

/// Runs rounds for each key. Each caller gets the result of a round that started after
/// its call.
pub(crate) struct SharedRounds<K, R> {
    shared: Arc<Shared>,
    arbiter: ArbiterHandle,
    policy: RoundPolicy,
    round: Round<K, R>,
    entries: Mutex<BTreeMap<K, Entry<R>>>,
    weak_self: Weak<SharedRounds<K, R>>,
}

impl<K, R> SharedRounds<K, R>
where
    K: Clone + Ord + Send + 'static,
    R: Clone + Send + 'static,
{
    /// Creates shared rounds that run `round` on `arbiter`.
    pub fn new(
        shared: Arc<Shared>,
        arbiter: ArbiterHandle,
        policy: RoundPolicy,
        round: Round<K, R>,
    ) -> Arc<Self> {
        Arc::new_cyclic(|weak_self| Self {
            shared,
            arbiter,
            policy,
            round,
            entries: Mutex::new(BTreeMap::new()),
            weak_self: weak_self.clone(),
        })
    }

    /// Returns the result of a round about `key` that starts after the call; `None` if
    /// the rounds have ended.
    pub async fn call(&self, key: K) -> Option<R> {
        let result = self.add_waiter(key);
        result.await.ok()
    }

    fn add_waiter(&self, key: K) -> oneshot::Receiver<R> {
        let (sender, result) = oneshot::channel();
        let mut entries = self.entries.lock();
        let entry = entries.entry(key.clone()).or_insert_with(|| Entry {
            rounds: Rounds::new(self.policy),
            waiters: BTreeMap::new(),
            next_waiter: 0,
            timer: None,
        });
        let waiter = WaiterNumber(entry.next_waiter);
        entry.next_waiter += 1;
        entry.waiters.insert(waiter, sender);
        self.handle(&key, entry, RoundEvent::Requested(waiter), None);
        result
    }

    fn on_finished(&self, key: &K, round: RoundNumber, result: R) {
        let mut entries = self.entries.lock();
        let Some(entry) = entries.get_mut(key) else {
            return;
        };
        self.handle(key, entry, RoundEvent::Finished(round), Some(result));
        if entry.rounds.is_idle() {
            entries.remove(key);
        }
    }

    fn on_timer(&self, key: &K) {
        if let Some(entry) = self.entries.lock().get_mut(key) {
            entry.timer = None;
            self.handle(key, entry, RoundEvent::Timer, None);
        }
    }

    fn handle(&self, key: &K, entry: &mut Entry<R>, event: RoundEvent, result: Option<R>) {
        let now = self.shared.now();
        let mut actions = Vec::new();
        entry.rounds.handle(now, event, &mut actions);
        for action in actions {
            match action {
                RoundAction::Start(round) => self.start(key.clone(), round),
                RoundAction::Answer(waiters) => answer(entry, waiters, result.as_ref()),
            }
        }
        self.set_timer(now, key, entry);
    }

    fn set_timer(&self, now: Timestamp, key: &K, entry: &mut Entry<R>) {
        let Some(due) = entry.rounds.next_timer() else {
            return;
        };
        if entry.timer.is_some_and(|set| set <= due) {
            return;
        }
        entry.timer = Some(due);
        let rounds = self.weak_self.clone();
        let key = key.clone();
        self.arbiter.spawn(async move {
            tokio::time::sleep(due.since(now)).await;
            if let Some(rounds) = rounds.upgrade() {
                rounds.on_timer(&key);
            }
        });
    }

    fn start(&self, key: K, round: RoundNumber) {
        let rounds = self.weak_self.clone();
        let running = (self.round)(key.clone());
        self.arbiter.spawn(async move {
            let result = running.await;
            if let Some(rounds) = rounds.upgrade() {
                rounds.on_finished(&key, round, result);
            }
        });
    }
}

fn answer<R: Clone>(entry: &mut Entry<R>, waiters: Vec<WaiterNumber>, result: Option<&R>) {
    for waiter in waiters {
        if let (Some(sender), Some(result)) = (entry.waiters.remove(&waiter), result) {
            let _gone = sender.send(result.clone());
        }
    }
}
