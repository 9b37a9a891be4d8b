//! Tests of single faults.

use std::time::Duration;

use hookpoint_state::Refusal;

use super::model::{Model, RequestState, policy};
use crate::slots::*;

const WAIT: Duration = Duration::from_secs(10);

fn serving(slots: usize, sessions: usize) -> Model {
    let mut model = Model::new(policy(slots), 1);
    for _ in 0..sessions {
        model.request("shop", "a", WAIT);
        model.opened(None);
    }
    model
}

#[test]
fn failures_to_open_refuse_or_hold_the_work() {
    let rejected = OpenFailure::Rejected("28P01".to_owned());
    let refused = Refusal::BackendRefused {
        sqlstate: "28P01".to_owned(),
    };
    let cases = [
        (
            OpenFailure::SlotsTaken,
            RequestState::Waiting,
            RequestState::Waiting,
        ),
        (
            OpenFailure::Unreachable,
            RequestState::Refused(Refusal::NoDatabase),
            RequestState::Refused(Refusal::NoDatabase),
        ),
        (
            rejected,
            RequestState::Refused(refused.clone()),
            RequestState::Refused(refused),
        ),
    ];
    for (failure, first_state, second_state) in cases {
        let mut model = Model::new(policy(2), 1);
        let first = model.request("shop", "a", WAIT);
        model.opened(Some(failure.clone()));
        let second = model.request("shop", "a", WAIT);
        assert_eq!(*model.state(first), first_state, "{failure:?}");
        assert_eq!(*model.state(second), second_state, "{failure:?}");
        assert_eq!(model.connections(), 0, "the next attempt waits");
        model.advance(Duration::from_millis(25));
        let third = model.request("shop", "a", WAIT);
        assert_eq!(model.opening.len(), 1, "one attempt at a time");
        model.opened(None);
        let served = model
            .grants
            .iter()
            .any(|r| r.number == third || r.number == first);
        assert!(served, "{failure:?}");
    }
}

#[test]
fn work_waits_for_existing_connections_when_opening_another_one_fails() {
    let mut model = serving(2, 1);
    let waiting = model.request("shop", "a", WAIT);
    model.opened(Some(OpenFailure::Unreachable));
    assert_eq!(*model.state(waiting), RequestState::Waiting);
    model.returned(true);
    assert!(matches!(model.state(waiting), RequestState::Granted(_)));
}

#[test]
fn an_observer_retries_an_unreachable_database_before_the_pause_has_elapsed() {
    let mut model = Model::new(policy(2), 1);
    model.request("shop", "a", WAIT);
    model.opened(Some(OpenFailure::Unreachable));
    let observer = model.request_in(Lane::Observer, "hookpoint", "a", WAIT);
    model.opened(None);
    assert!(matches!(model.state(observer), RequestState::Granted(_)));
    let work = model.request("shop", "a", WAIT);
    model.opened(None);
    assert!(
        matches!(model.state(work), RequestState::Granted(_)),
        "the outage is over"
    );
}

#[test]
fn a_draining_database_refuses_work_and_lets_held_connections_finish() {
    let mut model = serving(2, 2);
    model.returned(true);
    let waiting: Vec<_> = (0..3).map(|_| model.request("shop", "a", WAIT)).collect();
    model.drain(true);
    for number in &waiting[1..] {
        assert_eq!(
            *model.state(*number),
            RequestState::Refused(Refusal::NoDatabase)
        );
    }
    let late = model.request("shop", "a", WAIT);
    assert_eq!(
        *model.state(late),
        RequestState::Refused(Refusal::NoDatabase)
    );
    assert_eq!(model.held.len(), 2);
    model.returned(true);
    model.returned(true);
    assert_eq!(model.closing.len(), 2, "no idle connection is kept");
    model.confirm_close();
    model.confirm_close();
    model.drain(false);
    let admitted = model.request("shop", "a", WAIT);
    model.opened(None);
    assert!(matches!(model.state(admitted), RequestState::Granted(_)));
}

#[test]
fn a_node_that_is_not_home_keeps_no_idle_connections() {
    let mut model = serving(3, 3);
    model.returned(true);
    model.event(SlotEvent::Home(false));
    assert_eq!(model.idle.len(), 0);
    let waiting = model.request("shop", "a", WAIT);
    model.returned(true);
    assert!(
        matches!(model.state(waiting), RequestState::Granted(_)),
        "waiting work is granted the connection before it is closed"
    );
    model.returned(true);
    model.returned(true);
    assert_eq!((model.idle.len(), model.held.len()), (0, 0));
}

