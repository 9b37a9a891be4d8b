//! The cases.

use std::collections::BTreeSet;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::client::{Session, is_promise};
use crate::database::{Disruption, Kind, Verdict, applied_twice};
use crate::deployment::{Deployment, Plan};
use crate::record::Record;

/// How long the clients work.
const PLAY_TIME: Duration = Duration::from_secs(8);
/// How long the database fails a part of its requests; at most 6.5 s on the pages.
const GREY_TIME: Duration = Duration::from_secs(6);
/// Pause of a client between two operations.
const PAUSE: Duration = Duration::from_millis(40);
/// Nodes and connections of the small deployment on the page of the PCB platform.
const NODES: usize = 9;
const CONNECTIONS: usize = 23;

pub fn run(case: &str, root: &Path, trouble: bool, record: &Arc<Record>) -> Outcome {
    match case {
        "single-write" => errors_after_run(root, trouble, record, false),
        "silent-leave" => silent_leave(root, trouble, record, false),
        "restarted-coordinator" => silent_leave(root, trouble, record, true),
        "commit" => errors_after_run(root, trouble, record, true),
        "empty-primary" => empty_primary(root, trouble, record),
        "mixed" => crate::mixed::search(root, trouble, record),
        _ => Outcome::NotRun,
    }
}

/// Returns a disruption that lets the primary fail a share of its writes and commits while `on`.
/// The shares are in hundredths, one for BUSY (not run) and one for TIMEOUT (run).
fn grey(on: &Arc<AtomicBool>, busy: u64, timed_out: u64) -> Box<Disruption> {
    let on = Arc::clone(on);
    let drawn = AtomicU64::new(0);
    Box::new(move |incoming, _| {
        let at_risk = match incoming.kind {
            Kind::Read => false,
            Kind::Write => incoming.transaction.is_none(),
            Kind::Commit => true,
        };
        if !at_risk || !on.load(Ordering::Relaxed) {
            return Verdict::Run;
        }
        let number = drawn.fetch_add(1, Ordering::Relaxed).wrapping_add(1);
        let share = number.wrapping_mul(0x9E37_79B9_7F4A_7C15).rotate_left(23) % 100;
        if share < busy {
            Verdict::Busy
        } else if share < busy + timed_out {
            Verdict::RunAndTimeOut
        } else {
            Verdict::Run
        }
    })
}

/// Ids of attempts by what their clients were told.
#[derive(Default)]
struct Told {
    promised: Mutex<BTreeSet<String>>,
    answered: AtomicU64,
}

