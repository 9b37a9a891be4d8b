//! Tests of primary leases: which node may use a primary, and when the primary may be replaced.

mod store;

use std::time::Duration;

use hookpoint_coordination::serving::lease_grantor::{
    Electorate, LeaseGrantor, OUTAGE_AUTHORITY_TIME, Predecessors, STORE_AUTHORITY_TIME, Withdrawal,
};
use hookpoint_coordination::serving::primary_lease::{
    Grantor, LEASE_DURATION, LeaseRequest, PrimaryLease, ProcessTime, VOTE_DURATION,
};
use hookpoint_state::{StoreRevision, Timestamp};
use store::revision;

const PROCESS: u64 = 7;
const COORDINATOR: StoreRevision = revision(100);
const ONE_MILLISECOND: Duration = Duration::from_millis(1);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(60_000 + millis)
}

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn electorate(voters: usize, store_known_at: Timestamp) -> Electorate {
    Electorate {
        voters,
        store_known_at,
    }
}

fn request(coordinator: StoreRevision, echoed_time: Option<Timestamp>) -> LeaseRequest {
    LeaseRequest {
        coordinator,
        asked_at: ProcessTime {
            process: 1,
            time: at(0),
        },
        echoed_time: echoed_time.map(|time| ProcessTime {
            process: PROCESS,
            time,
        }),
    }
}

fn coordinator(claimed_at: Timestamp) -> LeaseGrantor {
    let mut grantor = LeaseGrantor::new(PROCESS);
    grantor.begin_coordinating(COORDINATOR, claimed_at, Predecessors::Listed);
    grantor
}

/// Grants `node` a lease at `now` with the store's authority.
fn grant(grantor: &mut LeaseGrantor, node: &str, now: Timestamp) {
    grantor.note_renewed(now);
    let request = request(COORDINATOR, None);
    let answer = grantor.answer(node, &request, COORDINATOR, electorate(3, now), now);
    assert!(answer.granted);
}

#[test]
fn a_lease_counts_from_when_it_was_requested() {
    let mut lease = PrimaryLease::new(1, at(0));
    lease.follow(COORDINATOR, at(0));
    let (grantor, request) = lease.request(at(10)).expect("a request is due");
    assert_eq!(grantor, Grantor::Coordinator);
    let mut coordinator = coordinator(at(0));
    let answer = coordinator.answer("a", &request, COORDINATOR, electorate(3, at(5)), at(5));
    assert!(lease.take(&answer, at(200)), "a slow answer counts as well");
    assert!(!lease.covers(at(9)));
    assert!(lease.covers(at(10)));
    assert!(lease.covers(at(10) + LEASE_DURATION - ONE_MILLISECOND));
    assert!(!lease.covers(at(10) + LEASE_DURATION));
    assert_eq!(
        lease.lapsed_since(at(10) + LEASE_DURATION),
        Some(at(10) + LEASE_DURATION)
    );
}

#[test]
fn answers_to_an_earlier_process_or_coordinator_grant_nothing() {
    let mut asked = PrimaryLease::new(1, at(0));
    asked.follow(COORDINATOR, at(0));
    let (_, request) = asked.request(at(10)).expect("a request is due");
    let mut coordinator = coordinator(at(0));
    let answer = coordinator.answer("a", &request, COORDINATOR, electorate(3, at(5)), at(5));
    let mut restarted = PrimaryLease::new(2, at(0));
    restarted.follow(COORDINATOR, at(0));
    restarted.take(&answer, at(20));
    assert!(!restarted.covers(at(20)));
    asked.follow(revision(101), at(15));
    asked.take(&answer, at(20));
    assert!(!asked.covers(at(20)));
}

#[test]
fn a_substitute_is_asked_if_the_coordinator_does_not_answer() {
    let mut lease = PrimaryLease::new(1, at(0));
    lease.follow(COORDINATOR, at(0));
    let mut asked = Vec::new();
    for step in 0..40 {
        if let Some((grantor, _)) = lease.request(at(step * 50)) {
            asked.push(grantor);
        }
    }
    assert_eq!(&asked[..2], [Grantor::Coordinator, Grantor::Coordinator]);
    assert_eq!(asked[2], Grantor::Substitute(0));
    assert!(asked.contains(&Grantor::Substitute(1)));
}

