//! Allocation of the connections of one database to requests.
//!
//! [`SlotTable`] receives [`SlotEvent`]s from the pool of one database and returns
//! [`SlotAction`]s. It never has more connections (opening, open, and closing ones whose
//! end is not confirmed) than the database has slots. Waiting requests are served by
//! weighted deficit round robin over tenants, then round robin over the zones of a
//! tenant, then in the order of arrival.

mod connections;
mod event;
mod policy;
mod queue;
mod table;
#[cfg(test)]
mod tests;

pub use connections::SlotCounts;
pub use event::{
    ConnectionNumber, Lane, OpenFailure, RequestNumber, SlotAction, SlotEvent, WaitingRequest,
};
pub use policy::SlotPolicy;
pub use queue::FairQueue;
pub use table::SlotTable;
