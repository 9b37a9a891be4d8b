//! Tests of the number of probes that a busy fleet sends.

use std::collections::BTreeSet;
use std::time::Duration;

use hookpoint_coordination::serving::peer_contact::{PeerContacts, SendDecision, WaitAction};
use hookpoint_coordination::serving::probe_budget::{
    PROBE_BURST, PROBES_PER_SECOND, ProbeBudget, ProbePurpose, silent_probe_interval,
};
use hookpoint_coordination::serving::remote_query_budget::{
    MAX_REMOTE_QUERIES, MAX_REMOTE_QUERIES_UNUSED, may_send_remote_query,
};
use hookpoint_state::Timestamp;
use quickcheck::quickcheck;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(10_000 + millis)
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("front-{number}")).collect()
}

fn max_probes_in(millis: u64) -> usize {
    PROBE_BURST as usize + (u64::from(PROBES_PER_SECOND) * millis / 1_000) as usize + 1
}

/// Returns the number of probes that a node sends in one second in which it constantly waits for
/// all of its peers and none answers; each peer is an alternative to the others.
fn probes_of_a_second(peers: usize) -> usize {
    let peers = names(peers);
    let mut contacts = PeerContacts::default();
    let mut probes = 0;
    for now in (40..1_040).step_by(5) {
        for peer in &peers {
            if contacts.waiting(peer, at(0), at(now)) == WaitAction::Probe {
                let others = peers.iter().filter(|other| *other != peer);
                let others = others.map(String::as_str);
                probes += 1 + contacts
                    .probe_alternatives(peer, at(0), others, at(now))
                    .len();
            }
        }
    }
    probes
}

#[test]
fn probes_of_a_node_do_not_grow_with_its_peers() {
    let at_sizes = [30, 100, 300, 1_500].map(probes_of_a_second);
    let most = max_probes_in(1_000);
    assert!(
        at_sizes.iter().all(|probes| *probes <= most),
        "{at_sizes:?}"
    );
    assert!(at_sizes[3] <= at_sizes[1] + 1, "{at_sizes:?}");
}

#[test]
fn one_late_answer_costs_a_few_probes_whatever_the_number_of_holders() {
    for holders in [4, 32, 300, 1_500] {
        let names = names(holders);
        let mut contacts = PeerContacts::default();
        assert_eq!(contacts.waiting("late", at(0), at(40)), WaitAction::Probe);
        let others = names.iter().map(String::as_str);
        let ahead = contacts.probe_alternatives("late", at(0), others, at(40));
        assert_eq!(ahead, [0, 1, 2]);
    }
}

#[test]
fn alternatives_are_not_probed_once_the_peer_has_answered() {
    let names = names(8);
    let mut contacts = PeerContacts::default();
    assert_eq!(contacts.waiting("slow", at(0), at(40)), WaitAction::Probe);
    contacts.note_received("slow", at(60));
    assert_eq!(contacts.waiting("slow", at(0), at(80)), WaitAction::Probe);
    let others = names.iter().map(String::as_str);
    let ahead = contacts.probe_alternatives("slow", at(0), others, at(80));
    assert_eq!(ahead, Vec::<usize>::new());
    let others = names.iter().map(String::as_str);
    let ahead = contacts.probe_alternatives("slow", at(61), others, at(101));
    assert_eq!(
        ahead,
        [0, 1, 2],
        "control: a request that began to wait later"
    );
}

/// If nearly all holders are partitioned, the reachable one is found while the request still waits
/// for the first.
#[test]
fn further_alternatives_are_probed_while_the_first_do_not_answer() {
    let names = names(9);
    let mut contacts = PeerContacts::default();
    let mut probed = BTreeSet::new();
    for now in [40, 80, 120] {
        assert_eq!(contacts.waiting("lost", at(0), at(now)), WaitAction::Probe);
        let others = names.iter().map(String::as_str);
        probed.extend(contacts.probe_alternatives("lost", at(0), others, at(now)));
    }
    assert_eq!(contacts.waiting("lost", at(0), at(160)), WaitAction::GiveUp);
    assert_eq!(probed.len(), 9);
    for peer in &names[..3] {
        assert_ne!(
            contacts.check_send(peer, at(160)),
            SendDecision::Send,
            "known by then"
        );
    }
}

#[test]
fn a_peer_that_is_waited_for_is_probed_when_no_more_may_be_probed_ahead() {
    let mut budget = ProbeBudget::default();
    while budget.take(ProbePurpose::Ahead, at(0)) {}
    assert!(budget.take(ProbePurpose::Waiting, at(0)));
}

/// A stalled node does not take a peer for silent; a node that is not stalled detects the silence
/// in time.
#[test]
fn a_stalled_node_does_not_give_up_on_its_peers() {
    let give_up = |stalled: bool| {
        let mut contacts = PeerContacts::default();
        assert_eq!(contacts.waiting("peer", at(0), at(40)), WaitAction::Probe);
        if stalled {
            contacts.note_timer(at(80), at(180));
        }
        contacts.waiting("peer", at(0), at(180)) == WaitAction::GiveUp
    };
    assert!(!give_up(true));
    assert!(give_up(false), "control");
}

#[test]
fn a_silent_peer_is_probed_at_growing_but_bounded_intervals() {
    let pauses: Vec<u64> = (0..20)
        .map(|probed| u64::try_from(silent_probe_interval(probed).as_millis()).unwrap())
        .collect();
    assert!(pauses.is_sorted());
    assert_eq!(pauses[0], 200);
    assert_eq!(pauses[19], 800);
}

#[test]
fn remote_queries_are_bounded_and_groups_in_use_come_first() {
    let most = |in_use| {
        (0..)
            .find(|sent| !may_send_remote_query(*sent, in_use))
            .unwrap()
    };
    assert_eq!(most(true), MAX_REMOTE_QUERIES);
    assert_eq!(most(false), MAX_REMOTE_QUERIES_UNUSED);
    assert!(may_send_remote_query(MAX_REMOTE_QUERIES_UNUSED, true));
}

quickcheck! {
    /// No time span contains more probes than one burst plus the sustained rate allow.
    fn no_span_holds_more_than_the_budget(pauses: Vec<u8>) -> bool {
        let mut budget = ProbeBudget::default();
        let mut now = 0;
        let mut sent = 0;
        for pause in pauses {
            now += u64::from(pause);
            for purpose in [ProbePurpose::Ahead, ProbePurpose::Waiting, ProbePurpose::Waiting] {
                sent += usize::from(budget.take(purpose, at(now)));
            }
        }
        sent <= max_probes_in(now)
    }
}

/// The budget is refilled even if it is used in very small time steps.
#[test]
fn the_budget_is_refilled() {
    let mut budget = ProbeBudget::default();
    while budget.take(ProbePurpose::Waiting, at(0)) {}
    let mut sent = 0;
    for step in 1..=10_000_u64 {
        let now = at(0) + Duration::from_micros(100) * u32::try_from(step).unwrap();
        sent += u32::from(budget.take(ProbePurpose::Waiting, now));
    }
    assert!(
        (PROBES_PER_SECOND - 1..=PROBES_PER_SECOND).contains(&sent),
        "{sent}"
    );
}