/// A coordinator that has lost the store requests leases from itself without success, while the
/// other nodes vote for a substitute coordinator.
#[test]
fn a_refused_node_asks_the_substitute_that_others_may_vote_for() {
    let mut lease = PrimaryLease::new(1, at(0));
    lease.follow(COORDINATOR, at(0));
    let mut alone = LeaseGrantor::new(PROCESS);
    let mut asked = Vec::new();
    for step in 0..60 {
        let now = at(20_000 + step * 50);
        if let Some((grantor, request)) = lease.request(now) {
            asked.push(grantor);
            let answer = alone.answer("a", &request, COORDINATOR, electorate(3, now), now);
            lease.take(&answer, now);
        }
    }
    assert!(asked.contains(&Grantor::Substitute(0)), "{asked:?}");
    let switched = asked
        .iter()
        .position(|grantor| *grantor != Grantor::Coordinator);
    assert!(
        asked[switched.unwrap()..].contains(&Grantor::Coordinator),
        "and returns to the coordinator"
    );
}

/// Votes for a grantor without the store: only a majority of recent votes is sufficient.
#[test]
fn without_the_store_only_a_majority_of_fresh_votes_grants() {
    let echoed_time = at(20_000);
    let in_time = echoed_time + VOTE_DURATION - ONE_MILLISECOND;
    let late = echoed_time + VOTE_DURATION;
    // (voters, votes, when asked, granted)
    let table = [
        (3, 1, in_time, false),
        (3, 2, in_time, true),
        (3, 2, late, false),
        (4, 2, in_time, false),
        (4, 3, in_time, true),
        (9, 4, in_time, false),
        (9, 5, in_time, true),
    ];
    for (voters, votes, now, granted) in table {
        let mut grantor = LeaseGrantor::new(PROCESS);
        let mut last = false;
        for vote in 0..votes {
            let request = request(COORDINATOR, Some(echoed_time));
            let known_at = electorate(voters, echoed_time);
            let name = format!("node-{vote}");
            last = grantor
                .answer(&name, &request, COORDINATOR, known_at, now)
                .granted;
        }
        assert_eq!(last, granted, "{votes} votes of {voters}");
    }
}

#[test]
fn a_request_without_an_echoed_timestamp_is_no_vote() {
    let now = at(20_000);
    let mut grantor = LeaseGrantor::new(PROCESS);
    for node in ["a", "b", "c"] {
        let first = request(COORDINATOR, None);
        let answer = grantor.answer(node, &first, COORDINATOR, electorate(3, now), now);
        assert!(!answer.granted);
    }
    let mut other_process = request(COORDINATOR, Some(now));
    other_process.echoed_time = other_process.echoed_time.map(|echoed| ProcessTime {
        process: 8,
        ..echoed
    });
    for node in ["a", "b", "c"] {
        let answer = grantor.answer(node, &other_process, COORDINATOR, electorate(3, now), now);
        assert!(!answer.granted);
    }
}

#[test]
fn a_grantor_without_the_store_stops_after_the_outage_limit() {
    let known_at = at(0);
    let now = known_at + OUTAGE_AUTHORITY_TIME;
    let mut grantor = LeaseGrantor::new(PROCESS);
    for node in ["a", "b", "c"] {
        let vote = request(COORDINATOR, Some(now - ONE_MILLISECOND));
        let answer = grantor.answer(node, &vote, COORDINATOR, electorate(3, known_at), now);
        assert!(!answer.granted);
    }
}

#[test]
fn a_vote_for_another_node_binds_the_voter() {
    let mut lease = PrimaryLease::new(1, at(0));
    lease.follow(COORDINATOR, at(10_000));
    let mut now = at(10_000);
    while lease
        .request(now)
        .is_none_or(|(grantor, _)| grantor == Grantor::Coordinator)
    {
        now = now + Duration::from_millis(50);
    }
    assert!(
        !lease.acknowledge(COORDINATOR, now),
        "just voted for a substitute"
    );
    assert!(!lease.acknowledge(COORDINATOR, now + VOTE_DURATION - ONE_MILLISECOND));
    assert!(lease.acknowledge(COORDINATOR, now + VOTE_DURATION));
    assert!(
        !lease.acknowledge(revision(99), now + VOTE_DURATION),
        "an earlier coordinator"
    );
    assert!(lease.voted_for_others(now + VOTE_DURATION));
    assert!(!lease.voted_for_others(now + VOTE_DURATION + LEASE_DURATION));
}

#[test]
fn a_starting_process_acknowledges_nothing_for_the_duration_of_a_vote() {
    let mut lease = PrimaryLease::new(1, at(0));
    assert!(!lease.acknowledge(COORDINATOR, at(0) + VOTE_DURATION - ONE_MILLISECOND));
    assert!(lease.acknowledge(COORDINATOR, at(0) + VOTE_DURATION));
}

fn withdrawal(grantor: &LeaseGrantor) -> Withdrawal {
    grantor.withdraw().expect("it coordinates")
}

