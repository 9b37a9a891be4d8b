//! Error messages: those that hookpoint makes for callers, and those that it reads from
//! databases.

mod backend;
mod report;

pub use backend::BackendError;
pub use report::{ErrorReport, Severity};
