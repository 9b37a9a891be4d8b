//! Sessions of this node: their count, their cancel keys and what they run now.
//!
//! Lock order: the table of sessions, then one session's running request. Neither is
//! held across an await point, and neither while a lock of
//! [`crate::shared::Shared`] is held.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use hookpoint_protocol::backend_command::BackendCommand;
use hookpoint_state::SessionId;
use parking_lot::Mutex;
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

/// The table of sessions.
#[derive(Debug)]
pub struct Registry {
    sessions: Mutex<BTreeMap<u32, Arc<SessionEntry>>>,
    last_session: AtomicU64,
    connections: watch::Sender<usize>,
}

impl Default for Registry {
    fn default() -> Self {
        Self {
            sessions: Mutex::default(),
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
        if sessions.len() >= limit {
            return None;
        }
        let id = SessionId(self.last_session.fetch_add(1, Ordering::Relaxed) + 1);
        let process = free_process(&sessions, id);
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

fn free_process(sessions: &BTreeMap<u32, Arc<SessionEntry>>, id: SessionId) -> u32 {
    let mut process = (id.0 as u32).max(1);
    while sessions.contains_key(&process) {
        process = process.wrapping_add(1).max(1);
    }
    process
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
