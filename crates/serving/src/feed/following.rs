//! Follows the store through an upstream node, and determines when this node asks the store
//! itself.

use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::feed::{is_small_region, store_upstreams, try_order};
use hookpoint_coordination::serving::store_freshness::{FreshnessLimits, MAX_WATCH_WAIT};
use hookpoint_state::StoreRevision;

use super::answering::{FeedAnswer, FollowRequest};
use crate::homes::Peer;
use crate::link::{self, LinkReply, LinkRequest};
use crate::node::Node;
use crate::packed;
use crate::ports::StoreChanges;
use crate::units::millis;

/// Additional time allowed for an upstream's answer: a large configuration takes time on a slow
/// link, and probes detect an unresponsive upstream long before.
const ANSWER_SLACK: Duration = Duration::from_millis(800);
/// How long an upstream may leave probes unanswered. An upstream that sends a large configuration
/// to all its followers saturates its link. A follower that gave up on it for that reason would
/// request the whole configuration from the store, which takes longer and saturates links as well.
const UPSTREAM_SILENCE: Duration = Duration::from_millis(700);
/// Maximum number of upstreams asked in one round before a node checks whether it should try the
/// store itself. If the store refuses a third of all nodes, five refused upstreams in a row are
/// rare.
const MAX_UPSTREAMS_PER_ROUND: usize = 5;
/// How long an upstream that did not answer is skipped.
const SKIP_UNANSWERED: Duration = Duration::from_secs(2);
/// How long an upstream that lacks some of the changes is skipped.
const SKIP_INCOMPLETE: Duration = Duration::from_millis(500);

/// The result of asking the upstreams for changes.
pub enum Followed {
    /// The changes reported by an upstream; empty if there were none.
    Changes(StoreChanges),
    /// A complete listing of the store.
    Listing(StoreChanges),
    /// No upstream reported anything newer.
    Nothing,
}

/// The reason why an upstream reported nothing newer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NoChangesReason {
    /// The upstream did not answer, or its answer could not be decoded.
    NotAnswered,
    /// The store refuses the upstream's calls.
    RefusedByStore,
    /// The upstream learnt of nothing newer in time.
    Behind,
    /// The upstream lacks some of the changes.
    Incomplete,
}

/// Follows the store through an upstream. An upstream that the store refuses says so immediately,
/// and the next one is asked, until it is this node's turn to try the store itself.
pub async fn follow_upstream(node: &Rc<Node>, revision: StoreRevision) -> Followed {
    let mut asked: Vec<String> = Vec::new();
    while let Some(upstream) = next_upstream(node, &asked) {
        asked.push(upstream.name.clone());
        match ask(node, &upstream, revision).await {
            Ok(followed) => return followed,
            Err(reason) => note_unhelpful_upstream(node, &upstream, reason),
        }
        node.feed.freshness.borrow_mut().note_no_update(node.now());
        if is_own_turn(node) {
            return Followed::Nothing;
        }
    }
    let mut freshness = node.feed.freshness.borrow_mut();
    freshness.note_no_update(node.now());
    if asked.is_empty() {
        freshness.clear_excluded();
    }
    Followed::Nothing
}

/// Records that an upstream did not help, so that another one is asked.
fn note_unhelpful_upstream(node: &Rc<Node>, upstream: &Peer, reason: NoChangesReason) {
    let now = node.now();
    let feed = &node.feed;
    let label = match reason {
        NoChangesReason::NotAnswered => {
            feed.skip_upstream(&upstream.name, now + SKIP_UNANSWERED);
            "peer_failed"
        }
        NoChangesReason::RefusedByStore => {
            feed.freshness.borrow_mut().exclude(&upstream.name, now);
            "peer_turned_away"
        }
        NoChangesReason::Behind => "peer_behind",
        NoChangesReason::Incomplete => {
            feed.skip_upstream(&upstream.name, now + SKIP_INCOMPLETE);
            "peer_incomplete"
        }
    };
    node.counters.count("store_followed", label);
}

/// Returns the next upstream to ask in a round, given those already asked in it.
fn next_upstream(node: &Rc<Node>, asked: &[String]) -> Option<Peer> {
    if asked.len() == MAX_UPSTREAMS_PER_ROUND {
        return None;
    }
    let now = node.now();
    upstreams(node)
        .into_iter()
        .filter(|upstream| !asked.contains(&upstream.name))
        .find(|upstream| !node.feed.is_skipped(&upstream.name, now))
}

/// Asks an upstream for the changes after `revision`, and records the age of the reported state.
async fn ask(
    node: &Rc<Node>,
    upstream: &Peer,
    revision: StoreRevision,
) -> Result<Followed, NoChangesReason> {
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
            let changes =
                unpack(node, upstream, &packed_changes).ok_or(NoChangesReason::NotAnswered)?;
            if changes.revision.era() < revision.era() {
                return Err(NoChangesReason::Behind);
            }
            // Apart from the time for which the upstream held the request, all of the round trip
            // may have been spent on the answer.
            let known_at = node.now().min(asked_at + Duration::from_millis(held_ms));
            node.counters.count("store_followed", "peer");
            let age = Duration::from_millis(age_ms);
            // A starting node may receive an old state, which says nothing about the present one.
            if revision != StoreRevision::default() || age < limits(node).max_age {
                let covered = known_at - Duration::from_millis(covered_ms);
                node.feed.note_relayed_report(known_at - age, covered);
            }
            note_steady(node, Duration::from_millis(steady_ms));
            Ok(if everything {
                node.feed.cache_packed(&changes, &packed_changes);
                Followed::Listing(changes)
            } else {
                Followed::Changes(changes)
            })
        }
        Some(FeedAnswer::StoreLost) => Err(NoChangesReason::RefusedByStore),
        Some(FeedAnswer::NothingNew) => Err(NoChangesReason::Behind),
        Some(FeedAnswer::Incomplete) => Err(NoChangesReason::Incomplete),
        None => Err(NoChangesReason::NotAnswered),
    }
}

