//! Stand-in of a service of replicated databases, by PROTOCOL.md.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio::time::{sleep, timeout};

use crate::record::Record;

/// Time that a read, a write or a commit takes, and how many of them run at a time.
const WORK_TIME: Duration = Duration::from_millis(6);
const SLOTS: usize = 3;
/// Pause between two looks at what a replica lacks.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(10);

/// A commit in the log.
#[derive(Clone)]
pub struct Commit {
    /// Id of the write, or of the COMMIT of its transaction.
    pub id: String,
    pub writes: Vec<(String, String)>,
}

/// One database.
pub struct Database {
    pub id: String,
    pub zone: String,
    /// One-way time from the primary to this database.
    pub link: Duration,
    pub up: bool,
    /// Number of starts; connections of an earlier start are closed.
    pub starts: u64,
    /// What it tells of its start, in Unix milliseconds.
    pub born: u64,
    pub paused: bool,
    /// Whether it has announced its end.
    pub draining: bool,
    /// Whether it receives nothing.
    pub deaf: bool,
    /// Number of commits, from the first on, that it has received.
    pub received: usize,
}

/// State of the service.
pub struct State {
    pub service: String,
    pub sync_replicas: u32,
    pub term: u64,
    pub primary: usize,
    /// The log of the primary. A database holds its first `received` commits.
    pub log: Vec<Commit>,
    pub databases: Vec<Database>,
    /// The log of a primary that started again without the one it had; the replicas keep that.
    pub fresh: Option<Vec<Commit>>,
    pub reads: Vec<Read>,
}

/// A read that ran: its id, the database and how many commits that one's log held.
#[derive(Clone, Debug)]
pub struct Read {
    pub id: String,
    pub database: String,
    pub held: usize,
}

/// The service.
#[derive(Clone)]
pub struct Service {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    /// Slots of each database.
    slots: Arc<Vec<Semaphore>>,
    record: Arc<Record>,
    /// Address of each database.
    pub addresses: Vec<SocketAddr>,
}

