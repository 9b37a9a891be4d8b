//! A service of one primary and its replicas that speaks the wire, as "Databases" of the protocol
//! page describes it.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;

/// How late a replica receives a commit.
const REPLICA_LAG: Duration = Duration::from_millis(8);
/// How long a read, a write or a commit takes.
const WORK_TIME: Duration = Duration::from_millis(3);

/// What a database does with a statement because of a disruption.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Run,
    /// It is not run: too much work.
    Busy,
    /// It is run, and the answer is the error TIMEOUT.
    RunAndTimeOut,
    /// It is run, and the answer is the error FAILED.
    RunAndFail,
    /// It is run, and nothing more is said on the connection.
    RunAndLose,
    /// It is run, and the connection is closed without an answer.
    RunAndBreak,
}

/// The kind of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Read,
    Write,
    Commit,
}

/// A statement that is about to be run.
pub struct Incoming<'a> {
    pub kind: Kind,
    /// The text, with the shape in place of the name of a prepared one.
    pub text: &'a str,
    pub database: usize,
    pub id: &'a str,
    pub values: &'a BTreeMap<String, String>,
    /// Ids of the statements that the open transaction has run; `None` if none is open.
    pub transaction: Option<&'a [String]>,
    /// Number of entries of the log that the database has received.
    pub received: usize,
}

/// Decides about each statement of a client.
pub type Disruption = dyn Fn(&Incoming<'_>, &State) -> Verdict + Send + Sync;

/// A write that is in the log.
#[derive(Clone, Debug)]
pub struct Entry {
    pub term: u64,
    pub at: Instant,
    /// Request id of the write.
    pub id: String,
    /// Request id of the commit; that of the write where it ran on its own.
    pub commit: String,
    pub thing: String,
    pub data: String,
}

pub struct Database {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    connections: usize,
    accepted: u64,
}

pub struct State {
    /// Name of the service.
    pub name: String,
    pub term: u64,
    pub primary: usize,
    pub log: Vec<Entry>,
    pub databases: Vec<Database>,
    max_connections: usize,
    signed: u64,
    /// Ids of the databases that are down.
    pub down: BTreeSet<usize>,
    /// Raised when connections to a database are closed by a crash.
    crashes: Vec<u64>,
    /// How late each database receives a commit as a replica.
    lags: Vec<Duration>,
    /// What each replica had received when its delay was last changed.
    floors: Vec<usize>,
    /// Number of replicas that have to receive a commit before it is answered.
    pub sync_replicas: usize,
    /// What each database has of the log since the primary crashed.
    frozen: BTreeMap<usize, usize>,
    /// A primary that has started again and holds nothing.
    emptied: Option<usize>,
    /// How often each database has started.
    pub starts: Vec<u64>,
    /// Commits that promotions rolled back.
    pub rolled_back: BTreeSet<String>,
}

/// The service.
pub struct Service {
    pub name: String,
    state: Mutex<State>,
    disruption: Box<Disruption>,
    record: Arc<Record>,
}

impl Service {
    /// Starts the databases; the first is the primary.
    pub fn start(
        name: &str,
        places: Vec<(SocketAddr, String)>,
        max_connections: usize,
        disruption: Box<Disruption>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let databases = places
            .iter()
            .enumerate()
            .map(|(index, (address, zone))| Database {
                id: format!("i-{name}{index}"),
                address: *address,
                zone: zone.clone(),
                connections: 0,
                accepted: 0,
            });
        let first = |number: u64| Entry {
            term: 1,
            at: Instant::now(),
            id: format!("first-{number}"),
            commit: format!("first-{number}"),
            thing: format!("t{number}"),
            data: "first".to_owned(),
        };
        let service = Arc::new(Self {
            name: name.to_owned(),
            state: Mutex::new(State {
                name: name.to_owned(),
                term: 1,
                primary: 0,
                log: (0..20).map(first).collect(),
                databases: databases.collect(),
                max_connections,
                signed: 0,
                down: BTreeSet::new(),
                crashes: vec![0; places.len()],
                lags: vec![REPLICA_LAG; places.len()],
                floors: vec![0; places.len()],
                sync_replicas: 0,
                frozen: BTreeMap::new(),
                emptied: None,
                starts: vec![1; places.len()],
                rolled_back: BTreeSet::new(),
            }),
            disruption,
            record: Arc::clone(record),
        });
        for (index, (address, _)) in places.into_iter().enumerate() {
            let listener = TcpListener::bind(address).expect("bind a database's address");
            let service = Arc::clone(&service);
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let service = Arc::clone(&service);
                    thread::spawn(move || {
                        let _ended = Connection::new(service, index).serve(stream);
                    });
                }
            });
        }
        service
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }
}

