//! Measurements of hookpoint: a fleet of hollow nodes on real sockets, the memory of idle
//! connections, a plain relay as a baseline, line fits and summaries of measured values,
//! and experiments described in a file.
//!
//! `docs/design/measuring.md` compares the methods; `docs/capacity-postgresql.md` holds the
//! results.
#![forbid(unsafe_code)]

pub mod experiment;
pub mod fit;
pub mod idle;
pub mod process;
pub mod relay;
pub mod scale;
