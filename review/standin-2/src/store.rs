//! The platform's store, as "The platform's metadata store" of the protocol page describes it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{self, Reply, Request};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

/// A copy of the store.
pub struct Copy(State);

/// The store. Its history is kept whole.
#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// Whether calls are refused, and nothing is done.
    pub is_down: AtomicBool,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history
            .push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let bound = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn expire(&mut self) {
        let over = |(lease, (since, ttl)): (&u64, &(Instant, Duration))| {
            (since.elapsed() > *ttl).then_some(*lease)
        };
        let expired: Vec<u64> = self.leases.iter().filter_map(over).collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }
}

fn item_json(key: &str, item: &Item) -> Value {
    json!({"private_key": key, "value": item.value, "revision": item.revision,
        "created_revision": item.created, "lease": item.lease})
}

impl Store {
    /// Starts the store on `address`.
    pub fn start(address: SocketAddr) -> Arc<Self> {
        let store = Arc::new(Self::default());
        let served = Arc::clone(&store);
        http::serve(address, Arc::new(move |request| served.answer(&request)));
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.state.lock().unwrap().expire();
                expiring.changed.notify_all();
            }
        });
        store
    }

    /// Writes an item of the operator or of a database.
    pub fn put(&self, key: &str, value: &Value) {
        let encoded = base64(value.to_string().as_bytes());
        self.state.lock().unwrap().put(key, encoded, 0);
        self.changed.notify_all();
    }

    /// Removes an item of the operator or of a database.
    pub fn remove(&self, key: &str) {
        self.state.lock().unwrap().remove(key);
        self.changed.notify_all();
    }

    /// Returns a copy of the store.
    pub fn copy(&self) -> Copy {
        Copy(self.state.lock().unwrap().clone())
    }

    /// Lets the store come back from a copy, in the next era. What the operator and the databases
    /// wrote is written again by the caller.
    pub fn restore(&self, copy: &Copy) {
        let mut state = self.state.lock().unwrap();
        *state = copy.0.clone();
        for (since, _) in state.leases.values_mut() {
            *since = Instant::now();
        }
        http::ERA.fetch_add(1, Ordering::Relaxed);
        drop(state);
        self.changed.notify_all();
    }

    /// Returns the number of keys that begin with `prefix`.
    pub fn count(&self, prefix: &str) -> usize {
        let state = self.state.lock().unwrap();
        state
            .items
            .keys()
            .filter(|key| key.starts_with(prefix))
            .count()
    }

    fn answer(&self, request: &Request) -> Reply {
        thread::sleep(Duration::from_millis(2));
        if self.is_down.load(Ordering::Relaxed) {
            return Some((503, "{}".to_owned()));
        }
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        let (status, answer) = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/-/kv-key") => self.read(request.parameter("private_key")?),
            ("GET", "/-/kv-range") => self.range(request),
            ("GET", "/-/kv-watch") => self.watch(request),
            ("POST", "/-/kv-txn") => self.transact(&body),
            ("POST", "/-/kv-lease") => self.grant(&body),
            (_, path) => self.lease_call(&request.method, path),
        };
        Some((status, answer.to_string()))
    }

    fn read(&self, key: &str) -> (u16, Value) {
        let state = self.state.lock().unwrap();
        match state.items.get(key) {
            Some(item) => {
                let mut answer = item_json(key, item);
                answer["at_revision"] = state.revision.into();
                (200, answer)
            }
            None => (404, json!({"at_revision": state.revision})),
        }
    }

    fn range(&self, request: &Request) -> (u16, Value) {
        let prefix = request.parameter("path_prefix").unwrap_or_default();
        let after = request.parameter("after").unwrap_or_default();
        let state = self.state.lock().unwrap();
        let items: Vec<Value> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .map(|(key, item)| item_json(key, item))
            .collect();
        (
            200,
            json!({"items": items, "has_more": false, "at_revision": state.revision}),
        )
    }

    fn watch(&self, request: &Request) -> (u16, Value) {
        let prefix = request.parameter("path_prefix").unwrap_or_default();
        let number = |name| -> u64 {
            let text = request.parameter(name).unwrap_or_default();
            text.parse().unwrap_or(0)
        };
        let after = number("after");
        let until = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
        let mut state = self.state.lock().unwrap();
        let era = http::ERA.load(Ordering::Relaxed);
        loop {
            if after > state.revision || era != http::ERA.load(Ordering::Relaxed) {
                return (410, json!({}));
            }
            let events: Vec<Value> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => json!({"private_key": key, "revision": revision, "gone": true}),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if self.is_down.load(Ordering::Relaxed) {
                return (503, json!({}));
            }
            if !events.is_empty() || left.is_zero() {
                return (
                    200,
                    json!({"events": events, "at_revision": state.revision}),
                );
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &Value) -> (u16, Value) {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let key = |row: &Value| row["private_key"].as_str().unwrap_or_default().to_owned();
        let mut state = self.state.lock().unwrap();
        state.expire();
        let expected = rows("expected_revision");
        let holds = |row: &Value| {
            let present = state.items.get(&key(row)).map_or(0, |item| item.revision);
            row["revision"].as_u64() == Some(present)
        };
        if !expected.iter().all(holds) {
            let items: Vec<Value> = expected
                .iter()
                .filter_map(|row| Some(item_json(&key(row), state.items.get(&key(row))?)))
                .collect();
            return (412, json!({"items": items, "at_revision": state.revision}));
        }
        let puts = rows("put");
        let names_no_lease = |row: &Value| {
            let lease = row["lease"].as_u64().unwrap_or(0);
            lease != 0 && !state.leases.contains_key(&lease)
        };
        if puts.iter().any(names_no_lease) {
            return (404, json!({"error": "no such lease"}));
        }
        let foreign = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        if puts.iter().any(|row| foreign(&key(row))) {
            return (403, json!({"error": "not yours"}));
        }
        for row in &puts {
            let value = row["value"].as_str().unwrap_or_default().to_owned();
            state.put(&key(row), value, row["lease"].as_u64().unwrap_or(0));
        }
        for removed in rows("remove") {
            state.remove(removed.as_str().unwrap_or_default());
        }
        let revision = state.revision;
        drop(state);
        self.changed.notify_all();
        (200, json!({"revision": revision}))
    }

    fn grant(&self, body: &Value) -> (u16, Value) {
        let ttl = body["ttl_ms"].as_u64().unwrap_or(0).clamp(1_000, 600_000);
        let mut state = self.state.lock().unwrap();
        state.next_lease += 1;
        let lease = state.next_lease;
        let held = (Instant::now(), Duration::from_millis(ttl));
        state.leases.insert(lease, held);
        (200, json!({"lease": lease, "ttl_ms": ttl}))
    }

    fn lease_call(&self, method: &str, path: &str) -> (u16, Value) {
        let mut state = self.state.lock().unwrap();
        state.expire();
        let id = path.rsplit('/').next().and_then(|id| id.parse().ok());
        let Some(lease) = id.filter(|id| state.leases.contains_key(id)) else {
            return (404, json!({"error": "no such lease"}));
        };
        if method == "DELETE" {
            state.end_lease(lease);
        } else if let Some((since, _)) = state.leases.get_mut(&lease) {
            *since = Instant::now();
        }
        drop(state);
        self.changed.notify_all();
        (200, json!({"lease": lease}))
    }
}

/// Encodes in standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0_u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for place in 0..4 {
            if place <= chunk.len() {
                let index = (number >> (18 - 6 * place)) & 63;
                text.push(char::from(SIGNS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
