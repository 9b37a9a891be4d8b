//! Decision logic of the statement-serving path: which database serves a statement, how fresh its
//! result has to be, and when a group needs a new primary.
//!
//! The logic is deterministic. Time is passed as an argument, and no function performs I/O.

pub mod admission;
pub mod attempt_limit;
pub mod cold_start;
pub mod coordinator;
pub mod database_life;
pub mod demand;
pub mod departure;
pub mod directory;
pub mod evacuation;
pub mod failover;
pub mod feed;
pub mod fencing;
pub mod fleet;
pub mod freshness;
pub mod handover;
pub mod homes;
pub mod interest;
pub mod isolation;
pub mod leadership;
pub mod lease_grantor;
pub mod own_lateness;
pub mod peer_contact;
pub mod placement;
pub mod primary_lease;
pub mod probe_budget;
pub mod question_budget;
pub mod quota;
pub mod reliability;
pub mod response_time;
pub mod selection;
pub mod session;
pub mod store_news;
pub mod tenancy;
pub mod token_holders;
pub mod topology;
pub mod turns;
