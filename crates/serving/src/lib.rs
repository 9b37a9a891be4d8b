//! The statement-serving node: caller sessions, database connections, the subscription to the
//! state store, and the coordinator that replaces lost primaries.
//!
//! Everything in this crate runs on one thread and communicates with the outside through the
//! traits of [`ports`], whose implementations determine the encoding of messages and the access to
//! the store. The decision logic is in `hookpoint_coordination::serving`.
#![forbid(unsafe_code)]

mod cold_databases;
mod cold_start;
pub mod connection;
pub mod coordinator;
pub mod coordinator_record;
mod counted_store;
pub mod counters;
mod database_incarnation;
mod departures;
mod evacuation;
pub mod events;
pub mod exchange_error;
pub mod explanation;
mod fallback_connection;
pub mod feed;
pub mod follower;
pub mod homes;
mod isolation;
mod leaders;
pub mod lease;
pub mod link;
pub mod message;
pub mod monitor;
mod monitored_groups;
pub mod node;
pub mod packed;
pub mod peer_message;
pub mod peers;
mod placement;
pub mod pool;
pub mod ports;
mod primary_contact;
pub mod primary_lease;
pub mod reachability;
pub mod receive_buffer;
pub mod records;
pub mod registration;
pub mod relay;
pub mod session;
pub mod settings;
pub mod shutdown;
pub mod snapshot;
pub mod socket;
mod start;
mod statement;
mod synchronous_groups;
mod tokens;
pub mod units;
mod zone_evacuations;
