//! Exchanges datagrams with other nodes: observations of primaries, leases, samples, tokens and
//! probes.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::coordinator::CoordinatorRecord;
use hookpoint_coordination::serving::failover::Observation;
use hookpoint_coordination::serving::leadership::{Confirmation, LeadershipPeriod};
use hookpoint_coordination::serving::peer_contact::LONGEST_ROUND_TRIP;
use hookpoint_state::{DatabaseName, GroupName, StoreRevision, Timestamp};
use tokio::net::UdpSocket;
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::counters::Counters;
use crate::node::Node;
use crate::peer_message::{PeerMessage, PrimarySample};
use crate::primary_lease::{self, Announcement};
use crate::reachability;
use crate::tokens;

/// Largest datagram that is received, in bytes.
const MAX_DATAGRAM: usize = 4 << 10;
/// How long the answer to a request for a sample is accepted.
const SAMPLE_ANSWER_TIME: Duration = Duration::from_millis(500);

/// A primary that has not answered for longer than this may have been lost. Holders of connections
/// query a primary that is in use, or that they are asked about, several times in this period.
const RECENT_CONTACT: Duration = Duration::from_secs(1);

/// Maximum number of requests about lost primaries that one node has in progress. In the time of a
/// round trip, this number of requests and answers fits into a link of a few tens of megabits per
/// second beside the node's other traffic.
const MAX_REQUESTS_IN_PROGRESS: u32 = 2_000;

/// Pause after a failure to receive datagrams.
const RECEIVE_PAUSE: Duration = Duration::from_millis(10);

/// Time within which a group's first primary may still be about to register.
pub(crate) const FIRST_PRIMARY_TIME: Duration = Duration::from_secs(3);

/// A node's answer about a primary.
#[derive(Clone, Debug)]
pub struct PeerView {
    /// The node's observation of the primary.
    pub observation: Observation,
    /// Whether the node reaches the state store.
    pub store_reachable: bool,
    /// The coordinator known to the node.
    pub coordinator: Option<CoordinatorRecord>,
}

/// The datagram socket and the pending requests.
pub struct Peers {
    counters: Rc<Counters>,
    socket: UdpSocket,
    next_nonce: Cell<u64>,
    answers: RefCell<BTreeMap<u64, BTreeMap<String, PeerView>>>,
    samples_asked: RefCell<BTreeMap<u64, Timestamp>>,
    /// Permits for requests about lost primaries that may be in progress.
    gathering: Semaphore,
    /// Acknowledgements received for each announcement that awaits them, by its revision: the
    /// node's name, and whether other nodes may have granted leases by its vote.
    acknowledged: RefCell<BTreeMap<StoreRevision, Vec<(String, bool)>>>,
}

impl Peers {
    /// Binds the socket. Datagrams that cannot be sent are counted in `counters`.
    pub async fn bind(address: SocketAddr, counters: Rc<Counters>) -> io::Result<Rc<Self>> {
        Ok(Rc::new(Self {
            counters,
            socket: UdpSocket::bind(address).await?,
            next_nonce: Cell::new(1),
            answers: RefCell::default(),
            samples_asked: RefCell::default(),
            gathering: Semaphore::new(MAX_REQUESTS_IN_PROGRESS as usize),
            acknowledged: RefCell::default(),
        }))
    }

    /// Answers requests and handles answers of peers until the node shuts down.
    pub async fn serve(self: Rc<Self>, node: Rc<Node>) {
        let mut buffer = vec![0_u8; MAX_DATAGRAM + 1];
        loop {
            let datagram = &mut buffer[..MAX_DATAGRAM];
            let Ok((length, sender)) = self.socket.recv_from(datagram).await else {
                node.counters.count("peer_datagrams", "receiving_failed");
                sleep(RECEIVE_PAUSE).await;
                continue;
            };
            match PeerMessage::decode(&mut buffer, length) {
                Ok(message) => self.handle(&node, message, sender),
                Err(_) => node.counters.count("peer_datagrams", "unreadable"),
            }
        }
    }

