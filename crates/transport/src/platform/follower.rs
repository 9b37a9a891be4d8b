//! Watches the platform for one node: the pointer to the bundle in force, the bundles,
//! and the list of machines.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use bytes::Bytes;
use hookpoint_coordination::rollout::Change;
use hookpoint_protocol::platform::records::{
    ACTIVE_KEY, ActivePointer, BundleRecord, MACHINE_PREFIX, MachineRecord, bundle_key,
};
use hookpoint_protocol::platform::{Event, EventType};
use hookpoint_state::BundleVersion;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;

use super::client::{PlatformClient, malformed};
use super::error::PlatformError;
use super::retry::Backoff;

/// Shortest and longest pause after a failed watch.
const WATCH_PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(5));
/// How long a watch may be silent before it is reopened.
const WATCH_SILENCE_LIMIT: Duration = Duration::from_secs(30);
/// Capacity of the command and event channels.
const CHANNEL_CAPACITY: usize = 64;
/// Maximum number of machines read from the list.
const MAXIMUM_MACHINES: usize = 10_000;

/// A command to the follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformCommand {
    /// Starts or stops watching.
    Watch(bool),
    /// Reads the pointer and its bundle once.
    Fetch,
}

/// An event from the follower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformEvent {
    /// The pointer refers to this version.
    Version(BundleVersion),
    /// The requested bundle, as an encoded change.
    Change(Bytes),
    /// The requested bundle could not be read.
    Failed,
    /// The current list of machines.
    Machines {
        /// Revision of the store at which the list was read.
        revision: u64,
        /// Records of all machines.
        machines: Vec<MachineRecord>,
    },
}

/// The running follower. It is bound to the thread that started it, and ends when its
/// channels close.
pub struct PlatformFollower {
    client: Rc<PlatformClient>,
    events: mpsc::Sender<PlatformEvent>,
    watches: Vec<JoinHandle<()>>,
    /// Whether it was already logged that no bundle has been rolled out; logged once
    /// instead of at each attempt.
    logged_empty: bool,
}

impl PlatformFollower {
    /// Starts a follower on this thread. Returns the sender of its commands and the
    /// receiver of its events.
    pub fn start(
        client: PlatformClient,
    ) -> (mpsc::Sender<PlatformCommand>, mpsc::Receiver<PlatformEvent>) {
        let (commands, receiver) = mpsc::channel(CHANNEL_CAPACITY);
        let (events, event_receiver) = mpsc::channel(CHANNEL_CAPACITY);
        let follower = Self {
            client: Rc::new(client),
            events,
            watches: Vec::new(),
            logged_empty: false,
        };
        actix_rt::spawn(follower.run(receiver));
        (commands, event_receiver)
    }

    async fn run(mut self, mut commands: mpsc::Receiver<PlatformCommand>) {
        while let Some(command) = commands.recv().await {
            match command {
                PlatformCommand::Watch(true) => self.open_watches(),
                PlatformCommand::Watch(false) => self.close_watches(),
                PlatformCommand::Fetch => self.fetch().await,
            }
        }
        self.close_watches();
    }

    fn open_watches(&mut self) {
        self.close_watches();
        if !self.client.has_urls() {
            return;
        }
        let pointer = watch_pointer(Rc::clone(&self.client), self.events.clone());
        let machines = watch_machines(Rc::clone(&self.client), self.events.clone());
        self.watches.push(actix_rt::spawn(pointer));
        self.watches.push(actix_rt::spawn(machines));
    }

    fn close_watches(&mut self) {
        for watch in self.watches.drain(..) {
            watch.abort();
        }
    }

    async fn fetch(&mut self) {
        let event = if self.client.has_urls() {
            self.fetch_from_platform().await
        } else {
            PlatformEvent::Failed
        };
        // A closed channel means that the proxy is shutting down.
        let _receiver_gone = self.events.send(event).await;
    }

    async fn fetch_from_platform(&mut self) -> PlatformEvent {
        match fetch_active(&self.client).await {
            Ok(Some(change)) => PlatformEvent::Change(change),
            Ok(None) => {
                if !self.logged_empty {
                    log::info!("platform: no bundle has been rolled out yet.");
                    self.logged_empty = true;
                }
                PlatformEvent::Failed
            }
            Err(error) => {
                log::warn!("platform: the bundle cannot be read: {error}.");
                PlatformEvent::Failed
            }
        }
    }
}

/// Reads the bundle that the pointer refers to, as an encoded change; `None` if there is
/// no pointer yet.
async fn fetch_active(client: &PlatformClient) -> Result<Option<Bytes>, PlatformError> {
    let Some(pointer) = client.get(ACTIVE_KEY).await? else {
        return Ok(None);
    };
    let pointer: ActivePointer = read_json(&pointer.value.0)?;
    let record = client.get(&bundle_key(pointer.version)).await?;
    let record =
        record.ok_or_else(|| malformed("the pointer refers to a bundle that is missing"))?;
    let record: BundleRecord = read_json(&record.value.0)?;
    if record.bundle.version != pointer.version || record.digest != pointer.digest {
        return Err(malformed("the pointer does not match the stored bundle"));
    }
    Ok(Some(Change::Full(record.signed()).encode()))
}

