//! Tests of the rollout: what is accepted, and how it spreads.

mod accepting;
mod exploring;
mod network;
mod spreading;
