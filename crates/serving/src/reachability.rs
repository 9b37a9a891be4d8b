//! Tracks which peers respond, and schedules the probes that find out.
//!
//! The rules are those of `hookpoint_coordination::serving::peer_contact`; this module keeps their
//! state for the node and sends the probes as datagrams.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::peer_contact::{PeerContacts, SendDecision, WaitAction};
use hookpoint_state::Timestamp;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::homes::Peer;
use crate::node::Node;
use crate::units::millis;

/// Interval between two checks whether a silent peer responds again.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between two checks of a peer from which an answer may take seconds. Followers wait for
/// such answers all the time, and probing as often as for an ordinary request would cost more
/// bytes than the answers.
const SLOW_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Duration of such a check: one probe, and a second one if the first is lost.
const SILENCE_CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// The contact state of the peers and the probes that are due.
#[derive(Default)]
pub struct Reachability {
    contacts: RefCell<PeerContacts>,
    due: RefCell<Vec<SocketAddr>>,
    probe_due: Notify,
}

impl Reachability {
    /// Returns whether a request may be sent to a peer. A silent peer is probed from time to time.
    pub fn may_ask(&self, peer: &Peer, now: Timestamp) -> bool {
        let decision = self.contacts.borrow_mut().check_send(&peer.name, now);
        if decision == SendDecision::AvoidAndProbe {
            self.probe(peer);
        }
        decision == SendDecision::Send
    }

    /// Returns whether a peer answers neither requests nor probes.
    pub(crate) fn is_silent(&self, peer: &Peer, now: Timestamp) -> bool {
        self.contacts.borrow().is_silent(&peer.name, now)
    }

    /// Waits for probes to become due and returns the addresses of the peers to probe.
    pub(crate) async fn due_probes(&self) -> Vec<SocketAddr> {
        while self.due.borrow().is_empty() {
            self.probe_due.notified().await;
        }
        self.due.take()
    }

    /// Records that a timer of this node that was due at `due` fired at `now`.
    pub(crate) fn note_timer(&self, due: Timestamp, now: Timestamp) {
        self.contacts.borrow_mut().note_timer(due, now);
    }

    fn probe(&self, peer: &Peer) {
        self.due.borrow_mut().push(peer.address);
        self.probe_due.notify_one();
    }

    /// Probes a peer that may be silent, unless it was probed a moment ago.
    pub(crate) fn probe_ahead(&self, peer: &Peer, now: Timestamp) {
        if self.contacts.borrow_mut().probe_ahead(&peer.name, now) {
            self.probe(peer);
        }
    }
}

/// Records that something was received from a peer.
pub(crate) fn note_answer(node: &Node, peer: &str) {
    let silent_for = node
        .reachability
        .contacts
        .borrow_mut()
        .note_received(peer, node.now());
    if let Some(away) = silent_for {
        node.log(
            "peer_regained",
            &[("peer", peer.into()), ("away_ms", millis(away).into())],
        );
    }
}

/// Completes once `peer` has been silent for `time` without interruption. The peer is probed from
/// time to time.
pub(crate) async fn until_silent_for(node: &Rc<Node>, peer: &Peer, time: Duration) {
    loop {
        sleep(SLOW_CHECK_INTERVAL).await;
        if timeout(SILENCE_CHECK_TIMEOUT, until_silent(node, peer, &[]))
            .await
            .is_err()
        {
            continue;
        }
        let until = node.now() + time;
        while !node.reachability.may_ask(peer, node.now()) {
            if node.now() >= until {
                return;
            }
            pause_for(node, SILENCE_CHECK_INTERVAL).await;
        }
    }
}

fn note_given_up(node: &Node, peer: &str) {
    node.counters.count("peers", "given_up");
    let first = node.reachability.contacts.borrow_mut().note_given_up(peer);
    if first {
        node.log("peer_silent", &[("peer", peer.into())]);
    }
}

/// Completes once `peer` turns out to be silent. While it takes longer than usual to answer, the
/// `alternatives` are probed together with it.
pub(crate) async fn until_silent(node: &Rc<Node>, peer: &Peer, alternatives: &[Peer]) {
    let since = node.now();
    loop {
        let now = node.now();
        let next = node
            .reachability
            .contacts
            .borrow_mut()
            .waiting(&peer.name, since, now);
        match next {
            WaitAction::For(pause) => pause_for(node, pause).await,
            WaitAction::Probe => {
                node.reachability.probe(peer);
                probe_alternatives(node, (peer, since), alternatives, now);
            }
            WaitAction::GiveUp => {
                note_given_up(node, &peer.name);
                return;
            }
        }
    }
}

fn probe_alternatives(
    node: &Node,
    waiting: (&Peer, Timestamp),
    alternatives: &[Peer],
    now: Timestamp,
) {
    let (peer, since) = waiting;
    let others: Vec<&Peer> = alternatives.iter().filter(|other| *other != peer).collect();
    let names = others.iter().map(|other| other.name.as_str());
    let due = node
        .reachability
        .contacts
        .borrow_mut()
        .probe_alternatives(&peer.name, since, names, now);
    for index in due {
        node.reachability.probe(others[index]);
    }
}

/// Waits, and records how late this node's timer fired.
async fn pause_for(node: &Node, pause: Duration) {
    let due = node.now() + pause;
    sleep(pause).await;
    node.reachability.note_timer(due, node.now());
}
