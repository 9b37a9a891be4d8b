//! Tests the compression of values that are sent between nodes.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::topology::{Configuration, Consistency, Route};
use hookpoint_serving::packed::{PackError, pack, unpack};
use hookpoint_serving::ports::{StoreChange, StoreChanges, StoreRecord};
use hookpoint_state::{GroupName, StoreEra, StoreRevision};

/// Number of routes of the largest configuration that users describe.
const ROUTES: usize = 2_900;

fn large_configuration() -> StoreChanges {
    let route = |number: usize| Route {
        group: GroupName::new(format!("group{}", number % 20)),
        consistency: Consistency::ReadYourWrites(Duration::from_millis(1_500)),
        statement_timeout: Duration::from_millis(700 + number as u64 % 300),
        target_latency: Duration::from_millis(400),
        allows_anonymous: true,
        allowed_regions: Default::default(),
        priority: 1,
    };
    let name = |number: usize| format!("{:x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let routes: BTreeMap<String, Rc<Route>> = (0..ROUTES)
        .map(|number| (name(number), Rc::new(route(number))))
        .collect();
    let configuration = Configuration {
        version: 9,
        routes,
        ..Configuration::default()
    };
    StoreChanges {
        revision: StoreRevision::new(StoreEra::new(1), 12),
        changes: vec![StoreChange {
            revision: StoreRevision::new(StoreEra::new(1), 12),
            record: StoreRecord::Configuration(configuration),
        }],
    }
}

#[test]
fn a_large_configuration_survives_packing_and_unpacking() {
    let changes = large_configuration();
    let unpacked: StoreChanges = unpack(&pack(&changes).unwrap()).unwrap();
    assert_eq!(unpacked, changes);
}

#[test]
fn a_large_configuration_is_packed_into_less_than_half_of_its_bytes() {
    let changes = large_configuration();
    let plain = postcard::to_allocvec(&changes).unwrap().len();
    let packed = pack(&changes).unwrap().len();
    assert!(packed * 2 < plain, "{packed} of {plain} bytes");
}

#[test]
fn unpacking_invalid_bytes_fails() {
    for bytes in [&b"no such thing"[..], b"", &[0xff; 40]] {
        assert!(unpack::<StoreChanges>(bytes).is_err(), "{bytes:?}");
    }
}

#[test]
fn unpacking_a_value_over_the_size_limit_fails() {
    let packed = pack(&vec![0_u8; 33 << 20]).unwrap();
    let unpacked: Result<Vec<u8>, PackError> = unpack(&packed);
    assert!(matches!(unpacked, Err(PackError::TooLarge)));
}
