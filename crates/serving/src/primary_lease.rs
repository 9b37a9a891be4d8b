//! Renews this node's lease on the use of primaries, and grants leases to other nodes, as the
//! coordinator or a substitute coordinator. Needed only where the promotion service does not fence
//! promotions, and for writes of synchronous groups.

use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::fencing::FencingToken;
use hookpoint_coordination::serving::homes::claim_order;
use hookpoint_coordination::serving::lease_grantor::{Electorate, VOTER_RETENTION};
use hookpoint_coordination::serving::primary_lease::{Grantor, LeaseAnswer, LeaseRequest};
use hookpoint_coordination::serving::withheld_commits::WithheldCommits;
use hookpoint_state::{DatabaseName, GroupName, StoreRevision, Term, Timestamp};
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::node::Node;
use crate::peer_message::PeerMessage;
use crate::peers::Peers;
use crate::units::millis;

/// Longest pause between two checks of the lease.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long writes in flight at a primary that is about to be replaced delay this node's
/// acknowledgement. The outcome of writes that are answered later is unknown.
const WRITE_GRACE_PERIOD: Duration = Duration::from_millis(250);

/// An announcement that a database is to become the primary of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The group whose primary is replaced.
    pub group: GroupName,
    /// The database that is to become the primary.
    pub candidate: DatabaseName,
    /// Fencing token of the promotion order. An announcement replaces those with lower tokens.
    pub token: FencingToken,
    /// Revision of the announcement's record in the store.
    pub revision: StoreRevision,
    /// The commits that nodes no longer acknowledge because of it. Messages carry it after the
    /// fields that earlier versions know.
    #[serde(skip)]
    pub withheld: WithheldCommits,
}

/// The promotions that one node reports to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promotions {
    /// Announcements that the receiver may not have.
    pub newer: Vec<Announcement>,
    /// Store revision up to which the sender knows all announcements.
    pub known: StoreRevision,
    /// What each of `newer` withholds; empty if none withholds anything.
    pub withheld: Vec<WithheldCommits>,
}

impl Promotions {
    /// Returns the promotions to report, for a sender that knows all announcements up to `known`.
    pub fn new(newer: Vec<Announcement>, known: StoreRevision) -> Self {
        let withheld: Vec<_> = newer.iter().map(|newer| newer.withheld).collect();
        let withholds = withheld.iter().any(|it| *it != WithheldCommits::None);
        Self {
            newer,
            known,
            withheld: if withholds { withheld } else { Vec::new() },
        }
    }

    /// Returns the reported announcements with what they withhold.
    pub fn announcements(&self) -> impl Iterator<Item = Announcement> {
        let withheld = self.withheld.iter().copied();
        let withheld = withheld.chain(std::iter::repeat(WithheldCommits::None));
        self.newer
            .iter()
            .zip(withheld)
            .map(|(newer, withheld)| Announcement {
                withheld,
                ..newer.clone()
            })
    }
}

/// Time without a lease after which requests that need a primary are refused immediately: the
/// callers reach other nodes sooner than this one gets a lease again.
pub(crate) const LEASE_RECOVERY_LIMIT: Duration = Duration::from_millis(300);
/// Idle sessions are closed when this node has been unable to serve callers for this long. By then
/// callers are no longer routed to it.
const SESSIONS_MOVE_AFTER: Duration = Duration::from_millis(2_200);

