//! Small models that are explored exhaustively, breadth first, around the shipped
//! machines.

pub mod acknowledge;
pub mod explore;
pub mod primary_lease;
pub mod quota;
pub mod rollout;