    fn handle(&self, node: &Rc<Node>, message: PeerMessage, sender: SocketAddr) {
        match message {
            PeerMessage::Probe => {
                let node = node.settings.name.clone();
                self.send(&PeerMessage::AnswerProbe { node }, sender);
            }
            PeerMessage::AnswerProbe { node: peer } => reachability::note_answer(node, &peer),
            PeerMessage::AskObservation {
                nonce,
                group,
                leader,
            } => {
                node.monitor_before_reporting(&group, leader.as_ref());
                let answer = PeerMessage::TellObservation {
                    nonce,
                    node: node.settings.name.clone(),
                    observation: node.observe(&group, leader.as_ref()),
                    store_reachable: node.store_reachable.get(),
                    coordinator: node.coordinator.borrow().holder().cloned(),
                };
                self.send(&answer, sender);
            }
            PeerMessage::TellObservation {
                nonce,
                node: peer,
                observation,
                store_reachable,
                coordinator,
            } => {
                let view = PeerView {
                    observation,
                    store_reachable,
                    coordinator,
                };
                self.record_view(nonce, peer, view);
            }
            PeerMessage::ReportLoss { group, leader } => node.record_loss_report(&group, leader),
            PeerMessage::AskSample { nonce, group } => {
                node.note_relied_on(&group);
                if let Some(sample) = node.primary_sample(&group) {
                    self.send(&PeerMessage::TellSample { nonce, sample }, sender);
                }
            }
            PeerMessage::TellSample { nonce, sample } => self.apply_sample(node, nonce, &sample),
            PeerMessage::AskToken {
                nonce,
                tenant,
                patience_us,
            } => {
                let answer = PeerMessage::TellToken {
                    nonce,
                    node: node.settings.name.clone(),
                    answer: tokens::grant(node, &tenant, Duration::from_micros(patience_us)),
                };
                self.send(&answer, sender);
            }
            PeerMessage::TellToken {
                nonce,
                node: peer,
                answer,
            } => tokens::handle_answer(node, nonce, &peer, answer),
            message => self.handle_lease_message(node, message, sender),
        }
    }

    /// Records the answer to a request that is still pending.
    fn record_view(&self, nonce: u64, peer: String, view: PeerView) {
        if let Some(answers) = self.answers.borrow_mut().get_mut(&nonce) {
            answers.insert(peer, view);
        }
    }

    /// Sends probes as they become due, until the node shuts down.
    pub async fn send_probes(self: Rc<Self>, node: Rc<Node>) {
        loop {
            for address in node.reachability.due_probes().await {
                self.send(&PeerMessage::Probe, address);
            }
        }
    }

    /// Sends token requests as they become due, until the node shuts down.
    pub async fn send_token_requests(self: Rc<Self>, node: Rc<Node>) {
        loop {
            for (request, address) in node.tokens.due_requests().await {
                self.send(&request, address);
            }
        }
    }

    /// Handles messages that concern leases on primaries and announcements.
    fn handle_lease_message(&self, node: &Rc<Node>, message: PeerMessage, sender: SocketAddr) {
        match message {
            PeerMessage::AskLease {
                node: peer,
                request,
                promotions,
            } => {
                let answer = primary_lease::answer(node, &peer, &request, &promotions);
                self.send(&answer, sender);
            }
            PeerMessage::TellCoordinator {
                revision,
                node: coordinator,
            } => primary_lease::learn_coordinator(node, revision, &coordinator),
            PeerMessage::TellLease { answer, promotions } => {
                primary_lease::handle_answer(node, &answer, &promotions);
            }
            PeerMessage::Announce {
                coordinator,
                node: sender_name,
                announcement,
                withheld,
            } => {
                let announcement = Announcement {
                    withheld,
                    ..announcement
                };
                if primary_lease::handle_announcement(
                    node,
                    coordinator,
                    &sender_name,
                    &announcement,
                ) {
                    let answer = PeerMessage::Acknowledge {
                        node: node.settings.name.clone(),
                        revision: announcement.revision,
                        voted_for_others: node.voted_for_others(),
                    };
                    self.send(&answer, sender);
                }
            }
            PeerMessage::Acknowledge {
                node: peer,
                revision,
                voted_for_others,
            } => {
                if let Some(names) = self.acknowledged.borrow_mut().get_mut(&revision) {
                    names.push((peer, voted_for_others));
                }
            }
            _ => {}
        }
    }

