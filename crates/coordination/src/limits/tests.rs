//! Tests of queue admission.

use hookpoint_state::Refusal;
use quickcheck::{Arbitrary, Gen};

use super::QueueState;

const STATE: QueueState = QueueState {
    length: 0,
    capacity: 100,
    tenant_length: 0,
    tenant_capacity: None,
    tenant_weight: 1,
    total_weight: 1,
};

#[test]
fn admission_checks_capacity_tenant_limit_and_fair_share() {
    let full = Err(Refusal::QueueFull);
    let over_limit = Err(Refusal::TenantLimit);
    let cases = [
        ("empty", STATE, Ok(())),
        (
            "room for one more",
            QueueState {
                length: 99,
                ..STATE
            },
            Ok(()),
        ),
        (
            "full",
            QueueState {
                length: 100,
                ..STATE
            },
            full.clone(),
        ),
        (
            "no queue",
            QueueState {
                capacity: 0,
                ..STATE
            },
            full,
        ),
        (
            "below its own limit",
            QueueState {
                length: 5,
                tenant_length: 4,
                tenant_capacity: Some(5),
                ..STATE
            },
            Ok(()),
        ),
        (
            "at its own limit",
            QueueState {
                length: 5,
                tenant_length: 5,
                tenant_capacity: Some(5),
                ..STATE
            },
            over_limit.clone(),
        ),
        (
            "over its share without overload",
            QueueState {
                length: 49,
                tenant_length: 49,
                total_weight: 4,
                ..STATE
            },
            Ok(()),
        ),
        (
            "over its share under overload",
            QueueState {
                length: 50,
                tenant_length: 25,
                total_weight: 4,
                ..STATE
            },
            over_limit,
        ),
        (
            "below its share under overload",
            QueueState {
                length: 80,
                tenant_length: 24,
                total_weight: 4,
                ..STATE
            },
            Ok(()),
        ),
        (
            "a heavier tenant has a larger share",
            QueueState {
                length: 80,
                tenant_length: 49,
                tenant_weight: 2,
                total_weight: 4,
                ..STATE
            },
            Ok(()),
        ),
        (
            "the lightest of many tenants may queue one request",
            QueueState {
                length: 80,
                total_weight: 1_000,
                ..STATE
            },
            Ok(()),
        ),
    ];
    for (name, state, expected) in cases {
        assert_eq!(state.admit(), expected, "{name}");
    }
}

/// A tenant that floods the queue can't exclude another tenant with no waiting requests.
/// (Only tenants within their shares may fill the queue.)
#[test]
fn a_flooding_tenant_leaves_room_for_others() {
    for seed in 0..300 {
        let mut random = Gen::from_size_and_seed(50, seed);
        let capacity = 2 + usize::arbitrary(&mut random) % 500;
        let weights = [1 + u32::arbitrary(&mut random) % 5, 1];
        let total_weight = weights.iter().map(|weight| u64::from(*weight)).sum();
        let mut lengths = [0, 0];
        for _ in 0..2_000 {
            let state = QueueState {
                length: lengths[0] + lengths[1],
                capacity,
                tenant_length: lengths[0],
                tenant_capacity: None,
                tenant_weight: weights[0],
                total_weight,
            };
            lengths[0] += usize::from(state.admit().is_ok());
        }
        let state = QueueState {
            length: lengths[0],
            capacity,
            tenant_length: 0,
            tenant_capacity: None,
            tenant_weight: weights[1],
            total_weight,
        };
        assert_eq!(
            state.admit(),
            Ok(()),
            "seed {seed}: {lengths:?} of {capacity}"
        );
    }
}
