//! The errors of the lab. Their messages are written to standard error.

use std::path::PathBuf;

use snafu::Snafu;

use crate::adapter::AdapterError;
use crate::scenario_file::ScenarioFileError;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[allow(missing_docs, reason = "the message says what each field is")]
pub enum LabError {
    #[snafu(transparent)]
    ScenarioFile { source: ScenarioFileError },
    #[snafu(display("unknown policy {name:?}; known policies: {} and adapter:PROGRAM", known.join(", ")))]
    UnknownPolicy { name: String, known: &'static [&'static str] },
    #[snafu(display("no trouble {name:?}: {}", known.join(", ")))]
    UnknownFault { name: String, known: Vec<String> },
    #[snafu(display("the scenario has no {path}"))]
    UnknownKey { path: String },
    #[snafu(display("{path} is no number"))]
    NotANumber { path: String },
    #[snafu(display("--over wants KEY=VALUE,VALUE,.."))]
    SweepSyntax,
    #[snafu(display("{value:?}: {source}"))]
    SweepValue { value: String, source: std::num::ParseFloatError },
    #[snafu(display("the file names no seed; play it with run --seed"))]
    NoSeed,
    #[snafu(display("lab/scenarios cannot be read, so there is nothing to list: {source}"))]
    NoScenarioDirectory { source: std::io::Error },
    #[snafu(display("an adapter's relays have no folder, so none can be killed and come back over it"))]
    AdapterCannotRestart,
    #[snafu(transparent)]
    AdapterStart { source: AdapterError },
    #[snafu(display("{}: {source}", program.display()))]
    AdapterFailed { program: PathBuf, source: AdapterError },
    #[snafu(transparent)]
    ProgressTemplate { source: indicatif::style::TemplateError },
    #[snafu(transparent)]
    ThreadPool { source: rayon::ThreadPoolBuildError },
    #[snafu(transparent)]
    Io { source: std::io::Error },
    #[snafu(transparent)]
    Csv { source: csv::Error },
    #[snafu(transparent)]
    Json { source: serde_json::Error },
    #[snafu(transparent)]
    TomlValue { source: toml::ser::Error },
    #[snafu(transparent)]
    Format { source: std::fmt::Error },
    /// An error of the plotting library, as text because its type depends on the back end.
    #[snafu(display("{message}"))]
    Plot { message: String },
}

impl<E: std::error::Error + Send + Sync> From<plotters::drawing::DrawingAreaErrorKind<E>> for LabError {
    fn from(error: plotters::drawing::DrawingAreaErrorKind<E>) -> LabError {
        LabError::Plot { message: error.to_string() }
    }
}

/// The result of an operation of the lab.
pub type LabResult<T = ()> = Result<T, LabError>;
