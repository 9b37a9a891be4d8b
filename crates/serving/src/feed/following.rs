//! Following an upstream, and whose turn it is to ask the store itself.

use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::feed::{is_small_region, store_upstreams, try_order};
use hookpoint_coordination::serving::store_news::{LONGEST_WATCH, NewsLimits};
use hookpoint_state::StoreRevision;

use super::answering::{FeedAnswer, FollowQuestion};
use crate::homes::Peer;
use crate::link::{self, LinkReply, LinkRequest};
use crate::node::Node;
use crate::packed;
use crate::ports::StoreChanges;
use crate::units::millis;

/// Time that an upstream's answer may be late: a large configuration takes its time on a slow
/// link, and an upstream that does not answer is found out by probes long before.
const FOLLOW_SLACK: Duration = Duration::from_millis(800);
/// How long an upstream may leave probes unanswered. One that passes a large configuration
/// to all its followers fills its link; a follower that turned from it for that would have
/// the store send it the whole configuration, which takes longer and fills links as well.
const UPSTREAM_SILENCE: Duration = Duration::from_millis(700);
/// Upstreams asked in one round at the most, before a node looks whether it is to try the
/// store itself. If the store turns away a third of all nodes, five in a row are rare.
const ASKED_IN_A_ROUND: usize = 5;
/// How long a watcher that did not answer is passed over.
const PASSED_OVER: Duration = Duration::from_secs(2);
/// The same for one that lacks some of the changes.
const PASSED_OVER_INCOMPLETE: Duration = Duration::from_millis(500);

/// What following an upstream came to.
pub enum Followed {
    /// The changes that it told of; none if there were none.
    Changes(StoreChanges),
    /// Everything that the store holds.
    Everything(StoreChanges),
    /// No upstream told anything newer.
    Nothing,
}

/// Why an upstream told nothing newer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NoNews {
    /// It did not answer, or not so that it could be read.
    NotAnswered,
    /// The store turns it away.
    TurnedAway,
    /// It knew nothing newer in time.
    Behind,
    /// It lacks some of the changes.
    Incomplete,
}

/// Follows the store through an upstream. One that the store turns away tells so at once, and
/// the next one is asked until it is this node's turn to try the store itself.
pub async fn follow_upstream(node: &Rc<Node>, revision: StoreRevision) -> Followed {
    let mut asked: Vec<String> = Vec::new();
    while let Some(upstream) = next_upstream(node, &asked) {
        asked.push(upstream.name.clone());
        match ask(node, &upstream, revision).await {
            Ok(followed) => return followed,
            Err(reason) => note_no_news(node, &upstream, reason),
        }
        node.feed.news.borrow_mut().note_nothing_heard(node.now());
        if turn_is_due(node) {
            return Followed::Nothing;
        }
    }
    let mut news = node.feed.news.borrow_mut();
    news.note_nothing_heard(node.now());
    if asked.is_empty() {
        news.ask_all_again();
    }
    Followed::Nothing
}

/// Takes in that an upstream was of no help, so that another one is asked.
fn note_no_news(node: &Rc<Node>, upstream: &Peer, reason: NoNews) {
    let now = node.now();
    let feed = &node.feed;
    let label = match reason {
        NoNews::NotAnswered => {
            feed.pass_over(&upstream.name, now + PASSED_OVER);
            "peer_failed"
        }
        NoNews::TurnedAway => {
            feed.news.borrow_mut().leave_out(&upstream.name, now);
            "peer_turned_away"
        }
        NoNews::Behind => "peer_behind",
        NoNews::Incomplete => {
            feed.pass_over(&upstream.name, now + PASSED_OVER_INCOMPLETE);
            "peer_incomplete"
        }
    };
    node.counters.count("store_followed", label);
}

/// The next upstream to ask in a round, after those that were asked in it.
fn next_upstream(node: &Rc<Node>, asked: &[String]) -> Option<Peer> {
    if asked.len() == ASKED_IN_A_ROUND {
        return None;
    }
    let now = node.now();
    upstreams(node)
        .into_iter()
        .filter(|upstream| !asked.contains(&upstream.name))
        .find(|upstream| !node.feed.is_passed_over(&upstream.name, now))
}

/// Asks an upstream for the changes after `revision`, and takes in how old what it tells is.
async fn ask(
    node: &Rc<Node>,
    upstream: &Peer,
    revision: StoreRevision,
) -> Result<Followed, NoNews> {
    let asked_at = node.now();
    match call(node, upstream, revision).await {
        Some(FeedAnswer::Changes {
            changes,
            everything,
            steady_ms,
            age_ms,
            covered_ms,
            held_ms,
        }) => {
            let packed_changes = changes;
            let changes = unpack(node, upstream, &packed_changes).ok_or(NoNews::NotAnswered)?;
            if changes.revision.era() < revision.era() {
                return Err(NoNews::Behind);
            }
            // All of the time that the upstream did not hold the question back may be the
            // answer's way.
            let told_at = node.now().min(asked_at + Duration::from_millis(held_ms));
            node.counters.count("store_followed", "peer");
            let age = Duration::from_millis(age_ms);
            // A node that starts may be told an old state, which proves nothing of the present.
            if revision != StoreRevision::default() || age < limits(node).oldest {
                let covered = told_at - Duration::from_millis(covered_ms);
                node.feed.note_heard(told_at - age, covered);
            }
            note_steady(node, Duration::from_millis(steady_ms));
            Ok(if everything {
                node.feed.keep_packed(&changes, &packed_changes);
                Followed::Everything(changes)
            } else {
                Followed::Changes(changes)
            })
        }
        Some(FeedAnswer::StoreLost) => Err(NoNews::TurnedAway),
        Some(FeedAnswer::NothingNew) => Err(NoNews::Behind),
        Some(FeedAnswer::Incomplete) => Err(NoNews::Incomplete),
        None => Err(NoNews::NotAnswered),
    }
}

