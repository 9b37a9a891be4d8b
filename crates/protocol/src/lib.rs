//! Wire formats of hookpoint: PostgreSQL frames and messages (partly through `pgwire`'s
//! codec), statement classification, authentication, the JSON bodies of the platform's
//! key-value service and the messages between proxies.
#![forbid(unsafe_code)]

pub mod backend_command;
pub mod classify;
pub mod errors;
pub mod extended;
pub mod frame;
pub mod peer;
pub mod platform;
pub mod prepared;
pub mod reply;
pub mod scram;
pub mod settings_tracking;
pub mod startup;
pub mod status_query;
pub mod tags;
