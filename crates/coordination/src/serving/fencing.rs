//! Fencing tokens of promotions.
//!
//! The promotion service refuses an order whose token is lower than one that it has seen for the
//! same group, and an order without an answer may be carried out seconds later. So a token names
//! one candidate for ever, and a later coordinator's tokens are above all of an earlier one's.
//!
//! A token is made of the revision at which its coordinator's claim was written, and of the
//! number of the order in that tenure. Claims are made one after another within an era of the
//! store; after the store came back from a copy their numbers begin lower, and the era, which
//! counts most, is higher.

use std::fmt;

use hookpoint_state::StoreRevision;
use serde::{Deserialize, Serialize};

/// Bits that number the orders of one tenure: more than the groups of the largest fleet.
const ORDER_BITS: u32 = 12;
/// Bits of the claim's number in its era: some hundreds of changes a second for years.
const NUMBER_BITS: u32 = 36;
/// Bits of the era. All bits together leave the sign of a 64-bit integer free.
const ERA_BITS: u32 = 15;

/// A fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FencingToken(u64);

impl FencingToken {
    /// Orders of one tenure are numbered below this.
    pub const ORDERS_PER_CLAIM: u64 = 1 << ORDER_BITS;

    /// The token of the `order`th order of the coordinator whose claim was written at `claim`.
    /// None if it cannot be told apart from another one: a tenure has a bounded number of them.
    pub fn new(claim: StoreRevision, order: u64) -> Option<Self> {
        let (era, number) = claim.parts();
        let fits = |value: u64, bits: u32| value < 1 << bits;
        let representable =
            fits(era.number(), ERA_BITS) && fits(number, NUMBER_BITS) && fits(order, ORDER_BITS);
        let packed = (era.number() << NUMBER_BITS | number) << ORDER_BITS | order;
        representable.then_some(Self(packed))
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl From<FencingToken> for u64 {
    fn from(token: FencingToken) -> Self {
        token.0
    }
}
