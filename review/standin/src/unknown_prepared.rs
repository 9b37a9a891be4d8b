//! PINNED: after a database lost the lead, a prepared name whose preparing was acknowledged is
//! unknown on the connection that a client's transaction uses.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use crate::Verdict;
use crate::client::{Answer, Session};
use crate::record::Record;
use crate::world::{Plan, ServicePlan, World, configuration};

/// Clients whose transactions are open while the database loses the lead.
const EARLY_CLIENTS: usize = 6;
/// Clients that read afterwards, and how often each does.
const LATER_CLIENTS: usize = 6;
const LATER_ROUNDS: usize = 5;
/// Time until all nodes know each other and the primary.
const WARM_UP: Duration = Duration::from_secs(4);
/// How long the primary is down, and the id under which it comes back.
const OUTAGE: Duration = Duration::from_millis(700);
const NEW_ID: &str = "i-9d04";
/// Time from a promotion call until the database named leads.
const PROMOTE_TIME: Duration = Duration::from_millis(1_000);
/// Pause before a client tries again to begin a transaction, and between two of its statements.
const PAUSE: Duration = Duration::from_millis(30);
/// Time after a promotion in which the nodes learn of it.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// The prepared name and shape that all clients use.
const PREPARE: &str = "PREPARE s1 READ q2c";

pub async fn run(trouble: bool, root: &Path, folder: &Path, record: &Arc<Record>) -> Verdict {
    let services: [ServicePlan<'_>; 1] = [(
        "mensajes",
        &[
            ("i-5a01", "sj-sala-a", 0),
            ("i-3c02", "al-sala-b", 20),
            ("i-7b03", "lb-sala-c", 20),
        ],
    )];
    let routes = [
        ("envio", "primary", "mensajes"),
        ("respuesta", "read_your_writes", "mensajes"),
    ];
    let plan = Plan {
        services: &services,
        sync_replicas: 0,
        nodes: &[
            ("front-sj-sala-a-2", "sj-sala-a"),
            ("front-al-sala-b-2", "al-sala-b"),
            ("front-lb-sala-c-1", "lb-sala-c"),
        ],
        zones: &[
            ("sj-sala-a", "san-jose"),
            ("al-sala-b", "alajuela"),
            ("lb-sala-c", "liberia"),
        ],
        require_fencing: true,
        promote_time: PROMOTE_TIME,
        configuration: configuration(3, &services, 0, &routes),
    };
    let Some(world) = World::start(plan, root, folder, Arc::clone(record)).await else {
        return Verdict::NotRun;
    };
    for (number, node) in world.nodes.iter().enumerate() {
        let (front, record) = (node.front(), Arc::clone(record));
        tokio::spawn(async move { work(front, &format!("usual{number}"), &record).await });
    }
    sleep(WARM_UP).await;
    match play(&world, trouble).await {
        Some(0) => Verdict::Held,
        Some(_) => Verdict::Broken,
        None => Verdict::NotRun,
    }
}

/// A client that reads and writes as usual.
async fn work(front: SocketAddr, who: &str, record: &Arc<Record>) {
    loop {
        sleep(Duration::from_millis(100)).await;
        let Some(mut client) = Client::open(front, "envio", who, record).await else {
            continue;
        };
        while client.session.state == "I" {
            sleep(Duration::from_millis(50)).await;
            client.ask("READ t2").await;
            let number = client.next;
            if client.ask(&format!("WRITE t2 {number}")).await == Answer::None {
                break;
            }
        }
    }
}

