//! Support for the tests of the caller side: a group of fake databases behind a fake
//! lease source, and callers.
#![allow(dead_code, reason = "each test file uses another part")]

pub mod database;
pub mod raw;
pub mod server;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use hookpoint_coordination::status::{BackendStatus, Role};
use hookpoint_protocol::backend_command::{BackendCommand, BackendReply};
use hookpoint_state::bundle::{Database, Group, ReadPreference};
use hookpoint_state::{
    Bundle, BundleVersion, DatabaseName, GroupName, Position, Refusal, ZoneName,
};
use hookpoint_transport::caller::{CallerHandle, CallerListener, CallerSettings};
use hookpoint_transport::lease::{
    AcquireRequest, BackendLease, LEASE_COMMAND_BUFFER, LEASE_REPLY_BUFFER, LeaseSource,
    TermVerifier,
};
use hookpoint_transport::shared::Shared;
use parking_lot::Mutex;
use tokio::sync::mpsc;
use tokio_postgres::{Client, Config, NoTls};

use self::database::Connection;
use self::server::Server;

/// Name of the database group in every test.
pub const GROUP: &str = "orders";
/// Key that seals session tokens in every test.
pub const TOKEN_KEY: &[u8] = b"key of the tests";
/// Longest time that any wait of a test may take.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Names of the databases; the first one is the primary at the start.
pub const DATABASES: [&str; 3] = ["db-a", "db-b", "db-c"];

/// A group of fake databases that is also the lease source and term verifier.
pub struct FakeGroup {
    pub server: Arc<Mutex<Server>>,
    pub shared: Arc<Shared>,
    pub refusals: Mutex<BTreeMap<String, Vec<Refusal>>>,
    pub releases: Mutex<Vec<(String, bool, bool)>>,
    pub acquired: Mutex<Vec<String>>,
    pub verifications: Mutex<usize>,
    kills: tokio::sync::watch::Sender<u64>,
    /// While set, no lease is granted.
    pub hold_leases: tokio::sync::watch::Sender<bool>,
}

impl FakeGroup {
    pub fn new() -> Arc<Self> {
        let shared = Arc::new(Shared::new(ZoneName::new("zone-1")));
        let group = Arc::new(Self {
            server: Arc::new(Mutex::new(Server::new(&DATABASES))),
            shared,
            refusals: Mutex::default(),
            releases: Mutex::default(),
            acquired: Mutex::default(),
            verifications: Mutex::default(),
            kills: tokio::sync::watch::Sender::new(0),
            hold_leases: tokio::sync::watch::Sender::new(false),
        });
        group.shared.install_bundle(bundle());
        group.observe_all();
        group
    }

    /// Reports the current status of each database to the proxy.
    pub fn observe_all(&self) {
        for name in DATABASES {
            let status = self.server.lock().status(name);
            let group = GroupName::new(GROUP);
            self.shared
                .apply_status(&group, &DatabaseName::new(name), &status);
        }
    }

    /// Returns the statements that ran on any database, in order, without status queries.
    pub fn log(&self) -> Vec<String> {
        let server = self.server.lock();
        server.log.iter().map(|entry| entry.1.clone()).collect()
    }

    /// Returns the databases on which statements containing `text` ran.
    pub fn ran_on(&self, text: &str) -> Vec<String> {
        let server = self.server.lock();
        let found = server.log.iter().filter(|entry| entry.1.contains(text));
        found.map(|entry| entry.0.clone()).collect()
    }

    /// Breaks every connection, and waits until the sessions can have detected it.
    pub async fn kill_connections(&self) {
        self.kills.send_modify(|count| *count += 1);
        while self.kills.receiver_count() > 0 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.kills.receiver_count()
    }

