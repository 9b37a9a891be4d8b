//! A small scripted PostgreSQL server: enough of the protocol for the pools, with a log
//! of the messages received on each connection.
#![allow(dead_code)]

mod connection;
mod reply;
pub mod session;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::time::Duration;

use hookpoint_protocol::scram::Verifier;
use hookpoint_state::{
    Bundle, BundleVersion, GroupName, SessionId, TenantName, ZoneName,
    bundle::{Database, Group, Limits, ReadPreference},
};
use hookpoint_transport::backend::{BackendSettings, LocalPools};
use hookpoint_transport::lease::AcquireRequest;
use hookpoint_transport::shared::Shared;
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// How a caller has to authenticate.
#[derive(Clone)]
pub enum Authentication {
    Trust,
    Cleartext(String),
    Scram(Verifier),
    Method(u32),
}

/// Behaviour of the server; can be changed at any time through [`FakeDatabase::script`].
#[derive(Clone)]
pub struct Script {
    pub authentication: Authentication,
    pub slots: usize,
    /// SQLSTATE with which start-up is refused.
    pub refusal: Option<&'static str>,
    pub recovery: bool,
    pub term: u32,
    pub position: &'static str,
    /// Whether status queries stay unanswered.
    pub silent: bool,
}

impl Default for Script {
    fn default() -> Self {
        Self {
            authentication: Authentication::Trust,
            slots: 100,
            refusal: None,
            recovery: false,
            term: 1,
            position: "0/10",
            silent: false,
        }
    }
}

/// One entry of the server's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEntry {
    /// A connection started with these start-up parameters.
    Started(u32, BTreeMap<String, String>),
    /// A message and its text: the query, the statement name or nothing.
    Message(u32, u8, String),
    /// A cancel request for a connection.
    Cancelled(u32),
    /// A connection ended.
    Ended(u32),
}

/// State shared by the listener and the connections of a server.
pub struct Core {
    pub script: Mutex<Script>,
    pub log: Mutex<Vec<LogEntry>>,
    pub open: AtomicUsize,
    pub most_open: AtomicUsize,
    pub next: AtomicU32,
    pub cancels: Mutex<BTreeMap<u32, watch::Sender<u32>>>,
}

/// A running server.
pub struct FakeDatabase {
    pub address: SocketAddr,
    pub core: Arc<Core>,
}

impl FakeDatabase {
    pub async fn start(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let core = Arc::new(Core {
            script: Mutex::new(script),
            log: Mutex::new(Vec::new()),
            open: AtomicUsize::new(0),
            most_open: AtomicUsize::new(0),
            next: AtomicU32::new(1),
            cancels: Mutex::new(BTreeMap::new()),
        });
        let shared = core.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(connection::run(shared.clone(), stream));
            }
        });
        Self { address, core }
    }

    pub fn script(&self, change: impl FnOnce(&mut Script)) {
        change(&mut self.core.script.lock());
    }

    pub fn log(&self) -> Vec<LogEntry> {
        self.core.log.lock().clone()
    }

    /// Returns the texts of all simple queries except the status query, in order.
    pub fn queries(&self) -> Vec<String> {
        let log = self.log();
        let texts = log.into_iter().filter_map(|seen| match seen {
            LogEntry::Message(_, b'Q', text) if !text.contains("pg_is_in_recovery") => Some(text),
            _ => None,
        });
        texts.collect()
    }

    pub fn count(&self, wanted: impl Fn(&LogEntry) -> bool) -> usize {
        self.log().iter().filter(|seen| wanted(seen)).count()
    }

    pub fn started(&self) -> usize {
        self.count(|seen| matches!(seen, LogEntry::Started(..)))
    }

    pub fn most_open(&self) -> usize {
        self.core.most_open.load(Ordering::SeqCst)
    }
}

/// Returns a bundle of one group `books` with databases `books-0`, `books-1`, ...
pub fn bundle(version: u64, slots: u32, addresses: &[SocketAddr]) -> Bundle {
    let group = GroupName::from("books");
    let zone = ZoneName::from("here");
    let databases = addresses.iter().enumerate().map(|(index, address)| {
        let database = Database {
            group: group.clone(),
            zone: zone.clone(),
            address: address.to_string(),
            slots,
        };
        (format!("books-{index}").into(), database)
    });
    Bundle {
        version: BundleVersion(version),
        zones: [(zone.clone(), "region".into())].into(),
        databases: databases.collect(),
        groups: [(
            group.clone(),
            Group {
                database: "library".to_owned(),
                user: "proxy".to_owned(),
                reads: ReadPreference::Replica,
                election_timeout_ms: 300,
            },
        )]
        .into(),
        limits: Limits::default(),
        ..Bundle::default()
    }
}

pub fn request(database: &str, session: u64, wait: Duration) -> AcquireRequest {
    AcquireRequest {
        group: "books".into(),
        database: database.into(),
        session: SessionId(session),
        tenant: TenantName::from("clinic"),
        zone: "here".into(),
        wait,
    }
}

/// Creates pools that use `bundle`, with settings modified by `change`.
pub fn pools(
    bundle: Bundle,
    change: impl FnOnce(&mut BackendSettings),
) -> (Arc<Shared>, Arc<LocalPools>) {
    let shared = Arc::new(Shared::new("here".into()));
    shared.install_bundle(bundle);
    let mut settings = BackendSettings::new(vec![actix::Arbiter::current()]);
    change(&mut settings);
    let pools = LocalPools::new(shared.clone(), settings);
    (shared, pools)
}

/// Longest time that a test waits for an expected event.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until `condition` holds; fails after [`TIMEOUT`].
pub async fn eventually(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, wait)
        .await
        .expect("the condition did not hold within the timeout");
}
