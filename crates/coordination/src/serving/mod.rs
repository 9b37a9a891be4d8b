//! Decision logic of the statement-serving path: which database serves a statement, how fresh its
//! result has to be, and when a group needs a new primary.
//!
//! The logic is deterministic. Time is passed as an argument, and no function performs I/O.

pub mod admission;
pub mod answer_order;
pub mod attempt_limit;
pub mod cold_start;
pub mod coordinator;
pub mod database_incarnation;
pub mod demand;
pub mod departure;
pub mod directory;
pub mod evacuation;
pub mod failover;
pub mod feed;
pub mod fencing;
pub mod fleet;
pub mod freshness;
pub mod group_use;
pub mod handover;
pub mod homes;
pub mod isolation;
pub mod leadership;
pub mod lease_grantor;
pub mod local_stalls;
pub mod own_writes;
pub mod peer_contact;
pub mod placement;
pub mod primary_lease;
pub mod probe_budget;
pub mod queue_order;
pub mod quota;
pub mod reliability;
pub mod remote_query_budget;
pub mod response_time;
pub mod selection;
pub mod session;
pub mod store_freshness;
pub mod tenancy;
pub mod token_holders;
pub mod topology;
pub mod withheld_commits;