    /// Starts collecting acknowledgements of an announcement.
    pub(crate) fn await_acknowledgements(&self, revision: StoreRevision) {
        self.acknowledged.borrow_mut().insert(revision, Vec::new());
    }

    /// Returns the nodes that have acknowledged the announcement since the last call, and for each
    /// whether other nodes may have granted leases by its vote.
    pub(crate) fn take_acknowledgements(&self, revision: StoreRevision) -> Vec<(String, bool)> {
        let mut acknowledged = self.acknowledged.borrow_mut();
        acknowledged
            .get_mut(&revision)
            .map(std::mem::take)
            .unwrap_or_default()
    }

    /// Stops collecting acknowledgements of an announcement.
    pub(crate) fn end_acknowledgements(&self, revision: StoreRevision) {
        self.acknowledged.borrow_mut().remove(&revision);
    }

    /// Sends a datagram. A send failure is treated like a datagram lost in the network: the node
    /// that waits for an answer repeats its request.
    pub(crate) fn send(&self, message: &PeerMessage, address: SocketAddr) {
        let sent = postcard::to_allocvec(message)
            .ok()
            .and_then(|datagram| self.socket.try_send_to(&datagram, address).ok());
        if sent.is_none() {
            self.counters.count("peer_datagrams", "unsent");
        }
    }

    /// Requests a group's primary and its position from one peer. The answer is applied when it
    /// arrives.
    pub fn request_sample(&self, node: &Rc<Node>, group: &GroupName, peer: SocketAddr) {
        let nonce = self.next_nonce.get();
        self.next_nonce.set(nonce + 1);
        let now = node.now();
        let mut asked = self.samples_asked.borrow_mut();
        asked.retain(|_, asked_at| now.since(*asked_at) < SAMPLE_ANSWER_TIME);
        asked.insert(nonce, now);
        let group = group.clone();
        self.send(&PeerMessage::AskSample { nonce, group }, peer);
    }

    /// Reports to the coordinator, if that is another node, that this node lacks a group's
    /// primary.
    pub(crate) fn report_loss(
        &self,
        node: &Rc<Node>,
        group: &GroupName,
        leader: Option<&DatabaseName>,
    ) {
        let coordinator = node.coordinator.borrow().holder().cloned();
        let Some(peer) = coordinator.and_then(|record| node.peer(&record.node)) else {
            return;
        };
        if peer.name == node.settings.name {
            return;
        }
        node.counters.count("questions", "loss_reported");
        let report = PeerMessage::ReportLoss {
            group: group.clone(),
            leader: leader.cloned(),
        };
        self.send(&report, peer.address);
    }

    /// Applies a sample. The peer asked the primary no earlier than `age` before it answered this
    /// node's request, so counting the age from when the request was sent can only make the sample
    /// look older than it is.
    fn apply_sample(&self, node: &Rc<Node>, nonce: u64, sample: &PrimarySample) {
        let Some(asked_at) = self.samples_asked.borrow_mut().remove(&nonce) else {
            return;
        };
        let proof = Confirmation {
            asked_at: asked_at - Duration::from_micros(sample.age_us),
            answered_at: node.now(),
            position: Some(sample.position),
        };
        node.apply_leader_proof(&sample.leader, proof);
    }

