//! Stand-ins for the real systems around the proxies, for tests and the lab.

#![forbid(unsafe_code)]

pub mod database;
pub mod links;
pub mod platform;
