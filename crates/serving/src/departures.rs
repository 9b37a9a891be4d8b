//! What this node knows and tells of databases that leave.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use hookpoint_coordination::serving::database_life::DatabaseStart;
use hookpoint_coordination::serving::departure::{Hearing, Sign};
use hookpoint_coordination::serving::directory::Listed;
use hookpoint_state::{DatabaseName, Timestamp};
use serde::{Deserialize, Serialize};

use crate::homes::Peer;
use crate::link::{self, LinkReply, LinkRequest};
use crate::node::Node;
use crate::units::millis;

/// A departure whose time counts from longer ago than this was heard late: over one watch and
/// the passing on of its answer. Peers that heard in time know better from when it counts.
const HEARD_LATE: Duration = Duration::from_secs(3);
/// Peers asked at once. If half of the fleet heard late as well, one of four knows better in
/// fifteen of sixteen cases.
const PEERS_ASKED: usize = 4;
/// How long they may take: some round trips. The database gets nothing meanwhile.
const ANSWER_LIMIT: Duration = Duration::from_millis(300);

/// What a node tells others of a database that announced its end.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ToldDeparture {
    database: DatabaseName,
    /// Of which life of the database that is.
    started: Option<DatabaseStart>,
    /// It announced its end at most this long ago, in milliseconds.
    age_ms: u64,
}

impl Node {
    /// That something is heard of now, from news that is being taken in.
    pub(crate) fn hearing(&self) -> Hearing {
        Hearing {
            at: self.now(),
            not_before: self.feed.covered_before_news(),
        }
    }

    /// Whether a database's time for new work is not over.
    pub(crate) fn takes_new_work(&self, listed: &Listed) -> bool {
        let limit = self.changeable().drain_limit;
        let in_time = |ends: Timestamp| self.now() < ends;
        listed
            .departure
            .is_none_or(|departure| in_time(departure.work_ends(limit)))
    }

    /// The same by name. A database that is not listed has left.
    pub(crate) fn gets_new_work(&self, name: &DatabaseName) -> bool {
        let directory = self.directory.borrow();
        directory
            .get(name)
            .is_some_and(|listed| self.takes_new_work(listed))
    }

    /// How long a database still gets new work; the longest time there is if it does not leave.
    pub(crate) fn work_time_left(&self, name: &DatabaseName) -> Duration {
        let directory = self.directory.borrow();
        let departure = directory.get(name).and_then(|listed| listed.departure);
        let limit = self.changeable().drain_limit;
        departure.map_or(Duration::MAX, |departure| {
            departure.work_ends(limit).since(self.now())
        })
    }

    /// When this node heard that a database leaves.
    pub(crate) fn departure_heard_at(&self, name: &DatabaseName) -> Option<Timestamp> {
        let directory = self.directory.borrow();
        let departure = directory.get(name)?.departure?;
        Some(departure.heard_at())
    }

    /// For how long a database counts as leaving; nothing if it does not.
    pub(crate) fn leaving_for(&self, name: &DatabaseName) -> Option<Duration> {
        let directory = self.directory.borrow();
        let departure = directory.get(name)?.departure?;
        Some(self.now().since(departure.counted_from()))
    }

    /// The announcements known, with their ages.
    pub(crate) fn told_departures(&self) -> Vec<ToldDeparture> {
        let now = self.now();
        let told = |listed: &Listed| {
            let departure = listed.departure?;
            (departure.sign() == Sign::Announced).then(|| ToldDeparture {
                database: listed.database.name.clone(),
                started: listed.database.started,
                // Rounded up: an announcement never gets younger on its way.
                age_ms: millis(now.since(departure.counted_from())) + 1,
            })
        };
        self.directory.borrow().leaving().filter_map(told).collect()
    }

    /// Takes in what a peer told that was asked at `asked_at`.
    fn learn_departures(&self, departures: &[ToldDeparture], asked_at: Timestamp) {
        let mut directory = self.directory.borrow_mut();
        for told in departures {
            let not_before = asked_at - Duration::from_millis(told.age_ms);
            directory.learn_departure(&told.database, told.started, not_before);
        }
    }

    /// Logs that a database leaves, if it did not `before`, and from when its time counts.
    pub(crate) fn tell_departure(&self, name: &DatabaseName, before: Option<&Listed>) {
        let left_before = before.is_some_and(|listed| listed.departure.is_some());
        let directory = self.directory.borrow();
        let listed = directory.get(name).filter(|_| !left_before);
        let Some((listed, departure)) = listed.and_then(|listed| Some((listed, listed.departure?)))
        else {
            return;
        };
        let leaving = self.now().since(departure.counted_from());
        self.log(
            "database_leaving",
            &[
                ("database", name.as_str().into()),
                ("announced", (!listed.missing).into()),
                ("revision", listed.revision.to_string().into()),
                ("leaving_ms", millis(leaving).into()),
            ],
        );
    }
}

/// Asks peers from when the time of databases counts whose leaving was heard late since they
/// were last asked.
///
/// A node that starts or was cut off would else leave such databases at once, though others
/// still use them: primaries that wait to be replaced, above all.
pub(crate) fn ask_if_heard_late(node: &Rc<Node>) {
    let asked_at = node.departures_asked_at.get();
    let is_new = |listed: &Listed| {
        listed.departure.is_some_and(|departure| {
            let late = departure.heard_at().since(departure.counted_from()) > HEARD_LATE;
            late && departure.sign() == Sign::Announced && departure.heard_at() > asked_at
        })
    };
    if node.directory.borrow().leaving().any(is_new) {
        node.departures_asked_at.set(node.now());
        tokio::task::spawn_local(ask_peers(Rc::clone(node)));
    }
}

async fn ask_peers(node: Rc<Node>) {
    let peers = peers_to_ask(&node);
    join_all(peers.iter().map(|peer| ask(&node, peer))).await;
}

/// Some of the other nodes, other ones for each node that asks.
fn peers_to_ask(node: &Node) -> Vec<Peer> {
    let own = &node.settings.name;
    let mut names: Vec<String> = node
        .registered_nodes()
        .iter()
        .map(|candidate| candidate.node.clone())
        .filter(|name| name != own && node.answers(name))
        .collect();
    names.sort_by_cached_key(|name| {
        let mut hasher = DefaultHasher::new();
        (own, name).hash(&mut hasher);
        hasher.finish()
    });
    names.truncate(PEERS_ASKED);
    names.iter().filter_map(|name| node.peer(name)).collect()
}

async fn ask(node: &Rc<Node>, peer: &Peer) {
    let asked_at = node.now();
    let request = LinkRequest::Departures;
    let answer = link::call(node, peer, &[], &request, ANSWER_LIMIT).await;
    let outcome = match answer {
        Some((LinkReply::Departures(departures), stream)) => {
            node.links.keep(peer.name.clone(), stream);
            node.learn_departures(&departures, asked_at);
            "answered"
        }
        _ => "not_answered",
    };
    node.counters.count("departures_asked", outcome);
}
