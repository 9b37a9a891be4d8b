//! Experiments described in a TOML file: variants, sizes and repeats. The runs are executed
//! one after the other and reported as Markdown with plots.

mod description;
mod plot;
mod report;
mod run;

pub use description::{Description, DescriptionError, Kind, Variant, parse};
pub use report::{ReportError, write};
pub use run::{ExperimentError, Measurement, Outcome, Results, run};
