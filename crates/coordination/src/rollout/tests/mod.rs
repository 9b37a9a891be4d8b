//! Tests of the rollout: which changes are accepted, and how versions are distributed.

mod acceptance;
mod distribution;
mod network;
mod roll_model;
