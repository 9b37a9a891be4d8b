//! Sessions of this node: their count, their cancel keys and what they run now.
//!
//! Lock order: the table of sessions, then one session's running request. Neither is
//! held across an await point, and neither while a lock of
//! [`crate::shared::Shared`] is held.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use hookpoint_protocol::backend_command::BackendCommand;
use hookpoint_state::SessionId;
use parking_lot::{Mutex, RwLock};
use tokio::sync::{Notify, mpsc, watch};

/// How sessions are to go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopMode {
    /// As usual.
    Running,
    /// Finish what is in flight, then end.
    Graceful,
    /// End at once.
    Abort,
}

/// One session as others see it.
#[derive(Debug)]
pub struct SessionEntry {
    /// Number of the session.
    pub id: SessionId,
    /// Process number told to the caller.
    pub process: u32,
    /// Secret told to the caller.
    pub secret: u32,
    running: Mutex<Running>,
    cancelled: Notify,
}

/// What a session does now, as far as a cancel request is concerned.
#[derive(Debug, Default)]
enum Running {
    /// Nothing that could be cancelled.
    #[default]
    Nothing,
    /// It waits for a connection; nothing was sent.
    Waiting {
        /// Whether a cancel request has come.
        cancelled: bool,
    },
    /// A unit runs on this connection.
    Unit(mpsc::Sender<BackendCommand>),
}

impl SessionEntry {
    /// A unit begins to wait for its connection.
    pub fn waits(&self) {
        *self.running.lock() = Running::Waiting { cancelled: false };
    }

    /// A unit was sent to the connection behind `commands`.
    pub fn runs(&self, commands: mpsc::Sender<BackendCommand>) {
        *self.running.lock() = Running::Unit(commands);
    }

    /// The unit is over. A cancel request that comes later does nothing.
    pub fn rests(&self) {
        *self.running.lock() = Running::Nothing;
    }

    /// Resolves when a cancel request came while the session waited.
    pub async fn cancelled(&self) {
        loop {
            self.cancelled.notified().await;
            if matches!(*self.running.lock(), Running::Waiting { cancelled: true }) {
                return;
            }
        }
    }

    /// Cancels what runs now. The command is put into the connection's own queue
    /// under the lock, ahead of the release that ends this session's use of it, so it
    /// cannot reach another session's request.
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

/// Passes on a request to cancel a session of another node: its process number and
/// secret.
pub type ForwardCancel = Arc<dyn Fn(u32, u32) + Send + Sync>;

/// Bits of a process number that count sessions; those above name the node.
const SESSION_BITS: u32 = 16;
/// Sessions that can be told apart by the rest of a process number.
const MAXIMUM_SESSIONS: usize = u16::MAX as usize;

/// How requests to cancel find their node.
struct CancelRoute {
    /// What the process numbers of this node begin with.
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
    pub fn connect(self: &Arc<Self>) -> ConnectionGuard {
        self.connections.send_modify(|count| *count += 1);
        ConnectionGuard {
            registry: Arc::clone(self),
        }
    }

    /// Enters a session unless there are `limit` already.
    pub fn enter(self: &Arc<Self>, limit: usize) -> Option<SessionGuard> {
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

    /// Lets the process numbers of later sessions begin with `tag`, and requests to
    /// cancel with another one go to `forward`.
    pub fn set_cancel_route(&self, tag: u16, forward: ForwardCancel) {
        *self.cancel_route.write() = Some(CancelRoute { tag, forward });
    }

    /// Takes a cancel request from a caller, for a session of this node or another.
    pub fn cancel_anywhere(&self, process: u32, secret: u32) {
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

    /// Carries out a cancel request. Returns whether the key was right.
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

    /// Sessions that have been authenticated.
    pub fn sessions(&self) -> usize {
        self.sessions.lock().len()
    }

    /// Connections, those still starting up included; wakes when the count changes.
    pub fn connections(&self) -> watch::Receiver<usize> {
        self.connections.subscribe()
    }
}

/// A process number that no session has: the node's tag and then a count.
fn free_process(sessions: &BTreeMap<u32, Arc<SessionEntry>>, tag: u16, id: SessionId) -> u32 {
    let number = |count: u16| u32::from(tag) << SESSION_BITS | u32::from(count);
    let mut count = (id.0 as u16).max(1);
    while sessions.contains_key(&number(count)) {
        count = count.wrapping_add(1).max(1);
    }
    number(count)
}

/// Counts a connection while it lives.
#[derive(Debug)]
pub struct ConnectionGuard {
    registry: Arc<Registry>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.registry.connections.send_modify(|count| *count -= 1);
    }
}

/// A session's place in the table.
#[derive(Debug)]
pub struct SessionGuard {
    registry: Arc<Registry>,
    /// The session's entry.
    pub entry: Arc<SessionEntry>,
}

impl Drop for SessionGuard {
    fn drop(&mut self) {
        self.registry.sessions.lock().remove(&self.entry.process);
    }
}
