//! Datagrams among nodes: what each sees of the primaries.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::coordinator::CoordinatorRecord;
use hookpoint_coordination::serving::failover::Observation;
use hookpoint_coordination::serving::leadership::{Confirmation, Reign};
use hookpoint_coordination::serving::peer_contact::LONGEST_ROUND_TRIP;
use hookpoint_state::{DatabaseName, GroupName, StoreRevision, Timestamp};
use tokio::net::UdpSocket;
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::counters::Counters;
use crate::node::Node;
use crate::peer_message::{PeerMessage, PrimarySample};
use crate::primary_lease;
use crate::reachability;
use crate::tokens;

/// Largest datagram.
const MAX_DATAGRAM: usize = 4 << 10;
/// How long the answer to a question for a sample is taken in.
const SAMPLE_ANSWER_TIME: Duration = Duration::from_millis(500);

/// A primary that said nothing for longer than this may have been lost meanwhile. Holders ask
/// one in use, or one that they are asked about, several times in it.
const HEARD_LATELY: Duration = Duration::from_secs(1);

/// Questions about lost primaries that one node has on their way: with their answers, in the time
/// of a round trip, what fits into a link of some tens of megabits a second beside its requests.
const ASKED_AT_ONCE: u32 = 2_000;

/// Pause after datagrams could not be received.
const RECEIVE_PAUSE: Duration = Duration::from_millis(10);

/// Time in which a group's first primary may still be about to register.
pub(crate) const FIRST_PRIMARY_TIME: Duration = Duration::from_secs(3);

/// What one node answered.
#[derive(Clone, Debug)]
pub struct PeerView {
    /// How it sees the primary.
    pub observation: Observation,
    /// Whether it reaches the state store.
    pub store_reachable: bool,
    /// The coordinator that it knows of.
    pub coordinator: Option<CoordinatorRecord>,
}

/// The datagram socket and the answers that are awaited.
pub struct Peers {
    counters: Rc<Counters>,
    socket: UdpSocket,
    next_nonce: Cell<u64>,
    answers: RefCell<BTreeMap<u64, BTreeMap<String, PeerView>>>,
    samples_asked: RefCell<BTreeMap<u64, Timestamp>>,
    /// Questions to peers about lost primaries that may be on their way.
    gathering: Semaphore,
    /// Who acknowledged the announcement of a revision.
    acknowledged: RefCell<BTreeMap<StoreRevision, Vec<(String, bool)>>>,
}

impl Peers {
    /// Binds the socket; what cannot be sent is counted in `counters`.
    pub async fn bind(address: SocketAddr, counters: Rc<Counters>) -> io::Result<Rc<Self>> {
        Ok(Rc::new(Self {
            counters,
            socket: UdpSocket::bind(address).await?,
            next_nonce: Cell::new(1),
            answers: RefCell::default(),
            samples_asked: RefCell::default(),
            gathering: Semaphore::new(ASKED_AT_ONCE as usize),
            acknowledged: RefCell::default(),
        }))
    }

    /// Answers peers and takes in their answers for as long as the node lives.
    pub async fn serve(self: Rc<Self>, node: Rc<Node>) {
        let mut datagram = vec![0_u8; MAX_DATAGRAM];
        loop {
            let Ok((length, sender)) = self.socket.recv_from(&mut datagram).await else {
                node.counters.count("peer_datagrams", "receiving_failed");
                sleep(RECEIVE_PAUSE).await;
                continue;
            };
            match postcard::from_bytes(&datagram[..length]) {
                Ok(message) => self.take(&node, message, sender),
                Err(_) => node.counters.count("peer_datagrams", "unreadable"),
            }
        }
    }

