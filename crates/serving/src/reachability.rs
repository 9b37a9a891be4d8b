//! Which peers answer, and the probes that find out.
//!
//! The judgement is that of `hookpoint_coordination::serving::peer_contact`; here it is kept
//! for the node, and probes become datagrams.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::peer_contact::{Approach, PeerContacts, Waiting};
use hookpoint_state::Timestamp;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::homes::Peer;
use crate::node::Node;
use crate::units::millis;

/// Pause between looks whether a silent peer is heard again.
const LOOK: Duration = Duration::from_millis(50);

/// Pause between such looks at a peer that is asked for what may take seconds: as followers do
/// that all the time, probing it as often as for a request would cost more bytes than what
/// they ask for.
const SELDOM: Duration = Duration::from_millis(200);
/// Time of such a look: a probe, and a second one if the first is lost.
const LOOK_TIME: Duration = Duration::from_millis(100);

/// Contact with the peers, and probes that are to be sent.
#[derive(Default)]
pub struct Reachability {
    contacts: RefCell<PeerContacts>,
    due: RefCell<Vec<SocketAddr>>,
    probe_due: Notify,
}

impl Reachability {
    /// Whether a request may be sent to a peer. One that is silent is probed now and then.
    pub fn may_ask(&self, peer: &Peer, now: Timestamp) -> bool {
        let approach = self.contacts.borrow_mut().approach(&peer.name, now);
        if approach == Approach::AvoidAndProbe {
            self.probe(peer);
        }
        approach == Approach::Send
    }

    /// Whether a peer answers neither requests nor probes.
    pub(crate) fn is_silent(&self, peer: &Peer, now: Timestamp) -> bool {
        self.contacts.borrow().is_silent(&peer.name, now)
    }

    /// The peers to probe, as soon as there are some.
    pub(crate) async fn due_probes(&self) -> Vec<SocketAddr> {
        while self.due.borrow().is_empty() {
            self.probe_due.notified().await;
        }
        self.due.take()
    }

    /// Takes in that a timer of this node which was due at `due` came at `now`.
    pub(crate) fn note_timer(&self, due: Timestamp, now: Timestamp) {
        self.contacts.borrow_mut().note_timer(due, now);
    }

    fn probe(&self, peer: &Peer) {
        self.due.borrow_mut().push(peer.address);
        self.probe_due.notify_one();
    }

    /// Probes a peer that may be silent, unless that was done a moment ago.
    pub(crate) fn probe_ahead(&self, peer: &Peer, now: Timestamp) {
        if self.contacts.borrow_mut().probe_ahead(&peer.name, now) {
            self.probe(peer);
        }
    }
}

/// Takes in that something was received from a peer.
pub(crate) fn note_heard(node: &Node, peer: &str) {
    let heard = node
        .reachability
        .contacts
        .borrow_mut()
        .note_heard(peer, node.now());
    if let Some(away) = heard {
        node.log(
            "peer_regained",
            &[("peer", peer.into()), ("away_ms", millis(away).into())],
        );
    }
}

/// Ends once `peer` has been silent for `time` without a break. It is probed now and then.
pub(crate) async fn lasting_silence(node: &Rc<Node>, peer: &Peer, time: Duration) {
    loop {
        sleep(SELDOM).await;
        if timeout(LOOK_TIME, silence(node, peer, &[])).await.is_err() {
            continue;
        }
        let until = node.now() + time;
        while !node.reachability.may_ask(peer, node.now()) {
            if node.now() >= until {
                return;
            }
            pause_for(node, LOOK).await;
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

/// Ends once `peer` turns out to be silent. While it has not answered for longer than usual
/// the `alternatives` are probed together with it.
pub(crate) async fn silence(node: &Rc<Node>, peer: &Peer, alternatives: &[Peer]) {
    let since = node.now();
    loop {
        let now = node.now();
        let next = node
            .reachability
            .contacts
            .borrow_mut()
            .waiting(&peer.name, since, now);
        match next {
            Waiting::For(pause) => pause_for(node, pause).await,
            Waiting::Probe => {
                node.reachability.probe(peer);
                probe_alternatives(node, (peer, since), alternatives, now);
            }
            Waiting::GiveUp => {
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
    for place in due {
        node.reachability.probe(others[place]);
    }
}

/// Waits, and takes in how late this node came back to it.
async fn pause_for(node: &Node, pause: Duration) {
    let due = node.now() + pause;
    sleep(pause).await;
    node.reachability.note_timer(due, node.now());
}
