//! Tests of the rollout: which changes are accepted, and how versions are distributed.

mod accepting;
mod exploring;
mod network;
mod spreading;
