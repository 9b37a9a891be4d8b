//! The client connections of one database and its slots.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use parking_lot::Mutex;
use rand::Rng;
use tokio::sync::Notify;

/// Delivers cancel requests to the statement that runs on a connection.
#[derive(Debug, Default)]
pub struct Cancellation {
    running: AtomicBool,
    requested: AtomicBool,
    notify: Notify,
}

impl Cancellation {
    /// Records the start of a message; earlier cancel requests are discarded.
    pub fn begin(&self) {
        self.requested.store(false, Ordering::SeqCst);
        self.running.store(true, Ordering::SeqCst);
    }

    /// Records that the message has been handled.
    pub fn end(&self) {
        self.running.store(false, Ordering::SeqCst);
        self.requested.store(false, Ordering::SeqCst);
    }

    /// Cancels the running work; has no effect when nothing is running.
    fn request(&self) {
        if self.running.load(Ordering::SeqCst) {
            self.requested.store(true, Ordering::SeqCst);
            self.notify.notify_waiters();
        }
    }

    /// Returns whether the running work was canceled, and clears the request.
    pub fn take(&self) -> bool {
        self.requested.swap(false, Ordering::SeqCst)
    }

    /// Returns whether the running work was canceled.
    pub fn is_requested(&self) -> bool {
        self.requested.load(Ordering::SeqCst)
    }

    /// Waits until the running work is canceled, and clears the request.
    pub async fn cancelled(&self) {
        loop {
            let notified = self.notify.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            if self.take() {
                return;
            }
            notified.await;
        }
    }
}

struct Connection {
    secret: i32,
    cancellation: Arc<Cancellation>,
}

#[derive(Default)]
struct Table {
    open: HashMap<i32, Connection>,
    next_process: i32,
    peak: usize,
    refused: u64,
}

/// All client connections of a database.
pub struct Connections {
    slots: usize,
    table: Mutex<Table>,
}

/// Connection counters of a database.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Connections currently open.
    pub open: usize,
    /// Maximum number of connections open at the same time so far.
    pub peak: usize,
    /// Connections refused so far because no slot was free.
    pub refused: u64,
}

impl Connections {
    /// Creates a table with `slots` connection slots.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots as usize,
            table: Mutex::new(Table::default()),
        }
    }

    /// Takes a slot, or counts a refused connection and returns `None`.
    pub fn open(&self) -> Option<Slot> {
        let mut table = self.table.lock();
        if table.open.len() >= self.slots {
            table.refused += 1;
            return None;
        }
        table.next_process += 1;
        let slot = Slot {
            process: table.next_process,
            secret: rand::rng().random(),
            cancellation: Arc::new(Cancellation::default()),
        };
        let connection = Connection {
            secret: slot.secret,
            cancellation: slot.cancellation.clone(),
        };
        table.open.insert(slot.process, connection);
        table.peak = table.peak.max(table.open.len());
        Some(slot)
    }

    /// Releases the slot of a connection.
    pub fn close(&self, process: i32) {
        self.table.lock().open.remove(&process);
    }

    /// Cancels the running work of a connection if the secret matches.
    pub fn cancel(&self, process: i32, secret: i32) {
        let table = self.table.lock();
        if let Some(connection) = table.open.get(&process)
            && connection.secret == secret
        {
            connection.cancellation.request();
        }
    }

    /// Returns the connection counters.
    pub fn counts(&self) -> ConnectionCounts {
        let table = self.table.lock();
        ConnectionCounts {
            open: table.open.len(),
            peak: table.peak,
            refused: table.refused,
        }
    }
}

/// A connection slot.
#[derive(Clone, Debug)]
pub struct Slot {
    /// Identifier of the connection, reported as its process identifier.
    pub process: i32,
    /// Secret that a cancel request must contain.
    pub secret: i32,
    /// Cancellation state of the connection.
    pub cancellation: Arc<Cancellation>,
}
