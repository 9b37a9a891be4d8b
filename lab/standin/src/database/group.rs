//! A group of replicated databases.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use super::consensus::{Consensus, Role, Timing};
use super::entry::{Entry, LoggedStatement};
use super::error::{DatabaseError, SqlError};
use super::history::{ElectionRecord, History};
use super::lexer;
use super::link::Links;
use super::node::Node;
use super::position::{FIRST_LSN, Lsn};
use super::server::{self, Port};
use super::settings::{GroupSettings, ZoneNetwork};
use super::statement::Statement;
use super::store::Store;
use super::timestamp;

/// Timeout of a switchover.
const SWITCHOVER_LIMIT: Duration = Duration::from_secs(5);
/// Interval at which a switchover checks whether it can proceed.
const SWITCHOVER_POLL: Duration = Duration::from_millis(2);

/// Role of a database of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatabaseRole {
    /// It accepts writes; it may be an outdated primary that has not stepped down
    /// yet.
    Primary,
    /// It follows a primary or waits for one.
    Replica,
    /// Its process is not running.
    Stopped,
}

/// Status of one database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DatabaseStatus {
    /// Name of the database.
    pub name: String,
    /// Current role.
    pub role: DatabaseRole,
    /// Current term.
    pub term: u64,
    /// End position of its log.
    pub flushed: Lsn,
    /// End position of the entries that it has replayed.
    pub replayed: Lsn,
    /// Connections that hold a slot.
    pub open_connections: usize,
    /// Maximum number of connections that held a slot at the same time.
    pub peak_connections: usize,
    /// Connections refused with 53300.
    pub refused_connections: u64,
}

/// A statement in a database's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommittedEntry {
    /// Term in which its transaction was committed.
    pub term: u64,
    /// Position immediately after its transaction.
    pub lsn: Lsn,
    /// Statement text with its bound values.
    pub statement: String,
}

struct Member {
    node: Arc<Node>,
    port: Arc<Port>,
    listening: watch::Sender<bool>,
}

/// A group of replicated databases that runs in this process.
pub struct DatabaseGroup {
    members: Vec<Member>,
    by_name: BTreeMap<String, usize>,
    history: Arc<History>,
    tasks: Vec<JoinHandle<()>>,
    switchovers: Mutex<JoinSet<()>>,
}

impl DatabaseGroup {
    /// Starts a group whose first database is the primary of the first term.
    pub async fn start(
        settings: GroupSettings,
        network: Arc<dyn ZoneNetwork>,
    ) -> Result<Self, DatabaseError> {
        check_names(&settings)?;
        let first = Arc::new(first_entry(&settings).map_err(DatabaseError::Schema)?);
        let group = Arc::new(settings);
        let history = Arc::new(History::default());
        let mut members = Vec::new();
        for member in 0..group.databases.len() {
            let consensus = new_consensus(&group, member, first.clone());
            let node = Node::new(member, group.clone(), history.clone(), consensus, &first)
                .map_err(DatabaseError::Schema)?;
            members.push(Member {
                node: Arc::new(node),
                port: Arc::new(Port::reserve().map_err(DatabaseError::Listen)?),
                listening: watch::Sender::new(true),
            });
        }
        let mut started = Self {
            by_name: group
                .databases
                .iter()
                .enumerate()
                .map(|(member, database)| (database.name.clone(), member))
                .collect(),
            members,
            history,
            tasks: Vec::new(),
            switchovers: Mutex::new(JoinSet::new()),
        };
        started.spawn(&network)?;
        started
            .history
            .elected(first.term, &group.databases[0].name, None);
        Ok(started)
    }