/// Cases 4 and 5: the primary fails a part of its requests while its health is good.
fn errors_after_run(
    root: &Path,
    trouble: bool,
    record: &Arc<Record>,
    transactions: bool,
) -> Outcome {
    let on = Arc::new(AtomicBool::new(false));
    let disruption = if transactions {
        grey(&on, 20, 20)
    } else {
        grey(&on, 0, 40)
    };
    let plan = Plan {
        nodes: NODES,
        max_connections: CONNECTIONS,
        fenced: false,
        sync_replicas: 0,
        further: vec![Box::new(|_, _| Verdict::Run), Box::new(|_, _| Verdict::Run)],
        databases: 3,
        disruption,
    };
    let Some(mut deployment) = Deployment::start(plan, root, record) else {
        return Outcome::NotRun;
    };
    on.store(trouble, Ordering::Relaxed);
    let told = Arc::new(Told::default());
    let until = Instant::now() + PLAY_TIME;
    let clients: Vec<_> = deployment
        .nodes
        .iter()
        .flat_map(|node| [(node.front, 0), (node.front, 1)])
        .enumerate()
        .map(|(number, (front, _))| {
            let (record, told) = (Arc::clone(record), Arc::clone(&told));
            thread::spawn(move || {
                let mut operation = 0;
                while Instant::now() < until {
                    let name = format!("c{number}");
                    let Ok(mut session) = Session::open(front, "accept", &name, &record) else {
                        thread::sleep(PAUSE);
                        continue;
                    };
                    let _ended = play(
                        &mut session,
                        number,
                        &mut operation,
                        transactions,
                        &told,
                        until,
                    );
                }
            })
        })
        .collect();
    thread::sleep(GREY_TIME);
    on.store(false, Ordering::Relaxed);
    record.note("the primary is well again".to_owned());
    for client in clients {
        let _ended = client.join();
    }
    on.store(false, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(1_500));
    deployment.note_events(&["answer_misplaced", "commit_unknown", "started"]);
    if deployment.lost_a_process() || told.answered.load(Ordering::Relaxed) < 100 {
        return Outcome::NotRun;
    }
    let log = deployment.service.state().log.clone();
    let twice = applied_twice(&log);
    for id in &twice {
        record.note(format!("TWICE: write {id} is in the log more than once"));
    }
    let promised = told.promised.lock().unwrap().clone();
    let kept: BTreeSet<&String> = log
        .iter()
        .map(|entry| &entry.commit)
        .filter(|commit| promised.contains(*commit))
        .collect();
    for id in &kept {
        record.note(format!(
            "REFUSED: {id} is in the log, its client was told that nothing is kept"
        ));
    }
    println!(
        "{} answered, {} applied twice, {} kept against the promise",
        told.answered.load(Ordering::Relaxed),
        twice.len(),
        kept.len()
    );
    let broken = if transactions {
        !kept.is_empty()
    } else {
        !twice.is_empty()
    };
    if broken {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// Works in one session until an operation ends outside `I` or the session ends.
fn play(
    session: &mut Session,
    number: usize,
    operation: &mut u64,
    transactions: bool,
    told: &Told,
    until: Instant,
) -> std::io::Result<()> {
    session.query(&format!("s{number}-{operation}"), "SET locale en")?;
    session.query(
        &format!("z{number}-{operation}"),
        &format!("SET desk d{number}"),
    )?;
    while Instant::now() < until {
        *operation += 1;
        let id = format!("{number:02x}{operation:06x}");
        let write = format!("WRITE k{number} v{operation}");
        let answer = if transactions {
            session.query(&format!("b{id}"), "BEGIN")?;
            let written = session.query(&format!("w{id}"), &write)?;
            if written.code.is_some() {
                return Ok(());
            }
            session.query(&id, "COMMIT")?
        } else {
            session.query(&id, &write)?
        };
        told.answered.fetch_add(1, Ordering::Relaxed);
        if answer.code.as_deref().is_some_and(is_promise) {
            told.promised.lock().unwrap().insert(id);
        }
        if answer.state != "I" {
            return Ok(());
        }
        thread::sleep(PAUSE);
    }
    Ok(())
}

/// How long the entry of the leaving replica has been gone when the primary crashes.
const GONE_BEFORE_CRASH: Duration = Duration::from_millis(16_000);

/// How long the node runs again when the primary crashes.
const RESTARTED_BEFORE_CRASH: Duration = Duration::from_millis(4_500);

/// Returns the node that claimed the record of the one that orders promotions last.
fn coordinator(deployment: &Deployment) -> Option<usize> {
    let wall = |line: &String| {
        let text = line.split("\"wall_ms\":").nth(1)?;
        let digits: String = text.chars().take_while(char::is_ascii_digit).collect();
        digits.parse::<u64>().ok()
    };
    let claimed = |(index, node): (usize, &crate::node::Node)| {
        let lines = node.lines();
        let last = lines
            .iter()
            .rev()
            .find(|line| line.contains("\"coordinator_claimed\""))?;
        Some((wall(last)?, index))
    };
    deployment
        .nodes
        .iter()
        .enumerate()
        .filter_map(claimed)
        .max()
        .map(|(_, index)| index)
}

/// Cases 6 and 7: a replica leaves without a word, as a part of planned work, and serves on; the primary
/// crashes meanwhile.
///
/// With `restarts`, the node that orders promotions is killed in between and starts again, and the
/// primary crashes sooner.
fn silent_leave(root: &Path, trouble: bool, record: &Arc<Record>, restarts: bool) -> Outcome {
    let steps = std::env::var("TROUBLE").unwrap_or_default();
    let (leaves, kills, crashes) = match steps.as_str() {
        "leave" => (true, false, false),
        "crash" => (false, restarts, true),
        "nokill" => (true, false, true),
        _ => (trouble, trouble && restarts, trouble),
    };
    let plan = Plan {
        nodes: 6,
        max_connections: CONNECTIONS,
        fenced: false,
        sync_replicas: 1,
        further: Vec::new(),
        databases: 4,
        disruption: Box::new(|_, _| Verdict::Run),
    };
    let Some(mut deployment) = Deployment::start(plan, root, record) else {
        return Outcome::NotRun;
    };
    {
        let mut state = deployment.service.state();
        state.set_lag(1, Duration::from_millis(20));
        state.set_lag(2, Duration::from_millis(60));
        state.set_lag(3, Duration::from_millis(60));
    }
    let acknowledged: Arc<Mutex<Vec<String>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = deployment
        .nodes
        .iter()
        .enumerate()
        .map(|(number, node)| {
            let (front, record) = (node.front, Arc::clone(record));
            let (acknowledged, stop) = (Arc::clone(&acknowledged), Arc::clone(&stop));
            thread::spawn(move || {
                let mut operation = 0;
                while !stop.load(Ordering::Relaxed) {
                    let name = format!("c{number}");
                    let Ok(mut session) = Session::open(front, "accept", &name, &record) else {
                        thread::sleep(PAUSE);
                        continue;
                    };
                    while !stop.load(Ordering::Relaxed) {
                        operation += 1;
                        let id = format!("{number:02x}{operation:06x}");
                        let write = format!("WRITE k{number} v{operation}");
                        match session.query(&id, &write) {
                            Ok(answer) if answer.code.is_none() => {
                                acknowledged.lock().unwrap().push(id);
                            }
                            Ok(answer) if answer.state == "I" => thread::sleep(PAUSE),
                            _ => break,
                        }
                    }
                }
            })
        })
        .collect();
    // The new database starts first, then the old one leaves.
    deployment.registry.add(3);
    thread::sleep(Duration::from_secs(2));
    if leaves {
        record.note("the entry of database 1 goes; it serves on".to_owned());
        deployment.registry.remove(1);
    }
    if restarts {
        thread::sleep(Duration::from_secs(1));
        if kills {
            let Some(index) = coordinator(&deployment) else {
                return Outcome::NotRun;
            };
            let node = &mut deployment.nodes[index];
            record.note(format!("{} is killed, and starts again", node.name));
            node.kill();
            thread::sleep(Duration::from_millis(300));
            node.start_again();
        }
        thread::sleep(RESTARTED_BEFORE_CRASH);
    } else {
        thread::sleep(GONE_BEFORE_CRASH);
    }
    if crashes {
        record.note("primary 0 crashes".to_owned());
        deployment.service.state().crash(0);
    }
    thread::sleep(Duration::from_secs(8));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ended = client.join();
    }
    deployment.note_events(&[
        "primary_lost",
        "promotion_ordered",
        "no_candidate",
        "database_missing",
        "coordinator_claimed",
    ]);
    let state = deployment.service.state();
    let acknowledged = acknowledged.lock().unwrap();
    let lost: Vec<&String> = acknowledged
        .iter()
        .filter(|id| state.rolled_back.contains(*id))
        .collect();
    for id in &lost {
        record.note(format!(
            "LOST: write {id} was acknowledged and is not in the log of the new primary"
        ));
    }
    println!(
        "{} acknowledged, {} lost, database {} leads term {}",
        acknowledged.len(),
        lost.len(),
        state.primary,
        state.term
    );
    let (none_lost, promoted) = (lost.is_empty(), state.primary != 0);
    drop(state);
    if deployment.lost_a_process()
        || acknowledged.len() < 100
        || (crashes && !promoted && none_lost)
    {
        return Outcome::NotRun;
    }
    if none_lost {
        Outcome::Held
    } else {
        Outcome::Broken
    }
}

/// How long the primary is down in case 8.
const DOWN_TIME: Duration = Duration::from_millis(20);
/// How long after its start the database writes its entry: half a heartbeat.
const FIRST_HEARTBEAT: Duration = Duration::from_millis(600);
/// Number of writes that every database has received before the primary crashes.
const WRITES: u64 = 40;

/// Case 8: a primary crashes and starts again at once under its id, without its log.
fn empty_primary(root: &Path, trouble: bool, record: &Arc<Record>) -> Outcome {
    let stale: Arc<Mutex<Vec<String>>> = Arc::default();
    let found = Arc::clone(&stale);
    let plan = Plan {
        nodes: 6,
        max_connections: CONNECTIONS,
        fenced: false,
        sync_replicas: 0,
        further: Vec::new(),
        databases: 3,
        disruption: Box::new(move |incoming, state| {
            if incoming.kind == Kind::Read && incoming.received < state.log.len() {
                found.lock().unwrap().push(incoming.id.to_owned());
            }
            Verdict::Run
        }),
    };
    let Some(mut deployment) = Deployment::start(plan, root, record) else {
        return Outcome::NotRun;
    };
    let front = deployment.nodes[0].front;
    let written = Session::open(front, "accept", "writer", record).and_then(|mut session| {
        for number in 0..WRITES {
            let answer = session.query(&format!("w{number}"), &format!("WRITE t{number} new"))?;
            if answer.code.is_some() {
                return Err(std::io::ErrorKind::Other.into());
            }
        }
        Ok(())
    });
    if written.is_err() {
        return Outcome::NotRun;
    }
    thread::sleep(Duration::from_secs(1));
    let served: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let until = Instant::now() + Duration::from_secs(8);
    let clients: Vec<_> = deployment
        .nodes
        .iter()
        .cycle()
        .take(deployment.nodes.len() * 3)
        .enumerate()
        .map(|(number, node)| {
            let (front, record) = (node.front, Arc::clone(record));
            let served = Arc::clone(&served);
            thread::spawn(move || {
                let mut operation = 0;
                while Instant::now() < until {
                    let name = format!("c{number}");
                    let Ok(mut session) = Session::open(front, "accept", &name, &record) else {
                        thread::sleep(PAUSE);
                        continue;
                    };
                    while Instant::now() < until {
                        operation += 1;
                        let id = format!("{number:02x}{operation:06x}");
                        let read = format!("READ t{}", operation % WRITES);
                        match session.query(&id, &read) {
                            Ok(answer) if answer.code.is_none() => {
                                served.lock().unwrap().insert(id);
                            }
                            Ok(answer) if answer.state == "I" => {}
                            _ => break,
                        }
                        thread::sleep(Duration::from_millis(15));
                    }
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    if trouble {
        record.note("primary 0 crashes".to_owned());
        deployment.service.state().crash(0);
        thread::sleep(DOWN_TIME);
        deployment.service.state().restart_empty();
        record.note("database 0 is back, empty, and leads".to_owned());
        thread::sleep(FIRST_HEARTBEAT);
        deployment.registry.write();
    }
    for client in clients {
        let _ended = client.join();
    }
    deployment.note_events(&[
        "database_restarted",
        "primary_lost_commits",
        "promotion_ordered",
    ]);
    let served = served.lock().unwrap();
    let stale: Vec<String> = stale
        .lock()
        .unwrap()
        .iter()
        .filter(|id| served.contains(*id))
        .cloned()
        .collect();
    for id in &stale {
        record.note(format!(
            "STALE: read {id} ran on a log without the acknowledged writes"
        ));
    }
    println!(
        "{} reads served, {} of them without acknowledged commits, database {} leads",
        served.len(),
        stale.len(),
        deployment.service.state().primary
    );
    if deployment.lost_a_process() || served.len() < 500 {
        return Outcome::NotRun;
    }
    if stale.is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken
    }
}
