//! Databases that are leaving the fleet (draining): what this node knows of them and shares with
//! peers.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use hookpoint_coordination::serving::database_incarnation::DatabaseStart;
use hookpoint_coordination::serving::departure::{DepartureEvidence, LearnedTimes};
use hookpoint_coordination::serving::directory::DirectoryEntry;
use hookpoint_state::{DatabaseName, Timestamp};
use serde::{Deserialize, Serialize};

use crate::homes::Peer;
use crate::link::{self, LinkReply, LinkRequest};
use crate::node::Node;
use crate::units::millis;

/// A departure that was learnt more than this after its start counts as learnt late. The time
/// exceeds one watch of the store and the forwarding of its result. Peers that learnt of the
/// departure in time have a more accurate start.
const LATE_THRESHOLD: Duration = Duration::from_secs(3);
/// Number of peers asked at once. Even if half of the fleet learnt of the departure late, at least
/// one of four peers has a more accurate start in fifteen of sixteen cases.
const PEERS_ASKED: usize = 4;
/// Timeout for the peers' answers: a few round trips. The database gets no new work meanwhile.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// A database's announced departure as reported to a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AnnouncedDeparture {
    database: DatabaseName,
    /// The start of the database process that announced its departure.
    started: Option<DatabaseStart>,
    /// Upper bound on the time since the announcement, in milliseconds.
    age_ms: u64,
}

impl Node {
    /// Returns the time bounds of information that is being applied from the store's feed.
    pub(crate) fn learned_times(&self) -> LearnedTimes {
        LearnedTimes {
            at: self.now(),
            not_before: self.feed.covered_before_last_report(),
        }
    }

    /// Returns whether a database may still be given new work.
    pub(crate) fn listed_accepts_new_work(&self, listed: &DirectoryEntry) -> bool {
        let limit = self.changeable().drain_limit;
        let in_time = |ends: Timestamp| self.now() < ends;
        listed
            .departure
            .is_none_or(|departure| in_time(departure.grace_period_end(limit)))
    }

    /// Returns whether the database `name` may still be given new work. An unlisted database has
    /// left.
    pub(crate) fn accepts_new_work(&self, name: &DatabaseName) -> bool {
        let directory = self.directory.borrow();
        directory
            .get(name)
            .is_some_and(|listed| self.listed_accepts_new_work(listed))
    }

    /// Returns for how much longer a database gets new work, or `Duration::MAX` if it is not
    /// leaving.
    pub(crate) fn work_time_left(&self, name: &DatabaseName) -> Duration {
        let directory = self.directory.borrow();
        let departure = directory.get(name).and_then(|listed| listed.departure);
        let limit = self.changeable().drain_limit;
        departure.map_or(Duration::MAX, |departure| {
            departure.grace_period_end(limit).since(self.now())
        })
    }

    /// Returns when this node learnt that a database is leaving.
    pub(crate) fn departure_learned_at(&self, name: &DatabaseName) -> Option<Timestamp> {
        let directory = self.directory.borrow();
        let departure = directory.get(name)?.departure?;
        Some(departure.learned_at())
    }

    /// Returns for how long a database has counted as leaving, or `None` if it is not leaving.
    pub(crate) fn draining_for(&self, name: &DatabaseName) -> Option<Duration> {
        let directory = self.directory.borrow();
        let departure = directory.get(name)?.departure?;
        Some(self.now().since(departure.counted_from()))
    }

    /// Returns the announced departures known here, with their ages.
    pub(crate) fn announced_departures(&self) -> Vec<AnnouncedDeparture> {
        let now = self.now();
        let report = |listed: &DirectoryEntry| {
            let departure = listed.departure?;
            (departure.evidence() == DepartureEvidence::Announced).then(|| AnnouncedDeparture {
                database: listed.database.name.clone(),
                started: listed.database.started,
                // Rounded up, so that the age never decreases while it is passed on.
                age_ms: millis(now.since(departure.counted_from())) + 1,
            })
        };
        self.directory
            .borrow()
            .leaving()
            .filter_map(report)
            .collect()
    }

    /// Applies the departures that a peer reported in answer to a request sent at `asked_at`.
    fn learn_departures(&self, departures: &[AnnouncedDeparture], asked_at: Timestamp) {
        let mut directory = self.directory.borrow_mut();
        for report in departures {
            let not_before = asked_at - Duration::from_millis(report.age_ms);
            directory.apply_departure_bound(&report.database, report.started, not_before);
        }
    }

    /// Logs that a database is leaving, unless `before` shows that this was known already.
    pub(crate) fn log_departure(&self, name: &DatabaseName, before: Option<&DirectoryEntry>) {
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

/// Asks peers for the start of departures that this node learnt of late since the last time that
/// it asked.
///
/// Without this, a node that starts or was cut off would stop using such databases immediately
/// although other nodes still use them, in particular primaries that are waiting to be replaced.
pub(crate) fn ask_about_late_departures(node: &Rc<Node>) {
    let asked_at = node.departures_asked_at.get();
    let is_new = |listed: &DirectoryEntry| {
        listed.departure.is_some_and(|departure| {
            let late = departure.learned_at().since(departure.counted_from()) > LATE_THRESHOLD;
            late && departure.evidence() == DepartureEvidence::Announced
                && departure.learned_at() > asked_at
        })
    };
    if node.directory.borrow().leaving().any(is_new) {
        node.departures_asked_at.set(node.now());
        tokio::task::spawn_local(ask_peers(Rc::clone(node)));
    }
}

async fn ask_peers(node: Rc<Node>) {
    let peers = peers_to_ask(&node);
    join_all(peers.iter().map(|peer| ask_peer(&node, peer))).await;
}

/// Returns a few of the other nodes, a different selection on each node that asks.
fn peers_to_ask(node: &Node) -> Vec<Peer> {
    let own = &node.settings.name;
    let mut names: Vec<String> = node
        .registered_nodes()
        .iter()
        .map(|candidate| candidate.node.clone())
        .filter(|name| name != own && node.is_responsive(name))
        .collect();
    names.sort_by_cached_key(|name| {
        let mut hasher = DefaultHasher::new();
        (own, name).hash(&mut hasher);
        hasher.finish()
    });
    names.truncate(PEERS_ASKED);
    names.iter().filter_map(|name| node.peer(name)).collect()
}

async fn ask_peer(node: &Rc<Node>, peer: &Peer) {
    let asked_at = node.now();
    let request = LinkRequest::Departures;
    let answer = link::call(node, peer, &[], &request, ANSWER_TIMEOUT).await;
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
