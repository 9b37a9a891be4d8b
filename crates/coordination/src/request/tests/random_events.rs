//! Properties of every transaction, checked on random sequences of events.

use hookpoint_state::{DatabaseName, Lsn, Position, Refusal, Timestamp};
use quickcheck::{Arbitrary, Gen};

use super::{BEGIN, Harness, READ, WRITE, at, status};
use crate::request::{Access, RequestAction, RequestEvent, Unit, UnitResult};
use crate::status::Role;

/// One event of a random sequence and the pause before it, in microseconds.
#[derive(Clone, Debug)]
struct Step {
    event: RequestEvent,
    pause: u64,
}

impl Arbitrary for Step {
    fn arbitrary(random: &mut Gen) -> Self {
        let names = ["a", "b", "c"].map(DatabaseName::new);
        let database = random.choose(&names).cloned().unwrap_or_default();
        let roles = [Role::Primary, Role::Replica];
        let role = *random.choose(&roles).unwrap_or(&Role::Primary);
        let numbers = [1, 90, 130];
        let mut number = || *random.choose(&numbers).unwrap_or(&1);
        let answer = status(
            role,
            (number() % 2) as u32 + 1,
            number(),
            &[("b", number())],
        );
        let position = Position::new(1, number());
        let events = [
            RequestEvent::TermVerified { position },
            RequestEvent::VerifyFailed,
            RequestEvent::LeaseGranted {
                database: database.clone(),
            },
            RequestEvent::LeaseRefused {
                database,
                refusal: Refusal::NoDatabase,
            },
            RequestEvent::CheckAnswered {
                status: answer.clone(),
            },
            RequestEvent::UnitFinished {
                result: UnitResult::Succeeded,
                in_transaction: bool::arbitrary(random),
            },
            RequestEvent::NextUnit { unit: WRITE },
            RequestEvent::ProbeAnswered { status: answer },
            RequestEvent::ProbeFailed,
            RequestEvent::ConnectionLost,
            RequestEvent::ViewChanged,
            RequestEvent::TimerFired,
        ];
        Step {
            event: random
                .choose(&events)
                .cloned()
                .unwrap_or(RequestEvent::Begin),
            pause: u64::from(u8::arbitrary(random)) * 100,
        }
    }
}

/// Runs a random sequence of events and returns the first violated rule, if any.
fn violated_rule(unit: Unit, steps: &[Step]) -> Option<&'static str> {
    let mut harness = Harness::new(unit, at(1, 50));
    let mut holds_connection = false;
    let mut sent_commit = false;
    let mut finals = 0;
    let mut handled = |harness: &mut Harness, event: RequestEvent| -> Option<&'static str> {
        let ended = harness.machine.is_finished();
        if matches!(event, RequestEvent::LeaseGranted { .. }) && holds_connection {
            return None;
        }
        let evidence = matches!(&event, RequestEvent::ProbeAnswered { status }
            if status.role == Role::Primary && status.flushed[0].position >= status.position
                && status.position > Lsn(0));
        for action in harness.feed(event) {
            if ended {
                return Some("an action after the end");
            }
            match action {
                RequestAction::Send { probe, .. } => {
                    holds_connection = true;
                    sent_commit = probe;
                }
                RequestAction::Release { .. } if !holds_connection => {
                    return Some("released a connection that was not held");
                }
                RequestAction::Release { .. } => holds_connection = false,
                RequestAction::Discard if sent_commit && unit.access == Access::Write => {
                    sent_commit = false;
                }
                RequestAction::Refuse { .. } if sent_commit => {
                    return Some("reported as not run although it may have run");
                }
                RequestAction::Acknowledge { .. } if !evidence => {
                    return Some("acknowledged without evidence");
                }
                RequestAction::Acknowledge { .. } => sent_commit = false,
                RequestAction::Finished => finals += 1,
                _ => {}
            }
        }
        (finals > 1).then_some("ended twice")
    };
    if let Some(rule) = handled(&mut harness, RequestEvent::Begin) {
        return Some(rule);
    }
    for step in steps {
        harness.now = Timestamp(harness.now.0 + step.pause);
        if let Some(rule) = handled(&mut harness, step.event.clone()) {
            return Some(rule);
        }
    }
    (harness.machine.is_finished() && holds_connection).then_some("a connection leaked")
}

#[test]
fn random_event_sequences_keep_the_rules() {
    for seed in 0..4_000 {
        let mut random = Gen::from_size_and_seed(40, seed);
        let steps = Vec::<Step>::arbitrary(&mut random);
        for unit in [READ, WRITE, BEGIN] {
            assert_eq!(violated_rule(unit, &steps), None, "seed {seed}, {steps:?}");
        }
    }
}
