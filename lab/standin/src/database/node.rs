//! One database of a group: its log, its rows and its part in the group.
//!
//! Lock order: `inner`, then a working store, then `committed`.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use super::advisory::AdvisoryLocks;
use super::connections::Connections;
use super::consensus::{Action, Consensus, Member, Message, Role};
use super::entry::Entry;
use super::error::SqlError;
use super::history::History;
use super::link::Links;
use super::position::Lsn;
use super::settings::{DatabaseSettings, GroupSettings};
use super::store::Store;
use super::timestamp;
use super::view::{ReplicaView, SystemView};
use super::working::{Working, WriteTransaction};

/// Time after which a silent replica leaves `pg_stat_replication`.
const REPLICA_SILENCE: Duration = Duration::from_secs(2);
/// Entries replayed before the locks are given up for others.
const REPLAY_BATCH: usize = 64;
/// Pause of the replay task while nothing is due.
const REPLAY_IDLE: Duration = Duration::from_millis(500);

/// How the connections of a database last ended together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Epoch {
    /// How often they ended.
    pub number: u64,
    /// Whether the last time was without a word, as in a crash.
    pub abrupt: bool,
}

/// The rows that reads outside a writing transaction see.
struct Committed {
    store: Store,
    applied: usize,
    position: Lsn,
    /// How often the log was cut.
    cuts: u64,
}

/// Entries that are to be replayed next.
struct Due {
    entries: Vec<Arc<Entry>>,
    /// Number of entries before them.
    start: usize,
    cuts: u64,
    /// When there will be more, if that is known.
    next: Option<Instant>,
}

struct Inner {
    consensus: Consensus,
    received: Vec<Instant>,
    cuts: u64,
    alive: bool,
    paused: bool,
    working: Option<Arc<Working>>,
}

/// One database.
pub struct Node {
    /// Its number in the group.
    pub member: Member,
    /// Its settings.
    pub settings: DatabaseSettings,
    /// Its group's settings.
    pub group: Arc<GroupSettings>,
    /// Its client connections.
    pub connections: Connections,
    /// Its advisory locks.
    pub advisory: AdvisoryLocks,
    /// What happened in the group.
    pub history: Arc<History>,
    inner: Mutex<Inner>,
    committed: Mutex<Committed>,
    /// Copies of the committed rows' counters, read without their lock.
    applied: AtomicUsize,
    replayed: AtomicU64,
    links: OnceLock<Links>,
    epoch: watch::Sender<Epoch>,
    majority: watch::Sender<usize>,
    gate: watch::Sender<bool>,
    replay_lag: Mutex<Duration>,
    replay_wake: Notify,
    tick_wake: Notify,
    isolated: AtomicBool,
    clients_cut: AtomicBool,
    seeds: AtomicU64,
}

impl Node {
    /// A database whose log and rows start with `first`.
    pub fn new(
        member: Member,
        group: Arc<GroupSettings>,
        history: Arc<History>,
        consensus: Consensus,
        first: &Entry,
    ) -> Result<Self, SqlError> {
        let mut store = Store::open()?;
        store.replay(first)?;
        let settings = group.databases[member].clone();
        let working = match consensus.role() {
            Role::Primary => Some(Arc::new(Working::new(Store::copy(&store)?))),
            _ => None,
        };
        Ok(Self {
            member,
            connections: Connections::new(settings.slots),
            advisory: AdvisoryLocks::default(),
            history,
            inner: Mutex::new(Inner {
                consensus,
                received: vec![Instant::now()],
                cuts: 0,
                alive: true,
                paused: false,
                working,
            }),
            committed: Mutex::new(Committed {
                store,
                applied: 1,
                position: first.end,
                cuts: 0,
            }),
            applied: AtomicUsize::new(1),
            replayed: AtomicU64::new(first.end.0),
            links: OnceLock::new(),
            epoch: watch::Sender::new(Epoch::default()),
            majority: watch::Sender::new(1),
            gate: watch::Sender::new(true),
            replay_lag: Mutex::new(settings.replay_lag),
            replay_wake: Notify::new(),
            tick_wake: Notify::new(),
            isolated: AtomicBool::new(false),
            clients_cut: AtomicBool::new(false),
            seeds: AtomicU64::new(group.seed),
            settings,
            group,
        })
    }