#[test]
fn a_primary_is_replaced_at_once_when_all_acknowledge() {
    let voters = names(&["a", "b", "c"]);
    let mut grantor = coordinator(at(0));
    let now = at(50);
    for voter in &voters {
        grant(&mut grantor, voter, now);
    }
    let mut withdrawal = withdrawal(&grantor);
    for voter in &voters {
        assert!(!withdrawal.is_complete(&voters, now));
        withdrawal.acknowledge(voter, true);
    }
    assert!(withdrawal.is_complete(&voters, now));
}

#[test]
fn the_lease_of_a_node_that_does_not_answer_must_expire_first() {
    let voters = names(&["a", "b", "c"]);
    let long_after_claim = at(60_000);
    let mut grantor = coordinator(at(0));
    for voter in &voters {
        grant(&mut grantor, voter, long_after_claim);
    }
    let mut withdrawal = withdrawal(&grantor);
    withdrawal.acknowledge("a", false);
    withdrawal.acknowledge("b", false);
    assert!(!withdrawal.is_complete(&voters, long_after_claim + LEASE_DURATION - ONE_MILLISECOND));
    assert!(withdrawal.is_complete(&voters, long_after_claim + LEASE_DURATION));
}

#[test]
fn without_a_majority_no_primary_is_replaced() {
    let voters = names(&["a", "b", "c", "d"]);
    let grantor = coordinator(at(0));
    let mut withdrawal = withdrawal(&grantor);
    withdrawal.acknowledge("a", false);
    withdrawal.acknowledge("b", false);
    assert!(!withdrawal.is_complete(&voters, at(3_600_000)));
    assert!(withdrawal.is_complete(&names(&["a", "b", "d"]), at(3_600_000)));
}

#[test]
fn leases_that_others_granted_expire_before_a_primary_is_replaced() {
    let voters = names(&["a", "b", "c"]);
    let now = at(60_000);
    let grantor = coordinator(at(0));
    let mut withdrawal = withdrawal(&grantor);
    withdrawal.acknowledge("a", false);
    withdrawal.acknowledge("b", true);
    assert!(
        !withdrawal.is_complete(&voters, now),
        "b recently voted for another node"
    );
    assert!(!withdrawal.is_complete(&voters, now + LEASE_DURATION - ONE_MILLISECOND));
    assert!(withdrawal.is_complete(&voters, now + LEASE_DURATION));
}

#[test]
fn a_new_coordinator_waits_until_its_predecessors_leases_expire() {
    let voters = names(&["a", "b", "c"]);
    let grantor = coordinator(at(0));
    let mut withdrawal = withdrawal(&grantor);
    withdrawal.acknowledge("a", false);
    withdrawal.acknowledge("b", false);
    let ended = at(0) + STORE_AUTHORITY_TIME + LEASE_DURATION;
    assert!(!withdrawal.is_complete(&voters, ended - ONE_MILLISECOND));
    assert!(withdrawal.is_complete(&voters, ended));
}

/// Leases of the predecessor and those that other nodes granted expire at the same time, not one
/// after the other.
#[test]
fn a_new_coordinator_waits_for_all_earlier_leases_at_once() {
    let voters = names(&["a", "b", "c"]);
    let grantor = coordinator(at(0));
    let mut withdrawal = withdrawal(&grantor);
    withdrawal.acknowledge("a", false);
    withdrawal.acknowledge("b", true);
    assert!(!withdrawal.is_complete(&voters, at(100)));
    let ended = at(0) + STORE_AUTHORITY_TIME + LEASE_DURATION;
    assert!(!withdrawal.is_complete(&voters, ended - ONE_MILLISECOND));
    assert!(withdrawal.is_complete(&voters, ended));
}

#[test]
fn a_former_coordinator_withdraws_nothing() {
    let mut grantor = coordinator(at(0));
    grantor.end_coordinating();
    assert!(grantor.withdraw().is_none());
    assert!(!grantor.has_authority(electorate(1, at(0)), at(1)));
}

#[test]
fn a_coordinator_that_may_lack_announcements_grants_nothing_before_a_majority_has_reported_what_it_knows()
 {
    let now = at(50);
    let mut grantor = LeaseGrantor::new(PROCESS);
    grantor.begin_coordinating(COORDINATOR, at(0), Predecessors::MaybeLost);
    let echo_and_request = |grantor: &mut LeaseGrantor, voter: &str| {
        let first = request(COORDINATOR, None);
        let answer = grantor.answer(voter, &first, COORDINATOR, electorate(3, now), now);
        let second = request(COORDINATOR, Some(answer.answered_at.time));
        let answer = grantor.answer(voter, &second, COORDINATOR, electorate(3, now), now);
        answer.granted
    };
    assert!(!echo_and_request(&mut grantor, "a"));
    assert!(echo_and_request(&mut grantor, "b"));
    assert!(echo_and_request(&mut grantor, "a"));
}