impl State {
    /// Returns the number of entries that a database has received.
    pub fn received(&self, index: usize) -> usize {
        if self.emptied == Some(index) {
            return 0;
        }
        if index == self.primary {
            return self.log.len();
        }
        if let Some(received) = self.frozen.get(&index) {
            return (*received).min(self.log.len());
        }
        let now = Instant::now();
        let lag = self.lags[index];
        let delayed = self.log.partition_point(|entry| entry.at + lag <= now);
        delayed.max(self.floors[index]).min(self.log.len())
    }

    /// Changes how late a database receives commits as a replica.
    pub fn set_lag(&mut self, index: usize, lag: Duration) {
        self.floors[index] = self.received(index);
        self.lags[index] = lag;
    }

    /// Returns how many replicas have received the first `length` entries.
    fn replicas_with(&self, length: usize) -> usize {
        let replicas = (0..self.databases.len()).filter(|index| *index != self.primary);
        let live = replicas.filter(|index| !self.down.contains(index));
        live.filter(|index| self.received(*index) >= length).count()
    }

    /// Crashes a database: its connections are closed, and new ones get no answer. If it leads, the
    /// replicas receive nothing more from it.
    pub fn crash(&mut self, index: usize) {
        if index == self.primary {
            for other in 0..self.databases.len() {
                if other != index {
                    let received = self.received(other);
                    self.frozen.insert(other, received);
                }
            }
        }
        self.down.insert(index);
        self.crashes[index] += 1;
    }

    /// Starts the crashed primary again under its id. It still leads and holds nothing; the replicas
    /// keep what they have received.
    pub fn restart_empty(&mut self) {
        let primary = self.primary;
        self.down.remove(&primary);
        self.starts[primary] += 1;
        self.emptied = Some(primary);
    }

    /// Starts a crashed database again, with its log.
    pub fn restart(&mut self, index: usize) {
        self.down.remove(&index);
        if index == self.primary {
            self.frozen.clear();
        }
    }

    fn position(&self, index: usize) -> (u64, usize) {
        let received = self.received(index);
        let term = if index == self.primary {
            self.term
        } else {
            received
                .checked_sub(1)
                .map_or(0, |last| self.log[last].term)
        };
        (term, received)
    }

    /// Lets a database lead the next term with what it has received.
    pub fn promote(&mut self, index: usize) {
        if index != self.primary {
            let received = self.received(index);
            let reached: Vec<usize> = (0..self.databases.len())
                .map(|other| self.received(other))
                .collect();
            for lost in self.log.split_off(received) {
                self.rolled_back.insert(lost.id);
            }
            self.frozen.clear();
            self.emptied = None;
            self.floors = reached;
            self.primary = index;
            self.term += 1;
        }
    }
}

struct Transaction {
    read_write: bool,
    term: u64,
    failed: bool,
    writes: Vec<(String, String, String)>,
    statements: Vec<String>,
}

struct Connection {
    service: Arc<Service>,
    index: usize,
    number: u64,
    transaction: Option<Transaction>,
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, String>,
    /// Number of crashes of the database when the connection was opened.
    crashes: u64,
    /// Set if the answer is not sent: whether the connection is closed.
    no_answer: Option<bool>,
}

/// The lines before `READY`.
type Answer = Vec<String>;

fn error(code: &str, text: &str) -> Answer {
    vec![format!("ERROR {code} {text}")]
}

fn done() -> Answer {
    vec!["DONE -".to_owned()]
}

impl Connection {
    fn new(service: Arc<Service>, index: usize) -> Self {
        let (number, crashes) = {
            let mut state = service.state();
            let database = &mut state.databases[index];
            database.accepted += 1;
            (database.accepted, state.crashes[index])
        };
        Self {
            crashes,
            no_answer: None,
            service,
            index,
            number,
            transaction: None,
            values: BTreeMap::new(),
            prepared: BTreeMap::new(),
        }
    }