#[test]
fn closing_connections_still_occupy_their_slots() {
    let mut model = serving(2, 2);
    model.returned(false);
    let waiting = model.request("shop", "a", WAIT);
    assert_eq!(model.opening.len(), 0);
    model.confirm_close();
    assert_eq!(model.opening.len(), 1);
    model.opened(None);
    assert!(matches!(model.state(waiting), RequestState::Granted(_)));
}

#[test]
fn reducing_the_slots_closes_idle_connections_and_later_held_ones() {
    let mut model = serving(5, 5);
    model.returned(true);
    model.returned(true);
    model.set_slots(policy(2));
    assert_eq!((model.closing.len(), model.held.len()), (2, 3));
    model.returned(true);
    assert_eq!((model.closing.len(), model.held.len()), (3, 2));
    let waiting = model.request("shop", "a", WAIT);
    assert_eq!(*model.state(waiting), RequestState::Waiting);
}

#[test]
fn a_new_target_closes_the_connections_to_the_old_one() {
    let mut model = serving(2, 2);
    model.returned(true);
    model.event(SlotEvent::ReplaceConnections);
    assert_eq!(model.closing.len(), 1);
    model.returned(true);
    assert_eq!(model.closing.len(), 2);
}

#[test]
fn a_failed_grant_goes_to_the_front() {
    let mut model = serving(1, 1);
    let next = model.request("shop", "a", WAIT);
    let other = model.request("shop", "a", WAIT);
    model.returned(true);
    assert!(matches!(model.state(next), RequestState::Granted(_)));
    model.grant_failed();
    model.opened(None);
    assert!(matches!(model.state(next), RequestState::Granted(_)));
    assert_eq!(*model.state(other), RequestState::Waiting);
}

#[test]
fn a_reroute_refuses_waiting_requests_but_not_later_ones() {
    let mut model = serving(1, 1);
    let waiting = model.request("shop", "a", WAIT);
    model.event(SlotEvent::Reroute);
    assert_eq!(
        *model.state(waiting),
        RequestState::Refused(Refusal::NoDatabase)
    );
    let later = model.request("shop", "a", WAIT);
    assert_eq!(*model.state(later), RequestState::Waiting);
}

#[test]
fn deadlines_and_limits_refuse_requests() {
    let mut model = serving(1, 1);
    let late = model.request("shop", "a", Duration::ZERO);
    assert_eq!(
        *model.state(late),
        RequestState::Refused(Refusal::WaitDeadline)
    );
    let short = model.request("shop", "a", Duration::from_millis(10));
    model.advance(Duration::from_millis(9));
    assert_eq!(*model.state(short), RequestState::Waiting);
    model.advance(Duration::from_millis(1));
    assert_eq!(
        *model.state(short),
        RequestState::Refused(Refusal::WaitDeadline)
    );
    let observers: Vec<_> = (0..9)
        .map(|_| model.request_in(Lane::Observer, "hookpoint", "a", WAIT))
        .collect();
    assert_eq!(*model.state(observers[7]), RequestState::Waiting);
    assert_eq!(
        *model.state(observers[8]),
        RequestState::Refused(Refusal::QueueFull)
    );
    let full: Vec<_> = (0..50).map(|_| model.request("shop", "a", WAIT)).collect();
    assert_eq!(
        *model.state(full[49]),
        RequestState::Refused(Refusal::QueueFull)
    );
}

#[test]
fn spare_idle_connections_are_closed_after_their_time() {
    let mut model = serving(3, 3);
    for _ in 0..3 {
        model.returned(true);
    }
    model.advance(Duration::from_secs(29));
    assert_eq!(model.idle.len(), 3);
    model.advance(Duration::from_secs(1));
    assert_eq!((model.idle.len(), model.closing.len()), (1, 2));
}

#[test]
fn no_timer_in_the_past_while_only_an_event_can_end_the_wait() {
    let mut model = serving(2, 1);
    model.request("shop", "a", WAIT);
    model.opened(Some(OpenFailure::SlotsTaken));
    model.advance(Duration::from_millis(600));
    assert_eq!(model.opening.len(), 1, "another attempt is running");
    let due = model
        .table
        .next_timer()
        .expect("the request has a deadline");
    assert!(
        due > model.now,
        "a timer in the past would make the driver spin"
    );
}