/// The result of asking a peer for a complete listing.
pub(crate) enum ListingReply {
    /// The complete listing of the store.
    Listing(StoreChanges),
    /// The peer does not know the store's contents yet.
    NotYet,
    /// The peer did not answer or cannot help.
    NotAnswered,
}

/// Asks a peer for a complete listing of the store, for a node that knows nothing.
pub(crate) async fn request_listing(node: &Rc<Node>, upstream: &Peer) -> ListingReply {
    match ask(node, upstream, StoreRevision::default()).await {
        Ok(Followed::Listing(everything)) => ListingReply::Listing(everything),
        Err(NoChangesReason::Behind | NoChangesReason::Incomplete) => ListingReply::NotYet,
        Ok(_) | Err(NoChangesReason::NotAnswered | NoChangesReason::RefusedByStore) => {
            ListingReply::NotAnswered
        }
    }
}

/// Sends the request to an upstream. Returns `None` if it is not answered.
async fn call(node: &Rc<Node>, upstream: &Peer, revision: StoreRevision) -> Option<FeedAnswer> {
    let now = node.now();
    let (age, hold) = {
        let freshness = node.feed.freshness.borrow();
        (
            freshness.age(now),
            freshness.upstream_timeout(now, limits(node)),
        )
    };
    let request = LinkRequest::Follow(FollowRequest {
        revision,
        configuration: node.configuration_version(),
        age_ms: millis(age),
        hold_ms: millis(hold),
    });
    let limit = hold + ANSWER_SLACK;
    match link::call_for_large_answer(node, upstream, &request, limit, UPSTREAM_SILENCE).await {
        Some((LinkReply::Followed(answer), stream)) => {
            node.links.keep(upstream.name.clone(), stream);
            Some(answer)
        }
        _ => None,
    }
}

/// Unpacks an upstream's changes. Logs an event and returns `None` if they cannot be decoded.
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

/// Limits the time for which this node counts as having followed the store without a gap to that
/// of its upstream.
fn note_steady(node: &Rc<Node>, steady: Duration) {
    let since = node.now() - steady;
    let own = node.store_steady_since.get();
    node.store_steady_since.set(own.max(since));
}

/// Returns the limits on the age of this node's knowledge of the store, derived from the time
/// within which a configuration has to be in force.
fn limits(node: &Node) -> FreshnessLimits {
    FreshnessLimits::of(node.changeable().configuration_limit)
}

/// Returns whether this node's information may be used as the store's present state.
pub fn is_fresh(node: &Node) -> bool {
    let freshness = node.feed.freshness.borrow();
    freshness.is_fresh(node.now(), limits(node))
}

/// Returns whether this node watches the store itself at the moment.
pub fn watches_store(node: &Rc<Node>) -> bool {
    let names = upstream_names(node, |name| {
        node.is_responsive(name) && node.feed.freshness.borrow().may_forward(name, node.now())
    });
    names.is_empty() && node.feed.freshness.borrow().watches(node.now())
}

/// Returns whether this node should try the store itself because its upstreams reported nothing
/// newer. The region's watcher always does; the other nodes of the region take turns.
pub fn should_try_store(node: &Rc<Node>) -> bool {
    is_region_watcher(node) || is_own_turn(node)
}

fn is_own_turn(node: &Rc<Node>) -> bool {
    let regions = &node.changeable().regions;
    let order = try_order(&node.as_candidate(), &node.registered_nodes(), regions);
    node.feed.freshness.borrow().try_is_due(order, node.now())
}

/// Returns how long the next watch of the store waits for a change.
pub fn watch_wait(node: &Rc<Node>) -> Duration {
    let regions = &node.changeable().regions;
    let longest = if is_small_region(&node.settings.zone, &node.registered_nodes(), regions) {
        // No other node follows this one.
        MAX_WATCH_WAIT
    } else {
        limits(node).watch
    };
    node.feed.freshness.borrow().watch_wait(longest, node.now())
}

/// Returns the nodes that this node follows; empty if it watches the store itself. While the store
/// refuses its calls, this node follows others even if it is the region's watcher.
fn upstreams(node: &Rc<Node>) -> Vec<Peer> {
    let now = node.now();
    let rejected = node.feed.freshness.borrow().is_rejected(now);
    let names = upstream_names(node, |name| {
        if name == node.settings.name {
            return !rejected;
        }
        node.is_responsive(name) && node.feed.freshness.borrow().may_forward(name, now)
    });
    names.iter().filter_map(|name| node.peer(name)).collect()
}

fn upstream_names(node: &Rc<Node>, may_forward: impl Fn(&str) -> bool) -> Vec<String> {
    let nodes = node.registered_nodes();
    let regions = &node.changeable().regions;
    store_upstreams(&node.as_candidate(), &nodes, regions, may_forward)
        .into_iter()
        .map(str::to_owned)
        .collect()
}

/// Returns whether this node is the one that watches the store, assuming that the store answers
/// all nodes.
pub fn is_region_watcher(node: &Rc<Node>) -> bool {
    let own = &node.settings.name;
    upstream_names(node, |name| name == own || node.is_responsive(name)).is_empty()
}