impl Service {
    /// Starts the service with the databases `(id, zone, one-way time from the primary)`, of which
    /// the first is the primary. All of them hold `earlier` commits already.
    pub async fn start(
        name: &str,
        sync_replicas: u32,
        databases: &[(&str, &str, u64)],
        earlier: usize,
        ip: IpAddr,
        record: &Arc<Record>,
    ) -> std::io::Result<Self> {
        let databases = databases.iter().map(|(id, zone, link)| Database {
            id: (*id).to_owned(),
            zone: (*zone).to_owned(),
            link: Duration::from_millis(*link),
            up: true,
            starts: 1,
            born: 1_796_350_000_000,
            paused: false,
            draining: false,
            deaf: false,
            received: earlier,
        });
        let databases: Vec<Database> = databases.collect();
        let count = databases.len();
        let mut service = Self {
            state: Arc::new(Mutex::new(State {
                service: name.to_owned(),
                sync_replicas,
                term: 1,
                primary: 0,
                log: (0..earlier)
                    .map(|number| Commit {
                        id: format!("earlier-{number}"),
                        writes: Vec::new(),
                    })
                    .collect(),
                databases,
                fresh: None,
                reads: Vec::new(),
            })),
            changed: Arc::default(),
            slots: Arc::new((0..count).map(|_| Semaphore::new(SLOTS)).collect()),
            record: Arc::clone(record),
            addresses: Vec::new(),
        };
        let mut listeners = Vec::new();
        for _ in 0..count {
            let listener = TcpListener::bind((ip, 0)).await?;
            service.addresses.push(listener.local_addr()?);
            listeners.push(listener);
        }
        for (index, listener) in listeners.into_iter().enumerate() {
            let service = service.clone();
            tokio::spawn(async move { service.listen(index, listener).await });
        }
        let replication = service.clone();
        tokio::spawn(async move { replication.catch_up().await });
        Ok(service)
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// The database's entry in the store.
    pub fn entry(&self, index: usize) -> serde_json::Value {
        let state = self.state();
        let database = &state.databases[index];
        let role = if state.primary == index {
            "primary"
        } else {
            "replica"
        };
        serde_json::json!({
            "service": state.service, "address": self.addresses[index].to_string(),
            "zone": database.zone, "version": "v1", "slots": SLOTS,
            "state": if database.draining { "draining" } else { "ready" },
            "cold_remaining_ms": 0, "database_role": role, "sequence": 1, "born": database.born,
        })
    }

    /// Ends the process of a database.
    pub fn crash(&self, index: usize) {
        let mut state = self.state();
        let database = &mut state.databases[index];
        database.up = false;
        let id = database.id.clone();
        drop(state);
        self.record.line(format!("database {id} crashes"));
        self.changed.notify_waiters();
    }

    /// Starts the process of a database that crashed. It comes back with its log, at its address
    /// and under the new id `id`.
    pub fn come_back(&self, index: usize, id: &str) {
        let mut state = self.state();
        let database = &mut state.databases[index];
        let before = std::mem::replace(&mut database.id, id.to_owned());
        database.up = true;
        database.starts += 1;
        database.paused = false;
        drop(state);
        self.record
            .line(format!("database {before} comes back as {id}"));
        self.changed.notify_waiters();
    }

    /// Announces the planned end of a database, which serves on.
    pub fn announce_end(&self, index: usize) {
        let mut state = self.state();
        state.databases[index].draining = true;
        let id = state.databases[index].id.clone();
        drop(state);
        self.record.line(format!("database {id} is draining"));
    }

    /// Lets a database receive nothing, or again.
    pub fn set_deaf(&self, index: usize, deaf: bool) {
        let mut state = self.state();
        state.databases[index].deaf = deaf;
        let id = state.databases[index].id.clone();
        drop(state);
        let what = if deaf {
            "receives nothing"
        } else {
            "receives again"
        };
        self.record.line(format!("database {id} {what}"));
    }

    /// Restarts a database under its id: it holds nothing of before. A primary still leads, since it
    /// is replaced only by a promotion.
    pub fn restart_empty(&self, index: usize) {
        let mut state = self.state();
        if state.primary == index {
            state.fresh = Some(Vec::new());
        }
        let database = &mut state.databases[index];
        database.received = 0;
        database.starts += 1;
        database.born += 1;
        let id = database.id.clone();
        drop(state);
        self.record
            .line(format!("database {id} starts again and holds nothing"));
        self.changed.notify_waiters();
    }

    /// Carries out a promotion: the database leads the next term with what it has received.
    pub fn promote(&self, index: usize) {
        let mut state = self.state();
        if state.primary == index {
            return;
        }
        let received = state.databases[index].received;
        let lost = state.log.len() - received;
        state.log.truncate(received);
        state.fresh = None;
        for database in &mut state.databases {
            database.received = database.received.min(received);
            database.paused = false;
        }
        state.primary = index;
        state.term += 1;
        let text = format!(
            "database {} leads term {} with {received} commits; {lost} commits are rolled back",
            state.databases[index].id, state.term
        );
        drop(state);
        self.record.line(text);
        self.changed.notify_waiters();
    }

    async fn listen(&self, index: usize, listener: TcpListener) {
        let address = self.addresses[index];
        let mut listener = Some(listener);
        loop {
            let changed = self.changed.notified();
            let up = self.state().databases[index].up;
            if !up {
                listener = None;
                changed.await;
                continue;
            }
            if listener.is_none() {
                listener = TcpListener::bind(address).await.ok();
            }
            let Some(open) = &listener else {
                sleep(Duration::from_millis(5)).await;
                continue;
            };
            tokio::select! {
                accepted = open.accept() => if let Ok((stream, _)) = accepted {
                    let starts = self.state().databases[index].starts;
                    let connection = Connection::new(self.clone(), index, starts);
                    tokio::spawn(connection.serve(stream));
                },
                () = changed => {}
            }
        }
    }

    /// Sends the log to the replicas again and again.
    async fn catch_up(&self) {
        loop {
            sleep(CATCH_UP_INTERVAL).await;
            self.replicate();
        }
    }

    /// Sends the whole log of the primary to each replica, which gets it after the way there.
    fn replicate(&self) {
        let state = self.state();
        if !state.databases[state.primary].up || state.fresh.is_some() {
            return;
        }
        let (term, length) = (state.term, state.log.len());
        for (index, database) in state.databases.iter().enumerate() {
            if index == state.primary || database.received >= length {
                continue;
            }
            let link = database.link;
            let service = self.clone();
            tokio::spawn(async move {
                sleep(link).await;
                service.deliver(index, term, length);
            });
        }
    }

    fn deliver(&self, index: usize, term: u64, length: usize) {
        let mut state = self.state();
        let same_term = state.term == term;
        let database = &mut state.databases[index];
        let receives = database.up && !database.paused && !database.deaf;
        if same_term && receives && database.received < length {
            database.received = length;
            drop(state);
            self.changed.notify_waiters();
        }
    }

    /// Appends a commit at the primary and waits for a replica if the service is synchronous.
    /// Returns false if the answer is lost, because the database crashed or lost the lead.
    async fn append(&self, index: usize, id: &str, writes: Vec<(String, String)>) -> bool {
        let (term, starts, number, synchronous) = {
            let mut state = self.state();
            let commit = Commit {
                id: id.to_owned(),
                writes,
            };
            let log = match &mut state.fresh {
                Some(fresh) => fresh,
                None => &mut state.log,
            };
            log.push(commit);
            let number = log.len();
            state.databases[index].received = number;
            let starts = state.databases[index].starts;
            (state.term, starts, number, state.sync_replicas > 0)
        };
        self.replicate();
        loop {
            let changed = self.changed.notified();
            {
                let state = self.state();
                let database = &state.databases[index];
                if state.term != term || !database.up || database.starts != starts {
                    return false;
                }
                let held = state
                    .databases
                    .iter()
                    .enumerate()
                    .any(|(other, database)| other != index && database.received >= number);
                if held || !synchronous {
                    return true;
                }
            }
            let _ = timeout(Duration::from_millis(50), changed).await;
        }
    }
}

struct Transaction {
    plain: bool,
    failed: bool,
    writes: Vec<(String, String)>,
}

struct Connection {
    service: Service,
    index: usize,
    starts: u64,
    transaction: Option<Transaction>,
    values: BTreeMap<String, String>,
    /// Shape, with its access, of each prepared name.
    prepared: BTreeMap<String, String>,
}

impl Connection {
    fn new(service: Service, index: usize, starts: u64) -> Self {
        Self {
            service,
            index,
            starts,
            transaction: None,
            values: BTreeMap::new(),
            prepared: BTreeMap::new(),
        }
    }