fn read_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(bytes).map_err(|error| malformed(error.to_string()))
}

async fn watch_pointer(client: Rc<PlatformClient>, events: mpsc::Sender<PlatformEvent>) {
    let (shortest, longest) = WATCH_PAUSE;
    let mut backoff = Backoff::new(shortest, longest);
    loop {
        let result = watch_pointer_once(&client, &events, &mut backoff).await;
        let Err(error) = result else { return };
        log::info!("platform: the watch of the pointer was interrupted: {error}.");
        tokio::time::sleep(backoff.after(&error)).await;
    }
}

/// Watches the pointer until the watch breaks; returns `Ok` when the event receiver is
/// gone.
async fn watch_pointer_once(
    client: &PlatformClient,
    events: &mpsc::Sender<PlatformEvent>,
    backoff: &mut Backoff,
) -> Result<(), PlatformError> {
    let range = client.list(ACTIVE_KEY).await?;
    for entry in &range.kvs {
        if send_version(&entry.value.0, events).await.is_err() {
            return Ok(());
        }
    }
    let mut watch = client.watch(ACTIVE_KEY, range.header.revision + 1).await?;
    backoff.reset();
    loop {
        let Some(event) = watch.next(WATCH_SILENCE_LIMIT).await? else {
            // A long silence may also mean a half-open connection.
            return Err(PlatformError::AnswerLost {
                reason: "the watch was silent for too long".to_owned(),
            });
        };
        let puts = event.changes.iter().filter(|change| is_put(change));
        for change in puts {
            if send_version(&change.kv.value.0, events).await.is_err() {
                return Ok(());
            }
        }
    }
}

fn is_put(change: &Event) -> bool {
    change.kind == EventType::Put
}

struct ReceiverGone;

async fn send_version(
    value: &[u8],
    events: &mpsc::Sender<PlatformEvent>,
) -> Result<(), ReceiverGone> {
    match read_json::<ActivePointer>(value) {
        Ok(pointer) => events
            .send(PlatformEvent::Version(pointer.version))
            .await
            .map_err(|_| ReceiverGone),
        Err(error) => {
            log::warn!("platform: the pointer cannot be read: {error}.");
            Ok(())
        }
    }
}

async fn watch_machines(client: Rc<PlatformClient>, events: mpsc::Sender<PlatformEvent>) {
    let (shortest, longest) = WATCH_PAUSE;
    let mut backoff = Backoff::new(shortest, longest);
    loop {
        let result = watch_machines_once(&client, &events, &mut backoff).await;
        let Err(error) = result else { return };
        log::info!("platform: the watch of the machines was interrupted: {error}.");
        tokio::time::sleep(backoff.after(&error)).await;
    }
}

/// Watches the list of machines until the watch breaks; returns `Ok` when the event
/// receiver is gone.
async fn watch_machines_once(
    client: &PlatformClient,
    events: &mpsc::Sender<PlatformEvent>,
    backoff: &mut Backoff,
) -> Result<(), PlatformError> {
    let range = client.list(MACHINE_PREFIX).await?;
    let mut machines: BTreeMap<Vec<u8>, MachineRecord> = BTreeMap::new();
    for entry in range.kvs {
        set_machine(&mut machines, entry.key.0, &entry.value.0);
    }
    let mut revision = range.header.revision;
    let mut watch = client.watch(MACHINE_PREFIX, revision + 1).await?;
    backoff.reset();
    loop {
        let list = PlatformEvent::Machines {
            revision: u64::try_from(revision).unwrap_or(0),
            machines: machines.values().cloned().collect(),
        };
        if events.send(list).await.is_err() {
            return Ok(());
        }
        let changes = loop {
            let Some(event) = watch.next(WATCH_SILENCE_LIMIT).await? else {
                return Err(PlatformError::AnswerLost {
                    reason: "the watch was silent for too long".to_owned(),
                });
            };
            revision = event.revision;
            if !event.changes.is_empty() {
                break event.changes;
            }
        };
        for change in changes {
            match change.kind {
                EventType::Put => set_machine(&mut machines, change.kv.key.0, &change.kv.value.0),
                EventType::Delete => {
                    machines.remove(&change.kv.key.0);
                }
            }
        }
    }
}

fn set_machine(machines: &mut BTreeMap<Vec<u8>, MachineRecord>, key: Vec<u8>, value: &[u8]) {
    if machines.len() >= MAXIMUM_MACHINES && !machines.contains_key(&key) {
        return;
    }
    match read_json(value) {
        Ok(machine) => {
            machines.insert(key, machine);
        }
        Err(error) => log::warn!("platform: an entry of the machine list is malformed: {error}."),
    }
}
