//! Table-driven tests of the identification of callers, and of the choice of the next request for a
//! free connection.

use std::time::Duration;

use hookpoint_coordination::serving::queue_order::{
    MAX_PRINCIPAL_WAIT, QueuedRequest, next_waiter_index,
};
use hookpoint_coordination::serving::tenancy::{
    Denial, KeyDigest, Principal, RevocationPolicy, Tenants, identify,
};
use hookpoint_coordination::serving::topology::{Consistency, Route};
use hookpoint_state::{GroupName, TenantName};

fn route(allows_anonymous: bool) -> Route {
    Route {
        group: GroupName::new("orders"),
        consistency: Consistency::Primary,
        statement_timeout: Duration::from_millis(800),
        target_latency: Duration::from_millis(600),
        priority: 1,
        allows_anonymous,
        allowed_regions: std::collections::BTreeSet::new(),
    }
}

fn tenant(name: &str) -> Principal {
    Principal::Tenant(TenantName::new(name))
}

fn tenants() -> Tenants {
    let mut tenants = Tenants::default();
    let name = TenantName::new("clinic");
    tenants.keys.insert(KeyDigest::of(b"known"), name);
    tenants
}

#[test]
fn a_caller_is_identified_by_the_current_holder_of_its_key() {
    let cases = [
        (false, "known", true, Ok(tenant("clinic"))),
        (false, "known", false, Err(Denial::Partitioned)),
        (false, "other", true, Err(Denial::UnknownKey)),
        (false, "other", false, Err(Denial::UnknownKey)),
        (false, "", true, Err(Denial::UnknownKey)),
        (true, "known", true, Ok(tenant("clinic"))),
        (true, "known", false, Ok(Principal::Anonymous)),
        (true, "other", true, Ok(Principal::Anonymous)),
        (true, "other", false, Ok(Principal::Anonymous)),
    ];
    for (open, key, keys_accepted, expected) in cases {
        let digest = KeyDigest::of(key.as_bytes());
        let identified = identify(&tenants(), &route(open), &digest, keys_accepted);
        assert_eq!(identified, expected, "{open} {key} {keys_accepted}");
    }
}

#[test]
fn a_digest_does_not_reveal_its_key() {
    let digest = KeyDigest::of(b"known");
    assert_eq!(format!("{digest:?}"), "KeyDigest(..)");
    assert_ne!(digest, KeyDigest::of(b"Known"));
}

#[test]
fn keys_are_accepted_without_updates_as_long_as_the_policy_allows() {
    let strict = RevocationPolicy {
        refuse_after: Some(Duration::from_secs(5)),
    };
    let lenient = RevocationPolicy { refuse_after: None };
    let cases = [
        (strict, 0, true),
        (strict, 4_999, true),
        (strict, 5_000, false),
        (lenient, 3_600_000, true),
    ];
    for (policy, age_ms, expected) in cases {
        let age = Duration::from_millis(age_ms);
        assert_eq!(policy.accepts(age), expected, "{policy:?} {age_ms}");
    }
}

/// Priority, principal and waiting time in milliseconds of a queued request.
type Queued<'a> = (u8, Option<&'a Principal>, u64);

#[test]
fn a_free_connection_goes_to_its_own_principal_unless_another_has_waited_for_long() {
    let long = u64::try_from(MAX_PRINCIPAL_WAIT.as_millis()).unwrap();
    let (one, two) = (tenant("one"), tenant("two"));
    // The queue, and the index of the next request for a connection of `one`.
    let cases: [(&[Queued], Option<usize>); 8] = [
        (&[], None),
        (&[(1, Some(&two), 1)], Some(0)),
        (&[(1, Some(&two), 9), (1, Some(&one), 1)], Some(1)),
        (&[(1, Some(&two), long), (1, Some(&one), 1)], Some(0)),
        (&[(1, None, 9), (1, Some(&one), 5)], Some(0)),
        (&[(1, Some(&two), 9), (2, Some(&one), 20)], Some(0)),
        (&[(1, Some(&one), 9), (1, Some(&one), 1)], Some(0)),
        (
            &[(1, Some(&two), 9), (1, Some(&two), 8), (1, Some(&one), 1)],
            Some(2),
        ),
    ];
    for (queue, expected) in cases {
        let waiting = queue
            .iter()
            .map(|(priority, principal, waited)| QueuedRequest {
                priority: *priority,
                principal: *principal,
                waited: Duration::from_millis(*waited),
            });
        assert_eq!(next_waiter_index(waiting, &one), expected, "{queue:?}");
    }
}
