//! Parses a configuration from JSON.

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::error::Category;
use serde_json::value::RawValue;

use crate::check::check;
use crate::findings::Findings;
use crate::json::Object;
use crate::location::{Location, Position};
use crate::message::{BackendMessage, ConfigurationMessage, LimitsMessage, RouteMessage};
use crate::model::Configuration;
use crate::problem::{Problem, excerpt};

/// Maximum size of a configuration, in bytes. It must fit into one envelope between processes.
pub const MAX_CONFIGURATION_BYTES: usize = 16 << 20;

/// The last segment of an error's path if the text ends before the name of a field.
const UNKNOWN_SEGMENT: char = '?';

impl Configuration {
    /// Parses and validates the body of `PUT /config`. Unknown fields are ignored.
    ///
    /// # Errors
    ///
    /// All findings with their locations. Values of the wrong type are reported first and without other findings, one
    /// per route and service; values are validated only when all types are correct.
    pub fn read(bytes: &[u8]) -> Result<Configuration, Findings> {
        let text = decode_text(bytes)?;
        let message = parse(text)?;
        check(message)
    }
}

fn decode_text(bytes: &[u8]) -> Result<&str, Findings> {
    let max = MAX_CONFIGURATION_BYTES;
    let failed = |problem| Findings::single(Location::whole_text(), problem);
    if bytes.len() > max {
        return Err(failed(Problem::TooManyBytes { bytes: bytes.len(), max }));
    }
    std::str::from_utf8(bytes).map_err(|error| failed(Problem::NotUtf8 { valid_up_to: error.valid_up_to() }))
}

/// Parses the text; only white space may follow the JSON value.
fn parse(text: &str) -> Result<ConfigurationMessage, Findings> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let message = match serde_path_to_error::deserialize(&mut deserializer) {
        Ok(Object(message)) => message,
        Err(error) => return Err(findings_of_error(text, error)),
    };
    match deserializer.end() {
        Ok(()) => Ok(message),
        Err(error) => Err(Findings::single(location_of(String::new(), &error), invalid_json(&error))),
    }
}

/// Converts a parser error into findings.
fn findings_of_error(text: &str, error: serde_path_to_error::Error<serde_json::Error>) -> Findings {
    let path = path_of(&error);
    let error = error.into_inner();
    if error.classify() != Category::Data {
        return Findings::single(location_of(path, &error), invalid_json(&error));
    }
    match find_wrong_types(text) {
        Err(syntax) => Findings::single(location_of(String::new(), &syntax), invalid_json(&syntax)),
        Ok(findings) if findings.is_empty() => {
            Findings::single(location_of(path, &error), wrong_type(&error))
        }
        Ok(findings) => findings,
    }
}

/// The sections of a configuration, still unparsed.
#[derive(Deserialize)]
struct Outline<'a> {
    #[serde(borrow, default)]
    generation: Option<&'a RawValue>,
    #[serde(borrow, default)]
    routes: Vec<&'a RawValue>,
    #[serde(borrow, default)]
    backends: Vec<&'a RawValue>,
    #[serde(borrow, default)]
    limits: Option<&'a RawValue>,
}

/// Parses each section separately, so that one wrong type does not hide those of other sections. Returns no findings
/// if the sections cannot be separated.
///
/// # Errors
///
/// If the text is not valid JSON.
fn find_wrong_types(text: &str) -> Result<Findings, serde_json::Error> {
    let mut findings = Findings::default();
    let outline: Outline = match serde_json::from_str(text) {
        Ok(outline) => outline,
        Err(error) if error.classify() == Category::Data => return Ok(findings),
        Err(error) => return Err(error),
    };
    if let Some(generation) = outline.generation {
        check_types::<Option<u64>>("generation", generation, &mut findings);
    }
    for (index, route) in outline.routes.iter().enumerate() {
        check_types::<Object<RouteMessage>>(&format!("routes[{index}]"), route, &mut findings);
    }
    for (index, backend) in outline.backends.iter().enumerate() {
        check_types::<Object<BackendMessage>>(&format!("backends[{index}]"), backend, &mut findings);
    }
    if let Some(limits) = outline.limits {
        check_types::<Option<Object<LimitsMessage>>>("limits", limits, &mut findings);
    }
    Ok(findings)
}

/// Parses one section and adds a finding for the first value of the wrong type.
fn check_types<T: DeserializeOwned>(parent: &str, section: &RawValue, findings: &mut Findings) {
    let mut deserializer = serde_json::Deserializer::from_str(section.get());
    let Err(error) = serde_path_to_error::deserialize::<_, T>(&mut deserializer) else { return };
    let path = match path_of(&error) {
        path if path.is_empty() => parent.to_owned(),
        path => format!("{parent}.{path}"),
    };
    findings.add(Location::field(path), wrong_type(error.inner()));
}

/// The JSON path of an error as far as it is known; empty if the error concerns the whole text.
fn path_of(error: &serde_path_to_error::Error<serde_json::Error>) -> String {
    if error.path().iter().len() == 0 {
        return String::new();
    }
    let path = error.path().to_string();
    let known = path.trim_end_matches(UNKNOWN_SEGMENT).trim_end_matches('.');
    excerpt(known)
}

/// The location of an error: a path with line and column.
fn location_of(path: String, error: &serde_json::Error) -> Location {
    let position = Position { line: error.line(), column: error.column() };
    Location { path, position: Some(position) }
}

fn invalid_json(error: &serde_json::Error) -> Problem {
    Problem::InvalidJson { reason: reason_of(error) }
}

fn wrong_type(error: &serde_json::Error) -> Problem {
    Problem::WrongType { reason: reason_of(error) }
}

/// The parser's message without line and column, which the location contains.
fn reason_of(error: &serde_json::Error) -> String {
    let reason = error.to_string();
    let end = reason.rfind(" at line ").unwrap_or(reason.len());
    excerpt(&reason[..end])
}
