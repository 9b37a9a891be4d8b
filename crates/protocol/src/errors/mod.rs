//! Error messages: those that hookpoint sends to clients, and those that it receives
//! from databases.

mod backend;
mod report;

pub use backend::BackendError;
pub use report::{ErrorReport, Severity};
