//! STALE: a primary starts again under its id and holds nothing. Because one node, which has just
//! started too, does not know how far its log had come, no replica is promoted, and all nodes go on
//! with the empty primary.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::Verdict;
use crate::client::{Answer, Session};
use crate::record::Record;
use crate::world::{Plan, ServicePlan, World, configuration};

/// Time until all nodes know each other and the primary.
const WARM_UP: Duration = Duration::from_secs(3);
/// Number of things that are written before.
const THINGS: usize = 40;
/// How long after the kill of a node's process the primary starts again, and after how long the
/// platform starts the process again.
const DATABASE_AFTER: Duration = Duration::from_millis(300);
const NODE_AFTER: Duration = Duration::from_millis(500);
/// Time in which the commits reach the replicas.
const REPLICATION_TIME: Duration = Duration::from_millis(500);
/// Time from a promotion call until the database named leads.
const PROMOTE_TIME: Duration = Duration::from_millis(1_000);
/// How long clients read after the restart, and their pause.
const READ_TIME: Duration = Duration::from_secs(12);
const PAUSE: Duration = Duration::from_millis(20);

pub async fn run(trouble: bool, root: &Path, folder: &Path, record: &Arc<Record>) -> Verdict {
    let services: [ServicePlan<'_>; 1] = [(
        "mensajes",
        &[
            ("i-5a01", "sj-sala-a", 0),
            ("i-3c02", "al-sala-b", 20),
            ("i-7b03", "lb-sala-c", 20),
        ],
    )];
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
        configuration: configuration(3, &services, 0, &[("envio", "primary", "mensajes")]),
    };
    let Some(mut world) = World::start(plan, root, folder, Arc::clone(record)).await else {
        return Verdict::NotRun;
    };
    sleep(WARM_UP).await;
    if !write(&world, record).await {
        record.say("a write failed");
        return Verdict::NotRun;
    }
    sleep(REPLICATION_TIME).await;
    if trouble && !disturb(&mut world).await {
        return Verdict::NotRun;
    }
    let readers: Vec<_> = world
        .nodes
        .iter()
        .map(|node| {
            let reader = Reader {
                name: format!("reader-at-{}", node.name()),
                front: node.front(),
                record: Arc::clone(record),
            };
            tokio::spawn(reader.read())
        })
        .collect();
    let (mut served, mut stale) = (0, 0);
    for (reader, node) in readers.into_iter().zip(&world.nodes) {
        let Ok(reads) = reader.await else {
            return Verdict::NotRun;
        };
        record.say(format!(
            "{}: {} reads were served, {} of them without the acknowledged write; the last of these {} ms after the restart",
            node.name(),
            reads.served,
            reads.stale,
            reads.last_stale_ms
        ));
        served += reads.served;
        stale += reads.stale;
    }
    record.say(format!(
        "{} promotions took effect; each replica holds {} commits",
        world.promotions.effects().len(),
        world.service.state().log.len()
    ));
    match (served, stale) {
        (0, _) => Verdict::NotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// The disruptions: a node's process is killed and started again, and meanwhile the primary starts
/// again and holds nothing. Returns whether the process could be started.
async fn disturb(world: &mut World) -> bool {
    let primary = world.service.state().primary;
    let node = &mut world.nodes[0];
    node.kill();
    world.record.line(format!("{} is killed", node.name()));
    sleep(DATABASE_AFTER).await;
    world.service.restart_empty(primary);
    sleep(NODE_AFTER - DATABASE_AFTER).await;
    let started = node.restart().is_ok();
    world.record.line(format!("{} starts again", node.name()));
    started
}

/// Writes every thing once, through all nodes in turn. Returns whether all were acknowledged.
async fn write(world: &World, record: &Record) -> bool {
    let mut sessions = Vec::new();
    for node in &world.nodes {
        let Some(session) = Session::open(node.front(), "envio", "writer").await else {
            return false;
        };
        sessions.push(session);
    }
    for number in 0..THINGS {
        let count = sessions.len();
        let session = &mut sessions[number % count];
        let text = format!("WRITE thing-{number} {number}");
        let answer = session.query(&format!("writer-{number}"), &text).await;
        record.line(format!("a writer asks {text}: {answer:?}"));
        if !answer.is_done() {
            return false;
        }
        sleep(PAUSE).await;
    }
    true
}

/// What one reader saw.
#[derive(Default)]
struct Reads {
    served: usize,
    /// Reads that missed an acknowledged write. No promotion has rolled one back, as the replicas
    /// hold them all.
    stale: usize,
    last_stale_ms: u64,
}

struct Reader {
    name: String,
    front: SocketAddr,
    record: Arc<Record>,
}

impl Reader {
    /// Reads everything again and again at one node.
    async fn read(self) -> Reads {
        let began = self.record.now_ms();
        let elapsed = || self.record.now_ms() - began;
        let limit = READ_TIME.as_millis() as u64;
        let mut reads = Reads::default();
        let mut number = 0;
        while elapsed() < limit {
            let Some(mut session) = Session::open(self.front, "envio", &self.name).await else {
                sleep(PAUSE).await;
                continue;
            };
            while elapsed() < limit {
                number += 1;
                let thing = number % THINGS;
                let text = format!("READ thing-{thing}");
                let id = format!("{}-{number}", self.name);
                let answer = session.query(&id, &text).await;
                self.record
                    .line(format!("{} asks {text}: {answer:?}", self.name));
                match answer {
                    Answer::Done { rows, .. } => {
                        reads.served += 1;
                        if rows != [thing.to_string()] {
                            reads.stale += 1;
                            reads.last_stale_ms = elapsed();
                        }
                    }
                    Answer::Error { .. } if session.state == "I" => {}
                    _ => break,
                }
                sleep(PAUSE * 5).await;
            }
        }
        reads
    }
}