    /// Requests the peers' observations of a primary. This node's own observation comes first in
    /// the result. If many primaries are lost at once and all nodes are asked about each, requests
    /// wait for permits.
    pub async fn gather_views(
        &self,
        node: &Rc<Node>,
        group: &GroupName,
        leader: Option<&DatabaseName>,
        asked: &[SocketAddr],
    ) -> Vec<PeerView> {
        let nonce = self.next_nonce.get();
        self.next_nonce.set(nonce + 1);
        self.answers.borrow_mut().insert(nonce, BTreeMap::new());
        let request = PeerMessage::AskObservation {
            nonce,
            group: group.clone(),
            leader: leader.cloned(),
        };
        let weight = u32::try_from(asked.len()).unwrap_or(u32::MAX);
        let permits = self
            .gathering
            .acquire_many(weight.min(MAX_REQUESTS_IN_PROGRESS));
        // The semaphore is never closed; an error would only leave the number of requests
        // unlimited.
        let _permits = permits.await.ok();
        for address in asked {
            self.send(&request, *address);
        }
        sleep(LONGEST_ROUND_TRIP).await;
        let answers = self.answers.borrow_mut().remove(&nonce).unwrap_or_default();
        let own = PeerView {
            observation: node.observe(group, leader),
            store_reachable: node.store_reachable.get(),
            coordinator: node.coordinator.borrow().holder().cloned(),
        };
        std::iter::once(own).chain(answers.into_values()).collect()
    }
}

impl Node {
    /// Returns the newest sample of a group's primary, if this node reaches that primary.
    fn primary_sample(&self, group: &GroupName) -> Option<PrimarySample> {
        let now = self.now();
        self.with_group(group, |state| {
            let (asked_at, position) = state.leadership.newest_sample()?;
            let reached = state.contact.lost_since.is_none();
            let leader = state.leadership.leader().filter(|_| reached)?.clone();
            let age_us = u64::try_from(now.since(asked_at).as_micros()).ok()?;
            Some(PrimarySample {
                leader,
                position,
                age_us,
            })
        })
    }

    /// Records a peer's report that it lacks a group's primary. The group is monitored until its
    /// state is known; whether the primary is lost is decided by the nodes that hold connections
    /// to it.
    fn record_loss_report(&self, group: &GroupName, leader: Option<DatabaseName>) {
        if self.coordinator_revision().is_none() {
            return;
        }
        let now = self.now();
        self.with_group(group, |state| {
            let known = state.leadership.leader();
            let agrees = known.is_some() && known == leader.as_ref();
            if agrees && now.since(state.contact.last_answer_at) >= RECENT_CONTACT {
                state.contact.lost_since.get_or_insert(now);
            }
            state.reported_lost = Some((leader, now));
        });
        self.monitor_group(group);
    }

    /// Starts monitoring a primary that a peer asks about, if this node holds connections to it,
    /// so that this node can report an observation the next time.
    fn monitor_before_reporting(&self, group: &GroupName, leader: Option<&DatabaseName>) {
        let known = self.leader(group);
        let leader = leader.or(known.as_ref());
        if leader.is_some_and(|leader| self.connection_cap(leader) > 0) {
            self.note_relied_on(group);
        }
    }

    /// Returns this node's observation of a group's primary. If the requester knows no primary
    /// (`leader` is `None`), the observation concerns the one known to this node.
    pub fn observe(&self, group: &GroupName, leader: Option<&DatabaseName>) -> Observation {
        let now = self.now();
        let known = self.leader(group);
        let held = known
            .as_ref()
            .is_some_and(|known| self.connection_cap(known) > 0);
        self.with_group(group, |state| {
            if known.is_none() {
                let never_seen =
                    state.leadership.leadership_period() == LeadershipPeriod::default();
                return match state.leaderless_since {
                    Some(since) if never_seen && now.since(since) < FIRST_PRIMARY_TIME => {
                        Observation::Unknown
                    }
                    Some(since) => Observation::Leaderless(now.since(since)),
                    None => Observation::Unknown,
                };
            }
            if leader.is_some() && known.as_ref() != leader {
                return Observation::Reachable;
            }
            match state.contact.lost_since {
                None if held && now.since(state.contact.last_answer_at) < RECENT_CONTACT => {
                    Observation::Reachable
                }
                None => Observation::Unknown,
                Some(since) if !held => Observation::NoHolderAvailable(now.since(since)),
                Some(since) if state.contact.refused => Observation::Refused(now.since(since)),
                Some(since) => Observation::Silent(now.since(since)),
            }
        })
    }
}