    fn serve(mut self, stream: TcpStream) -> std::io::Result<()> {
        if self.is_gone() {
            return Ok(());
        }
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(20)))?;
        let mut writer = stream.try_clone()?;
        let mut lines = Lines::new(stream);
        let start = loop {
            match lines.next() {
                Ok(Some(start)) => break start,
                Ok(None) => return Ok(()),
                Err(error) if is_timeout(&error) && !self.is_gone() => {}
                Err(error) => return Err(error),
            }
        };
        let words: Vec<&str> = start.split(' ').collect();
        let (id, full) = {
            let state = self.service.state();
            let database = &state.databases[self.index];
            (
                database.id.clone(),
                database.connections >= state.max_connections,
            )
        };
        let right = words.first() == Some(&"START")
            && words.get(1) == Some(&self.service.name.as_str())
            && words.get(3).is_none_or(|expected| **expected == id);
        if !right || full {
            let code = if right { "TOOMANY" } else { "MISROUTED" };
            return writer.write_all(format!("ERROR {code} {id}\r\n").as_bytes());
        }
        self.service.state().databases[self.index].connections += 1;
        let served = self.serve_queries(&mut lines, &mut writer);
        self.service.state().databases[self.index].connections -= 1;
        served
    }

    fn serve_queries(&mut self, lines: &mut Lines, writer: &mut TcpStream) -> std::io::Result<()> {
        writer.write_all(format!("{}\r\n", self.ready()).as_bytes())?;
        loop {
            let line = match lines.next() {
                Ok(Some(line)) => line,
                Ok(None) => return Ok(()),
                Err(error) if is_timeout(&error) => {
                    if self.is_gone() {
                        return Ok(());
                    }
                    continue;
                }
                Err(error) => return Err(error),
            };
            if self.no_answer.is_some() {
                continue;
            }
            if self.is_gone() {
                return Ok(());
            }
            let Some((id, text)) = line.strip_prefix("QUERY ").and_then(|q| q.split_once(' '))
            else {
                return Ok(());
            };
            let mut answer = self.answer(id, text);
            answer.push(self.ready());
            let place = format!(
                "{}#{}",
                self.service.state().databases[self.index].id,
                self.number
            );
            if !text.starts_with("STATUS") && id != "-" {
                self.service
                    .record
                    .note(format!("{place} {id} {text} -> {}", answer.join(" | ")));
            }
            if self.is_gone() || self.no_answer == Some(true) {
                return Ok(());
            }
            if self.no_answer.is_none() {
                writer.write_all(format!("{}\r\n", answer.join("\r\n")).as_bytes())?;
            }
        }
    }

    /// Returns whether the database has crashed since the connection was opened.
    fn is_gone(&self) -> bool {
        let state = self.service.state();
        state.down.contains(&self.index) || state.crashes[self.index] != self.crashes
    }

    fn ready(&self) -> String {
        let (term, number) = self.service.state().position(self.index);
        let state = match &self.transaction {
            None => "I",
            Some(transaction) if transaction.failed => "E",
            Some(_) => "T",
        };
        format!("READY {state} {term}.{number}")
    }

    fn leads(&self) -> bool {
        self.service.state().primary == self.index
    }

    fn id(&self) -> String {
        self.service.state().databases[self.index].id.clone()
    }

    fn answer(&mut self, id: &str, text: &str) -> Answer {
        let (after, text) = match text.strip_prefix("AFTER ").and_then(|t| t.split_once(' ')) {
            Some((position, rest)) => (parse_position(position), rest),
            None => (None, text),
        };
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        if self.transaction.as_ref().is_some_and(|open| open.failed) && word != "ROLLBACK" {
            return error("MALFORMED", "the transaction has failed");
        }
        let lost_lead = {
            let state = self.service.state();
            let open = self.transaction.as_ref().filter(|open| open.read_write);
            open.is_some_and(|open| state.primary != self.index || state.term != open.term)
        };
        let wrote = self
            .transaction
            .as_ref()
            .is_some_and(|open| !open.writes.is_empty());
        if lost_lead && word != "ROLLBACK" && !(word == "COMMIT" && !wrote) {
            return self.fail(error("READONLY", &self.id()));
        }
        if let Some(after) = after
            && self.service.state().position(self.index) < after
        {
            return error("LAGGING", &self.id());
        }
        match word {
            "BEGIN" => self.begin(rest == "READ"),
            "COMMIT" => self.commit(id),
            "ROLLBACK" => {
                self.transaction = None;
                done()
            }
            "READ" => self.read(id, rest, text),
            "WRITE" => self.write(id, rest, text),
            "SET" => {
                let (name, value) = rest.split_once(' ').unwrap_or((rest, ""));
                self.values.insert(name.to_owned(), value.to_owned());
                done()
            }
            "PREPARE" => {
                let (name, shape) = rest.split_once(' ').unwrap_or((rest, ""));
                self.prepared.insert(name.to_owned(), shape.to_owned());
                done()
            }
            "EXECUTE" => {
                let (name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
                match self.prepared.get(name).cloned() {
                    None => self.fail(error("UNKNOWN", name)),
                    Some(shape) => {
                        let ran = format!("EXECUTE {shape} {arguments}");
                        if shape.starts_with("WRITE ") {
                            self.write(id, arguments, &ran)
                        } else {
                            self.read(id, arguments, &ran)
                        }
                    }
                }
            }
            "RESET" => {
                self.values.clear();
                self.prepared.clear();
                done()
            }
            "STATUS" => {
                let state = self.service.state();
                let (term, number) = state.position(self.index);
                let role = if state.primary == self.index {
                    "primary"
                } else {
                    "replica"
                };
                let connections = state.databases[self.index].connections;
                let status = format!(
                    "ROW {role} {} {term}.{number} {term} 0 0 {connections}",
                    state.term
                );
                vec![status, "DONE -".to_owned()]
            }
            "RESUME" | "PAUSE" | "DEMOTE" => done(),
            _ => self.fail(error("MALFORMED", "not known")),
        }
    }

    /// Marks an open transaction as failed.
    fn fail(&mut self, answer: Answer) -> Answer {
        if let Some(open) = &mut self.transaction {
            open.failed = true;
        }
        answer
    }

    fn begin(&mut self, read_only: bool) -> Answer {
        if !read_only && !self.leads() {
            return error("READONLY", &self.id());
        }
        let term = self.service.state().term;
        self.transaction = Some(Transaction {
            read_write: !read_only,
            term,
            failed: false,
            writes: Vec::new(),
            statements: Vec::new(),
        });
        done()
    }

    fn signature(&self) -> String {
        let mut state = self.service.state();
        state.signed += 1;
        format!(
            "DONE {}.{}.{:x}",
            state.term,
            self.index,
            state.signed + 0x9000
        )
    }

    fn read(&mut self, id: &str, thing: &str, text: &str) -> Answer {
        thread::sleep(WORK_TIME);
        let verdict = self.verdict(id, Kind::Read, text);
        if verdict == Verdict::Busy {
            return self.fail(error("BUSY", "too much work"));
        }
        let found = {
            let state = self.service.state();
            let received = state.received(self.index);
            let newest = state.log[..received]
                .iter()
                .rev()
                .find(|entry| entry.thing == thing);
            newest.map_or("none".to_owned(), |entry| entry.data.clone())
        };
        self.ran(id);
        let answer = vec![format!("ROW {found}"), self.signature()];
        self.conclude(verdict, answer)
    }

    /// Notes a statement that the open transaction has run.
    fn ran(&mut self, id: &str) {
        if let Some(open) = &mut self.transaction {
            open.statements.push(id.to_owned());
        }
    }

    /// Returns the answer to a statement that was run.
    fn conclude(&mut self, verdict: Verdict, answer: Answer) -> Answer {
        match verdict {
            Verdict::RunAndTimeOut => self.fail(error("TIMEOUT", "it took too long")),
            Verdict::RunAndFail => self.fail(error("FAILED", "it failed")),
            Verdict::RunAndLose => {
                self.no_answer = Some(false);
                answer
            }
            Verdict::RunAndBreak => {
                self.no_answer = Some(true);
                answer
            }
            Verdict::Run | Verdict::Busy => answer,
        }
    }

    fn verdict(&self, id: &str, kind: Kind, text: &str) -> Verdict {
        let state = self.service.state();
        let incoming = Incoming {
            kind,
            text,
            database: self.index,
            id,
            values: &self.values,
            transaction: self
                .transaction
                .as_ref()
                .map(|open| open.statements.as_slice()),
            received: state.received(self.index),
        };
        (self.service.disruption)(&incoming, &state)
    }

    fn write(&mut self, id: &str, rest: &str, text: &str) -> Answer {
        if !self.leads() {
            return self.fail(error("READONLY", &self.id()));
        }
        thread::sleep(WORK_TIME);
        if self
            .transaction
            .as_ref()
            .is_some_and(|open| !open.read_write)
        {
            return self.fail(error("READONLY", "a read-only transaction"));
        }
        let (thing, data) = rest.split_once(' ').unwrap_or((rest, ""));
        let write = (id.to_owned(), thing.to_owned(), data.to_owned());
        let verdict = self.verdict(id, Kind::Write, text);
        if verdict == Verdict::Busy {
            return self.fail(error("BUSY", "too much work"));
        }
        self.ran(id);
        if let Some(open) = &mut self.transaction {
            open.writes.push(write);
        } else if !self.apply(vec![write], id) {
            return error("READONLY", &self.id());
        }
        let answer = vec![self.signature()];
        self.conclude(verdict, answer)
    }

    fn commit(&mut self, id: &str) -> Answer {
        if self.transaction.is_none() {
            return error("MALFORMED", "no transaction is open");
        }
        thread::sleep(WORK_TIME);
        let verdict = self.verdict(id, Kind::Commit, "COMMIT");
        if verdict == Verdict::Busy {
            return error("BUSY", "too much work");
        }
        let Some(open) = self.transaction.take() else {
            return error("MALFORMED", "no transaction is open");
        };
        if !open.writes.is_empty() && !self.apply(open.writes, id) {
            return error("READONLY", &self.id());
        }
        let answer = vec![self.signature()];
        self.conclude(verdict, answer)
    }

    /// Appends writes to the log and waits until enough replicas have received them. Returns whether
    /// the database still leads.
    fn apply(&self, writes: Vec<(String, String, String)>, commit: &str) -> bool {
        let mut state = self.service.state();
        if state.primary != self.index || state.down.contains(&self.index) {
            return false;
        }
        let term = state.term;
        for (id, thing, data) in writes {
            state.log.push(Entry {
                term,
                at: Instant::now(),
                id,
                commit: commit.to_owned(),
                thing,
                data,
            });
        }
        let length = state.log.len();
        while state.replicas_with(length) < state.sync_replicas {
            drop(state);
            thread::sleep(Duration::from_micros(500));
            state = self.service.state();
            if state.primary != self.index || state.crashes[self.index] != self.crashes {
                return true;
            }
        }
        true
    }
}