    /// Waits until `condition` holds.
    pub async fn until(&self, what: &str, condition: impl Fn(&Self) -> bool) {
        let started = tokio::time::Instant::now();
        while !condition(self) {
            assert!(
                started.elapsed() < TIMEOUT,
                "timed out waiting until {what}"
            );
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
}

/// Returns a bundle of one group.
pub fn bundle() -> Bundle {
    let mut bundle = Bundle {
        version: BundleVersion(1),
        ..Bundle::default()
    };
    bundle
        .zones
        .insert(ZoneName::new("zone-1"), "region-1".into());
    bundle.groups.insert(
        GroupName::new(GROUP),
        Group {
            database: GROUP.to_owned(),
            user: "proxy".to_owned(),
            reads: ReadPreference::Replica,
            election_timeout_ms: 300,
        },
    );
    for name in DATABASES {
        bundle.databases.insert(
            DatabaseName::new(name),
            Database {
                group: GroupName::new(GROUP),
                zone: ZoneName::new("zone-1"),
                address: "127.0.0.1:1".to_owned(),
                slots: 5,
            },
        );
    }
    bundle.limits.wait_ms = 2_000;
    bundle.limits.acknowledge_ms = 500;
    bundle
}

#[async_trait]
impl LeaseSource for FakeGroup {
    async fn acquire(&self, request: AcquireRequest) -> Result<BackendLease, Refusal> {
        let name = request.database.as_str().to_owned();
        let mut held = self.hold_leases.subscribe();
        let waited = tokio::time::timeout(request.wait, held.wait_for(|held| !held)).await;
        if waited.is_err() {
            return Err(Refusal::WaitDeadline);
        }
        let refusal = self
            .refusals
            .lock()
            .get_mut(&name)
            .and_then(|refusals| (!refusals.is_empty()).then(|| refusals.remove(0)));
        if let Some(refusal) = refusal {
            return Err(refusal);
        }
        self.acquired.lock().push(name.clone());
        let (commands, command_receiver) = mpsc::channel(LEASE_COMMAND_BUFFER);
        let (reply_sender, replies) = mpsc::channel(LEASE_REPLY_BUFFER);
        let connection = Connection::new(name, Arc::clone(&self.server));
        let mut kills = self.kills.subscribe();
        kills.mark_unchanged();
        actix_rt::spawn(async move {
            tokio::select! {
                () = connection.run(command_receiver, reply_sender) => {}
                _ = kills.changed() => {}
            }
        });
        Ok(BackendLease {
            database: request.database,
            commands,
            replies,
        })
    }
}

#[async_trait]
impl TermVerifier for FakeGroup {
    async fn verify(&self, _group: &GroupName) -> Option<Position> {
        *self.verifications.lock() += 1;
        let server = self.server.lock();
        DATABASES
            .iter()
            .map(|name| server.status(name))
            .filter(|status| status.role == Role::Primary)
            .map(|status| status.log_position())
            .max_by_key(|place| place.term)
    }

    async fn status(
        &self,
        _group: &GroupName,
        database: &DatabaseName,
        _wait: Duration,
    ) -> Option<BackendStatus> {
        Some(self.server.lock().status(database.as_str()))
    }
}

/// Returns settings of a loopback listener that trusts every caller.
pub fn settings() -> CallerSettings {
    CallerSettings {
        token_keys: vec![TOKEN_KEY.to_vec()],
        arbiters: 2,
        startup_timeout: Duration::from_secs(10),
        ..CallerSettings::new("127.0.0.1:0".parse().expect("a socket address"))
    }
}

/// Starts a caller listener over `group`.
pub async fn start(group: &Arc<FakeGroup>) -> CallerHandle {
    start_with(group, settings()).await
}

/// Starts a caller listener over `group` with the given settings.
pub async fn start_with(group: &Arc<FakeGroup>, settings: CallerSettings) -> CallerHandle {
    let leases: Arc<dyn LeaseSource> = Arc::clone(group) as _;
    let verifier: Arc<dyn TermVerifier> = Arc::clone(group) as _;
    let shared = Arc::clone(&group.shared);
    CallerListener::start(settings, shared, leases, verifier)
        .await
        .expect("the listener starts")
}

/// Returns the connection parameters of an ordinary caller.
pub fn config(handle: &CallerHandle) -> Config {
    let mut config = Config::new();
    config
        .host("127.0.0.1")
        .port(handle.address().port())
        .user("clinic")
        .dbname(GROUP);
    config
}

/// Connects an ordinary caller.
pub async fn connect(handle: &CallerHandle) -> Client {
    connect_with(&config(handle)).await
}

/// Connects a caller with the given parameters.
pub async fn connect_with(config: &Config) -> Client {
    let (client, connection) = config.connect(NoTls).await.expect("a session begins");
    actix_rt::spawn(async move {
        let _ended = connection.await;
    });
    client
}

/// Returns the SQLSTATE of an error.
pub fn sqlstate(error: &tokio_postgres::Error) -> String {
    let code = error.code().expect("the error has a SQLSTATE");
    code.code().to_owned()
}

/// Returns the `DETAIL` of an error.
pub fn detail(error: &tokio_postgres::Error) -> String {
    let error = error.as_db_error().expect("the error came from the server");
    error.detail().unwrap_or_default().to_owned()
}

/// Reply channel of a fake connection.
pub type Replies = mpsc::Sender<BackendReply>;
/// Command channel of a fake connection.
pub type Commands = mpsc::Receiver<BackendCommand>;
