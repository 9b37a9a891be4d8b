//! Reachability of other nodes, derived from all message exchanges with them.
//!
//! A node that loses power or is partitioned sends nothing, and a request that waits for it would
//! notice only by its own timeout. Reachability is therefore tracked per peer and not per request.
//! A request that waits for longer than an answer usually takes has the peer probed, and a peer
//! that answers no probe within the longest round trip counts as silent for all requests until
//! something is received from it. A peer that is merely slow to serve a request answers the probe,
//! so requests stay in its queue.
//!
//! Silence is measured in the time in which this node was receiving (see [`super::local_stalls`]),
//! and the probes of all requests together are bounded (see [`super::probe_budget`]). Otherwise a
//! busy fleet would declare its own nodes silent and spend its remaining capacity on probes.

use std::collections::BTreeMap;
use std::time::Duration;

use hookpoint_state::Timestamp;

use super::local_stalls::{LocalStalls, ReceiveMark};
use super::probe_budget::{ProbeBudget, ProbePurpose, silent_probe_interval};

/// Longest round trip between two nodes, including the time that a loaded node takes to answer. The
/// regions of the known deployments are up to 20 ms apart one way, and a node that has used up its
/// share of a processor is suspended for the remainder of a tenth of a second.
pub const LONGEST_ROUND_TRIP: Duration = Duration::from_millis(120);

/// Waiting time after which a peer is probed: the usual round trip between regions, so that few
/// answers in transit cause a probe.
const PROBE_AFTER: Duration = Duration::from_millis(40);

/// Interval between probes of one peer; more than one is sent because a single datagram may be
/// lost.
const PROBE_INTERVAL: Duration = Duration::from_millis(40);

/// Maximum number of additional alternative peers that are probed ahead for one request at a time:
/// as many as one request tries in turn.
const MAX_PROBED_AHEAD: usize = 3;

/// How long a peer is remembered as silent. After that it is treated like a peer about which
/// nothing is known.
const SILENCE_MEMORY: Duration = Duration::from_secs(10);

/// Number of answers kept before old ones are dropped: more than the number of peers that a node
/// probes in the time for which the answers are of use.
const MAX_ANSWERS: usize = 512;

/// The next step of a request that waits for a peer's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitAction {
    /// Wait and check again after this time.
    For(Duration),
    /// Probe the peer and keep waiting.
    Probe,
    /// Give up on the peer, which does not answer, and try another one.
    GiveUp,
}

/// Whether a request may be sent to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendDecision {
    /// The request may be sent.
    Send,
    /// The peer is silent.
    Avoid,
    /// The peer is silent, and a probe of whether it is back is due.
    AvoidAndProbe,
}

/// Probes of one peer that have not been answered yet.
#[derive(Clone, Copy, Debug)]
struct PendingProbes {
    first_at: Timestamp,
    last_at: Timestamp,
    /// Measurement of the time in which this node was receiving, started when the first of them was
    /// sent.
    receive_mark: ReceiveMark,
    /// Number of probes sent since the peer was declared silent.
    sent_while_silent: u32,
    /// Whether a request has given up on the peer.
    given_up: bool,
}

impl PendingProbes {
    fn proves_silence(&self, stalls: &LocalStalls, now: Timestamp) -> bool {
        stalls.has_received_for(LONGEST_ROUND_TRIP, self.receive_mark, now)
    }

    fn is_expired(&self, now: Timestamp) -> bool {
        now.since(self.last_at) >= SILENCE_MEMORY
    }
}

/// Reachability of all peers, by name. Only peers that were probed use memory.
#[derive(Clone, Debug, Default)]
pub struct PeerContacts {
    unanswered: BTreeMap<String, PendingProbes>,
    /// When each peer that was probed last answered.
    answered: BTreeMap<String, Timestamp>,
    stalls: LocalStalls,
    budget: ProbeBudget,
}

impl PeerContacts {
    /// Records that a timer of this node which was due at `due` fired at `now`.
    pub fn note_timer(&mut self, due: Timestamp, now: Timestamp) {
        self.stalls.note_timer(due, now);
    }

    /// Records that a message was received from a peer. If requests had given up on the peer,
    /// returns for how long it had been silent.
    pub fn note_received(&mut self, peer: &str, now: Timestamp) -> Option<Duration> {
        let probes = self.unanswered.remove(peer)?;
        self.drop_expired(now);
        self.answered.insert(peer.to_owned(), now);
        probes.given_up.then(|| now.since(probes.first_at))
    }

