//! A search: clients of all kinds, databases that answer in every allowed way, crashes of the
//! primary, and nodes that are killed or stand still. Each statement that a database runs is
//! compared with what its client sent, and each answer with what was run.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::client::{Answer, Session, is_promise};
use crate::database::{Incoming, Kind, State, Verdict};
use crate::deployment::{Deployment, Plan};
use crate::record::Record;

/// `config_apply_ms`.
const CONFIG_APPLY: Duration = Duration::from_millis(5_000);

/// What a client expects of a statement that it sent.
#[derive(Clone)]
struct Expected {
    session: String,
    text: String,
    values: BTreeMap<String, String>,
    /// Ids of the statements of its transaction so far; `None` outside one.
    transaction: Option<Vec<String>>,
    /// When the first byte of the statement, or of its transaction, was sent.
    first_byte: Instant,
    /// How old a read may be; `None` for a statement that is not a read.
    staleness: Option<Duration>,
    own_writes: bool,
    host: &'static str,
}

#[derive(Default)]
struct Oracle {
    expected: BTreeMap<String, Expected>,
    /// When the commit of each write was acknowledged, and to which session.
    acknowledged: Vec<(Instant, String, String)>,
    ran: BTreeSet<String>,
    /// Statements whose connection ended without an answer, and how long they had waited.
    cut: Vec<(String, Duration)>,
    committed: BTreeSet<String>,
    violations: Vec<String>,
    /// Which service serves `slot`, and when that was acknowledged.
    slot: Vec<(Instant, &'static str)>,
}

impl Oracle {
    fn check(&mut self, incoming: &Incoming<'_>, state: &State) {
        let Some(expected) = self.expected.get(incoming.id).cloned() else {
            let found = format!("UNASKED: {} {}", incoming.id, incoming.text);
            self.violations.push(found);
            return;
        };
        self.ran.insert(incoming.id.to_owned());
        if expected.text != incoming.text {
            let text = &expected.text;
            self.violations.push(format!(
                "UNASKED: {} ran as {}, sent as {text}",
                incoming.id, incoming.text
            ));
        }
        if incoming.kind != Kind::Commit && expected.values != *incoming.values {
            let found = format!(
                "PINNED: {} ran with {:?}, expected {:?}",
                incoming.id, incoming.values, expected.values
            );
            self.violations.push(found);
        }
        if expected.host == "slot" && incoming.kind != Kind::Commit {
            let at = expected.first_byte;
            let last = self
                .slot
                .iter()
                .rposition(|(since, _)| *since + CONFIG_APPLY < at)
                .unwrap_or(0);
            let allowed: Vec<&str> = self.slot[last..]
                .iter()
                .map(|(_, service)| *service)
                .collect();
            if !self.slot.is_empty() && !allowed.contains(&state.name.as_str()) {
                self.violations.push(format!(
                    "CONFIG: {} ran at {}, allowed {allowed:?}",
                    incoming.id, state.name
                ));
            }
        } else if state.name != crate::deployment::SERVICE && expected.host != "slot" {
            self.violations
                .push(format!("ROUTE: {} ran at {}", incoming.id, state.name));
        }
        let open: Vec<&String> = incoming.transaction.into_iter().flatten().collect();
        let wanted: Vec<&String> = expected.transaction.iter().flatten().collect();
        if open != wanted {
            let found = format!(
                "PINNED: {} {} ran after {open:?}, expected {wanted:?}",
                incoming.id, incoming.text
            );
            self.violations.push(found);
        }
        let Some(staleness) = expected.staleness else {
            return;
        };
        let present: BTreeMap<&str, usize> = state
            .log
            .iter()
            .enumerate()
            .rev()
            .take(3_000)
            .map(|(index, entry)| (entry.id.as_str(), index))
            .collect();
        for (at, session, write) in self.acknowledged.iter().rev().take(2_000) {
            let required = expected
                .first_byte
                .checked_duration_since(*at)
                .is_some_and(|age| age > staleness);
            let own =
                expected.own_writes && *session == expected.session && *at < expected.first_byte;
            let missing = present
                .get(write.as_str())
                .is_some_and(|index| *index >= incoming.received);
            if (required || own) && missing {
                let found = format!(
                    "STALE: {} ran on {} without {write} (own: {own})",
                    incoming.id, incoming.database
                );
                self.violations.push(found);
                return;
            }
        }
    }
}

/// A small generator of random numbers.
struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % limit
    }
}

