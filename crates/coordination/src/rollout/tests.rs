//! Tests of the rollout machine.
