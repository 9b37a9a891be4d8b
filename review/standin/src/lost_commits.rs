//! LOST: between the order of a promotion and its effect a replica receives again, so the database
//! that is promoted lacks commits that were acknowledged meanwhile.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::{sleep, timeout};

use crate::Verdict;
use crate::client::{Answer, Session};
use crate::database::Service;
use crate::record::Record;
use crate::world::{Plan, ServicePlan, World, configuration};

/// Sessions at the node beside the primary, and their pause between two writes.
const NEAR_WRITERS: usize = 12;
const NEAR_PAUSE: Duration = Duration::from_millis(30);
/// The same for each of the other nodes.
const FAR_WRITERS: usize = 1;
const FAR_PAUSE: Duration = Duration::from_millis(100);
/// Time of ordinary work before the disruptions.
const WARM_UP: Duration = Duration::from_secs(4);
/// How long the primary is down, and the id under which it comes back.
const OUTAGE: Duration = Duration::from_millis(700);
const NEW_ID: &str = "i-9d04";
/// How long after the order the next disruption comes.
const DELAY: Duration = Duration::from_millis(50);
/// After how long the platform starts a killed process again.
const RESTART_AFTER: Duration = Duration::from_millis(500);
/// How long the other replica is down, and the id under which it comes back.
const REPLICA_OUTAGE: Duration = Duration::from_millis(400);
const NEW_REPLICA_ID: &str = "i-1e05";
/// Time from a promotion call until the database named leads.
const PROMOTE_TIME: Duration = Duration::from_millis(1_000);
/// Time of ordinary work after the disruptions.
const COOL_DOWN: Duration = Duration::from_secs(4);

/// A write that was answered with success: its id and when the answer came.
type Acknowledged = Arc<Mutex<Vec<(String, u64)>>>;

/// What happens between the order and its effect.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Between {
    /// The process that gave the order, after a crash of the primary, is killed and started again.
    CoordinatorKilled,
    /// The other replica crashes and comes back, during a planned replacement of the primary.
    ReplicaCrashes,
}

pub async fn run(
    between: Between,
    trouble: bool,
    root: &Path,
    folder: &Path,
    record: &Arc<Record>,
) -> Verdict {
    // One way, 1 ms within a region and 20 ms between regions.
    let services: [ServicePlan<'_>; 1] = [(
        "mensajes",
        &[
            ("i-5a01", "sj-sala-a", 0),
            ("i-3c02", "sj-sala-d", 1),
            ("i-7b03", "al-sala-b", 20),
        ],
    )];
    let plan = Plan {
        services: &services,
        sync_replicas: 1,
        nodes: &[
            ("front-sj-sala-a-2", "sj-sala-a"),
            ("front-al-sala-b-1", "al-sala-b"),
            ("front-al-sala-b-2", "al-sala-b"),
        ],
        zones: &[
            ("sj-sala-a", "san-jose"),
            ("sj-sala-d", "san-jose"),
            ("al-sala-b", "alajuela"),
        ],
        require_fencing: true,
        promote_time: PROMOTE_TIME,
        configuration: configuration(3, &services, 1, &[("envio", "primary", "mensajes")]),
    };
    let Some(mut world) = World::start(plan, root, folder, Arc::clone(record)).await else {
        return Verdict::NotRun;
    };
    let acknowledged = Acknowledged::default();
    let stop = Arc::new(AtomicBool::new(false));
    for (index, node) in world.nodes.iter().enumerate() {
        let (count, pause) = match index {
            0 => (NEAR_WRITERS, NEAR_PAUSE),
            _ => (FAR_WRITERS, FAR_PAUSE),
        };
        for number in 0..count {
            let writer = Writer {
                name: format!("n{index}w{number}"),
                front: node.front(),
                pause,
                acknowledged: Arc::clone(&acknowledged),
                stop: Arc::clone(&stop),
                record: Arc::clone(record),
            };
            tokio::spawn(writer.write());
        }
    }
    sleep(WARM_UP).await;
    let planned = between == Between::ReplicaCrashes;
    if (trouble || planned) && !promote(&mut world, between, trouble).await {
        return Verdict::NotRun;
    }
    sleep(COOL_DOWN).await;
    stop.store(true, Ordering::Relaxed);
    sleep(Duration::from_millis(500)).await;
    judge(&world, &acknowledged, trouble || planned)
}

