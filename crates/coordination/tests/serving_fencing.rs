//! Tests that fencing tokens follow the order of claims across eras of the store.

use hookpoint_coordination::serving::fencing::FencingToken;
use hookpoint_state::{StoreEra, StoreRevision};
use quickcheck::quickcheck;

fn token(era: u64, number: u64, order: u64) -> Option<FencingToken> {
    FencingToken::new(StoreRevision::new(StoreEra::new(era), number), order)
}

quickcheck! {
    fn tokens_are_in_the_order_of_claims_and_orders(
        one: (u16, u32, u16),
        other: (u16, u32, u16)
    ) -> bool {
        let parts = |(era, number, order): (u16, u32, u16)| {
            (u64::from(era % 4), u64::from(number), u64::from(order % 4_096))
        };
        let (one, other) = (parts(one), parts(other));
        let made = |(era, number, order)| token(era, number, order).expect("within all bounds");
        made(one).cmp(&made(other)) == one.cmp(&other)
    }
}

#[test]
fn a_claim_of_a_later_era_is_above_the_last_token_of_an_earlier_one() {
    let last = token(6, (1 << 36) - 1, 4_095).unwrap();
    assert!(token(7, 1, 1).unwrap() > last);
}

#[test]
fn a_token_that_would_not_be_unique_is_not_created() {
    assert!(token(1, 5, 4_095).is_some());
    assert_eq!(token(1, 5, 4_096), None);
    assert_eq!(token(1, 1 << 36, 1), None);
    assert_eq!(token(1 << 15, 5, 1), None);
    let largest = token((1 << 15) - 1, (1 << 36) - 1, 4_095).unwrap();
    assert!(i64::try_from(u64::from(largest)).is_ok());
}
