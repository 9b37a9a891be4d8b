//! The workload of the two deployments, the recorded history of a run, and the checker
//! that verifies it.
//!
//! Sessions connect to proxies through an ordinary PostgreSQL client library. All their
//! requests and the answers are recorded in a [`history::History`], which
//! [`checker::check`] compares with the final contents of the databases.
#![forbid(unsafe_code)]

pub mod answers;
pub mod application;
pub mod audit;
pub mod checker;
pub mod connection;
pub mod deployment;
pub mod failover;
pub mod history;
pub mod load;
pub mod session;
pub mod sql;