struct Client {
    number: usize,
    front: std::net::SocketAddr,
    oracle: Arc<Mutex<Oracle>>,
    record: Arc<Record>,
    random: Random,
    next_id: u64,
    until: Instant,
    sessions: u64,
    answered: Arc<AtomicU64>,
}

struct Open {
    session: Session,
    name: String,
    host: &'static str,
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, String>,
}

impl Client {
    fn work(&mut self) {
        while Instant::now() < self.until {
            let (host, _) =
                [("accept", 0), ("tracker", 1), ("slot", 2)][self.random.below(3) as usize];
            self.sessions += 1;
            let name = format!("c{}s{}", self.number, self.sessions);
            match Session::open(self.front, host, &name, &self.record) {
                Ok(session) => {
                    let mut open = Open {
                        session,
                        name,
                        host,
                        values: BTreeMap::new(),
                        prepared: BTreeMap::new(),
                    };
                    let operations = 1 + self.random.below(25);
                    for _ in 0..operations {
                        if Instant::now() >= self.until
                            || !matches!(self.operation(&mut open), Ok(true))
                        {
                            break;
                        }
                    }
                }
                Err(_) => thread::sleep(Duration::from_millis(50)),
            }
        }
    }

    fn id(&mut self) -> String {
        self.next_id += 1;
        format!("{:02x}{:07x}", self.number, self.next_id)
    }

    fn ask(&self, open: &mut Open, id: &str, text: &str) -> std::io::Result<Answer> {
        let asked = Instant::now();
        let answer = open.session.query(id, text);
        if answer
            .as_ref()
            .is_err_and(|error| error.kind() != std::io::ErrorKind::WouldBlock)
        {
            let cut = (id.to_owned(), asked.elapsed());
            self.oracle.lock().unwrap().cut.push(cut);
        }
        if answer
            .as_ref()
            .is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
        {
            let found = format!("UNANSWERED: {id} {text}");
            self.oracle.lock().unwrap().violations.push(found);
        }
        answer
    }

    /// Sends a statement that answers by itself. Returns whether it succeeded.
    fn set_up(&mut self, open: &mut Open, text: &str) -> std::io::Result<bool> {
        let id = self.id();
        Ok(self.ask(open, &id, text)?.code.is_none())
    }

    /// Returns a read or write as sent, and as a database runs it.
    fn statement(&mut self, open: &Open, write: bool) -> (String, String) {
        let thing = format!("t{}", self.random.below(30));
        let data = if write {
            format!(" d{:x}", self.random.below(1 << 40))
        } else {
            String::new()
        };
        let word = if write { "WRITE" } else { "READ" };
        let usable: Vec<_> = open
            .prepared
            .iter()
            .filter(|(_, shape)| shape.starts_with(word))
            .collect();
        if !usable.is_empty() && self.random.below(2) == 0 {
            let (name, shape) = usable[self.random.below(usable.len() as u64) as usize];
            return (
                format!("EXECUTE {name} {thing}{data}"),
                format!("EXECUTE {shape} {thing}{data}"),
            );
        }
        let text = format!("{word} {thing}{data}");
        (text.clone(), text)
    }

    fn expect(
        &self,
        open: &Open,
        id: &str,
        text: &str,
        is_read: bool,
        transaction: Option<&Vec<String>>,
        first: Instant,
    ) {
        let staleness = match open.host {
            "accept" => Duration::ZERO,
            "tracker" => Duration::from_millis(1_500),
            _ => Duration::from_millis(2_500),
        };
        let expected = Expected {
            session: open.name.clone(),
            text: text.to_owned(),
            values: open.values.clone(),
            transaction: transaction.cloned(),
            first_byte: first,
            staleness: is_read.then_some(staleness),
            own_writes: open.host == "slot",
            host: open.host,
        };
        self.oracle
            .lock()
            .unwrap()
            .expected
            .insert(id.to_owned(), expected);
    }