    fn is_closed(&self) -> bool {
        let state = self.service.state();
        let database = &state.databases[self.index];
        !database.up || database.starts != self.starts
    }

    async fn serve(mut self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (reader, mut writer) = stream.into_split();
        let mut lines = BufReader::new(reader).lines();
        let changed = Arc::clone(&self.service.changed);
        loop {
            let line = tokio::select! {
                line = lines.next_line() => line,
                () = changed.notified() => {
                    if self.is_closed() {
                        return;
                    }
                    continue;
                }
            };
            let Ok(Some(line)) = line else { return };
            if line == "BYE" || self.is_closed() {
                return;
            }
            let Some(answer) = self.answer(&line).await else {
                return;
            };
            if self.is_closed() || writer.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Returns the answer; `None` if the connection ends without one.
    async fn answer(&mut self, line: &str) -> Option<String> {
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        match word {
            "START" => Some(self.start(rest)),
            "QUERY" => {
                let (id, text) = rest.split_once(' ').unwrap_or((rest, ""));
                let body = self.query(id, text).await?;
                let ready = self.ready();
                let shown = body.replace("\r\n", " | ");
                let id_of_database = self.service.state().databases[self.index].id.clone();
                if id != "-" {
                    self.service.record.line(format!(
                        "database {id_of_database} runs {id} {text} -> {shown}{}",
                        ready.trim_end()
                    ));
                }
                Some(format!("{body}{ready}"))
            }
            _ => Some("ERROR MALFORMED x\r\n".to_owned()),
        }
    }

    fn start(&self, rest: &str) -> String {
        let state = self.service.state();
        let database = &state.databases[self.index];
        let mut fields = rest.split(' ');
        let service = fields.next().unwrap_or("");
        let expected = fields.nth(1);
        if service != state.service || expected.is_some_and(|id| id != database.id) {
            return "ERROR MISROUTED x\r\n".to_owned();
        }
        format!("READY I {}\r\n", position(&state, self.index))
    }

    fn ready(&self) -> String {
        let phase = match &self.transaction {
            None => "I",
            Some(transaction) if transaction.failed => "E",
            Some(_) => "T",
        };
        format!(
            "READY {phase} {}\r\n",
            position(&self.service.state(), self.index)
        )
    }

    /// Does the work of one statement, for which a slot is waited for.
    async fn work(&self) {
        let _slot = self.service.slots[self.index].acquire().await;
        sleep(WORK_TIME).await;
    }

    /// The success of a read, write or commit, with this database's signature.
    fn done(&self, id: &str) -> String {
        let database = self.service.state().databases[self.index].id.clone();
        format!("DONE {database}.{id}\r\n")
    }

    fn leads(&self) -> bool {
        self.service.state().primary == self.index
    }

    fn fail(&mut self, code: &str) -> String {
        if let Some(transaction) = &mut self.transaction {
            transaction.failed = true;
        }
        let id = self.service.state().databases[self.index].id.clone();
        format!("ERROR {code} {id}\r\n")
    }

    /// Whether the log lacks the position TERM.NUMBER.
    fn lacks(&self, after: Option<&str>) -> bool {
        let Some((term, number)) = after.and_then(|after| after.split_once('.')) else {
            return false;
        };
        let state = self.service.state();
        let term: u64 = term.parse().unwrap_or(u64::MAX);
        let number: usize = number.parse().unwrap_or(usize::MAX);
        term > state.term || number > state.databases[self.index].received
    }

    async fn query(&mut self, id: &str, text: &str) -> Option<String> {
        let (after, text) = match text.strip_prefix("AFTER ") {
            Some(rest) => {
                let (position, text) = rest.split_once(' ')?;
                (Some(position.to_owned()), text)
            }
            None => (None, text),
        };
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        let failed = self
            .transaction
            .as_ref()
            .is_some_and(|transaction| transaction.failed);
        if failed && !matches!(word, "COMMIT" | "ROLLBACK") {
            return Some("ERROR MALFORMED x\r\n".to_owned());
        }
        // "READONLY is the answer [...] to any statement of a plain transaction whose database has
        // lost the lead, except the COMMIT of one that wrote nothing."
        let plain = self
            .transaction
            .as_ref()
            .is_some_and(|transaction| transaction.plain);
        if plain && !failed && !self.leads() && !matches!(word, "COMMIT" | "ROLLBACK") {
            return Some(self.fail("READONLY"));
        }
        match word {
            "BEGIN" => Some(self.begin(rest == "READ", after.as_deref())),
            "COMMIT" => self.commit(id).await,
            "ROLLBACK" => {
                self.transaction = None;
                Some("DONE -\r\n".to_owned())
            }
            "SET" => {
                let (name, value) = rest.split_once(' ')?;
                self.values.insert(name.to_owned(), value.to_owned());
                Some("DONE -\r\n".to_owned())
            }
            "RESET" => {
                self.values.clear();
                self.prepared.clear();
                Some("DONE -\r\n".to_owned())
            }
            "PREPARE" => {
                let (name, shape) = rest.split_once(' ')?;
                self.prepared.insert(name.to_owned(), shape.to_owned());
                Some("DONE -\r\n".to_owned())
            }
            "DEALLOCATE" => {
                self.prepared.remove(rest);
                Some("DONE -\r\n".to_owned())
            }
            "EXECUTE" => {
                let (name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
                let Some(shape) = self.prepared.get(name) else {
                    return Some(self.fail("UNKNOWN"));
                };
                let access = shape.split(' ').next()?.to_owned();
                self.run(id, &access, arguments, after.as_deref()).await
            }
            "READ" | "WRITE" => self.run(id, word, rest, after.as_deref()).await,
            "STATUS" => Some(self.status()),
            "PAUSE" | "RESUME" => {
                let mut state = self.service.state();
                state.databases[self.index].paused = word == "PAUSE" && state.primary != self.index;
                let name = state.databases[self.index].id.clone();
                drop(state);
                self.service
                    .record
                    .line(format!("database {name} is told {text}"));
                Some(self.status())
            }
            _ => Some("ERROR MALFORMED x\r\n".to_owned()),
        }
    }

    fn status(&self) -> String {
        let state = self.service.state();
        let role = if state.primary == self.index {
            "primary"
        } else {
            "replica"
        };
        let position = position(&state, self.index);
        format!("ROW {role} {} {position} 0 0 0 1\r\nDONE -\r\n", state.term)
    }

    fn begin(&mut self, read_only: bool, after: Option<&str>) -> String {
        if !read_only && !self.leads() {
            return self.fail("READONLY");
        }
        if self.lacks(after) {
            return self.fail("LAGGING");
        }
        self.transaction = Some(Transaction {
            plain: !read_only,
            failed: false,
            writes: Vec::new(),
        });
        "DONE -\r\n".to_owned()
    }

    async fn commit(&mut self, id: &str) -> Option<String> {
        let Some(transaction) = self.transaction.take() else {
            return Some("ERROR MALFORMED x\r\n".to_owned());
        };
        if transaction.failed {
            return Some(self.fail("ABORTED"));
        }
        self.work().await;
        if transaction.writes.is_empty() {
            return Some(self.done(id));
        }
        if !self.leads() {
            return Some(self.fail("READONLY"));
        }
        let kept = self
            .service
            .append(self.index, id, transaction.writes)
            .await;
        kept.then(|| self.done(id))
    }

    async fn run(
        &mut self,
        id: &str,
        access: &str,
        arguments: &str,
        after: Option<&str>,
    ) -> Option<String> {
        if self.lacks(after) {
            return Some(self.fail("LAGGING"));
        }
        self.work().await;
        if access == "READ" {
            let mut state = self.service.state();
            let held = state.databases[self.index].received;
            let log = match &state.fresh {
                Some(fresh) if state.primary == self.index => fresh,
                _ => &state.log,
            };
            let value = log[..held]
                .iter()
                .rev()
                .flat_map(|commit| commit.writes.iter().rev())
                .find(|(thing, _)| thing == arguments)
                .map_or("none".to_owned(), |(_, data)| data.clone());
            let database = state.databases[self.index].id.clone();
            state.reads.push(Read {
                id: id.to_owned(),
                database,
                held,
            });
            drop(state);
            return Some(format!("ROW {value}\r\n{}", self.done(id)));
        }
        if !self.leads() {
            return Some(self.fail("READONLY"));
        }
        let (thing, data) = arguments.split_once(' ').unwrap_or((arguments, ""));
        let write = (thing.to_owned(), data.to_owned());
        if let Some(transaction) = &mut self.transaction {
            transaction.writes.push(write);
            return Some(self.done(id));
        }
        let kept = self.service.append(self.index, id, vec![write]).await;
        kept.then(|| self.done(id))
    }
}

fn position(state: &State, index: usize) -> String {
    format!("{}.{}", state.term, state.databases[index].received)
}
