//! Reading, validation and writing of scenario files in TOML.
//!
//! Errors in a file are never corrected, and missing keys have no defaults other than those of the scenario itself.

use std::fmt;
use std::ops::Range;
use std::path::{Path, PathBuf};

use juniperwing_model::{Scenario, ScenarioError};
use snafu::{ResultExt, Snafu, ensure};
use toml_edit::{Document, Item};

/// The maximum size of a file, far above that of any scenario.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// Why a scenario file cannot be used.
#[derive(Debug, Snafu)]
#[allow(missing_docs, reason = "the message says what each field is")]
pub enum ScenarioFileError {
    #[snafu(display("{path}: {source}"))]
    Read { path: String, source: std::io::Error },
    #[snafu(display("{path}: is no file"))]
    NotAFile { path: String },
    #[snafu(display("{path}: is larger than {MAX_FILE_BYTES} bytes"))]
    TooLarge { path: String },
    #[snafu(display("{path}: is not UTF-8: {source}"))]
    NotUtf8 { path: String, source: std::string::FromUtf8Error },
    /// The text is not TOML or not a scenario.
    #[snafu(display("{error}"))]
    Syntax { error: ErrorAtLine },
    /// The scenario is not valid.
    #[snafu(display("{}", join_lines(errors)))]
    Invalid { errors: Vec<ErrorAtLine> },
    #[snafu(display("{source}"))]
    Write { source: toml::ser::Error },
}

/// An error with its position.
#[derive(Debug)]
pub struct ErrorAtLine {
    file: String,
    /// The line number, from 1.
    line: usize,
    message: String,
}

impl fmt::Display for ErrorAtLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.message)
    }
}

fn join_lines(errors: &[ErrorAtLine]) -> String {
    errors.iter().map(ErrorAtLine::to_string).collect::<Vec<_>>().join("\n")
}

/// Reads a scenario from a file or, if there is no file of that name, from `lab/scenarios`.
///
/// # Errors
///
/// If the file cannot be read, is no scenario, or is not valid.
pub fn read(name: &Path) -> Result<Scenario, ScenarioFileError> {
    let file = find(name);
    let path = file.display().to_string();
    let metadata = std::fs::metadata(&file).context(ReadSnafu { path: &path })?;
    ensure!(metadata.is_file(), NotAFileSnafu { path });
    ensure!(metadata.len() <= MAX_FILE_BYTES, TooLargeSnafu { path });
    let bytes = std::fs::read(&file).context(ReadSnafu { path: &path })?;
    let text = String::from_utf8(bytes).context(NotUtf8Snafu { path: &path })?;
    parse(&text, &path)
}

fn find(name: &Path) -> PathBuf {
    let bundled = Path::new("lab/scenarios").join(name).with_extension("toml");
    if !name.exists() && bundled.exists() { bundled } else { name.to_owned() }
}

/// Reads a scenario from its text; `file` is its name in errors.
///
/// # Errors
///
/// If the text is no scenario, or not a valid one.
pub fn parse(text: &str, file: &str) -> Result<Scenario, ScenarioFileError> {
    let scenario: Scenario = match toml::from_str(text) {
        Ok(scenario) => scenario,
        Err(error) => {
            let line = error.span().map_or(1, |span| line_of(text, span.start));
            let message = error.message().lines().collect::<Vec<_>>().join(" ");
            return SyntaxSnafu { error: ErrorAtLine { file: file.to_owned(), line, message } }.fail();
        }
    };
    let errors = scenario.check();
    ensure!(errors.is_empty(), InvalidSnafu { errors: locate(&errors, text, file) });
    Ok(scenario)
}

/// Adds line numbers to errors.
fn locate(errors: &[ScenarioError], text: &str, file: &str) -> Vec<ErrorAtLine> {
    let document = Document::parse(text).ok();
    let locate = |error: &ScenarioError| {
        let path: Vec<&str> = error.path.split('.').collect();
        let start = document.as_ref().and_then(|document| start_of(document.as_item(), &path));
        let line = start.map_or(1, |start| line_of(text, start));
        let message = format!("{}: {}", error.path, error.reason);
        ErrorAtLine { file: file.to_owned(), line, message }
    };
    errors.iter().map(locate).collect()
}

/// The line number of a byte offset, from 1.
fn line_of(text: &str, offset: usize) -> usize {
    text.as_bytes().iter().take(offset).filter(|byte| **byte == b'\n').count() + 1
}

/// The start of the item at a path of keys and indices or, if the file does not contain it, of its nearest ancestor.
fn start_of(item: &Item, path: &[&str]) -> Option<usize> {
    let start = |span: Option<Range<usize>>| span.map(|span| span.start);
    let Some((key, below)) = path.split_first() else { return start(item.span()) };
    let inner = match (item, key.parse::<usize>()) {
        (Item::ArrayOfTables(tables), Ok(index)) => tables.get(index).and_then(|table| {
            // An element of an array of tables is not an `Item`.
            let inner = below.split_first().and_then(|(key, below)| start_of(table.get(key)?, below));
            inner.or(start(table.span()))
        }),
        (Item::Value(value), Ok(index)) => {
            start(value.as_array().and_then(|array| array.get(index)).and_then(toml_edit::Value::span))
        }
        _ => item.get(key).and_then(|inner| start_of(inner, below)),
    };
    inner.or(start(item.span()))
}

/// Converts a scenario to the text of a scenario file.
///
/// # Errors
///
/// If the scenario has no TOML form.
pub fn write(scenario: &Scenario) -> Result<String, ScenarioFileError> {
    toml::to_string_pretty(scenario).context(WriteSnafu)
}
