//! Keeps this node's lease on the use of primaries, and grants the others theirs, as the
//! coordinator or a stand-in. Only services that do not fence promotions need it.

use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::fencing::FencingToken;
use hookpoint_coordination::serving::homes::claim_order;
use hookpoint_coordination::serving::lease_grantor::{Electorate, VOTER_MEMORY};
use hookpoint_coordination::serving::primary_lease::{Grantor, LeaseAnswer, LeaseRequest};
use hookpoint_state::{DatabaseName, GroupName, StoreRevision, Timestamp};
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::node::Node;
use crate::peer_message::PeerMessage;
use crate::peers::Peers;
use crate::units::millis;

/// Longest pause between looks at the lease.
const LOOK: Duration = Duration::from_millis(50);
/// How long writes in flight at a primary that is about to be replaced hold back this
/// node's acknowledgement. What is answered later is in doubt.
const WRITES_END: Duration = Duration::from_millis(250);

/// An announced promotion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The group.
    pub group: GroupName,
    /// The database that is to lead.
    pub candidate: DatabaseName,
    /// The token of the order: an announcement replaces those of lower ones.
    pub token: FencingToken,
    /// Revision of its record in the store.
    pub revision: StoreRevision,
}

/// What a node knows of promotions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promotions {
    /// Those that the other side may not know.
    pub newer: Vec<Announcement>,
    /// Up to which revision of the store this node knows all of them.
    pub known: StoreRevision,
}

/// Lapse after which requests that need a primary are refused at once: their callers reach
/// other nodes sooner than this one gets a lease again.
pub(crate) const LAPSE_PASSES: Duration = Duration::from_millis(300);
/// Lapse after which idle sessions close: callers are no longer sent here by then.
const SESSIONS_MOVE: Duration = Duration::from_millis(2_200);

/// Keeps the lease for as long as the node lives.
pub async fn keep(node: Rc<Node>, peers: Rc<Peers>) {
    let mut covered = false;
    loop {
        let _ = timeout(LOOK, node.lease_due.notified()).await;
        if node.changeable().fenced_promotions {
            continue;
        }
        renew(&node, &peers);
        if node.sessions_move_since().is_some() {
            node.stop_advanced.notify_waiters();
        }
        let now = node.now();
        let covers = node.primary_lease.borrow().covers(now);
        if covers != covered {
            covered = covers;
            log_change(&node, covers, now);
        }
    }
}

fn log_change(node: &Rc<Node>, covers: bool, now: Timestamp) {
    if covers {
        let coordinator = node.coordinator.borrow().revision();
        node.log(
            "primary_lease_held",
            &[("coordinator", coordinator.to_string().into())],
        );
        node.leader_changed.notify_waiters();
    } else {
        let lapsed_since = node.primary_lease.borrow().lapsed_since(now);
        let lapsed_ms = lapsed_since.map(|since| millis(now.since(since)));
        node.log("primary_lease_lapsed", &[("lapsed_ms", lapsed_ms.into())]);
    }
}

fn renew(node: &Rc<Node>, peers: &Rc<Peers>) {
    let now = node.now();
    if node.writes_end_soon() {
        return;
    }
    let mut lease = node.primary_lease.borrow_mut();
    lease.follow(node.coordinator.borrow().newest_revision(), now);
    let Some((grantor, request)) = lease.request(now) else {
        return;
    };
    drop(lease);
    let Some(name) = grantor_name(node, grantor) else {
        return;
    };
    if name == node.settings.name {
        let answer = node.answer_lease(&name, &request);
        node.close_all_replaced();
        node.primary_lease.borrow_mut().take(&answer, now);
        node.grantor_knows.set(node.promotions_known.get());
        node.lease_due.notify_one();
        return;
    }
    let address = node
        .members
        .borrow()
        .get(&name)
        .map(|member| member.peer_address);
    if let Some(address) = address {
        let message = PeerMessage::AskLease {
            node: node.settings.name.clone(),
            request,
            promotions: node.promotions_after(known_to_grantor(node, &request)),
        };
        peers.send(&message, address);
    }
}

/// Up to which revision of the store the node that is asked knows all promotions. One that
/// coordinates in another era may lack those of the era before.
fn known_to_grantor(node: &Node, request: &LeaseRequest) -> StoreRevision {
    let known = node.grantor_knows.get();
    if known.era() == request.coordinator.era() {
        known
    } else {
        StoreRevision::default()
    }
}

/// The node to ask; none if nobody coordinates, or no other node is known.
fn grantor_name(node: &Rc<Node>, grantor: Grantor) -> Option<String> {
    let view = node.coordinator.borrow();
    let coordinator = view.newest();
    match grantor {
        Grantor::Coordinator => coordinator.map(str::to_owned),
        Grantor::StandIn(place) => {
            let nodes = node.registered_nodes();
            let mut order = claim_order(&nodes);
            order.retain(|name| Some(*name) != coordinator);
            let place = place.checked_rem(order.len())?;
            Some(order[place].to_owned())
        }
    }
}