/// Brings about a promotion and, with `trouble`, the disruption that follows its order. Returns
/// false if no order was given.
async fn promote(world: &mut World, between: Between, trouble: bool) -> bool {
    let record = Arc::clone(&world.record);
    let primary = world.service.state().primary;
    match between {
        Between::CoordinatorKilled => {
            world.service.crash(primary);
            let service = world.service.clone();
            tokio::spawn(async move {
                sleep(OUTAGE).await;
                service.come_back(primary, NEW_ID);
            });
        }
        Between::ReplicaCrashes => world.service.announce_end(primary),
    }
    let called = async {
        while world.promotions.calls().is_empty() {
            sleep(Duration::from_millis(2)).await;
        }
    };
    if timeout(Duration::from_secs(5), called).await.is_err() {
        record.say("no promotion was ordered");
        return false;
    }
    if !trouble {
        return true;
    }
    sleep(DELAY).await;
    let call = world.promotions.calls()[0].clone();
    match between {
        Between::CoordinatorKilled => restart_node(world, &call.holder).await,
        Between::ReplicaCrashes => restart_replica(&world.service, &call.id).await,
    }
}

/// Kills a node's process; the platform starts it again. Returns whether that worked.
async fn restart_node(world: &mut World, name: &str) -> bool {
    let Some(node) = world.nodes.iter_mut().find(|node| node.name() == name) else {
        return false;
    };
    node.kill();
    world
        .record
        .line(format!("{name}, which gave the order, is killed"));
    sleep(RESTART_AFTER).await;
    let started = node.restart().is_ok();
    world.record.line(format!("{name} starts again"));
    started
}

/// Crashes the replica that was not named in the order; it comes back with its log.
async fn restart_replica(service: &Service, named: &str) -> bool {
    let replica = {
        let state = service.state();
        let mut databases = state.databases.iter().enumerate();
        databases.position(|(index, database)| index != state.primary && database.id != named)
    };
    let Some(replica) = replica else {
        return false;
    };
    service.crash(replica);
    sleep(REPLICA_OUTAGE).await;
    service.come_back(replica, NEW_REPLICA_ID);
    true
}

/// A client that writes again and again; after a failure it opens another session.
struct Writer {
    name: String,
    front: SocketAddr,
    pause: Duration,
    acknowledged: Acknowledged,
    stop: Arc<AtomicBool>,
    record: Arc<Record>,
}

impl Writer {
    async fn write(self) {
        let mut number = 0;
        while !self.stop.load(Ordering::Relaxed) {
            let Some(mut session) = Session::open(self.front, "envio", &self.name).await else {
                sleep(Duration::from_millis(100)).await;
                continue;
            };
            while !self.stop.load(Ordering::Relaxed) {
                number += 1;
                let id = format!("{}-{number}", self.name);
                let answer = session
                    .query(&id, &format!("WRITE thing-{} {number}", self.name))
                    .await;
                self.record
                    .line(format!("client {} is answered {id}: {answer:?}", self.name));
                match answer {
                    Answer::Done { .. } => {
                        let now = self.record.now_ms();
                        self.acknowledged.lock().unwrap().push((id, now));
                    }
                    Answer::Error { .. } if session.state == "I" => {}
                    _ => break,
                }
                sleep(self.pause).await;
            }
        }
    }
}

fn judge(world: &World, acknowledged: &Acknowledged, promoted: bool) -> Verdict {
    let record = &world.record;
    let acknowledged = acknowledged.lock().unwrap().clone();
    let effects = world.promotions.effects();
    record.say(format!(
        "{} writes were acknowledged, {} promotions took effect",
        acknowledged.len(),
        effects.len()
    ));
    if acknowledged.is_empty() || promoted && effects.is_empty() {
        return Verdict::NotRun;
    }
    let mut broken = false;
    for effect in &effects {
        let before = acknowledged.iter().filter(|(_, at)| *at <= effect.at_ms);
        let missing: Vec<&String> = before
            .map(|(id, _)| id)
            .filter(|id| !effect.held.contains(id))
            .collect();
        let call = &effect.call;
        record.say(format!(
            "{} was promoted at {} ms by the order with token {} of {}; its log lacks {} commits acknowledged before: {missing:?}",
            call.id, effect.at_ms, call.token, call.holder, missing.len()
        ));
        broken |= !missing.is_empty();
    }
    if broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
