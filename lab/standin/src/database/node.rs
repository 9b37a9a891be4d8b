//! One database of a group: its log, its rows and its consensus state.
//!
//! Lock order: `inner`, then the working rows, then `committed`.

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
use super::working_rows::{WorkingRows, WriteTransaction};

mod consensus;
mod control;
mod replay;

use replay::Committed;

/// Time after which a replica that sends no messages is removed from
/// `pg_stat_replication`.
const REPLICA_TIMEOUT: Duration = Duration::from_secs(2);

/// Generation of the client connections of a database. All connections of a
/// generation are closed when the next one begins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Epoch {
    /// Number of times that all connections were closed.
    pub number: u64,
    /// Whether the last time they were reset without an error message, as in a
    /// crash.
    pub abrupt: bool,
}

struct Inner {
    consensus: Consensus,
    received_at: Vec<Instant>,
    truncations: u64,
    alive: bool,
    paused: bool,
    working: Option<Arc<WorkingRows>>,
}

/// One database of a group.
pub struct Node {
    /// Index of the database in its group.
    pub member: Member,
    /// Settings of the database.
    pub settings: DatabaseSettings,
    /// Settings of the group.
    pub group: Arc<GroupSettings>,
    /// Client connections and slots.
    pub connections: Connections,
    /// Advisory locks held on this database.
    pub advisory: AdvisoryLocks,
    /// Election history of the group.
    pub history: Arc<History>,
    inner: Mutex<Inner>,
    committed: Mutex<Committed>,
    /// Copy of [`Committed::applied`] that can be read without the lock.
    applied: AtomicUsize,
    /// Copy of the position of the committed rows that can be read without the lock.
    replayed: AtomicU64,
    links: OnceLock<Links>,
    epoch: watch::Sender<Epoch>,
    majority_flushed: watch::Sender<usize>,
    /// Whether clients are served: false while the database is paused or isolated from
    /// its clients.
    gate: watch::Sender<bool>,
    replay_lag: Mutex<Duration>,
    replay_wake: Notify,
    tick_wake: Notify,
    isolated: AtomicBool,
    clients_isolated: AtomicBool,
    seeds: AtomicU64,
}

impl Node {
    /// Creates a database whose log and rows start with the entry `first`.
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
            Role::Primary => Some(Arc::new(WorkingRows::new(Store::copy(&store)?))),
            _ => None,
        };
        Ok(Self {
            member,
            connections: Connections::new(settings.slots),
            advisory: AdvisoryLocks::default(),
            history,
            inner: Mutex::new(Inner {
                consensus,
                received_at: vec![Instant::now()],
                truncations: 0,
                alive: true,
                paused: false,
                working,
            }),
            committed: Mutex::new(Committed::new(store, first)),
            applied: AtomicUsize::new(1),
            replayed: AtomicU64::new(first.end.0),
            links: OnceLock::new(),
            epoch: watch::Sender::new(Epoch::default()),
            majority_flushed: watch::Sender::new(1),
            gate: watch::Sender::new(true),
            replay_lag: Mutex::new(settings.replay_lag),
            replay_wake: Notify::new(),
            tick_wake: Notify::new(),
            isolated: AtomicBool::new(false),
            clients_isolated: AtomicBool::new(false),
            seeds: AtomicU64::new(group.seed),
            settings,
            group,
        })
    }

    /// Connects the database to its peers; only the first call has an effect.
    pub fn connect(&self, links: Links) {
        let _ = self.links.set(links);
    }

    /// Returns a new random seed for one statement.
    pub fn next_seed(&self) -> u64 {
        self.seeds.fetch_add(1, Ordering::Relaxed)
    }

    /// Subscribes to the connection epoch, which changes when all connections are
    /// closed.
    pub fn epochs(&self) -> watch::Receiver<Epoch> {
        self.epoch.subscribe()
    }

    /// Subscribes to whether clients are served.
    pub fn gate(&self) -> watch::Receiver<bool> {
        self.gate.subscribe()
    }

    /// Subscribes to the number of entries that a majority has flushed.
    pub fn subscribe_majority_flushed(&self) -> watch::Receiver<usize> {
        self.majority_flushed.subscribe()
    }

    /// Returns whether the simulated process is running.
    pub fn is_alive(&self) -> bool {
        self.inner.lock().alive
    }

    /// Returns whether the database is isolated from its peers.
    pub fn is_isolated(&self) -> bool {
        self.isolated.load(Ordering::Relaxed)
    }

    /// Returns the working rows if this database is a running primary.
    pub fn working(&self) -> Option<Arc<WorkingRows>> {
        let inner = self.inner.lock();
        inner.working.clone().filter(|_| inner.alive)
    }

    /// Commits a transaction locally and appends it to the log. Returns the number
    /// of entries that a majority must flush before the transaction is durable, or
    /// `None` if it changed nothing.
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
            self.replay_up_to(length);
        }
        Ok(Some(length))
    }

    /// Returns the current replication state that the system views show.
    pub fn view(&self) -> SystemView {
        let inner = self.inner.lock();
        let consensus = &inner.consensus;
        let primary = consensus.role() == Role::Primary;
        let now = Instant::now();
        let reachable = consensus
            .reachable_primary(now)
            .filter(|_| !self.is_isolated());
        SystemView {
            in_recovery: !primary,
            timeline: if primary {
                consensus.term()
            } else {
                consensus.timeline()
            },
            flushed: consensus.flushed(),
            replayed: self.replayed(),
            primary: reachable.map(|member| self.group.databases[member].name.clone()),
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
            let elapsed = peer
                .last_message_at
                .map(|at| now.saturating_duration_since(at));
            let Some(elapsed) = elapsed.filter(|elapsed| *elapsed < REPLICA_TIMEOUT) else {
                continue;
            };
            replicas.push(ReplicaView {
                name: self.group.databases[member].name.clone(),
                flushed: consensus.position(peer.flushed),
                replayed: peer.replayed,
                last_message_at: timestamp::now_micros() - elapsed.as_micros() as i64,
            });
        }
        replicas
    }

    /// Returns whether the database is currently not a primary.
    pub fn in_recovery(&self) -> bool {
        self.inner.lock().consensus.role() != Role::Primary
    }

    /// Returns the role and the term; the role is `None` when the process is down.
    pub fn role(&self) -> (Option<Role>, u64) {
        let inner = self.inner.lock();
        let role = inner.alive.then(|| inner.consensus.role());
        (role, inner.consensus.term())
    }

    /// Returns a copy of the log.
    pub fn log(&self) -> Vec<Arc<Entry>> {
        self.inner.lock().consensus.log().to_vec()
    }
}
