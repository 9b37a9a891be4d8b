//! Decision logic of hookpoint.
//!
//! Everything here is deterministic: typed events in, typed actions out, time passed
//! in as an argument. There is no I/O, no clock and no randomness of its own, so the
//! proxies, the simulator and the exhaustive models all run the same code.
#![forbid(unsafe_code)]

pub mod explain;
pub mod home;
pub mod limits;
pub mod membership;
pub mod node;
pub mod observer;
pub mod request;
pub mod retry;
pub mod rollout;
pub mod serving;
pub mod slots;
pub mod status;
pub mod terms;