/// Requests, renews and monitors the lease until the node shuts down.
pub async fn keep(node: Rc<Node>, peers: Rc<Peers>) {
    let mut covered = false;
    loop {
        let _ = timeout(POLL_INTERVAL, node.lease_due.notified()).await;
        if !node.needs_primary_lease() {
            continue;
        }
        renew(&node, &peers);
        if node.unable_to_serve_since().is_some() {
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
    if node.has_finishing_writes() {
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
        node.close_replaced_primaries();
        node.primary_lease.borrow_mut().take(&answer, now);
        node.grantor_known_revision
            .set(node.promotions_known_up_to.get());
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

/// Returns the store revision up to which the grantor knows all promotions. A grantor whose
/// coordinator belongs to another era may lack promotions of the previous one.
fn known_to_grantor(node: &Node, request: &LeaseRequest) -> StoreRevision {
    let known = node.grantor_known_revision.get();
    if known.era() == request.coordinator.era() {
        known
    } else {
        StoreRevision::default()
    }
}

/// Returns the name of the node to request the lease from, or `None` if no coordinator or no other
/// node is known.
fn grantor_name(node: &Rc<Node>, grantor: Grantor) -> Option<String> {
    let view = node.coordinator.borrow();
    let coordinator = view.newest();
    match grantor {
        Grantor::Coordinator => coordinator.map(str::to_owned),
        Grantor::Substitute(index) => {
            let nodes = node.registered_nodes();
            let mut order = claim_order(&nodes);
            order.retain(|name| Some(*name) != coordinator);
            let index = index.checked_rem(order.len())?;
            Some(order[index].to_owned())
        }
    }
}

/// Answers a peer's lease request. The peer's announcements are taken over first, because its vote
/// may be what links this node's grants to the nodes that acknowledged those announcements.
pub(crate) fn answer(
    node: &Rc<Node>,
    peer: &str,
    request: &LeaseRequest,
    promotions: &Promotions,
) -> PeerMessage {
    node.learn_announcements(promotions);
    node.primary_lease
        .borrow_mut()
        .follow(request.coordinator, node.now());
    PeerMessage::TellLease {
        answer: node.answer_lease(peer, request),
        promotions: node.promotions_after(promotions.known),
    }
}

/// Handles the answer to a lease request. The announcements in the answer take effect before the
/// lease does, so the lease never covers a primary that they replace.
pub(crate) fn handle_answer(node: &Rc<Node>, answer: &LeaseAnswer, promotions: &Promotions) {
    node.learn_announcements(promotions);
    node.note_promotions_known(promotions.known);
    node.close_replaced_primaries();
    if node.primary_lease.borrow_mut().take(answer, node.now()) {
        node.grantor_known_revision.set(promotions.known);
    }
    node.lease_due.notify_one();
}

/// Informs all nodes that this node is the coordinator, so that they request leases from it
/// immediately.
pub(crate) fn announce_coordinator(node: &Node, peers: &Peers, revision: StoreRevision) {
    let message = PeerMessage::TellCoordinator {
        revision,
        node: node.settings.name.clone(),
    };
    for address in node.other_members() {
        peers.send(&message, address);
    }
    node.lease_due.notify_one();
}

/// Records a coordinator reported by a peer.
pub(crate) fn learn_coordinator(node: &Node, revision: StoreRevision, name: &str) {
    node.coordinator
        .borrow_mut()
        .note_coordinator(revision, name);
    node.lease_due.notify_one();
}

/// Handles an announcement that a coordinator sends before it orders a promotion. Returns whether
/// this node acknowledges it, which it does once it no longer uses the replaced primary.
pub(crate) fn handle_announcement(
    node: &Rc<Node>,
    coordinator: StoreRevision,
    coordinator_name: &str,
    announcement: &Announcement,
) -> bool {
    node.coordinator
        .borrow_mut()
        .note_coordinator(coordinator, coordinator_name);
    node.learn_promotion(announcement);
    let now = node.now();
    let ended = node.with_group(&announcement.group, |state| {
        let since = state.promoting.as_ref().map_or(now, |(_, since)| *since);
        state.writes_in_flight == 0 || now.since(since) >= WRITE_GRACE_PERIOD
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
    /// Counts a peer's vote and answers its lease request.
    fn answer_lease(&self, peer: &str, request: &LeaseRequest) -> LeaseAnswer {
        let electorate = Electorate {
            voters: self.voters().len(),
            store_known_at: self.store_answered_at.get(),
        };
        let coordinator = self.primary_lease.borrow().coordinator();
        let mut grantor = self.grantor.borrow_mut();
        grantor.answer(peer, request, coordinator, electorate, self.now())
    }

    /// Returns whether this node, as the coordinator, knows all promotions that were announced
    /// before its tenure.
    pub(crate) fn knows_announcements(&self) -> bool {
        let coordinator = self.primary_lease.borrow().coordinator();
        let grantor = self.grantor.borrow();
        grantor.knows_predecessors(coordinator)
    }

    /// Returns whether other nodes may hold leases granted with this node's vote.
    pub(crate) fn voted_for_others(&self) -> bool {
        let now = self.now();
        self.primary_lease.borrow().voted_for_others(now)
    }

    /// Returns the names of all nodes that may hold a lease, including this one.
    pub(crate) fn voters(&self) -> Vec<String> {
        let now = self.now();
        let members = self.members.borrow();
        let retained = members.iter().filter(|(name, member)| {
            let gone = member
                .gone_at
                .is_some_and(|gone| now.since(gone) >= VOTER_RETENTION);
            !gone && **name != self.settings.name
        });
        let own = std::iter::once(self.settings.name.clone());
        own.chain(retained.map(|(name, _)| name.clone())).collect()
    }

    /// Returns the promotions to report to a node that knows all of them up to `revision`.
    /// Announcements that the store has lost are always included, because that node cannot have
    /// read them.
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
                withheld: state.withheld,
            })
        });
        Promotions::new(newer.collect(), self.promotions_known_up_to.get())
    }

    /// Clears the announcements recorded as listed, before a complete listing of the store is
    /// applied: announcements that the listing lacks are not in the store.
    pub(crate) fn forget_listed_announcements(&self) {
        for state in self.groups.borrow_mut().values_mut() {
            state.announcement_listed = None;
        }
    }

    /// Applies announcements passed on by a peer.
    fn learn_announcements(&self, promotions: &Promotions) {
        for announcement in promotions.announcements() {
            self.learn_promotion(&announcement);
        }
    }

    /// Returns whether writes are in flight at a primary that is about to be replaced and are
    /// still within [`WRITE_GRACE_PERIOD`]. Taking a lease before they end would leave their
    /// outcome unknown.
    fn has_finishing_writes(&self) -> bool {
        let now = self.now();
        self.groups.borrow().values().any(|state| {
            let since = state.promoting.as_ref().map_or(now, |(_, since)| *since);
            let open = state.closed_up_to < state.announced && state.writes_in_flight > 0;
            open && now.since(since) < WRITE_GRACE_PERIOD
        })
    }

    /// Stops acknowledging what any replaced primary answers from now on: a lease granted after an
    /// announcement does not cover the primary that it replaces.
    fn close_replaced_primaries(&self) {
        for state in self.groups.borrow_mut().values_mut() {
            state.closed_up_to = state.closed_up_to.max(state.announced);
        }
    }

    /// Applies an announcement unless it is not newer than the one already known.
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
                state.withheld = announcement.withheld;
            }
            newer
        });
        if !newer {
            return;
        }
        self.note_withheld_commits(announcement);
        let replaced = self.leader(group).filter(|leader| leader != candidate);
        if let Some(replaced) = replaced
            && !self.changeable().fenced_promotions
        {
            self.reject_leader(&replaced, now);
        }
    }

    /// Stops acknowledging what the replaced primary answers from now on.
    pub(crate) fn close_replaced(&self, announcement: &Announcement) {
        self.with_group(&announcement.group, |state| {
            state.closed_up_to = state.closed_up_to.max(Some(announcement.token));
        });
    }

    /// Records that all promotions announced up to `revision` of the store are known.
    pub(crate) fn note_promotions_known(&self, revision: StoreRevision) {
        let known = self.promotions_known_up_to.get();
        self.promotions_known_up_to.set(known.max(revision));
    }

    /// Returns whether this node may use primaries now.
    pub(crate) fn may_use_primaries(&self) -> bool {
        self.covers_primaries(self.now())
    }

    /// Returns whether this node's lease on primaries is in force.
    pub(crate) fn holds_primary_lease(&self) -> bool {
        self.primary_lease.borrow().covers(self.now())
    }

    /// Returns whether this node was allowed to use primaries at `moment`, which must lie within
    /// the last few seconds.
    pub(crate) fn covers_primaries(&self, moment: Timestamp) -> bool {
        self.changeable().fenced_promotions || self.primary_lease.borrow().covers(moment)
    }

    /// Returns whether a write or a commit may be sent to a database of `group` now.
    pub(crate) fn may_write(&self, group: &GroupName, database: &DatabaseName) -> bool {
        self.may_use_as_primary(database) && !self.withholds_writes(group, database)
    }

    /// Returns whether a statement that needs the primary may be sent to a database now.
    pub(crate) fn may_use_as_primary(&self, database: &DatabaseName) -> bool {
        self.changeable().fenced_promotions || (self.may_use_primaries() && self.leads(database))
    }

    /// Returns whether a write that a database answered may be acknowledged to the caller. `term`
    /// is the term of the position in the answer. A write sent before an announcement counts until
    /// this node has acknowledged the announcement.
    pub(crate) fn may_acknowledge(
        &self,
        group: &GroupName,
        database: &DatabaseName,
        term: Option<Term>,
    ) -> bool {
        if self.withholds_commit(group, term) {
            return false;
        }
        if self.changeable().fenced_promotions {
            return true;
        }
        let closed = self.with_group(group, |state| {
            let replaced = state
                .promoting
                .as_ref()
                .is_some_and(|(candidate, _)| candidate != database);
            replaced && state.closed_up_to >= state.announced
        });
        !closed && self.may_use_primaries()
    }

    /// Returns since when this node has lacked what it needs to serve callers, if that has lasted
    /// so long that existing sessions should move to other nodes.
    pub(crate) fn unable_to_serve_since(&self) -> Option<Timestamp> {
        let now = self.now();
        self.lease_lapsed_since()
            .or_else(|| self.not_counted_since())
            .or_else(|| self.isolated_since())
            .filter(|since| now.since(*since) >= SESSIONS_MOVE_AFTER)
    }

    /// Returns since when this node has not been allowed to use primaries, or `None` if it is
    /// allowed to or never was.
    pub(crate) fn lease_lapsed_since(&self) -> Option<Timestamp> {
        if self.changeable().fenced_promotions {
            return None;
        }
        self.primary_lease.borrow().lapsed_since(self.now())
    }
}

/// Guard that counts a write as in flight at its group's primary until it is dropped.
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
