//! Faults one by one.

use std::time::Duration;

use hookpoint_state::Refusal;

use super::model::{Fate, Model, policy};
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
        (OpenFailure::SlotsTaken, Fate::Waiting, Fate::Waiting),
        (
            OpenFailure::Unreachable,
            Fate::Refused(Refusal::NoDatabase),
            Fate::Refused(Refusal::NoDatabase),
        ),
        (
            rejected,
            Fate::Refused(refused.clone()),
            Fate::Refused(refused),
        ),
    ];
    for (failure, first_fate, second_fate) in cases {
        let mut model = Model::new(policy(2), 1);
        let first = model.request("shop", "a", WAIT);
        model.opened(Some(failure.clone()));
        let second = model.request("shop", "a", WAIT);
        assert_eq!(*model.fate(first), first_fate, "{failure:?}");
        assert_eq!(*model.fate(second), second_fate, "{failure:?}");
        assert_eq!(model.connections(), 0, "the next attempt waits");
        model.pass(Duration::from_millis(25));
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
fn a_failure_to_open_one_more_leaves_the_work_to_the_others() {
    let mut model = serving(2, 1);
    let waiting = model.request("shop", "a", WAIT);
    model.opened(Some(OpenFailure::Unreachable));
    assert_eq!(*model.fate(waiting), Fate::Waiting);
    model.returned(true);
    assert!(matches!(model.fate(waiting), Fate::Granted(_)));
}

#[test]
fn an_observer_tries_an_unreachable_database_before_the_pause_is_over() {
    let mut model = Model::new(policy(2), 1);
    model.request("shop", "a", WAIT);
    model.opened(Some(OpenFailure::Unreachable));
    let observer = model.request_in(Lane::Observer, "hookpoint", "a", WAIT);
    model.opened(None);
    assert!(matches!(model.fate(observer), Fate::Granted(_)));
    let work = model.request("shop", "a", WAIT);
    model.opened(None);
    assert!(
        matches!(model.fate(work), Fate::Granted(_)),
        "the outage is over"
    );
}

#[test]
fn a_draining_database_refuses_work_and_lets_the_held_finish() {
    let mut model = serving(2, 2);
    model.returned(true);
    let waiting: Vec<_> = (0..3).map(|_| model.request("shop", "a", WAIT)).collect();
    model.drain(true);
    for number in &waiting[1..] {
        assert_eq!(*model.fate(*number), Fate::Refused(Refusal::NoDatabase));
    }
    let late = model.request("shop", "a", WAIT);
    assert_eq!(*model.fate(late), Fate::Refused(Refusal::NoDatabase));
    assert_eq!(model.held.len(), 2);
    model.returned(true);
    model.returned(true);
    assert_eq!(model.closing.len(), 2, "nothing is kept for later");
    model.confirm_close();
    model.confirm_close();
    model.drain(false);
    let back = model.request("shop", "a", WAIT);
    model.opened(None);
    assert!(matches!(model.fate(back), Fate::Granted(_)));
}

#[test]
fn a_node_that_is_not_home_keeps_nothing_idle() {
    let mut model = serving(3, 3);
    model.returned(true);
    model.event(SlotEvent::Home(false));
    assert_eq!(model.idle.len(), 0);
    let waiting = model.request("shop", "a", WAIT);
    model.returned(true);
    assert!(
        matches!(model.fate(waiting), Fate::Granted(_)),
        "work goes first"
    );
    model.returned(true);
    model.returned(true);
    assert_eq!((model.idle.len(), model.held.len()), (0, 0));
}

#[test]
fn closing_connections_still_take_their_slots() {
    let mut model = serving(2, 2);
    model.returned(false);
    let waiting = model.request("shop", "a", WAIT);
    assert_eq!(model.opening.len(), 0);
    model.confirm_close();
    assert_eq!(model.opening.len(), 1);
    model.opened(None);
    assert!(matches!(model.fate(waiting), Fate::Granted(_)));
}

#[test]
fn fewer_slots_close_what_is_idle_and_wait_for_the_rest() {
    let mut model = serving(5, 5);
    model.returned(true);
    model.returned(true);
    model.set_slots(policy(2));
    assert_eq!((model.closing.len(), model.held.len()), (2, 3));
    model.returned(true);
    assert_eq!((model.closing.len(), model.held.len()), (3, 2));
    let waiting = model.request("shop", "a", WAIT);
    assert_eq!(*model.fate(waiting), Fate::Waiting);
}

#[test]
fn a_new_target_closes_the_connections_to_the_old_one() {
    let mut model = serving(2, 2);
    model.returned(true);
    model.event(SlotEvent::Renew);
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
    assert!(matches!(model.fate(next), Fate::Granted(_)));
    model.grant_failed();
    model.opened(None);
    assert!(matches!(model.fate(next), Fate::Granted(_)));
    assert_eq!(*model.fate(other), Fate::Waiting);
}

#[test]
fn a_reroute_refuses_what_waits_but_not_what_comes_later() {
    let mut model = serving(1, 1);
    let waiting = model.request("shop", "a", WAIT);
    model.event(SlotEvent::Reroute);
    assert_eq!(*model.fate(waiting), Fate::Refused(Refusal::NoDatabase));
    let later = model.request("shop", "a", WAIT);
    assert_eq!(*model.fate(later), Fate::Waiting);
}

#[test]
fn deadlines_and_limits_refuse_at_once() {
    let mut model = serving(1, 1);
    let late = model.request("shop", "a", Duration::ZERO);
    assert_eq!(*model.fate(late), Fate::Refused(Refusal::WaitDeadline));
    let short = model.request("shop", "a", Duration::from_millis(10));
    model.pass(Duration::from_millis(9));
    assert_eq!(*model.fate(short), Fate::Waiting);
    model.pass(Duration::from_millis(1));
    assert_eq!(*model.fate(short), Fate::Refused(Refusal::WaitDeadline));
    let observers: Vec<_> = (0..9)
        .map(|_| model.request_in(Lane::Observer, "hookpoint", "a", WAIT))
        .collect();
    assert_eq!(*model.fate(observers[7]), Fate::Waiting);
    assert_eq!(*model.fate(observers[8]), Fate::Refused(Refusal::QueueFull));
    let full: Vec<_> = (0..50).map(|_| model.request("shop", "a", WAIT)).collect();
    assert_eq!(*model.fate(full[49]), Fate::Refused(Refusal::QueueFull));
}

#[test]
fn spare_idle_connections_are_closed_after_their_time() {
    let mut model = serving(3, 3);
    for _ in 0..3 {
        model.returned(true);
    }
    model.pass(Duration::from_secs(29));
    assert_eq!(model.idle.len(), 3);
    model.pass(Duration::from_secs(1));
    assert_eq!((model.idle.len(), model.closing.len()), (1, 2));
}

#[test]
fn no_timer_is_due_while_only_an_event_can_help() {
    let mut model = serving(2, 1);
    model.request("shop", "a", WAIT);
    model.opened(Some(OpenFailure::SlotsTaken));
    model.pass(Duration::from_millis(600));
    assert_eq!(model.opening.len(), 1, "another attempt is under way");
    let due = model
        .table
        .next_timer()
        .expect("the request has a deadline");
    assert!(due > model.now, "a timer in the past would spin");
}
