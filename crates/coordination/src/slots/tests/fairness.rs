//! Tests of the order in which requests are served.

use std::collections::BTreeMap;
use std::time::Duration;

use hookpoint_state::bundle::TenantLimits;
use hookpoint_state::{Refusal, TenantName};
use quickcheck::{Arbitrary, Gen};

use super::model::{Model, RequestState, policy};
use crate::slots::*;

const WAIT: Duration = Duration::from_secs(60);

fn weights(list: &[(&str, u32)]) -> BTreeMap<TenantName, TenantLimits> {
    let limits = |weight| TenantLimits {
        weight,
        waiting: None,
    };
    list.iter()
        .map(|(name, weight)| ((*name).into(), limits(*weight)))
        .collect()
}

/// Returns a model with one slot, which is held by another session while requests are
/// queued.
fn saturated(list: &[(&str, u32)]) -> Model {
    let mut table = policy(1);
    table.tenants = weights(list);
    table.queue_limit = 100_000;
    let mut model = Model::new(table, 1);
    model.request("first", "a", WAIT);
    model.opened(None);
    model.grants.clear();
    model
}

fn served(model: &Model) -> Vec<String> {
    model
        .grants
        .iter()
        .map(|r| r.tenant.as_str().to_owned())
        .collect()
}

#[test]
fn tenants_are_served_by_their_weights() {
    let mut model = saturated(&[("clinic", 3), ("shop", 1)]);
    for _ in 0..40 {
        model.request("shop", "a", WAIT);
    }
    for _ in 0..12 {
        model.request("clinic", "a", WAIT);
    }
    for _ in 0..16 {
        model.returned(true);
    }
    let order = served(&model);
    let shops = order.iter().filter(|tenant| *tenant == "shop").count();
    assert_eq!(shops, 4, "{order:?}");
}

/// When all tenants always have waiting requests, no tenant waits for more grants than
/// the sum of the other tenants' weights.
#[test]
fn no_tenant_starves() {
    for seed in 0..100 {
        let mut random = Gen::from_size_and_seed(20, seed);
        let names: Vec<String> = (0..2 + usize::arbitrary(&mut random) % 5)
            .map(|number| format!("tenant-{number}"))
            .collect();
        let list: Vec<(&str, u32)> = names
            .iter()
            .map(|name| (name.as_str(), 1 + u32::arbitrary(&mut random) % 4))
            .collect();
        let total: usize = list.iter().map(|(_, weight)| *weight as usize).sum();
        let mut model = saturated(&list);
        for _ in 0..300 {
            let name = random.choose(&names).unwrap().clone();
            for _ in 0..1 + u8::arbitrary(&mut random) % 3 {
                model.request(&name, "a", WAIT);
            }
        }
        for name in &names {
            for _ in 0..50 {
                model.request(name, "a", WAIT);
            }
        }
        for _ in 0..total * 10 {
            model.returned(true);
        }
        let order = served(&model);
        for (name, weight) in &list {
            let bound = total - *weight as usize;
            let indexes = order
                .iter()
                .enumerate()
                .filter(|(_, tenant)| tenant == name);
            let mut last = 0;
            for (index, _) in indexes {
                assert!(
                    index - last <= bound + 1,
                    "seed {seed}: {name} in {order:?}"
                );
                last = index;
            }
            assert!(
                order.len() - last <= bound + 1,
                "seed {seed}: {name} starves"
            );
        }
    }
}

#[test]
fn zones_of_a_tenant_take_turns_in_order_of_arrival() {
    let mut model = saturated(&[]);
    let far: Vec<_> = (0..30)
        .map(|_| model.request("shop", "far", WAIT))
        .collect();
    let near: Vec<_> = (0..3)
        .map(|_| model.request("shop", "near", WAIT))
        .collect();
    for _ in 0..6 {
        model.returned(true);
    }
    let order: Vec<RequestNumber> = model.grants.iter().map(|r| r.number).collect();
    assert_eq!(order, [far[0], near[0], far[1], near[1], far[2], near[2]]);
}

#[test]
fn observers_are_served_before_all_work() {
    let mut model = saturated(&[]);
    model.request("shop", "a", WAIT);
    let observer = model.request_in(Lane::Observer, "hookpoint", "a", WAIT);
    model.returned(true);
    assert!(matches!(model.state(observer), RequestState::Granted(_)));
}

#[test]
fn a_flooding_tenant_is_limited_and_another_tenant_is_still_admitted() {
    let mut table = policy(1);
    table.tenants = weights(&[("clinic", 1), ("shop", 1)]);
    let mut model = Model::new(table, 1);
    model.request("clinic", "a", WAIT);
    let numbers: Vec<_> = (0..200).map(|_| model.request("shop", "a", WAIT)).collect();
    let last = model.state(numbers[199]).clone();
    assert_eq!(last, RequestState::Refused(Refusal::TenantLimit));
    let other = model.request("clinic", "a", WAIT);
    assert_eq!(*model.state(other), RequestState::Waiting);
}
