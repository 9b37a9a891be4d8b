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
use super::consensus::{Consensus, Member, Role};
use super::entry::Entry;
use super::error::SqlError;
use super::history::History;
use super::link::Links;
use super::settings::{DatabaseSettings, GroupSettings};
use super::store::Store;
use super::timestamp;
use super::view::{ReplicaView, SystemView};
use super::working::{Working, WriteTransaction};

mod agreement;
mod control;
mod replay;

use replay::Committed;

/// Time after which a silent replica leaves `pg_stat_replication`.
const REPLICA_SILENCE: Duration = Duration::from_secs(2);

/// How the connections of a database last ended together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Epoch {
    /// How often they ended.
    pub number: u64,
    /// Whether the last time was without a word, as in a crash.
    pub abrupt: bool,
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
            committed: Mutex::new(Committed::new(store, first)),
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
}
