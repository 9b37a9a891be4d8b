//! The HTTP endpoint for operators: `/metrics`, `/health`, `/explain` and `/fleet`.

mod decisions;
mod metrics;
mod server;
mod status;

pub use decisions::DecisionCounts;
pub use metrics::SharedCollector;
pub use server::{AdminError, AdminHandle, AdminState, start_admin};
pub use status::{FleetSource, FleetStatus, Health, NodeStatus, Readiness};