    /// Connects the database to its peers; later calls change nothing.
    pub fn connect(&self, links: Links) {
        let _ = self.links.set(links);
    }

    /// A seed for the chance of one statement.
    pub fn next_seed(&self) -> u64 {
        self.seeds.fetch_add(1, Ordering::Relaxed)
    }

    /// Tells of the ends of all connections.
    pub fn epochs(&self) -> watch::Receiver<Epoch> {
        self.epoch.subscribe()
    }

    /// Tells whether clients are answered.
    pub fn gate(&self) -> watch::Receiver<bool> {
        self.gate.subscribe()
    }

    /// Tells how many entries a majority has flushed.
    pub fn majorities(&self) -> watch::Receiver<usize> {
        self.majority.subscribe()
    }

    /// Whether the process runs.
    pub fn is_alive(&self) -> bool {
        self.inner.lock().alive
    }

    /// Whether it is cut off from its peers.
    pub fn is_isolated(&self) -> bool {
        self.isolated.load(Ordering::Relaxed)
    }

    /// Runs one step of the agreement and does what it asks.
    fn step(&self, run: impl FnOnce(&mut Consensus, Instant) -> Vec<Action>) {
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

    /// Replays entries as they come due until dropped.
    pub async fn run_replay(self: Arc<Self>) {
        loop {
            let next = self.catch_up();
            let wait = next.unwrap_or_else(|| Instant::now() + REPLAY_IDLE);
            if wait > Instant::now() {
                tokio::select! {
                    () = tokio::time::sleep_until(wait.into()) => {}
                    () = self.replay_wake.notified() => {}
                }
            } else {
                tokio::task::yield_now().await;
            }
        }
    }

    /// Replays what is due, without keeping the group waiting for readers;
    /// returns when there will be more, if that is known.
    pub fn catch_up(&self) -> Option<Instant> {
        let due = self.due();
        if due.entries.is_empty() {
            return due.next;
        }
        let mut committed = self.committed.lock();
        if committed.cuts == due.cuts {
            let done = committed.applied.saturating_sub(due.start);
            for entry in due.entries.iter().skip(done) {
                committed.apply(entry);
            }
            self.publish(&committed);
        }
        due.next
    }

    fn due(&self) -> Due {
        let lag = *self.replay_lag.lock();
        let start = self.applied.load(Ordering::Acquire);
        let inner = self.inner.lock();
        let log = inner.consensus.log();
        let mut due = Due {
            entries: Vec::new(),
            start,
            cuts: inner.cuts,
            next: None,
        };
        if !inner.alive || inner.paused {
            return due;
        }
        let now = Instant::now();
        let visible = self.visible(&inner);
        let end = visible.min(start + REPLAY_BATCH);
        let following = inner.consensus.role() != Role::Primary;
        for (entry, received) in log.iter().zip(&inner.received).take(end).skip(start) {
            let ready = *received + lag;
            if following && ready > now {
                due.next = Some(ready);
                return due;
            }
            due.entries.push(entry.clone());
        }
        if end < visible {
            due.next = Some(now);
        }
        due
    }

    /// How many entries reads may see now.
    fn visible(&self, inner: &Inner) -> usize {
        if inner.consensus.role() == Role::Primary && self.group.synchronous_commit {
            inner.consensus.majority()
        } else {
            inner.consensus.log().len()
        }
    }

    fn publish(&self, committed: &Committed) {
        self.applied.store(committed.applied, Ordering::Release);
        self.replayed.store(committed.position.0, Ordering::Release);
    }

    fn replayed(&self) -> Lsn {
        Lsn(self.replayed.load(Ordering::Acquire))
    }

    fn apply(&self, inner: &mut Inner, actions: Vec<Action>) {
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
        self.history.elected(term, &self.settings.name);
    }

    fn end_connections(&self, abrupt: bool) {
        self.epoch.send_modify(|epoch| {
            epoch.number += 1;
            epoch.abrupt = abrupt;
        });
    }

    /// The rows for writing, if this is a primary.
    pub fn working(&self) -> Option<Arc<Working>> {
        let inner = self.inner.lock();
        inner.working.clone().filter(|_| inner.alive)
    }

    /// Commits here and adds to the log. Returns how many entries a majority
    /// must flush before the transaction is safe, or none if it changed nothing.
    pub fn commit(&self, transaction: WriteTransaction) -> Result<Option<usize>, SqlError> {
        let mut inner = self.inner.lock();
        let current = inner
            .working
            .as_ref()
            .is_some_and(|working| transaction.belongs_to(working));
        if !inner.alive || !current {
            return Err(SqlError::terminated());
        }
        let timestamp = transaction.timestamp();
        let statements = transaction.finish()?;
        if statements.is_empty() {
            return Ok(None);
        }
        let actions = inner.consensus.append(timestamp, statements);
        let length = inner.consensus.log().len();
        self.apply(&mut inner, actions);
        drop(inner);
        if !self.group.synchronous_commit {
            self.catch_up_to(length);
        }
        Ok(Some(length))
    }

    /// Makes the first `length` entries visible, if they may be.
    pub fn catch_up_to(&self, length: usize) {
        while self.applied.load(Ordering::Acquire) < length {
            if self.catch_up().is_none() {
                return;
            }
        }
    }

    /// Runs `read` on the rows that have been replayed, with their position,
    /// unless the connections of `epoch` have ended.
    pub fn read<R>(
        &self,
        epoch: u64,
        read: impl FnOnce(&mut Store, Lsn) -> Result<R, SqlError>,
    ) -> Result<R, SqlError> {
        let mut committed = self.committed.lock();
        if self.epoch.borrow().number != epoch {
            return Err(SqlError::terminated());
        }
        let position = committed.position;
        read(&mut committed.store, position)
    }

    /// What the database tells of itself now.
    pub fn view(&self) -> SystemView {
        let inner = self.inner.lock();
        let consensus = &inner.consensus;
        let primary = consensus.role() == Role::Primary;
        let now = Instant::now();
        let heard = consensus.heard_primary(now).filter(|_| !self.is_isolated());
        SystemView {
            in_recovery: !primary,
            timeline: if primary {
                consensus.term()
            } else {
                consensus.timeline()
            },
            flushed: consensus.flushed(),
            replayed: self.replayed(),
            primary: heard.map(|member| self.group.databases[member].name.clone()),
            replicas: if primary {
                self.replicas(consensus, now)
            } else {
                Vec::new()
            },
        }
    }

    fn replicas(&self, consensus: &Consensus, now: Instant) -> Vec<ReplicaView> {
        let mut replicas = Vec::new();
        for (member, peer) in consensus.peers().iter().enumerate() {
            let silence = peer.heard_at.map(|at| now.saturating_duration_since(at));
            let Some(silence) = silence.filter(|silence| *silence < REPLICA_SILENCE) else {
                continue;
            };
            replicas.push(ReplicaView {
                name: self.group.databases[member].name.clone(),
                flushed: consensus.position(peer.flushed),
                replayed: peer.replayed,
                heard_at: timestamp::now_micros() - silence.as_micros() as i64,
            });
        }
        replicas
    }

    /// Whether it is no primary now.
    pub fn in_recovery(&self) -> bool {
        self.inner.lock().consensus.role() != Role::Primary
    }

    /// Role and term; no role when the process is down.
    pub fn role(&self) -> (Option<Role>, u64) {
        let inner = self.inner.lock();
        let role = inner.alive.then(|| inner.consensus.role());
        (role, inner.consensus.term())
    }

    /// A copy of the log.
    pub fn log(&self) -> Vec<Arc<Entry>> {
        self.inner.lock().consensus.log().to_vec()
    }

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
        inner.consensus.restart(Instant::now());
        drop(inner);
        self.replay_wake.notify_one();
        self.tick_wake.notify_one();
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

impl Committed {
    fn rebuild(log: &[Arc<Entry>], cuts: u64) -> Result<Self, SqlError> {
        let mut rebuilt = Self {
            store: Store::open()?,
            applied: 0,
            position: Lsn(0),
            cuts,
        };
        for entry in log {
            rebuilt.apply(entry);
        }
        Ok(rebuilt)
    }

    /// Replays the next entry of the log.
    fn apply(&mut self, entry: &Entry) {
        if let Err(error) = self.store.replay(entry) {
            log::error!(
                "database: an entry at {} fails to replay: {error}.",
                entry.end
            );
        }
        self.applied += 1;
        self.position = entry.end;
    }
}
