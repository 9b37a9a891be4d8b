//! Stand-in of the platform's metadata store, by PROTOCOL.md.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tokio::io::BufReader;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use crate::http;

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key, and the value unless the key was removed.
    history: Vec<(u64, String, Option<Vec<u8>>)>,
    /// When each lease ends, and its time to live.
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        self.history
            .push((revision, key.to_owned(), Some(value.clone())));
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

/// The store.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
}

impl Store {
    /// Starts the store. Returns it after its leases are watched over.
    pub fn start() -> Self {
        let store = Self::default();
        store.state.lock().unwrap().revision = 1;
        let leases = store.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(20)).await;
                leases.end_lapsed();
            }
        });
        store
    }

    fn end_lapsed(&self) {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        let lapsed: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in &lapsed {
            state.end_lease(*lease);
        }
        drop(state);
        if !lapsed.is_empty() {
            self.changed.notify_waiters();
        }
    }

    /// Writes a key as the operator or a database does.
    pub fn put(&self, key: &str, value: &Value) {
        let bytes = value.to_string().into_bytes();
        self.state.lock().unwrap().put(key, bytes, 0);
        self.changed.notify_waiters();
    }

    /// Removes a key as the platform does when a database is silent.
    pub fn remove(&self, key: &str) {
        self.state.lock().unwrap().remove(key);
        self.changed.notify_waiters();
    }

    /// Serves the nodes on `listener`.
    pub fn serve(&self, listener: TcpListener) {
        let store = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = store.clone();
                tokio::spawn(async move { store.serve_connection(stream).await });
            }
        });
    }

    async fn serve_connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (reader, mut writer) = stream.into_split();
        let mut reader = BufReader::new(reader);
        while let Ok(Some(request)) = http::read(&mut reader).await {
            tokio::time::sleep(ANSWER_TIME).await;
            let (status, body) = match (request.method.as_str(), request.path.as_str()) {
                ("GET", "/-/kv-range") => self.range(&request.query),
                ("GET", "/-/kv-key") => self.key(&request.query),
                ("GET", "/-/kv-watch") => self.watch(&request.query).await,
                ("POST", "/-/kv-txn") => self.transaction(&request.body),
                ("POST", "/-/kv-lease") => self.grant(&request.body),
                (method, path) => self.change_lease(method, path),
            };
            if http::write(&mut writer, status, &body).await.is_err() {
                return;
            }
        }
    }

    fn item_json(key: &str, item: &Item) -> Value {
        json!({"private_key": key, "value": STANDARD.encode(&item.value),
            "revision": item.revision, "created_revision": item.created, "lease": item.lease})
    }

    fn range(&self, query: &BTreeMap<String, String>) -> (u16, Value) {
        let state = self.state.lock().unwrap();
        let prefix = query.get("path_prefix").cloned().unwrap_or_default();
        let after = query.get("after").cloned().unwrap_or_default();
        let items: Vec<Value> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
            .map(|(key, item)| Self::item_json(key, item))
            .collect();
        (
            200,
            json!({"items": items, "has_more": false, "at_revision": state.revision}),
        )
    }

    fn key(&self, query: &BTreeMap<String, String>) -> (u16, Value) {
        let state = self.state.lock().unwrap();
        let key = query.get("private_key").cloned().unwrap_or_default();
        let Some(item) = state.items.get(&key) else {
            return (404, json!({}));
        };
        let mut answer = Self::item_json(&key, item);
        answer["at_revision"] = state.revision.into();
        (200, answer)
    }

    async fn watch(&self, query: &BTreeMap<String, String>) -> (u16, Value) {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let prefix = query.get("path_prefix").cloned().unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        loop {
            let changed = self.changed.notified();
            {
                let state = self.state.lock().unwrap();
                let events: Vec<Value> = state
                    .history
                    .iter()
                    .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                    .map(|(revision, key, value)| match value {
                        Some(value) => json!({"private_key": key,
                            "value": STANDARD.encode(value), "revision": revision,
                            "created_revision": revision,
                            "lease": state.items.get(key).map_or(0, |item| item.lease)}),
                        None => json!({"private_key": key, "revision": revision, "gone": true}),
                    })
                    .collect();
                if !events.is_empty() || Instant::now() >= until {
                    return (
                        200,
                        json!({"events": events, "at_revision": state.revision}),
                    );
                }
            }
            let _ = tokio::time::timeout(Duration::from_millis(20), changed).await;
        }
    }

    fn transaction(&self, body: &Value) -> (u16, Value) {
        let none = Vec::new();
        let list = |name: &str| body[name].as_array().unwrap_or(&none);
        let text = |value: &Value| value.as_str().unwrap_or("").to_owned();
        let mut state = self.state.lock().unwrap();
        for row in list("expected_revision") {
            let key = text(&row["private_key"]);
            let present = state.items.get(&key).map_or(0, |item| item.revision);
            if row["revision"].as_u64() != Some(present) {
                return (412, json!({"items": []}));
            }
        }
        let puts = list("put");
        let lease_of = |row: &Value| row["lease"].as_u64().unwrap_or(0);
        let unknown = |row: &&Value| {
            let lease = lease_of(row);
            lease != 0 && !state.leases.contains_key(&lease)
        };
        if puts.iter().any(|row| unknown(&row)) {
            return (404, json!({}));
        }
        for row in puts {
            let value = STANDARD.decode(text(&row["value"])).unwrap_or_default();
            state.put(&text(&row["private_key"]), value, lease_of(row));
        }
        for key in list("remove") {
            state.remove(&text(key));
        }
        let revision = state.revision;
        drop(state);
        self.changed.notify_waiters();
        (200, json!({"revision": revision}))
    }

    fn grant(&self, body: &Value) -> (u16, Value) {
        let ttl = body["ttl_ms"]
            .as_u64()
            .unwrap_or(1_000)
            .clamp(1_000, 600_000);
        let mut state = self.state.lock().unwrap();
        state.next_lease += 1;
        let lease = state.next_lease;
        let time = Duration::from_millis(ttl);
        state.leases.insert(lease, (Instant::now() + time, time));
        (200, json!({"lease": lease, "ttl_ms": ttl}))
    }

    fn change_lease(&self, method: &str, path: &str) -> (u16, Value) {
        let lease = path.rsplit('/').next().and_then(|text| text.parse().ok());
        let lease: u64 = lease.unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        let Some((until, time)) = state.leases.get_mut(&lease) else {
            return (404, json!({}));
        };
        *until = Instant::now() + *time;
        let ttl = time.as_millis() as u64;
        if method == "DELETE" {
            state.end_lease(lease);
            drop(state);
            self.changed.notify_waiters();
        }
        (200, json!({"ttl_ms": ttl}))
    }
}
