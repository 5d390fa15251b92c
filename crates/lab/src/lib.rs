//! The laboratory: runs scenarios with the core or another policy, compares and sweeps them, and writes reports.
//!
//! All its figures are of models. It reads and writes no files but those that it is given.

pub mod adapter;
pub mod baselines;
pub mod cli;
mod commands;
pub mod difference;
pub mod error;
pub mod hunt;
pub mod plots;
pub mod report;
pub mod runner;
pub mod scenario_file;

pub use commands::execute;
pub use error::{LabError, LabResult};
