//! Tests of the slot table.

mod fairness;
mod faults;
mod model;
mod random;
