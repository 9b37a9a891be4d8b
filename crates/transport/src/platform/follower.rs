//! Follows the platform for one node: the pointer to the bundle in force, the bundles,
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
/// How long a silent watch is trusted before it is opened anew.
const WATCH_PATIENCE: Duration = Duration::from_secs(30);
/// Commands and events that may wait.
const CHANNEL_CAPACITY: usize = 64;
/// Most machines read from the list.
const MAXIMUM_MACHINES: usize = 10_000;

/// What the follower is asked to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformCommand {
    /// Begin or end to watch.
    Watch(bool),
    /// Read the pointer and its bundle once.
    Fetch,
}

/// What the follower brings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformEvent {
    /// The pointer names this version.
    Version(BundleVersion),
    /// The bundle that was asked for, as an encoded change.
    Change(Bytes),
    /// The bundle that was asked for could not be had.
    Failed,
    /// The list of machines.
    Machines {
        /// Revision of the store that the list was read at.
        revision: u64,
        /// The machines.
        machines: Vec<MachineRecord>,
    },
}

/// The running follower. It belongs to the thread that started it, and ends when its
/// channels close.
pub struct PlatformFollower {
    client: Rc<PlatformClient>,
    events: mpsc::Sender<PlatformEvent>,
    watches: Vec<JoinHandle<()>>,
    /// Whether it was told that nothing has been rolled yet; said once, not at each try.
    told_empty: bool,
}

impl PlatformFollower {
    /// Starts a follower on this thread. Returns where to send commands and where its
    /// events arrive.
    pub fn start(
        client: PlatformClient,
    ) -> (mpsc::Sender<PlatformCommand>, mpsc::Receiver<PlatformEvent>) {
        let (commands, receiver) = mpsc::channel(CHANNEL_CAPACITY);
        let (events, event_receiver) = mpsc::channel(CHANNEL_CAPACITY);
        let follower = Self {
            client: Rc::new(client),
            events,
            watches: Vec::new(),
            told_empty: false,
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
        // A closed channel means that the proxy is ending.
        let _receiver_gone = self.events.send(event).await;
    }

    async fn fetch_from_platform(&mut self) -> PlatformEvent {
        match fetch_active(&self.client).await {
            Ok(Some(change)) => PlatformEvent::Change(change),
            Ok(None) => {
                if !self.told_empty {
                    log::info!("platform: no bundle has been rolled yet.");
                    self.told_empty = true;
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

/// Reads the bundle that the pointer names, as an encoded change; `None` while there is
/// no pointer.
async fn fetch_active(client: &PlatformClient) -> Result<Option<Bytes>, PlatformError> {
    let Some(pointer) = client.get(ACTIVE_KEY).await? else {
        return Ok(None);
    };
    let pointer: ActivePointer = read_json(&pointer.value.0)?;
    let record = client.get(&bundle_key(pointer.version)).await?;
    let record = record.ok_or_else(|| malformed("the pointer names a bundle that is missing"))?;
    let record: BundleRecord = read_json(&record.value.0)?;
    if record.bundle.version != pointer.version || record.digest != pointer.digest {
        return Err(malformed("the pointer names another bundle than is stored"));
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
        let result = follow_pointer(&client, &events, &mut backoff).await;
        let Err(error) = result else { return };
        log::info!("platform: the watch of the pointer was interrupted: {error}.");
        tokio::time::sleep(backoff.after(&error)).await;
    }
}

/// Follows the pointer until the watch breaks; `Ok` when nobody listens any more.
async fn follow_pointer(
    client: &PlatformClient,
    events: &mpsc::Sender<PlatformEvent>,
    backoff: &mut Backoff,
) -> Result<(), PlatformError> {
    let range = client.list(ACTIVE_KEY).await?;
    for entry in &range.kvs {
        if tell_version(&entry.value.0, events).await.is_err() {
            return Ok(());
        }
    }
    let mut watch = client.watch(ACTIVE_KEY, range.header.revision + 1).await?;
    backoff.reset();
    loop {
        let Some(event) = watch.next(WATCH_PATIENCE).await? else {
            // Nothing heard for long: a half-open connection looks the same.
            return Err(PlatformError::AnswerLost {
                reason: "the watch was silent for long".to_owned(),
            });
        };
        let puts = event.changes.iter().filter(|change| is_put(change));
        for change in puts {
            if tell_version(&change.kv.value.0, events).await.is_err() {
                return Ok(());
            }
        }
    }
}

fn is_put(change: &Event) -> bool {
    change.kind == EventType::Put
}

struct ReceiverGone;

async fn tell_version(
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
        let result = follow_machines(&client, &events, &mut backoff).await;
        let Err(error) = result else { return };
        log::info!("platform: the watch of the machines was interrupted: {error}.");
        tokio::time::sleep(backoff.after(&error)).await;
    }
}

/// Follows the list of machines until the watch breaks; `Ok` when nobody listens.
async fn follow_machines(
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
            let Some(event) = watch.next(WATCH_PATIENCE).await? else {
                return Err(PlatformError::AnswerLost {
                    reason: "the watch was silent for long".to_owned(),
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
