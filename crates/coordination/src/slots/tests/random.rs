//! Random sequences of events against the model, which checks every action.

use std::time::Duration;

use quickcheck::{Arbitrary, Gen};

use super::model::{Model, RequestState, policy};
use crate::slots::*;

fn failure(random: &mut Gen) -> Option<OpenFailure> {
    match u8::arbitrary(random) % 6 {
        0 => Some(OpenFailure::SlotsTaken),
        1 => Some(OpenFailure::Unreachable),
        2 => Some(OpenFailure::Rejected("28P01".to_owned())),
        _ => None,
    }
}

fn step(model: &mut Model, random: &mut Gen) {
    let tenant = *random.choose(&["clinic", "shop", "utility"]).unwrap();
    let zone = *random.choose(&["a", "b"]).unwrap();
    match u8::arbitrary(random) % 24 {
        0..=7 => {
            let wait = Duration::from_millis(u64::arbitrary(random) % 2_000);
            model.request(tenant, zone, wait);
        }
        8 => {
            model.request_in(Lane::Observer, tenant, zone, Duration::from_millis(500));
        }
        9..=11 => model.opened(failure(random)),
        12..=14 => model.returned(!u8::arbitrary(random).is_multiple_of(4)),
        15..=16 => model.confirm_close(),
        17 => model.grant_failed(),
        18 => model.idle_connection_broken(),
        19 => {
            let number = RequestNumber(u64::arbitrary(random) % 400);
            model.cancel(number);
        }
        20 => model.set_slots(policy(usize::arbitrary(random) % 6)),
        21 => model.drain(bool::arbitrary(random)),
        22 => model.event(match u8::arbitrary(random) % 4 {
            0 => SlotEvent::ReplaceConnections,
            1 => SlotEvent::Reroute,
            2 => SlotEvent::Home(false),
            _ => SlotEvent::Home(true),
        }),
        _ => model.advance(Duration::from_millis(u64::arbitrary(random) % 300)),
    }
    let bound = 50 + 8 + model.slots.max(6);
    assert!(model.waiting() <= bound, "the queue is bounded");
}

#[test]
fn random_sequences_keep_the_rules_and_answer_every_request() {
    for seed in 0..400 {
        let mut random = Gen::from_size_and_seed(60, seed);
        let mut model = Model::new(policy(1 + usize::arbitrary(&mut random) % 5), seed);
        for _ in 0..400 {
            step(&mut model, &mut random);
        }
        model.advance(Duration::from_secs(10));
        let unanswered = model
            .requests
            .values()
            .find(|(_, state)| *state == RequestState::Waiting);
        assert_eq!(unanswered, None, "seed {seed}");
    }
}

/// After any sequence of events, once the faults have ended, waiting requests are
/// served.
#[test]
fn a_recovered_database_serves_all_requests() {
    for seed in 0..200 {
        let mut random = Gen::from_size_and_seed(60, seed);
        let mut model = Model::new(policy(3), seed);
        for _ in 0..200 {
            step(&mut model, &mut random);
        }
        model.advance(Duration::from_secs(10));
        model.drain(false);
        model.set_slots(policy(3));
        let wait = Duration::from_secs(20);
        let numbers: Vec<_> = (0..10).map(|_| model.request("shop", "a", wait)).collect();
        for _ in 0..100 {
            model.opened(None);
            model.returned(true);
            model.confirm_close();
            model.advance(Duration::from_millis(10));
        }
        for number in numbers {
            let served = matches!(model.state(number), RequestState::Granted(_));
            assert!(served, "seed {seed}: {:?}", model.state(number));
        }
    }
}