    fn acknowledge(&self, open: &Open, writes: &[String]) {
        let mut oracle = self.oracle.lock().unwrap();
        for write in writes {
            oracle
                .acknowledged
                .push((Instant::now(), open.name.clone(), write.clone()));
        }
    }

    /// Returns whether the session goes on.
    fn operation(&mut self, open: &mut Open) -> std::io::Result<bool> {
        if self.random.below(4) == 0 {
            thread::sleep(Duration::from_millis(self.random.below(150)));
        }
        match self.random.below(12) {
            0 => {
                let (name, value) = (
                    format!("n{}", self.random.below(3)),
                    format!("v{}", self.random.below(4)),
                );
                open.values.insert(name.clone(), value.clone());
                self.set_up(open, &format!("SET {name} {value}"))
            }
            1 => {
                let word = if self.random.below(2) == 0 {
                    "READ"
                } else {
                    "WRITE"
                };
                let (name, shape) = (
                    format!("p{}", self.random.below(3)),
                    format!("{word} q{}", self.random.below(5)),
                );
                open.prepared.insert(name.clone(), shape.clone());
                self.set_up(open, &format!("PREPARE {name} {shape}"))
            }
            2 if !open.prepared.is_empty() => {
                let name = open.prepared.keys().next().cloned().unwrap_or_default();
                open.prepared.remove(&name);
                self.set_up(open, &format!("DEALLOCATE {name}"))
            }
            3..=7 => self.transaction(open),
            _ => self.single(open),
        }
    }

    fn single(&mut self, open: &mut Open) -> std::io::Result<bool> {
        let leaves = self.random.below(60) == 0;
        let write = open.host != "tracker" && self.random.below(3) == 0;
        let (sent, ran) = self.statement(open, write);
        let id = self.id();
        self.expect(open, &id, &ran, !write, None, Instant::now());
        if leaves {
            open.session.send_only(&id, &sent)?;
            thread::sleep(Duration::from_millis(self.random.below(6)));
            return Ok(false);
        }
        let answer = self.ask(open, &id, &sent)?;
        self.answered.fetch_add(1, Ordering::Relaxed);
        match answer.code.as_deref() {
            None if write => self.acknowledge(open, &[id]),
            None => {}
            Some(code) => self.judge_failure(&id, code),
        }
        Ok(answer.state == "I")
    }

    fn judge_failure(&self, id: &str, code: &str) {
        let mut oracle = self.oracle.lock().unwrap();
        if code == "UNKNOWN" {
            oracle.violations.push(format!("PINNED: {id} got UNKNOWN"));
        }
        if is_promise(code) {
            oracle.committed.insert(format!("promised {id}"));
        }
    }