    fn take(&self, node: &Rc<Node>, message: PeerMessage, sender: SocketAddr) {
        match message {
            PeerMessage::Probe => {
                let node = node.settings.name.clone();
                self.send(&PeerMessage::AnswerProbe { node }, sender);
            }
            PeerMessage::AnswerProbe { node: peer } => reachability::note_heard(node, &peer),
            PeerMessage::Ask {
                nonce,
                group,
                leader,
            } => {
                node.look_before_testifying(&group, leader.as_ref());
                let answer = PeerMessage::Tell {
                    nonce,
                    node: node.settings.name.clone(),
                    observation: node.observe(&group, leader.as_ref()),
                    store_reachable: node.store_reachable.get(),
                    coordinator: node.coordinator.borrow().holder().cloned(),
                };
                self.send(&answer, sender);
            }
            PeerMessage::Tell {
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
                self.take_view(nonce, peer, view);
            }
            PeerMessage::ReportLoss { group, leader } => node.take_loss_report(&group, leader),
            PeerMessage::AskSample { nonce, group } => {
                node.note_relied_on(&group);
                if let Some(sample) = node.primary_sample(&group) {
                    self.send(&PeerMessage::TellSample { nonce, sample }, sender);
                }
            }
            PeerMessage::TellSample { nonce, sample } => self.take_sample(node, nonce, &sample),
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
            } => tokens::take_answer(node, nonce, &peer, answer),
            message => self.take_lease_message(node, message, sender),
        }
    }

    /// Takes the answer to a question that is still open.
    fn take_view(&self, nonce: u64, peer: String, view: PeerView) {
        if let Some(answers) = self.answers.borrow_mut().get_mut(&nonce) {
            answers.insert(peer, view);
        }
    }

    /// Sends the probes that become due for as long as the node lives.
    pub async fn send_probes(self: Rc<Self>, node: Rc<Node>) {
        loop {
            for address in node.reachability.due_probes().await {
                self.send(&PeerMessage::Probe, address);
            }
        }
    }

    /// Sends the questions for tokens for as long as the node lives.
    pub async fn send_token_questions(self: Rc<Self>, node: Rc<Node>) {
        loop {
            for (question, address) in node.tokens.due_questions().await {
                self.send(&question, address);
            }
        }
    }

    /// Takes what concerns leases on primaries and announcements.
    fn take_lease_message(&self, node: &Rc<Node>, message: PeerMessage, sender: SocketAddr) {
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
                primary_lease::take_answer(node, &answer, &promotions);
            }
            PeerMessage::Announce {
                coordinator,
                node: sender_name,
                announcement,
            } if primary_lease::handle_announcement(
                node,
                coordinator,
                &sender_name,
                &announcement,
            ) =>
            {
                let answer = PeerMessage::Acknowledge {
                    node: node.settings.name.clone(),
                    revision: announcement.revision,
                    voted_for_others: node.voted_for_others(),
                };
                self.send(&answer, sender);
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

    /// Begins to take in acknowledgements of an announcement.
    pub(crate) fn await_acknowledgements(&self, revision: StoreRevision) {
        self.acknowledged.borrow_mut().insert(revision, Vec::new());
    }

    /// The nodes that have acknowledged it since the last look, and whether others may have
    /// granted leases by their votes.
    pub(crate) fn take_acknowledgements(&self, revision: StoreRevision) -> Vec<(String, bool)> {
        let mut acknowledged = self.acknowledged.borrow_mut();
        acknowledged
            .get_mut(&revision)
            .map(std::mem::take)
            .unwrap_or_default()
    }

    /// Takes in no more of them.
    pub(crate) fn end_acknowledgements(&self, revision: StoreRevision) {
        self.acknowledged.borrow_mut().remove(&revision);
    }

    /// Sends a datagram. One that cannot be sent is lost like any other: whoever waits for an
    /// answer asks again.
    pub(crate) fn send(&self, message: &PeerMessage, address: SocketAddr) {
        let sent = postcard::to_allocvec(message)
            .ok()
            .and_then(|datagram| self.socket.try_send_to(&datagram, address).ok());
        if sent.is_none() {
            self.counters.count("peer_datagrams", "unsent");
        }
    }

    /// Asks one peer for a group's primary and its position; the answer is taken in when
    /// it comes.
    pub fn ask_sample(&self, node: &Rc<Node>, group: &GroupName, peer: SocketAddr) {
        let nonce = self.next_nonce.get();
        self.next_nonce.set(nonce + 1);
        let now = node.now();
        let mut asked = self.samples_asked.borrow_mut();
        asked.retain(|_, asked_at| now.since(*asked_at) < SAMPLE_ANSWER_TIME);
        asked.insert(nonce, now);
        let group = group.clone();
        self.send(&PeerMessage::AskSample { nonce, group }, peer);
    }

    /// Tells the coordinator, if it is another node, that this one lacks a group's primary.
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

    /// The teller asked the primary no later than `age` before this node's question was
    /// answered, so counting the age from the question makes the sample look older than it
    /// is, never younger.
    fn take_sample(&self, node: &Rc<Node>, nonce: u64, sample: &PrimarySample) {
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

    /// Asks peers what they see of a primary; this node's own view comes first. Where many
    /// primaries are lost at once, and all nodes are asked for each, those wait their turn.
    pub async fn gather(
        &self,
        node: &Rc<Node>,
        group: &GroupName,
        leader: Option<&DatabaseName>,
        asked: &[SocketAddr],
    ) -> Vec<PeerView> {
        let nonce = self.next_nonce.get();
        self.next_nonce.set(nonce + 1);
        self.answers.borrow_mut().insert(nonce, BTreeMap::new());
        let question = PeerMessage::Ask {
            nonce,
            group: group.clone(),
            leader: leader.cloned(),
        };
        let weight = u32::try_from(asked.len()).unwrap_or(u32::MAX);
        let permits = self.gathering.acquire_many(weight.min(ASKED_AT_ONCE));
        // The semaphore is never closed; without a permit the questions are merely more.
        let _permits = permits.await.ok();
        for address in asked {
            self.send(&question, *address);
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
    /// What this node knows of a group's primary, if it reaches it.
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

    /// Takes a peer's word that it lacks a group's primary. The group is looked after until it
    /// is known better; whether the primary is lost is decided by those that hold connections.
    fn take_loss_report(&self, group: &GroupName, leader: Option<DatabaseName>) {
        if self.coordinator_revision().is_none() {
            return;
        }
        let now = self.now();
        self.with_group(group, |state| {
            let known = state.leadership.leader();
            let agrees = known.is_some() && known == leader.as_ref();
            if agrees && now.since(state.contact.last_heard) >= HEARD_LATELY {
                state.contact.lost_since.get_or_insert(now);
            }
            state.reported_lost = Some((leader, now));
        });
        self.monitor_group(group);
    }

    /// A node that is asked what it sees of a primary looks, if it has not lately: it can
    /// testify the next time.
    fn look_before_testifying(&self, group: &GroupName, leader: Option<&DatabaseName>) {
        let known = self.leader(group);
        let leader = leader.or(known.as_ref());
        if leader.is_some_and(|leader| self.connection_cap(leader) > 0) {
            self.note_relied_on(group);
        }
    }

    /// What this node sees of a group's primary. If the one that asks knows none, what it
    /// sees of the one that it knows itself.
    pub fn observe(&self, group: &GroupName, leader: Option<&DatabaseName>) -> Observation {
        let now = self.now();
        let known = self.leader(group);
        let held = known
            .as_ref()
            .is_some_and(|known| self.connection_cap(known) > 0);
        self.with_group(group, |state| {
            if known.is_none() {
                let never_seen = state.leadership.reign() == Reign::default();
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
                None if held && now.since(state.contact.last_heard) < HEARD_LATELY => {
                    Observation::Reachable
                }
                None => Observation::Unknown,
                Some(since) if !held => Observation::Unhelped(now.since(since)),
                Some(since) if state.contact.refused => Observation::Refused(now.since(since)),
                Some(since) => Observation::Silent(now.since(since)),
            }
        })
    }
}
