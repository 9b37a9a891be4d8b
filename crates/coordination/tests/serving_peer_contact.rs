//! Tests of when peers count as silent, and of when they are probed.

use std::time::Duration;

use hookpoint_coordination::serving::peer_contact::{
    LONGEST_ROUND_TRIP, PeerContacts, SendDecision, WaitAction,
};
use hookpoint_state::Timestamp;
use quickcheck::quickcheck;

const PEER: &str = "front-1";

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(10_000 + millis)
}

/// Waits for an answer from `from` on. Returns how often the peer was probed until the request gave
/// up, and after which time it did. The peer's answer to a probe arrives `answered_after` later.
fn wait_for_answer(
    contacts: &mut PeerContacts,
    from: u64,
    answered_after: Option<u64>,
) -> (usize, u64) {
    let mut now = from;
    let mut probes = 0;
    let mut answer_arrives_at = None;
    while now < from + 5_000 {
        if answer_arrives_at.is_some_and(|answer_arrives_at| now >= answer_arrives_at) {
            contacts.note_received(PEER, at(now));
            answer_arrives_at = None;
        }
        match contacts.waiting(PEER, at(from), at(now)) {
            WaitAction::For(pause) => {
                let pause = u64::try_from(pause.as_millis()).unwrap();
                now += pause.clamp(1, 5);
            }
            WaitAction::Probe => {
                probes += 1;
                answer_arrives_at = answer_arrives_at.or(answered_after.map(|after| now + after));
            }
            WaitAction::GiveUp => break,
        }
    }
    (probes, now - from)
}

#[test]
fn a_request_gives_up_on_a_peer_that_answers_no_probe() {
    let mut contacts = PeerContacts::default();
    let (probes, gave_up_after) = wait_for_answer(&mut contacts, 0, None);
    assert!(probes >= 2, "one probe may be lost: {probes}");
    assert!((120..=200).contains(&gave_up_after), "{gave_up_after}");
    assert!(contacts.is_silent(PEER, at(gave_up_after)));
}

#[test]
fn a_request_keeps_waiting_for_a_peer_that_answers_probes() {
    let mut contacts = PeerContacts::default();
    let (_, waited) = wait_for_answer(&mut contacts, 0, Some(60));
    assert_eq!(waited, 5_000);
    assert!(!contacts.is_silent(PEER, at(waited)));
}

#[test]
fn nothing_is_sent_to_a_silent_peer_until_it_answers() {
    let mut contacts = PeerContacts::default();
    let (_, now) = wait_for_answer(&mut contacts, 0, None);
    let decisions: Vec<SendDecision> = (0..40)
        .map(|step| contacts.check_send(PEER, at(now + step * 10)))
        .collect();
    assert!(!decisions.contains(&SendDecision::Send));
    let probes = decisions
        .iter()
        .filter(|decision| **decision == SendDecision::AvoidAndProbe)
        .count();
    assert!((1..=3).contains(&probes), "{probes} probes in 400 ms");
    assert!(contacts.note_given_up(PEER), "reported once");
    assert!(!contacts.note_given_up(PEER), "reported once");
    let silent_for = contacts.note_received(PEER, at(now + 400)).unwrap();
    assert!(silent_for >= Duration::from_millis(400), "{silent_for:?}");
    assert_eq!(contacts.note_received(PEER, at(now + 401)), None);
    assert_eq!(contacts.check_send(PEER, at(now + 410)), SendDecision::Send);
}

#[test]
fn an_old_silence_is_forgotten() {
    let mut contacts = PeerContacts::default();
    let (_, now) = wait_for_answer(&mut contacts, 0, None);
    assert_eq!(
        contacts.check_send(PEER, at(now + 60_000)),
        SendDecision::Send
    );
    let (_, gave_up_after) = wait_for_answer(&mut contacts, now + 60_000, None);
    assert!(gave_up_after >= 120, "assessed again: {gave_up_after}");
}

#[test]
fn the_state_of_a_peer_probed_ahead_is_known_when_it_is_needed() {
    let mut contacts = PeerContacts::default();
    assert!(contacts.probe_ahead(PEER, at(40)));
    assert!(!contacts.probe_ahead(PEER, at(50)));
    let later = at(40) + LONGEST_ROUND_TRIP;
    assert_ne!(contacts.check_send(PEER, later), SendDecision::Send);
}

#[test]
fn a_peer_that_is_never_waited_for_is_never_probed() {
    let mut contacts = PeerContacts::default();
    for step in 0..1_000 {
        assert_eq!(contacts.check_send(PEER, at(step)), SendDecision::Send);
    }
}

quickcheck! {
    /// Whatever is received in between, a request gives up only on a peer that was probed and has
    /// been silent for the longest round trip.
    fn only_silence_ends_a_request(pauses: Vec<u8>) -> bool {
        let mut contacts = PeerContacts::default();
        let mut now = 0;
        let mut last_received = 0;
        for pause in pauses {
            for _ in 0..pause {
                now += 1;
                let next = contacts.waiting(PEER, at(0), at(now));
                let silent_for = Duration::from_millis(now - last_received);
                if next == WaitAction::GiveUp && silent_for < LONGEST_ROUND_TRIP {
                    return false;
                }
            }
            contacts.note_received(PEER, at(now));
            last_received = now;
        }
        true
    }
}
