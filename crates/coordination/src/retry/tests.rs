//! Tests of back-off, budgets and the retry policy.

use std::time::Duration;

use hookpoint_state::{TenantName, Timestamp};
use quickcheck::{Arbitrary, Gen};

use super::{
    Backoff, BackoffPolicy, RetryBudget, RetryBudgets, RetryDecision, RetryPolicy, RetryStop,
};

const POLICY: BackoffPolicy = BackoffPolicy {
    first: Duration::from_millis(20),
    maximum: Duration::from_millis(500),
};

#[test]
fn pauses_grow_to_the_maximum_and_stay_between_half_and_the_bound() {
    for seed in 0..200 {
        let mut backoff = Backoff::new(POLICY, seed);
        for attempt in 0..40 {
            let bound = Duration::from_millis((20u64 << attempt.min(10)).min(500));
            let pause = backoff.failed();
            assert!(pause >= bound / 2 && pause <= bound, "{attempt}: {pause:?}");
        }
        backoff.succeeded();
        assert!(backoff.failed() <= POLICY.first);
    }
}

#[test]
fn pauses_are_determined_by_the_seed() {
    let pauses = |seed| {
        let mut backoff = Backoff::new(POLICY, seed);
        (0..20).map(|_| backoff.failed()).collect::<Vec<_>>()
    };
    assert_eq!(pauses(1), pauses(1));
    assert_ne!(pauses(1), pauses(2));
}

#[test]
fn retries_stay_within_their_share_of_the_requests() {
    for seed in 0..100 {
        let mut random = Gen::from_size_and_seed(100, seed);
        let percent = u32::arbitrary(&mut random) % 101;
        let mut budget = RetryBudget::default();
        let (mut requests, mut retries) = (0u32, 0u32);
        for _ in 0..2_000 {
            if bool::arbitrary(&mut random) {
                budget.record_request(percent);
                requests += 1;
            } else {
                retries += u32::from(budget.try_take());
            }
            assert!(retries <= 10 + requests * percent / 100);
        }
    }
}

#[test]
fn a_decision_stops_for_the_first_applicable_reason() {
    let exhausted = || {
        let mut budget = RetryBudget::default();
        while budget.try_take() {}
        budget
    };
    let far = Timestamp::from_millis(60_000);
    let near = Timestamp::from_millis(1);
    let cases = [
        (8, far, RetryBudget::default(), Some(RetryStop::Attempts)),
        (8, near, exhausted(), Some(RetryStop::Attempts)),
        (1, near, RetryBudget::default(), Some(RetryStop::Deadline)),
        (1, far, exhausted(), Some(RetryStop::Budget)),
        (1, far, RetryBudget::default(), None),
        (7, far, RetryBudget::default(), None),
    ];
    for (attempts, deadline, mut budget, stop) in cases {
        let before = budget.clone();
        let mut policy = RetryPolicy::new(7);
        let decision = policy.decide(Timestamp::default(), deadline, attempts, &mut budget);
        match decision {
            RetryDecision::Stop(reason) => {
                assert_eq!(Some(reason), stop);
                assert_eq!(budget, before);
            }
            RetryDecision::At(at) => {
                assert_eq!(stop, None);
                assert!(at > Timestamp::default() && at < deadline);
                assert_ne!(budget, before);
            }
        }
    }
}

#[test]
fn the_number_of_known_tenants_is_bounded() {
    let mut budgets = RetryBudgets::new();
    for number in 0..10_000 {
        budgets
            .for_tenant(&TenantName::new(format!("tenant-{number}")))
            .try_take();
    }
    assert_eq!(budgets.len(), 4_096);
}