    fn spawn(&mut self, network: &Arc<dyn ZoneNetwork>) -> Result<(), DatabaseError> {
        let nodes: Vec<Arc<Node>> = self
            .members
            .iter()
            .map(|member| member.node.clone())
            .collect();
        for (at, member) in self.members.iter().enumerate() {
            let (links, tasks) = Links::open(&nodes, at, network);
            self.tasks.extend(tasks);
            member.node.connect(links);
            let listener = member.port.listen().map_err(DatabaseError::Listen)?;
            self.tasks.push(tokio::spawn(server::run(
                member.node.clone(),
                member.port.clone(),
                listener,
                member.listening.subscribe(),
            )));
            self.tasks
                .push(tokio::spawn(member.node.clone().run_ticks()));
            self.tasks
                .push(tokio::spawn(member.node.clone().run_replay()));
        }
        Ok(())
    }

    /// # Panics
    ///
    /// When the group has no database of this name.
    fn member(&self, name: &str) -> &Member {
        let Some(member) = self.by_name.get(name) else {
            panic!("the group has no database {name}");
        };
        &self.members[*member]
    }

    /// Returns the address on which a database listens, which does not change while
    /// the group runs.
    ///
    /// # Panics
    ///
    /// This and all methods that take a name panic when the group has no
    /// database of that name.
    pub fn address(&self, database: &str) -> SocketAddr {
        self.member(database).port.address()
    }

    /// Returns the status of all databases, in the order of the settings.
    pub fn status(&self) -> Vec<DatabaseStatus> {
        self.members
            .iter()
            .map(|member| status_of(&member.node))
            .collect()
    }

    /// Returns the running primary with the highest term, if there is one.
    pub fn primary(&self) -> Option<String> {
        let leading = self.members.iter().filter_map(|member| {
            let (role, term) = member.node.role();
            (role == Some(Role::Primary)).then(|| (term, member.node.settings.name.clone()))
        });
        leading.max_by_key(|(term, _)| *term).map(|(_, name)| name)
    }

    /// Kills a database: its connections are reset and new ones are refused.
    pub fn kill(&self, name: &str) {
        self.record_loss(name);
        let member = self.member(name);
        member.listening.send_replace(false);
        member.node.kill();
    }

    /// Restarts a killed database with the log that it had flushed.
    pub fn restart(&self, name: &str) {
        let member = self.member(name);
        member.node.restart();
        member.listening.send_replace(true);
    }

    /// Pauses all work of a database; its sockets stay open.
    pub fn pause(&self, name: &str) {
        self.record_loss(name);
        self.member(name).node.set_paused(true);
    }

    /// Ends a pause.
    pub fn resume(&self, name: &str) {
        self.record_return(name);
        self.member(name).node.set_paused(false);
    }

    /// Sets the replay delay of a replica.
    pub fn set_replay_lag(&self, name: &str, lag: Duration) {
        self.member(name).node.set_replay_lag(lag);
    }

    /// Isolates a database from its peers. With `from_peers_only` it continues to
    /// serve clients; otherwise clients receive no responses either.
    pub fn isolate(&self, name: &str, from_peers_only: bool) {
        self.record_loss(name);
        self.member(name).node.set_isolated(true, !from_peers_only);
    }

    /// Ends an isolation.
    pub fn heal(&self, name: &str) {
        self.record_return(name);
        self.member(name).node.set_isolated(false, false);
    }

    fn record_loss(&self, name: &str) {
        if self.primary().as_deref() == Some(name) {
            self.history.primary_lost();
        }
    }

    fn record_return(&self, name: &str) {
        if self.primary().as_deref() == Some(name) {
            self.history.primary_returned();
        }
    }

    /// Starts a switchover to `to`: no write is lost, and the connections of the old
    /// primary are closed with 57P01. Does nothing when there is no primary, and is
    /// abandoned after a few seconds when `to` cannot catch up.
    pub fn switchover(&self, to: &str) {
        let Some(primary) = self.primary().filter(|primary| primary != to) else {
            return;
        };
        let old = self.member(&primary).node.clone();
        let target = self.member(to).node.clone();
        let history = self.history.clone();
        let mut switchovers = self.switchovers.lock();
        while switchovers.try_join_next().is_some() {}
        switchovers.spawn(async move {
            let switchover = run_switchover(&old, &target, &history);
            if tokio::time::timeout(SWITCHOVER_LIMIT, switchover)
                .await
                .is_err()
            {
                log::warn!(
                    "database: the switchover to {} timed out.",
                    target.settings.name
                );
            }
        });
    }

