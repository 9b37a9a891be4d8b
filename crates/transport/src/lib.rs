//! Transport of hookpoint: actors and tasks that carry out the decisions of the
//! coordination layer. This crate makes no decisions itself.
#![forbid(unsafe_code)]

pub mod address;
pub mod admin;
pub mod backend;
pub mod caller;
pub mod lease;
pub mod observe;
pub mod peer;
pub mod platform;
pub mod retries;
pub mod shared;
