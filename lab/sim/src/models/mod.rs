//! Small models built around the production state machines and explored breadth first.

pub mod acknowledge;
pub mod explore;
pub mod primary_lease;
pub mod quota;
pub mod rollout;
pub mod synchronous_promotion;