/// Answers a peer's request for a lease. What the peer knows of promotions is learnt
/// first: its vote may be the one that ties this node to those who acknowledged them.
pub(crate) fn answer(
    node: &Rc<Node>,
    peer: &str,
    request: &LeaseRequest,
    promotions: &Promotions,
) -> PeerMessage {
    node.learn_promotions(&promotions.newer);
    node.primary_lease
        .borrow_mut()
        .follow(request.coordinator, node.now());
    PeerMessage::TellLease {
        answer: node.answer_lease(peer, request),
        promotions: node.promotions_after(promotions.known),
    }
}

/// Takes the answer to a request. The announcements that it tells hold from now on, so the
/// lease never covers a primary that they replace.
pub(crate) fn take_answer(node: &Rc<Node>, answer: &LeaseAnswer, promotions: &Promotions) {
    node.learn_promotions(&promotions.newer);
    node.note_promotions_known(promotions.known);
    node.close_all_replaced();
    if node.primary_lease.borrow_mut().take(answer, node.now()) {
        node.grantor_knows.set(promotions.known);
    }
    node.lease_due.notify_one();
}

/// Tells all nodes that this one coordinates: they ask it for leases at once.
pub(crate) fn tell_coordinator(node: &Node, peers: &Peers, revision: StoreRevision) {
    let message = PeerMessage::TellCoordinator {
        revision,
        node: node.settings.name.clone(),
    };
    for address in node.other_members() {
        peers.send(&message, address);
    }
    node.lease_due.notify_one();
}

/// Takes notice of a coordinator.
pub(crate) fn take_coordinator(node: &Node, revision: StoreRevision, name: &str) {
    node.coordinator.borrow_mut().learn(revision, name);
    node.lease_due.notify_one();
}

/// Takes an announcement that a coordinator makes before it orders. Says whether this
/// node acknowledges it: once it uses the replaced primary no more.
pub(crate) fn take_announcement(
    node: &Rc<Node>,
    coordinator: StoreRevision,
    coordinator_name: &str,
    announcement: &Announcement,
) -> bool {
    node.coordinator
        .borrow_mut()
        .learn(coordinator, coordinator_name);
    node.learn_promotion(announcement);
    let now = node.now();
    let ended = node.with_group(&announcement.group, |state| {
        let since = state.promoting.as_ref().map_or(now, |(_, since)| *since);
        state.writes_in_flight == 0 || now.since(since) >= WRITES_END
    });
    if !ended
        || !node
            .primary_lease
            .borrow_mut()
            .acknowledge(coordinator, now)
    {
        return false;
    }
    node.close_replaced(announcement);
    true
}

impl Node {
    /// Takes a vote and answers it.
    fn answer_lease(&self, peer: &str, request: &LeaseRequest) -> LeaseAnswer {
        let electorate = Electorate {
            voters: self.voters().len(),
            store_heard_at: self.store_heard_at.get(),
        };
        let coordinator = self.primary_lease.borrow().coordinator();
        let mut grantor = self.grantor.borrow_mut();
        grantor.answer(peer, request, coordinator, electorate, self.now())
    }

    /// Whether others may have granted leases by this node's vote.
    pub(crate) fn voted_for_others(&self) -> bool {
        let now = self.now();
        self.primary_lease.borrow().voted_for_others(now)
    }

    /// All nodes that may hold a lease, this one included.
    pub(crate) fn voters(&self) -> Vec<String> {
        let now = self.now();
        let members = self.members.borrow();
        let remembered = members.iter().filter(|(name, member)| {
            let gone = member
                .gone_at
                .is_some_and(|gone| now.since(gone) >= VOTER_MEMORY);
            !gone && **name != self.settings.name
        });
        let own = std::iter::once(self.settings.name.clone());
        own.chain(remembered.map(|(name, _)| name.clone()))
            .collect()
    }

    /// What this node knows of promotions, for one that knows all up to `revision`. Those that
    /// the store has lost are not among what that one has read.
    fn promotions_after(&self, revision: StoreRevision) -> Promotions {
        let groups = self.groups.borrow();
        let later = groups
            .iter()
            .filter(|(_, state)| state.announced_at > revision || state.announcement_is_lost());
        let newer = later.filter_map(|(group, state)| {
            let (candidate, _) = state.promoting.as_ref()?;
            Some(Announcement {
                group: group.clone(),
                candidate: candidate.clone(),
                token: state.announced?,
                revision: state.announced_at,
            })
        });
        Promotions {
            newer: newer.collect(),
            known: self.promotions_known.get(),
        }
    }

    /// A complete listing is about to be taken in: announcements that it lacks are not in the
    /// store.
    pub(crate) fn forget_listed_announcements(&self) {
        for state in self.groups.borrow_mut().values_mut() {
            state.announcement_listed = None;
        }
    }

