//! The home node of each database: the node that holds the connections to it.
//!
//! The home is chosen by rendezvous hashing over the members that accept new work: those
//! of the database's zone, else of its region, else of the whole fleet. Each node
//! computes homes from its own view of the membership. While views differ, two nodes may
//! both act as home of a database; this is safe because the database enforces its own
//! connection limit. See `docs/design/home-nodes-and-forwarding.md`.

mod candidates;
mod score;
mod table;

pub use score::{DatabaseKey, score};
pub use table::{HomeChange, HomeTable};
