//! The home node of each database: the one that holds its connections.
//!
//! Rendezvous hashing over the members that take work: of the database's zone, else of
//! its region, else of the whole fleet. Each node computes homes from its own view of
//! the membership; where views differ for a moment, two nodes may both believe to be
//! home, which the database's own limit on connections makes safe. See
//! `docs/design/home-nodes-and-forwarding.md`.

mod candidates;
mod score;
mod table;

pub use score::{DatabaseKey, score};
pub use table::{HomeChange, HomeTable};