    fn transaction(&mut self, open: &mut Open) -> std::io::Result<bool> {
        let read_only = open.host == "tracker" || self.random.below(3) == 0;
        let first = Instant::now();
        if !self.set_up(open, if read_only { "BEGIN READ" } else { "BEGIN" })? {
            return Ok(false);
        }
        let mut statements: Vec<String> = Vec::new();
        let mut writes = Vec::new();
        for _ in 0..=self.random.below(5) {
            if self.random.below(5) == 0 {
                let (name, value) = (
                    format!("n{}", self.random.below(3)),
                    format!("v{}", self.random.below(4)),
                );
                open.values.insert(name.clone(), value.clone());
                if !self.set_up(open, &format!("SET {name} {value}"))? {
                    return Ok(false);
                }
            }
            let write = !read_only && self.random.below(2) == 0;
            let (sent, ran) = self.statement(open, write);
            let id = self.id();
            self.expect(open, &id, &ran, !write, Some(&statements), first);
            if self.random.below(80) == 0 {
                open.session.send_only(&id, &sent)?;
                thread::sleep(Duration::from_millis(self.random.below(6)));
                return Ok(false);
            }
            let answer = self.ask(open, &id, &sent)?;
            self.answered.fetch_add(1, Ordering::Relaxed);
            if let Some(code) = answer.code {
                self.judge_failure(&id, &code);
                // The client closes the session, or ends the transaction.
                return if self.random.below(2) == 0 {
                    self.set_up(open, "ROLLBACK")
                } else {
                    Ok(false)
                };
            }
            statements.push(id.clone());
            if write {
                writes.push(id);
            }
            if self.random.below(6) == 0 {
                thread::sleep(Duration::from_millis(self.random.below(120)));
            }
        }
        match self.random.below(6) {
            0 => return self.set_up(open, "ROLLBACK"),
            1 if self.random.below(3) == 0 => return Ok(false),
            _ => {}
        }
        let id = self.id();
        self.expect(open, &id, "COMMIT", false, Some(&statements), first);
        let answer = self.ask(open, &id, "COMMIT")?;
        match answer.code.as_deref() {
            None => self.acknowledge(open, &writes),
            Some(code) => self.judge_failure(&id, code),
        }
        Ok(answer.state == "I")
    }
}

/// Shares, in thousandths, of the answers that a database gives.
#[derive(Clone, Copy)]
struct Shares {
    busy: u64,
    timed_out: u64,
    failed: u64,
    lost: u64,
    broken: u64,
}

