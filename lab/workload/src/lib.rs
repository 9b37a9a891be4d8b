//! The workload of the two deployments, the history it leaves and the checker that
//! judges it.
//!
//! Sessions speak to proxies through an ordinary PostgreSQL client library. Everything
//! they ask for and are told goes into a [`history::History`], which [`checker::check`]
//! compares with what the databases hold in the end.
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
