//! The client connections of one database and its slots.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use parking_lot::Mutex;
use rand::Rng;
use tokio::sync::Notify;

/// Lets a cancel request reach the statement that runs on a connection.
#[derive(Debug, Default)]
pub struct Cancellation {
    running: AtomicBool,
    requested: AtomicBool,
    notify: Notify,
}

impl Cancellation {
    /// Notes that work begins; earlier requests are forgotten.
    pub fn begin(&self) {
        self.requested.store(false, Ordering::SeqCst);
        self.running.store(true, Ordering::SeqCst);
    }

    /// Notes that work has ended.
    pub fn end(&self) {
        self.running.store(false, Ordering::SeqCst);
        self.requested.store(false, Ordering::SeqCst);
    }

    /// Cancels the running work; without any, nothing happens.
    fn request(&self) {
        if self.running.load(Ordering::SeqCst) {
            self.requested.store(true, Ordering::SeqCst);
            self.notify.notify_waiters();
        }
    }

    /// Whether the running work was cancelled; asked once.
    pub fn take(&self) -> bool {
        self.requested.swap(false, Ordering::SeqCst)
    }

    /// Whether the running work was cancelled.
    pub fn is_requested(&self) -> bool {
        self.requested.load(Ordering::SeqCst)
    }

    /// Waits for the running work to be cancelled.
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

/// All connections of a database.
pub struct Connections {
    slots: usize,
    table: Mutex<Table>,
}

/// Counts of a database's connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Open now.
    pub open: usize,
    /// Most open at once so far.
    pub peak: usize,
    /// Refused for want of a slot so far.
    pub refused: u64,
}

impl Connections {
    /// A table of `slots` slots.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots as usize,
            table: Mutex::new(Table::default()),
        }
    }

    /// Takes a slot, or counts a refusal.
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

    /// Gives a slot back.
    pub fn close(&self, process: i32) {
        self.table.lock().open.remove(&process);
    }

    /// Cancels what runs on a connection if the secret is right.
    pub fn cancel(&self, process: i32, secret: i32) {
        let table = self.table.lock();
        if let Some(connection) = table.open.get(&process)
            && connection.secret == secret
        {
            connection.cancellation.request();
        }
    }

    /// Counts for the status.
    pub fn counts(&self) -> ConnectionCounts {
        let table = self.table.lock();
        ConnectionCounts {
            open: table.open.len(),
            peak: table.peak,
            refused: table.refused,
        }
    }
}

/// A slot that a connection holds.
#[derive(Clone, Debug)]
pub struct Slot {
    /// Identifier of the connection.
    pub process: i32,
    /// Secret that a cancel request must name.
    pub secret: i32,
    /// Reaches the running statement.
    pub cancellation: Arc<Cancellation>,
}
