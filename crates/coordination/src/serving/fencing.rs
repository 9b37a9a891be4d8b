//! Fencing tokens of promotions.
//!
//! The promotion service rejects an order whose token is lower than one that it has seen for the
//! same group, and an order that was not answered may still be executed seconds later. A token is
//! therefore bound to one candidate for good, and all tokens of a later coordinator are higher than
//! those of an earlier one.
//!
//! A token combines the revision at which its coordinator's claim was written with the sequence
//! number of the order within that coordinator's tenure. Claims are ordered within an era of the
//! store. After the store is restored from a copy, revision numbers restart lower, but the era,
//! which forms the most significant bits, is higher.

use std::fmt;

use hookpoint_state::StoreRevision;
use serde::{Deserialize, Serialize};

/// Bits for the sequence number of an order within one tenure: enough for more groups than the
/// largest fleet has.
const ORDER_BITS: u32 = 12;
/// Bits for the claim's revision number within its era: enough for several hundred changes per
/// second over years.
const NUMBER_BITS: u32 = 36;
/// Bits for the era. The three parts together leave the sign bit of a 64-bit integer free.
const ERA_BITS: u32 = 15;

/// A fencing token; a higher token supersedes a lower one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FencingToken(u64);

impl FencingToken {
    /// Exclusive upper bound of the sequence numbers of one tenure's orders.
    pub const ORDERS_PER_CLAIM: u64 = 1 << ORDER_BITS;

    /// Returns the token of order number `order` of the coordinator whose claim was written at
    /// `claim`. Returns `None` if a part does not fit, so that the token would not be unique; the
    /// number of orders of a tenure is bounded.
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
