//! The lab: runs simulated scenarios with the core or another policy, compares and sweeps them, and writes reports.
//!
//! All results are those of a model. The lab reads and writes only files that it is given.

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