    /// Returns all statements in a database's log, oldest first, without the schema.
    pub fn history(&self, name: &str) -> Vec<CommittedEntry> {
        let log = self.member(name).node.log();
        log.iter()
            .skip(1)
            .flat_map(|entry| committed_entries(entry))
            .collect()
    }

    /// Returns all elections so far, including that of the first primary.
    pub fn elections(&self) -> Vec<ElectionRecord> {
        self.history.elections()
    }

    /// Stops all databases and closes all connections.
    pub async fn stop(mut self) {
        for task in &self.tasks {
            task.abort();
        }
        for task in std::mem::take(&mut self.tasks) {
            let _ = task.await;
        }
        let mut switchovers = std::mem::take(&mut *self.switchovers.lock());
        switchovers.shutdown().await;
    }
}

impl Drop for DatabaseGroup {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

fn check_names(settings: &GroupSettings) -> Result<(), DatabaseError> {
    if settings.databases.is_empty() {
        return Err(DatabaseError::NoDatabases);
    }
    let mut names = BTreeSet::new();
    for database in &settings.databases {
        if !names.insert(&database.name) {
            return Err(DatabaseError::DuplicateName(database.name.clone()));
        }
    }
    Ok(())
}

/// Creates the entry that starts all logs: the schema.
fn first_entry(settings: &GroupSettings) -> Result<Entry, SqlError> {
    let mut statements = Vec::new();
    for sql in &settings.schema {
        for raw in lexer::split(sql)? {
            let statement = Statement::prepare(raw)?;
            if statement.sql.is_empty() {
                continue;
            }
            statements.push(LoggedStatement {
                text: statement.text,
                sql: statement.sql,
                parameters: Vec::new(),
                seed: settings.seed,
            });
        }
    }
    let entry = Entry::new(1, FIRST_LSN, timestamp::now_micros(), statements);
    Store::open()?.replay(&entry)?;
    Ok(entry)
}

fn new_consensus(group: &GroupSettings, member: usize, first: Arc<Entry>) -> Consensus {
    let timing = Timing {
        election_timeout: group.election_timeout,
        heartbeat_interval: group.heartbeat_interval,
    };
    let seed = group.seed.wrapping_mul(31).wrapping_add(member as u64);
    Consensus::new(
        member,
        group.databases.len(),
        first,
        timing,
        seed,
        Instant::now(),
    )
}

fn status_of(node: &Node) -> DatabaseStatus {
    let (role, term) = node.role();
    let view = node.view();
    let counts = node.connections.counts();
    DatabaseStatus {
        name: node.settings.name.clone(),
        role: match role {
            None => DatabaseRole::Stopped,
            Some(Role::Primary) => DatabaseRole::Primary,
            Some(_) => DatabaseRole::Replica,
        },
        term,
        flushed: view.flushed,
        replayed: view.replayed,
        open_connections: counts.open,
        peak_connections: counts.peak,
        refused_connections: counts.refused,
    }
}

fn committed_entries(entry: &Entry) -> Vec<CommittedEntry> {
    let render = |statement: &LoggedStatement| CommittedEntry {
        term: entry.term,
        lsn: entry.end,
        statement: statement.render(),
    };
    entry.statements.iter().map(render).collect()
}

async fn run_switchover(old: &Node, target: &Node, history: &History) {
    let Some(working) = old.working() else {
        return;
    };
    // Holding the write permit blocks new writes.
    let Ok(_write_permit) = working.write_permit().await else {
        return;
    };
    history.primary_lost();
    while !old.has_flushed_all(target.member) {
        tokio::time::sleep(SWITCHOVER_POLL).await;
    }
    old.hand_over(target.member);
    while old.working().is_some() {
        tokio::time::sleep(SWITCHOVER_POLL).await;
    }
}
