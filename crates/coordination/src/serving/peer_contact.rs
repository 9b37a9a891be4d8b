//! Whether other nodes answer, judged from all exchanges with them.
//!
//! A node that loses power or is cut off says nothing, and a request that waits for it
//! learns that only from its own time limit. So the contact with a peer is kept for the peer
//! and not for each request: what waits for longer than an answer usually takes has the peer
//! probed, and a peer that answers no probe within the longest round trip counts as silent
//! for everybody until something is heard from it. A peer that is merely slow to serve a
//! request answers the probe, so its queue is not left.
//!
//! Silence is measured in the time in which this node listened (see [`super::own_lateness`]),
//! and the probes of all requests together are bounded (see [`super::probe_budget`]): a fleet
//! that is busy would otherwise take itself for silent and spend what is left on finding out.

use std::collections::BTreeMap;
use std::time::Duration;

use hookpoint_state::Timestamp;

use super::own_lateness::{Listening, OwnLateness};
use super::probe_budget::{ProbeBudget, Purpose, silent_pause};

/// Longest round trip between two nodes, with the time that a loaded node takes to answer.
/// The regions of the known deployments are up to 20 ms apart one way, and a node whose
/// share of a processor is used up rests for the remainder of a tenth of a second.
pub const LONGEST_ROUND_TRIP: Duration = Duration::from_millis(120);

/// An answer that takes longer than this has the peer probed: the usual round trip between
/// regions, so that few answers under way cost a probe.
const PROBE_AFTER: Duration = Duration::from_millis(40);

/// Pause between probes of one peer: a single datagram may be lost.
const PROBE_PAUSE: Duration = Duration::from_millis(40);

/// Peers that are probed ahead for one request at a time, besides those probed already: as
/// many as one request asks in turn.
const PROBED_AHEAD: usize = 3;

/// How long it is remembered that a peer was silent. After that it is asked again like one
/// that nothing is known of.
const SILENCE_MEMORY: Duration = Duration::from_secs(10);

/// Answers kept before old ones are forgotten: more than the peers that a node probes in the time
/// for which they are of use.
const ANSWERS_KEPT: usize = 512;

/// What a request that waits for a peer's answer does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Waiting {
    /// It goes on waiting and looks again after this time.
    For(Duration),
    /// It has the peer probed and goes on waiting.
    Probe,
    /// It turns elsewhere: the peer does not answer.
    GiveUp,
}

/// Whether a request may be sent to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Approach {
    /// Nothing speaks against it.
    Send,
    /// The peer is silent.
    Avoid,
    /// The peer is silent, and it is time to probe whether it is back.
    AvoidAndProbe,
}

/// Probes of one peer that are not answered yet.
#[derive(Clone, Copy, Debug)]
struct Unanswered {
    first_at: Timestamp,
    last_at: Timestamp,
    /// When the first of them was sent, in the time in which this node listens.
    listening: Listening,
    /// Probes sent since the peer counts as silent.
    while_silent: u32,
    /// Whether a request has given up on the peer.
    given_up: bool,
}

impl Unanswered {
    fn is_silence(&self, own: &OwnLateness, now: Timestamp) -> bool {
        own.has_listened_for(LONGEST_ROUND_TRIP, self.listening, now)
    }

    fn is_forgotten(&self, now: Timestamp) -> bool {
        now.since(self.last_at) >= SILENCE_MEMORY
    }
}

/// Contact with all peers, by name. Only those that were probed take memory.
#[derive(Clone, Debug, Default)]
pub struct PeerContacts {
    unanswered: BTreeMap<String, Unanswered>,
    /// When each that was probed last answered.
    answered: BTreeMap<String, Timestamp>,
    own: OwnLateness,
    budget: ProbeBudget,
}

impl PeerContacts {
    /// Takes in that a timer of this node which was due at `due` came at `now`.
    pub fn note_timer(&mut self, due: Timestamp, now: Timestamp) {
        self.own.note_timer(due, now);
    }

    /// Takes in that something was received from a peer. If requests had given up on it, tells
    /// for how long it had been silent.
    pub fn note_heard(&mut self, peer: &str, now: Timestamp) -> Option<Duration> {
        let probes = self.unanswered.remove(peer)?;
        self.forget_old_answers(now);
        self.answered.insert(peer.to_owned(), now);
        probes.given_up.then(|| now.since(probes.first_at))
    }

