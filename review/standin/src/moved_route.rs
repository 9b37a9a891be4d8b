//! STALE: a session does not see its own write, because its route was moved to another service and
//! back in between.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::{sleep, timeout};

use crate::Verdict;
use crate::client::{Answer, Session};
use crate::database::Service;
use crate::record::Record;
use crate::world::{Plan, ServicePlan, World, configuration};

/// Sessions, each of which writes and reads a thing of its own.
const SESSIONS: usize = 6;
/// Time until all nodes know each other and the primaries.
const WARM_UP: Duration = Duration::from_secs(4);
/// Pause between two statements of a session.
const PAUSE: Duration = Duration::from_millis(10);
/// Time from a promotion call until the database named leads.
const PROMOTE_TIME: Duration = Duration::from_millis(1_000);
/// Time within which a configuration must be in force.
const APPLY_LIMIT: Duration = Duration::from_secs(4);
/// Time from one configuration to the next; the sheet's `config_storm` has one each 330 ms.
const CONFIGURATION_GAP: Duration = Duration::from_millis(350);
/// How long each session reads at the end.
const READ_TIME: Duration = Duration::from_millis(400);
/// The replica of the first service beside the sessions' node.
const NEAR_REPLICA: usize = 1;

const HOST: &str = "respuesta";
const FIRST: &str = "mensajes";
const SECOND: &str = "mensajes-2";

pub async fn run(trouble: bool, root: &Path, folder: &Path, record: &Arc<Record>) -> Verdict {
    let services: [ServicePlan<'_>; 2] = [
        (
            FIRST,
            &[
                ("i-5a01", "al-sala-b", 0),
                ("i-3c02", "sj-sala-a", 20),
                ("i-7b03", "lb-sala-c", 20),
            ],
        ),
        (
            SECOND,
            &[
                ("i-5a11", "al-sala-b", 0),
                ("i-3c12", "sj-sala-a", 20),
                ("i-7b13", "lb-sala-c", 20),
            ],
        ),
    ];
    let version = |version: u64, service: &str| {
        configuration(
            version,
            &services,
            0,
            &[(HOST, "read_your_writes", service)],
        )
    };
    let plan = Plan {
        services: &services,
        sync_replicas: 0,
        nodes: &[
            ("front-sj-sala-a-1", "sj-sala-a"),
            ("front-al-sala-b-1", "al-sala-b"),
            ("front-lb-sala-c-1", "lb-sala-c"),
        ],
        zones: &[
            ("sj-sala-a", "san-jose"),
            ("al-sala-b", "alajuela"),
            ("lb-sala-c", "liberia"),
        ],
        require_fencing: true,
        promote_time: PROMOTE_TIME,
        configuration: version(3, FIRST),
    };
    let Some(world) = World::start(plan, root, folder, Arc::clone(record)).await else {
        return Verdict::NotRun;
    };
    sleep(WARM_UP).await;
    let mut sessions = Vec::new();
    for number in 0..SESSIONS {
        let who = format!("u{number}");
        let Some(session) = Session::open(world.nodes[0].front(), HOST, &who).await else {
            record.say("a session could not be opened");
            return Verdict::NotRun;
        };
        sessions.push(Client::new(session, who, record));
    }
    // Ordinary work, so that the node knows the positions of the first service.
    for _ in 0..30 {
        for client in &mut sessions {
            client.write().await;
            client.read().await;
        }
    }
    if trouble {
        world.service.set_deaf(NEAR_REPLICA, true);
    }
    for client in &mut sessions {
        client.write().await;
        client.read().await;
    }
    if trouble {
        for (number, name) in [(4, SECOND), (5, FIRST)] {
            world.store.put("op/config", &version(number, name));
            record.line(format!("configuration {number} sends the route to {name}"));
            let next_at = Instant::now() + CONFIGURATION_GAP;
            let service = match name {
                FIRST => &world.service,
                _ => &world.others[0],
            };
            let moved = async {
                for client in &mut sessions {
                    client.work_until_served_by(service).await;
                }
            };
            if timeout(APPLY_LIMIT, moved).await.is_err() {
                record.say(format!("configuration {number} did not come into force"));
                return Verdict::NotRun;
            }
            tokio::time::sleep_until(next_at.into()).await;
        }
    }
    let until = record.now_ms() + READ_TIME.as_millis() as u64;
    while record.now_ms() < until {
        for client in &mut sessions {
            client.read().await;
        }
    }
    judge(&world, &sessions)
}

/// A session, what it wrote with success and what it read, in order.
struct Client {
    session: Session,
    who: String,
    next: usize,
    record: Arc<Record>,
    /// Ids and signatures: writes are true.
    done: Vec<(bool, String, String)>,
}

impl Client {
    fn new(session: Session, who: String, record: &Arc<Record>) -> Self {
        Self {
            session,
            who,
            next: 0,
            record: Arc::clone(record),
            done: Vec::new(),
        }
    }

    async fn ask(&mut self, is_write: bool, text: &str) -> Option<String> {
        sleep(PAUSE).await;
        self.next += 1;
        let id = format!("{}-{}", self.who, self.next);
        let answer = self.session.query(&id, text).await;
        self.record
            .line(format!("client {} asks {id} {text}: {answer:?}", self.who));
        let Answer::Done { signature, .. } = answer else {
            return None;
        };
        self.done.push((is_write, id, signature.clone()));
        Some(signature)
    }

    async fn write(&mut self) -> Option<String> {
        let text = format!("WRITE thing-{} {}", self.who, self.next);
        self.ask(true, &text).await
    }

    async fn read(&mut self) -> Option<String> {
        let text = format!("READ thing-{}", self.who);
        self.ask(false, &text).await
    }

    /// Works until a database of `service` has served a statement: writes if that is the second
    /// service, and reads if it is the first again. Thereby every session writes at the second one.
    async fn work_until_served_by(&mut self, service: &Service) {
        let writes = service.state().service == SECOND;
        loop {
            let signature = if writes {
                self.write().await
            } else {
                self.read().await
            };
            let ids: Vec<String> = {
                let state = service.state();
                state
                    .databases
                    .iter()
                    .map(|database| format!("{}.", database.id))
                    .collect()
            };
            if signature.is_some_and(|signature| ids.iter().any(|id| signature.starts_with(id))) {
                return;
            }
        }
    }
}

/// Looks for reads that ran on a log without an earlier write of the same session.
fn judge(world: &World, sessions: &[Client]) -> Verdict {
    let record = &world.record;
    let (mut reads, mut stale) = (0, 0);
    for service in std::iter::once(&world.service).chain(&world.others) {
        let state = service.state();
        for client in sessions {
            let mut newest: Option<(usize, &String)> = None;
            for (is_write, id, _) in &client.done {
                if *is_write {
                    let number = state.log.iter().position(|commit| commit.id == *id);
                    if let Some(number) = number {
                        newest = Some((number + 1, id));
                    }
                    continue;
                }
                let Some(read) = state.reads.iter().find(|read| read.id == *id) else {
                    continue;
                };
                reads += 1;
                if let Some((number, write)) = newest.filter(|(number, _)| *number > read.held) {
                    stale += 1;
                    record.say(format!(
                        "read {id} ran at {} on a log of {} commits; the session's write {write}, acknowledged before, is commit {number}",
                        read.database, read.held
                    ));
                }
            }
        }
    }
    record.say(format!(
        "{reads} reads, {stale} of them without the session's own last write"
    ));
    match (reads, stale) {
        (0, _) => Verdict::NotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