/// What a peer answered that was asked for everything.
pub(crate) enum Everything {
    /// All that the store holds.
    Told(StoreChanges),
    /// It does not know that yet.
    NotYet,
    /// It did not answer, or is of no help.
    NotAnswered,
}

/// Asks a peer for everything that the store holds, for a node that knows nothing.
pub(crate) async fn ask_for_everything(node: &Rc<Node>, upstream: &Peer) -> Everything {
    match ask(node, upstream, StoreRevision::default()).await {
        Ok(Followed::Everything(everything)) => Everything::Told(everything),
        Err(NoNews::Behind | NoNews::Incomplete) => Everything::NotYet,
        Ok(_) | Err(NoNews::NotAnswered | NoNews::TurnedAway) => Everything::NotAnswered,
    }
}

/// Sends the question. Nothing if it is not answered.
async fn call(node: &Rc<Node>, upstream: &Peer, revision: StoreRevision) -> Option<FeedAnswer> {
    let now = node.now();
    let (age, hold) = {
        let news = node.feed.news.borrow();
        (news.age(now), news.hold(now, limits(node)))
    };
    let request = LinkRequest::Follow(FollowQuestion {
        revision,
        configuration: node.configuration_version(),
        age_ms: millis(age),
        hold_ms: millis(hold),
    });
    let limit = hold + FOLLOW_SLACK;
    match link::call_for_much(node, upstream, &request, limit, UPSTREAM_SILENCE).await {
        Some((LinkReply::Followed(answer), stream)) => {
            node.links.keep(upstream.name.clone(), stream);
            Some(answer)
        }
        _ => None,
    }
}

/// What an upstream packed. Nothing, with a line in the log, if it cannot be read.
fn unpack(node: &Rc<Node>, upstream: &Peer, changes: &[u8]) -> Option<StoreChanges> {
    match packed::unpack(changes) {
        Ok(changes) => Some(changes),
        Err(error) => {
            node.log(
                "feed_unreadable",
                &[
                    ("peer", upstream.name.as_str().into()),
                    ("detail", error.to_string().into()),
                ],
            );
            None
        }
    }
}

/// The store has been followed without a gap for no longer than by the watcher.
fn note_steady(node: &Rc<Node>, steady: Duration) {
    let since = node.now() - steady;
    let own = node.store_steady_since.get();
    node.store_steady_since.set(own.max(since));
}

fn limits(node: &Node) -> NewsLimits {
    NewsLimits::of(node.changeable().configuration_limit)
}

/// Whether what is known here may be taken for the store's present state.
pub fn is_fresh(node: &Node) -> bool {
    let news = node.feed.news.borrow();
    news.is_fresh(node.now(), limits(node))
}

/// Whether this node watches the store now.
pub fn watches(node: &Rc<Node>) -> bool {
    let names = upstream_names(node, |name| {
        node.answers(name) && node.feed.news.borrow().helps(name, node.now())
    });
    names.is_empty() && node.feed.news.borrow().watches(node.now())
}

/// Whether this node tries the store itself, as its upstreams told nothing newer. The one that
/// is to watch always does; the other nodes of a region take turns.
pub fn own_try_is_due(node: &Rc<Node>) -> bool {
    is_watcher(node) || turn_is_due(node)
}

fn turn_is_due(node: &Rc<Node>) -> bool {
    let regions = &node.changeable().regions;
    let order = try_order(&node.as_candidate(), &node.registered_nodes(), regions);
    node.feed.news.borrow().try_is_due(order, node.now())
}

/// How long the next watch of the store waits for a change.
pub fn watch_wait(node: &Rc<Node>) -> Duration {
    let regions = &node.changeable().regions;
    let longest = if is_small_region(&node.settings.zone, &node.registered_nodes(), regions) {
        // Nobody follows this node.
        LONGEST_WATCH
    } else {
        limits(node).watch
    };
    node.feed.news.borrow().watch_wait(longest, node.now())
}

/// The nodes that this node follows; none if it watches the store itself. While the store
/// turns it away it follows others, though it is the one to watch.
fn upstreams(node: &Rc<Node>) -> Vec<Peer> {
    let now = node.now();
    let turned_away = node.feed.news.borrow().is_turned_away(now);
    let names = upstream_names(node, |name| {
        if name == node.settings.name {
            return !turned_away;
        }
        node.answers(name) && node.feed.news.borrow().helps(name, now)
    });
    names.iter().filter_map(|name| node.peer(name)).collect()
}

fn upstream_names(node: &Rc<Node>, helps: impl Fn(&str) -> bool) -> Vec<String> {
    let nodes = node.registered_nodes();
    let regions = &node.changeable().regions;
    store_upstreams(&node.as_candidate(), &nodes, regions, helps)
        .into_iter()
        .map(str::to_owned)
        .collect()
}

/// Whether this node is the one to watch the store itself, if the store answers all nodes.
pub fn is_watcher(node: &Rc<Node>) -> bool {
    let own = &node.settings.name;
    upstream_names(node, |name| name == own || node.answers(name)).is_empty()
}