    /// Takes announcements that a peer passes on.
    fn learn_promotions(&self, announcements: &[Announcement]) {
        for announcement in announcements {
            self.learn_promotion(announcement);
        }
    }

    /// Whether writes are in flight at a primary that is about to be replaced, and may end
    /// in a moment. A lease taken before that would leave them in doubt.
    fn writes_end_soon(&self) -> bool {
        let now = self.now();
        self.groups.borrow().values().any(|state| {
            let since = state.promoting.as_ref().map_or(now, |(_, since)| *since);
            let open = state.closed_by < state.announced && state.writes_in_flight > 0;
            open && now.since(since) < WRITES_END
        })
    }

    /// Nothing that a replaced primary answers from now on is passed on as done. A lease
    /// granted after an announcement does not cover the primary that it replaces.
    fn close_all_replaced(&self) {
        for state in self.groups.borrow_mut().values_mut() {
            state.closed_by = state.closed_by.max(state.announced);
        }
    }

    /// Takes an announcement; one that is not newer than what is known is passed over.
    pub(crate) fn learn_promotion(&self, announcement: &Announcement) {
        let group = &announcement.group;
        let now = self.now();
        let candidate = &announcement.candidate;
        let newer = self.with_group(group, |state| {
            let newer = Some(announcement.token) > state.announced;
            if newer {
                state.announced = Some(announcement.token);
                state.announced_at = announcement.revision;
                state.promoting = Some((candidate.clone(), now));
            }
            newer
        });
        if !newer {
            return;
        }
        let replaced = self.leader(group).filter(|leader| leader != candidate);
        if let Some(replaced) = replaced
            && !self.changeable().fenced_promotions
        {
            self.refute_leader(&replaced, now);
        }
    }

    /// From now on nothing that the replaced primary answers is passed on as done.
    pub(crate) fn close_replaced(&self, announcement: &Announcement) {
        self.with_group(&announcement.group, |state| {
            state.closed_by = state.closed_by.max(Some(announcement.token));
        });
    }

    /// All promotions announced up to this revision of the store are known.
    pub(crate) fn note_promotions_known(&self, revision: StoreRevision) {
        let known = self.promotions_known.get();
        self.promotions_known.set(known.max(revision));
    }

    /// Whether this node may use primaries at all.
    pub(crate) fn may_use_primaries(&self) -> bool {
        self.covers_primaries(self.now())
    }

    /// Whether it might at a moment of the last seconds.
    pub(crate) fn covers_primaries(&self, moment: Timestamp) -> bool {
        self.changeable().fenced_promotions || self.primary_lease.borrow().covers(moment)
    }

    /// Whether a write or a commit may be sent to a database now.
    pub(crate) fn may_write(&self, database: &DatabaseName) -> bool {
        self.changeable().fenced_promotions || (self.may_use_primaries() && self.leads(database))
    }

    /// Whether a write that a database answered may be passed on as done. It may have been
    /// sent before an announcement; then it counts until this node acknowledged that.
    pub(crate) fn may_acknowledge(&self, group: &GroupName, database: &DatabaseName) -> bool {
        if self.changeable().fenced_promotions {
            return true;
        }
        let closed = self.with_group(group, |state| {
            let replaced = state
                .promoting
                .as_ref()
                .is_some_and(|(candidate, _)| candidate != database);
            replaced && state.closed_by >= state.announced
        });
        !closed && self.may_use_primaries()
    }

    /// Since when this node has been cut off from what it needs to serve callers, if that is
    /// so long ago that the sessions from before should go on at other nodes.
    pub(crate) fn sessions_move_since(&self) -> Option<Timestamp> {
        let now = self.now();
        self.lease_lapsed_since()
            .or_else(|| self.uncounted_since())
            .or_else(|| self.isolated_since())
            .filter(|since| now.since(*since) >= SESSIONS_MOVE)
    }

    /// Since when this node has not been allowed to use primaries, if it was before.
    pub(crate) fn lease_lapsed_since(&self) -> Option<Timestamp> {
        if self.changeable().fenced_promotions {
            return None;
        }
        self.primary_lease.borrow().lapsed_since(self.now())
    }
}

/// Counts a write as in flight at its group's primary for as long as it lives.
pub(crate) struct WriteInFlight<'a> {
    node: &'a Rc<Node>,
    group: &'a GroupName,
}

impl<'a> WriteInFlight<'a> {
    pub(crate) fn new(node: &'a Rc<Node>, group: &'a GroupName) -> Self {
        node.with_group(group, |state| state.writes_in_flight += 1);
        Self { node, group }
    }
}

impl Drop for WriteInFlight<'_> {
    fn drop(&mut self) {
        self.node
            .with_group(self.group, |state| state.writes_in_flight -= 1);
    }
}