    /// Peers come and go under new names: what is of no use any more is forgotten now and then.
    fn forget_old_answers(&mut self, now: Timestamp) {
        if self.answered.len() >= ANSWERS_KEPT {
            let is_recent = |answered_at: &Timestamp| now.since(*answered_at) < SILENCE_MEMORY;
            self.answered
                .retain(|_, answered_at| is_recent(answered_at));
            self.unanswered
                .retain(|_, probes| !probes.is_forgotten(now));
        }
    }

    /// Takes in that a request gave up on a peer. Whether it is the first one.
    pub fn note_given_up(&mut self, peer: &str) -> bool {
        self.unanswered
            .get_mut(peer)
            .is_some_and(|probes| !std::mem::replace(&mut probes.given_up, true))
    }

    /// What a request does that has waited for `peer` since `since`.
    pub fn waiting(&mut self, peer: &str, since: Timestamp, now: Timestamp) -> Waiting {
        let waited = now.since(since);
        if waited < PROBE_AFTER {
            return Waiting::For(PROBE_AFTER.saturating_sub(waited));
        }
        if self.is_silent(peer, now) {
            return Waiting::GiveUp;
        }
        if self.probe_if_due(peer, Purpose::Waiting, now) {
            Waiting::Probe
        } else {
            Waiting::For(PROBE_PAUSE)
        }
    }

    /// Whether a request may be sent to a peer. A probe that this asks for is to be sent.
    pub fn approach(&mut self, peer: &str, now: Timestamp) -> Approach {
        if !self.is_silent(peer, now) {
            return Approach::Send;
        }
        if self.probe_if_due(peer, Purpose::Ahead, now) {
            Approach::AvoidAndProbe
        } else {
            Approach::Avoid
        }
    }

    /// Whether a peer has not answered probes for the longest round trip.
    pub fn is_silent(&self, peer: &str, now: Timestamp) -> bool {
        self.unanswered
            .get(peer)
            .is_some_and(|probes| !probes.is_forgotten(now) && probes.is_silence(&self.own, now))
    }

    /// Whether a probe of a peer that may be needed next is to be sent now.
    pub fn probe_ahead(&mut self, peer: &str, now: Timestamp) -> bool {
        self.probe_if_due(peer, Purpose::Ahead, now)
    }

    /// Which of the `alternatives` to a peer that a request waits for since `since` are to be
    /// probed now, by their places: a few, in their order, and a few more each time that those
    /// of before have not answered either. None if the peer itself has answered meanwhile.
    pub fn probe_alternatives<'a>(
        &mut self,
        peer: &str,
        since: Timestamp,
        alternatives: impl Iterator<Item = &'a str>,
        now: Timestamp,
    ) -> Vec<usize> {
        let mut due = Vec::new();
        let answered = self.answered.get(peer);
        if answered.is_some_and(|answered_at| *answered_at >= since) {
            return due;
        }
        let mut first_probes = 0;
        for (place, peer) in alternatives.enumerate() {
            let probed = self.unanswered.get(peer);
            let known = probed.is_some_and(|probes| !probes.is_forgotten(now));
            if !known && first_probes == PROBED_AHEAD {
                break;
            }
            first_probes += usize::from(!known);
            if self.probe_ahead(peer, now) {
                due.push(place);
            }
        }
        due
    }

    /// Notes a probe of `peer` if one is due and may be sent.
    fn probe_if_due(&mut self, peer: &str, purpose: Purpose, now: Timestamp) -> bool {
        let known = self
            .unanswered
            .get(peer)
            .copied()
            .filter(|probes| !probes.is_forgotten(now));
        let Some(mut probes) = known else {
            return self.probe_first(peer, purpose, now);
        };
        let silent = probes.is_silence(&self.own, now);
        let pause = if silent {
            silent_pause(probes.while_silent)
        } else {
            PROBE_PAUSE
        };
        if now.since(probes.last_at) < pause || !self.budget.take(purpose, now) {
            return false;
        }
        probes.last_at = now;
        probes.while_silent += u32::from(silent);
        self.unanswered.insert(peer.to_owned(), probes);
        true
    }

    fn probe_first(&mut self, peer: &str, purpose: Purpose, now: Timestamp) -> bool {
        if !self.budget.take(purpose, now) {
            return false;
        }
        let first = Unanswered {
            first_at: now,
            last_at: now,
            listening: self.own.begin(now),
            while_silent: 0,
            given_up: false,
        };
        self.unanswered.insert(peer.to_owned(), first);
        true
    }
}