pub fn search(root: &Path, trouble: bool, record: &Arc<Record>) -> Outcome {
    let number = |name: &str, otherwise: u64| -> u64 {
        std::env::var(name)
            .ok()
            .and_then(|text| text.parse().ok())
            .unwrap_or(otherwise)
    };
    let seed = number("SEED", 7);
    let shares = Shares {
        busy: number("BUSY", 60),
        timed_out: number("TIMED_OUT", 0),
        failed: number("FAILED", 0),
        lost: number("LOST", 10),
        broken: number("BROKEN", 10),
    };
    let on = Arc::new(AtomicBool::new(false));
    let mut version = 7;
    let oracle = Arc::new(Mutex::new(Oracle::default()));
    let random = Arc::new(Mutex::new(Random(
        seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1,
    )));
    let (checked, disturbed) = (Arc::clone(&oracle), Arc::clone(&on));
    let disruption = move |incoming: &Incoming<'_>, state: &State| {
        let mut oracle = checked.lock().unwrap();
        oracle.check(incoming, state);
        if !disturbed.load(Ordering::Relaxed) {
            return Verdict::Run;
        }
        let drawn = random.lock().unwrap().below(1_000);
        let Shares {
            busy,
            timed_out,
            failed,
            lost,
            broken,
        } = shares;
        let steps = [
            (busy, Verdict::Busy),
            (timed_out, Verdict::RunAndTimeOut),
            (failed, Verdict::RunAndFail),
            (lost, Verdict::RunAndLose),
            (broken, Verdict::RunAndBreak),
        ];
        let mut upper = 0;
        for (share, verdict) in steps {
            upper += share;
            if drawn < upper {
                return verdict;
            }
        }
        Verdict::Run
    };
    let plan = Plan {
        nodes: number("NODES", 9) as usize,
        max_connections: number("CONNECTIONS", 23) as usize,
        fenced: number("FENCED", 1) == 1,
        sync_replicas: number("SYNC", 0) as usize,
        further: vec![Box::new(disruption.clone())],
        databases: 3,
        disruption: Box::new(disruption),
    };
    let Some(mut deployment) = Deployment::start(plan, root, record) else {
        return Outcome::NotRun;
    };
    oracle
        .lock()
        .unwrap()
        .slot
        .push((Instant::now(), crate::deployment::SERVICE));
    on.store(trouble, Ordering::Relaxed);
    let until = Instant::now() + Duration::from_secs(number("SECONDS", 30));
    let answered = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = deployment
        .nodes
        .iter()
        .cycle()
        .take(deployment.nodes.len() * 3)
        .enumerate()
        .map(|(number, node)| {
            let mut client = Client {
                number,
                front: node.front,
                oracle: Arc::clone(&oracle),
                record: Arc::clone(record),
                random: Random((seed + 1) * 7_919 + number as u64 * 104_729 + 1),
                next_id: 0,
                until,
                sessions: 0,
                answered: Arc::clone(&answered),
            };
            thread::spawn(move || client.work())
        })
        .collect();
    let mut random = Random(seed * 31 + 5);
    while trouble && Instant::now() + Duration::from_secs(4) < until {
        thread::sleep(Duration::from_millis(1_000 + random.below(2_500)));
        let count = deployment.nodes.len() as u64;
        match number("ONLY", random.below(number("EVENTS", 5))) {
            0 => {
                let primary = deployment.service.state().primary;
                record.note(format!("primary {primary} crashes"));
                deployment.service.state().crash(primary);
                thread::sleep(Duration::from_millis(500 + random.below(2_500)));
                deployment.service.state().restart(primary);
                record.note(format!("database {primary} is back"));
            }
            1 => {
                let node = &mut deployment.nodes[random.below(count) as usize];
                record.note(format!("{} is killed", node.name));
                node.kill();
                thread::sleep(Duration::from_millis(300));
                node.start_again();
            }
            2 => {
                let node = &deployment.nodes[random.below(count) as usize];
                record.note(format!("{} stands still", node.name));
                node.signal("-STOP");
                thread::sleep(Duration::from_millis(300 + random.below(2_500)));
                node.signal("-CONT");
            }
            4 => {
                let seconds = 1_000 + random.below(6_000);
                record.note(format!("the store is down for {seconds} ms"));
                deployment.store.is_down.store(true, Ordering::Relaxed);
                thread::sleep(Duration::from_millis(seconds));
                deployment.store.is_down.store(false, Ordering::Relaxed);
            }
            5 => {
                let late = !deployment.late_orders.load(Ordering::Relaxed);
                record.note(format!("orders are late: {late}"));
                deployment.late_orders.store(late, Ordering::Relaxed);
            }
            6 => {
                record.note("all nodes are killed".to_owned());
                for node in &mut deployment.nodes {
                    node.kill();
                }
                for node in &mut deployment.nodes {
                    node.start_again();
                }
            }
            7 => {
                let replica = (deployment.service.state().primary + 2) % 3;
                record.note(format!("the entry of {replica} goes for a moment"));
                deployment.registry.remove(replica);
                thread::sleep(Duration::from_millis(2_000 + random.below(3_000)));
                deployment.registry.add(replica);
            }
            8 => {
                let replica = (deployment.service.state().primary + 1) % 3;
                record.note(format!("replica {replica} crashes"));
                deployment.service.state().crash(replica);
                thread::sleep(Duration::from_millis(500 + random.below(1_500)));
                deployment.service.state().restart(replica);
            }
            10 => {
                version += 3;
                let service = if version % 2 == 0 {
                    crate::deployment::SERVICE
                } else {
                    crate::deployment::SECOND_SERVICE
                };
                record.note(format!("version {version}: slot is served by {service}"));
                deployment.configure(version, service, 800 + version * 10);
                oracle.lock().unwrap().slot.push((Instant::now(), service));
            }
            11 => {
                let node = &mut deployment.nodes[random.below(count) as usize];
                record.note(format!("{} gets SIGTERM", node.name));
                node.signal("-TERM");
                let patience = Instant::now() + Duration::from_millis(6_200);
                while !node.has_ended() && Instant::now() < patience {
                    thread::sleep(Duration::from_millis(20));
                }
                node.kill();
                node.start_again();
            }
            13 => {
                let copy = deployment.store.copy();
                thread::sleep(Duration::from_millis(1_000 + random.below(3_000)));
                record.note("the store comes back from a copy".to_owned());
                deployment.store.is_down.store(true, Ordering::Relaxed);
                thread::sleep(Duration::from_millis(300 + random.below(700)));
                version += 2;
                let service = oracle
                    .lock()
                    .unwrap()
                    .slot
                    .last()
                    .map_or("orders", |last| last.1);
                deployment.store.is_down.store(false, Ordering::Relaxed);
                deployment.restore_store(&copy, version, service);
            }
            14 => {
                let copy = deployment.store.copy();
                let primary = deployment.service.state().primary;
                record.note(format!(
                    "primary {primary} crashes, and the store comes back from a copy"
                ));
                deployment.service.state().crash(primary);
                thread::sleep(Duration::from_millis(200 + random.below(1_800)));
                deployment.store.is_down.store(true, Ordering::Relaxed);
                thread::sleep(Duration::from_millis(100 + random.below(500)));
                version += 2;
                let service = oracle
                    .lock()
                    .unwrap()
                    .slot
                    .last()
                    .map_or("orders", |last| last.1);
                deployment.store.is_down.store(false, Ordering::Relaxed);
                deployment.restore_store(&copy, version, service);
                deployment.service.state().restart(primary);
            }
            12 => {
                version += 3;
                deployment.configure(
                    version,
                    oracle
                        .lock()
                        .unwrap()
                        .slot
                        .last()
                        .map_or("orders", |last| last.1),
                    700 + version,
                );
            }
            9 => {
                let primary = deployment.service.state().primary;
                let node = random.below(count) as usize;
                record.note(format!(
                    "primary {primary} crashes as {} stands still",
                    deployment.nodes[node].name
                ));
                deployment.nodes[node].signal("-STOP");
                deployment.service.state().crash(primary);
                thread::sleep(Duration::from_millis(1_500 + random.below(2_500)));
                deployment.service.state().restart(primary);
                deployment.nodes[node].signal("-CONT");
            }
            3 => {
                let replica = {
                    let state = deployment.service.state();
                    (state.primary + 1) % 3
                };
                deployment
                    .service
                    .state()
                    .set_lag(replica, Duration::from_millis(800));
                thread::sleep(Duration::from_millis(2_000));
                deployment
                    .service
                    .state()
                    .set_lag(replica, Duration::from_millis(8));
            }
            _ => {}
        }
    }
    for client in clients {
        let _ended = client.join();
    }
    on.store(false, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(1_500));
    deployment.note_events(&[
        "answer_misplaced",
        "commit_unknown",
        "transaction_ended",
        "leader_confirmed",
        "started",
    ]);
    let log = deployment.service.state().log.clone();
    let mut oracle = oracle.lock().unwrap();
    for id in crate::database::applied_twice(&log) {
        oracle.violations.push(format!("TWICE: {id}"));
    }
    let rolled_back = deployment.service.state().rolled_back.clone();
    if deployment.service.state().sync_replicas > 0 {
        let lost: Vec<String> = oracle
            .acknowledged
            .iter()
            .map(|(_, _, id)| id.clone())
            .filter(|id| rolled_back.contains(id))
            .collect();
        for id in lost {
            oracle.violations.push(format!("LOST: {id}"));
        }
    }
    for entry in &log {
        if oracle
            .committed
            .contains(&format!("promised {}", entry.commit))
        {
            oracle.violations.push(format!("REFUSED: {}", entry.commit));
        }
    }
    if std::env::var("ONLY").is_ok_and(|only| only == "11") {
        let cut = oracle.cut.clone();
        for (id, waited) in cut {
            if oracle.ran.contains(&id) || waited > Duration::from_millis(200) {
                oracle
                    .violations
                    .push(format!("CUT: {id} after {waited:?}"));
            }
        }
        println!("{} cut", oracle.cut.len());
    }
    let ended = deployment.lost_a_process();
    println!(
        "{} answered, {} acknowledged, term {}, process ended: {ended}, {} violations",
        answered.load(Ordering::Relaxed),
        oracle.acknowledged.len(),
        deployment.service.state().term,
        oracle.violations.len()
    );
    for violation in oracle.violations.iter().take(12) {
        println!("  {violation}");
    }
    for violation in &oracle.violations {
        record.note(violation.clone());
    }
    if oracle.violations.is_empty() && !ended {
        Outcome::Held
    } else {
        Outcome::Broken
    }
}