    /// Drops entries that are no longer of use once there are many, since peers come and go under
    /// new names.
    fn drop_expired(&mut self, now: Timestamp) {
        if self.answered.len() >= MAX_ANSWERS {
            let is_recent = |answered_at: &Timestamp| now.since(*answered_at) < SILENCE_MEMORY;
            self.answered
                .retain(|_, answered_at| is_recent(answered_at));
            self.unanswered.retain(|_, probes| !probes.is_expired(now));
        }
    }

    /// Records that a request gave up on a peer. Returns whether it is the first one to do so.
    pub fn note_given_up(&mut self, peer: &str) -> bool {
        self.unanswered
            .get_mut(peer)
            .is_some_and(|probes| !std::mem::replace(&mut probes.given_up, true))
    }

    /// Returns the next step of a request that has waited for `peer` since `since`.
    pub fn waiting(&mut self, peer: &str, since: Timestamp, now: Timestamp) -> WaitAction {
        let waited = now.since(since);
        if waited < PROBE_AFTER {
            return WaitAction::For(PROBE_AFTER.saturating_sub(waited));
        }
        if self.is_silent(peer, now) {
            return WaitAction::GiveUp;
        }
        if self.probe_if_due(peer, ProbePurpose::Waiting, now) {
            WaitAction::Probe
        } else {
            WaitAction::For(PROBE_INTERVAL)
        }
    }

    /// Returns whether a request may be sent to a peer. The caller must send the probe that the
    /// result asks for.
    pub fn check_send(&mut self, peer: &str, now: Timestamp) -> SendDecision {
        if !self.is_silent(peer, now) {
            return SendDecision::Send;
        }
        if self.probe_if_due(peer, ProbePurpose::Ahead, now) {
            SendDecision::AvoidAndProbe
        } else {
            SendDecision::Avoid
        }
    }

    /// Returns whether a peer has not answered probes for the longest round trip.
    pub fn is_silent(&self, peer: &str, now: Timestamp) -> bool {
        self.unanswered.get(peer).is_some_and(|probes| {
            !probes.is_expired(now) && probes.proves_silence(&self.stalls, now)
        })
    }

    /// Returns whether a probe of a peer that may be needed next should be sent now.
    pub fn probe_ahead(&mut self, peer: &str, now: Timestamp) -> bool {
        self.probe_if_due(peer, ProbePurpose::Ahead, now)
    }

    /// Returns the indices of those `alternatives` that should be probed now for a request that has
    /// waited for `peer` since `since`. Only a few are probed, in their order, and a few more each
    /// time that the earlier ones have not answered either. Returns none if the peer itself has
    /// answered in the meantime.
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
        for (index, peer) in alternatives.enumerate() {
            let probed = self.unanswered.get(peer);
            let known = probed.is_some_and(|probes| !probes.is_expired(now));
            if !known && first_probes == MAX_PROBED_AHEAD {
                break;
            }
            first_probes += usize::from(!known);
            if self.probe_ahead(peer, now) {
                due.push(index);
            }
        }
        due
    }

    /// Records a probe of `peer` if one is due and the budget permits it. Returns whether it should
    /// be sent.
    fn probe_if_due(&mut self, peer: &str, purpose: ProbePurpose, now: Timestamp) -> bool {
        let known = self
            .unanswered
            .get(peer)
            .copied()
            .filter(|probes| !probes.is_expired(now));
        let Some(mut probes) = known else {
            return self.probe_first(peer, purpose, now);
        };
        let silent = probes.proves_silence(&self.stalls, now);
        let interval = if silent {
            silent_probe_interval(probes.sent_while_silent)
        } else {
            PROBE_INTERVAL
        };
        if now.since(probes.last_at) < interval || !self.budget.take(purpose, now) {
            return false;
        }
        probes.last_at = now;
        probes.sent_while_silent += u32::from(silent);
        self.unanswered.insert(peer.to_owned(), probes);
        true
    }

    fn probe_first(&mut self, peer: &str, purpose: ProbePurpose, now: Timestamp) -> bool {
        if !self.budget.take(purpose, now) {
            return false;
        }
        let first = PendingProbes {
            first_at: now,
            last_at: now,
            receive_mark: self.stalls.begin(now),
            sent_while_silent: 0,
            given_up: false,
        };
        self.unanswered.insert(peer.to_owned(), first);
        true
    }
}
