//! Sessions of this node: their number, their cancel keys and the requests they run.
//!
//! Lock order: the table of sessions, then one session's running request. Neither is held
//! across an await point or while a lock of [`crate::shared::Shared`] is held.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use hookpoint_protocol::backend_command::BackendCommand;
use hookpoint_state::SessionId;
use parking_lot::{Mutex, RwLock};
use tokio::sync::{Notify, mpsc, watch};

/// Whether sessions keep running or how they stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopMode {
    /// Sessions run normally.
    Running,
    /// Sessions finish the request in flight, then end.
    Graceful,
    /// Sessions end at once.
    Abort,
}

/// Entry of one session in the session table.
#[derive(Debug)]
pub struct SessionEntry {
    /// Identifier of the session.
    pub id: SessionId,
    /// Process number sent to the caller in `BackendKeyData`.
    pub process: u32,
    /// Secret sent to the caller in `BackendKeyData`.
    pub secret: u32,
    running: Mutex<Running>,
    cancelled: Notify,
}

/// What a session runs, as far as a cancel request is concerned.
#[derive(Debug, Default)]
enum Running {
    /// Nothing that could be cancelled.
    #[default]
    Nothing,
    /// The session waits for a connection; nothing was sent.
    Waiting {
        /// Whether a cancel request has arrived.
        cancelled: bool,
    },
    /// A unit runs on this connection.
    Unit(mpsc::Sender<BackendCommand>),
}

impl SessionEntry {
    /// Records that a unit waits for its connection.
    pub fn set_waiting(&self) {
        *self.running.lock() = Running::Waiting { cancelled: false };
    }

    /// Records that a unit was sent to the connection behind `commands`.
    pub fn set_running(&self, commands: mpsc::Sender<BackendCommand>) {
        *self.running.lock() = Running::Unit(commands);
    }

    /// Records that the unit has ended. A later cancel request has no effect.
    pub fn set_idle(&self) {
        *self.running.lock() = Running::Nothing;
    }

    /// Resolves when a cancel request arrives while the session waits for a connection.
    pub async fn cancelled(&self) {
        loop {
            self.cancelled.notified().await;
            if matches!(*self.running.lock(), Running::Waiting { cancelled: true }) {
                return;
            }
        }
    }

    /// Cancels the running request. The command is put into the connection's own queue
    /// under the lock, ahead of the release that ends this session's use of the
    /// connection, so it cannot reach another session's request.
    fn cancel(&self) {
        match &mut *self.running.lock() {
            Running::Nothing => {}
            Running::Waiting { cancelled } => {
                *cancelled = true;
                self.cancelled.notify_one();
            }
            Running::Unit(commands) => {
                let _full_or_closed = commands.try_send(BackendCommand::Cancel);
            }
        }
    }
}

/// Forwards a cancel request, given by process number and secret, for a session of
/// another node.
pub type ForwardCancel = Arc<dyn Fn(u32, u32) + Send + Sync>;

/// Low bits of a process number that number the sessions of a node; the high bits
/// identify the node.
const SESSION_BITS: u32 = 16;
/// Number of sessions that the low bits of a process number can tell apart.
const MAXIMUM_SESSIONS: usize = u16::MAX as usize;

/// How cancel requests are routed to other nodes.
struct CancelRoute {
    /// High bits of the process numbers of this node.
    tag: u16,
    forward: ForwardCancel,
}

impl fmt::Debug for CancelRoute {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "CancelRoute({:04x})", self.tag)
    }
}

/// The table of sessions.
#[derive(Debug)]
pub struct Registry {
    sessions: Mutex<BTreeMap<u32, Arc<SessionEntry>>>,
    cancel_route: RwLock<Option<CancelRoute>>,
    last_session: AtomicU64,
    connections: watch::Sender<usize>,
}

impl Default for Registry {
    fn default() -> Self {
        Self {
            sessions: Mutex::default(),
            cancel_route: RwLock::default(),
            last_session: AtomicU64::new(0),
            connections: watch::Sender::new(0),
        }
    }
}

impl Registry {
    /// Counts a connection until the guard is dropped.
    pub fn count_connection(self: &Arc<Self>) -> ConnectionGuard {
        self.connections.send_modify(|count| *count += 1);
        ConnectionGuard {
            registry: Arc::clone(self),
        }
    }

    /// Registers a session, or returns `None` if there are `limit` sessions already.
    pub fn register(self: &Arc<Self>, limit: usize) -> Option<SessionGuard> {
        let mut sessions = self.sessions.lock();
        if sessions.len() >= limit.min(MAXIMUM_SESSIONS) {
            return None;
        }
        let id = SessionId(self.last_session.fetch_add(1, Ordering::Relaxed) + 1);
        let tag = self
            .cancel_route
            .read()
            .as_ref()
            .map_or(0, |route| route.tag);
        let process = free_process(&sessions, tag, id);
        let entry = Arc::new(SessionEntry {
            id,
            process,
            secret: rand::random(),
            running: Mutex::default(),
            cancelled: Notify::new(),
        });
        sessions.insert(process, Arc::clone(&entry));
        Some(SessionGuard {
            registry: Arc::clone(self),
            entry,
        })
    }

    /// Makes the process numbers of later sessions begin with `tag` and sends cancel
    /// requests with other tags to `forward`.
    pub fn set_cancel_route(&self, tag: u16, forward: ForwardCancel) {
        *self.cancel_route.write() = Some(CancelRoute { tag, forward });
    }

    /// Handles a cancel request from a caller, for a session of this node or of another
    /// one.
    pub fn route_cancel(&self, process: u32, secret: u32) {
        if self.cancel(process, secret) {
            return;
        }
        let route = self.cancel_route.read();
        if let Some(route) = &*route
            && process >> SESSION_BITS != u32::from(route.tag)
        {
            (route.forward)(process, secret);
        }
    }

    /// Cancels the running request of a session of this node. Returns whether process
    /// number and secret match a session.
    pub fn cancel(&self, process: u32, secret: u32) -> bool {
        let entry = self.sessions.lock().get(&process).cloned();
        match entry {
            Some(entry) if entry.secret == secret => {
                entry.cancel();
                true
            }
            _ => false,
        }
    }

    /// Returns the number of authenticated sessions.
    pub fn sessions(&self) -> usize {
        self.sessions.lock().len()
    }

    /// Returns a watch on the number of connections, including those still in start-up.
    pub fn connections(&self) -> watch::Receiver<usize> {
        self.connections.subscribe()
    }
}

/// Returns a process number that no session has: the node's tag in the high bits and a
/// counter in the low bits.
fn free_process(sessions: &BTreeMap<u32, Arc<SessionEntry>>, tag: u16, id: SessionId) -> u32 {
    let number = |count: u16| u32::from(tag) << SESSION_BITS | u32::from(count);
    let mut count = (id.0 as u16).max(1);
    while sessions.contains_key(&number(count)) {
        count = count.wrapping_add(1).max(1);
    }
    number(count)
}

/// Keeps a connection counted until it is dropped.
#[derive(Debug)]
pub struct ConnectionGuard {
    registry: Arc<Registry>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.registry.connections.send_modify(|count| *count -= 1);
    }
}

/// Keeps a session in the table until it is dropped.
#[derive(Debug)]
pub struct SessionGuard {
    registry: Arc<Registry>,
    /// Entry of the session.
    pub entry: Arc<SessionEntry>,
}

impl Drop for SessionGuard {
    fn drop(&mut self) {
        self.registry.sessions.lock().remove(&self.entry.process);
    }
}