/// Plays the case. Returns how often a prepared name was unknown although its preparing was
/// acknowledged; `None` if the case could not be played.
async fn play(world: &World, trouble: bool) -> Option<usize> {
    let record = &world.record;
    // The node beside the primary.
    let front = world.nodes[0].front();
    if trouble {
        let primary = world.service.state().primary;
        world.service.crash(primary);
        sleep(OUTAGE).await;
        world.service.come_back(primary, NEW_ID);
    }
    let mut early = Vec::new();
    for number in 0..EARLY_CLIENTS {
        let mut client = Client::open(front, "envio", &format!("early{number}"), record).await?;
        let beginning = client.begin_and_read();
        if timeout(Duration::from_secs(5), beginning).await.is_err() {
            record.say("a transaction could not be begun");
            return None;
        }
        early.push(client);
    }
    if trouble {
        let promoted = async {
            while world.promotions.effects().is_empty() {
                sleep(Duration::from_millis(2)).await;
            }
        };
        if timeout(Duration::from_secs(3), promoted).await.is_err() {
            record.say("no promotion took effect");
            return None;
        }
    }
    let mut unknown = 0;
    for client in &mut early {
        unknown += client.prepare_and_execute().await;
        client.ask("ROLLBACK").await;
    }
    drop(early);
    sleep(SETTLE_TIME).await;
    let mut later = Vec::new();
    for number in 0..LATER_CLIENTS {
        let client = Client::open(front, "respuesta", &format!("later{number}"), record).await?;
        later.push(tokio::spawn(client.read_in_transactions()));
    }
    let mut served = 0;
    for client in later {
        let (own_served, own_unknown) = client.await.ok()?;
        served += own_served;
        unknown += own_unknown;
    }
    record.say(format!(
        "{served} later transactions were served; {unknown} times an EXECUTE was answered UNKNOWN after its PREPARE had been acknowledged"
    ));
    if served == 0 && unknown == 0 {
        return None;
    }
    Some(unknown)
}

/// A client with its session and a number for its next id.
struct Client {
    session: Session,
    who: String,
    next: usize,
    record: Arc<Record>,
}

impl Client {
    async fn open(
        front: SocketAddr,
        database: &str,
        who: &str,
        record: &Arc<Record>,
    ) -> Option<Self> {
        let session = Session::open(front, database, who).await;
        if session.is_none() {
            record.say(format!("{who} got no session"));
        }
        Some(Self {
            session: session?,
            who: who.to_owned(),
            next: 0,
            record: Arc::clone(record),
        })
    }

    async fn ask(&mut self, text: &str) -> Answer {
        self.next += 1;
        let id = format!("{}-{}", self.who, self.next);
        let answer = self.session.query(&id, text).await;
        self.record.line(format!(
            "client {} asks {id} {text}: {answer:?}, state {}",
            self.who, self.session.state
        ));
        answer
    }

    /// Begins a transaction with a read, again and again until both are done.
    async fn begin_and_read(&mut self) {
        loop {
            let begun = self.ask("BEGIN").await.is_done();
            if begun && self.ask("READ t1").await.is_done() {
                return;
            }
            self.ask("ROLLBACK").await;
            sleep(PAUSE).await;
        }
    }

    /// Runs read transactions, each with an execution of a prepared name. Returns how many were
    /// served, and how often the name was unknown.
    async fn read_in_transactions(mut self) -> (usize, usize) {
        let (mut served, mut unknown) = (0, 0);
        for _ in 0..LATER_ROUNDS {
            self.ask("BEGIN READ").await;
            let first = self.ask("READ t1").await;
            sleep(PAUSE).await;
            unknown += self.prepare_and_execute().await;
            let ended = self.ask("COMMIT").await;
            served += usize::from(first.is_done() && ended.is_done());
        }
        (served, unknown)
    }

    /// Prepares a name and executes it. Returns 1 if it is unknown although its preparing was
    /// acknowledged, else 0.
    async fn prepare_and_execute(&mut self) -> usize {
        let prepared = self.ask(PREPARE).await.is_done();
        let executed = self.ask("EXECUTE s1 t1").await;
        let unknown = Answer::Error {
            code: "UNKNOWN".to_owned(),
        };
        usize::from(prepared && executed == unknown)
    }
}
