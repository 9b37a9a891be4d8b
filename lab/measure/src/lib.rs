//! Measurements of hookpoint: a fleet of hollow nodes on real sockets, memory of idle
//! connections, a plain relay to compare with, lines fitted through what was measured,
//! and experiments described in a file.
//!
//! `docs/design/measuring.md` weighs the ways; `docs/capacity-postgresql.md` holds the results.
#![forbid(unsafe_code)]

pub mod experiment;
pub mod fit;
pub mod idle;
pub mod process;
pub mod relay;
pub mod scale;