fn parse_position(text: &str) -> Option<(u64, usize)> {
    let (term, number) = text.split_once('.')?;
    Some((term.parse().ok()?, number.parse().ok()?))
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
    )
}

/// Lines that end with CR LF.
pub struct Lines {
    reader: BufReader<TcpStream>,
    unfinished: Vec<u8>,
}

impl Lines {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            reader: BufReader::new(stream),
            unfinished: Vec::new(),
        }
    }

    /// Returns the next line, or `None` at the end.
    pub fn next(&mut self) -> std::io::Result<Option<String>> {
        let mut byte = [0];
        loop {
            if self.reader.read(&mut byte)? == 0 {
                return Ok(None);
            }
            self.unfinished.push(byte[0]);
            if self.unfinished.ends_with(b"\r\n") {
                let mut line = std::mem::take(&mut self.unfinished);
                line.truncate(line.len() - 2);
                return Ok(Some(String::from_utf8_lossy(&line).into_owned()));
            }
        }
    }
}

/// Returns the ids of the writes that are in the log more than once.
pub fn applied_twice(log: &[Entry]) -> BTreeSet<String> {
    let mut seen = BTreeSet::new();
    let again = log.iter().filter(|entry| !seen.insert(&entry.id));
    again.map(|entry| entry.id.clone()).collect()
}
