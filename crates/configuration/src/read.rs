//! Reads a configuration from JSON.

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::error::Category;
use serde_json::value::RawValue;

use crate::check::check;
use crate::findings::{Findings, Location, Position, Problem, excerpt};
use crate::message::{BackendMessage, ConfigurationMessage, LimitsMessage, Object, RouteMessage};
use crate::model::Configuration;

/// The largest configuration, in bytes. It fits into one message between processes.
pub const MAX_CONFIGURATION_BYTES: usize = 16 << 20;

/// Ends a path where the text broke off before the name of a field.
const UNKNOWN_SEGMENT: char = '?';

impl Configuration {
    /// Reads and checks the body of `PUT /config`. Fields that are not known are passed over.
    ///
    /// # Errors
    ///
    /// All that is wrong, each with its place. Values of the wrong type are reported first and alone, one for
    /// each route and service; what the values say is checked once they all fit.
    pub fn read(bytes: &[u8]) -> Result<Configuration, Findings> {
        let text = text_of(bytes)?;
        let message = parse(text)?;
        check(message)
    }
}

/// The bytes as text, if they are not too many.
fn text_of(bytes: &[u8]) -> Result<&str, Findings> {
    let most = MAX_CONFIGURATION_BYTES;
    if bytes.len() > most {
        return Err(Findings::one(Location::text(), Problem::TooLarge { bytes: bytes.len(), most }));
    }
    std::str::from_utf8(bytes).map_err(|error| {
        Findings::one(Location::text(), Problem::NotUtf8 { valid_up_to: error.valid_up_to() })
    })
}

/// The text as messages; nothing but white space may follow.
fn parse(text: &str) -> Result<ConfigurationMessage, Findings> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let message = match serde_path_to_error::deserialize(&mut deserializer) {
        Ok(Object(message)) => message,
        Err(error) => return Err(explain(text, error)),
    };
    match deserializer.end() {
        Ok(()) => Ok(message),
        Err(error) => Err(Findings::one(place_in_text(String::new(), &error), unreadable(&error))),
    }
}

/// What is wrong with a text that could not be read.
fn explain(text: &str, error: serde_path_to_error::Error<serde_json::Error>) -> Findings {
    let path = path_of(&error);
    let error = error.into_inner();
    if error.classify() != Category::Data {
        return Findings::one(place_in_text(path, &error), unreadable(&error));
    }
    match wrong_types(text) {
        Err(syntax) => Findings::one(place_in_text(String::new(), &syntax), unreadable(&syntax)),
        Ok(findings) if findings.is_empty() => Findings::one(place_in_text(path, &error), wrong_type(&error)),
        Ok(findings) => findings,
    }
}

/// The parts of a configuration, each still text.
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

/// Tries each part on its own, so that one wrong value does not hide those of other parts. Empty if the parts
/// themselves cannot be told apart.
///
/// # Errors
///
/// If the text is not JSON or not whole.
fn wrong_types(text: &str) -> Result<Findings, serde_json::Error> {
    let mut findings = Findings::default();
    let outline: Outline = match serde_json::from_str(text) {
        Ok(outline) => outline,
        Err(error) if error.classify() == Category::Data => return Ok(findings),
        Err(error) => return Err(error),
    };
    if let Some(generation) = outline.generation {
        try_part::<Option<u64>>("generation", generation, &mut findings);
    }
    for (index, route) in outline.routes.iter().enumerate() {
        try_part::<Object<RouteMessage>>(&format!("routes[{index}]"), route, &mut findings);
    }
    for (index, backend) in outline.backends.iter().enumerate() {
        try_part::<Object<BackendMessage>>(&format!("backends[{index}]"), backend, &mut findings);
    }
    if let Some(limits) = outline.limits {
        try_part::<Option<Object<LimitsMessage>>>("limits", limits, &mut findings);
    }
    Ok(findings)
}

/// Reads one part and reports the first value in it that does not fit.
fn try_part<T: DeserializeOwned>(parent: &str, part: &RawValue, findings: &mut Findings) {
    let mut deserializer = serde_json::Deserializer::from_str(part.get());
    let Err(error) = serde_path_to_error::deserialize::<_, T>(&mut deserializer) else { return };
    let path = match path_of(&error) {
        path if path.is_empty() => parent.to_owned(),
        path => format!("{parent}.{path}"),
    };
    findings.add(Location::field(path), wrong_type(error.inner()));
}

/// The path of an error, as far as it is known; empty for the whole text.
fn path_of(error: &serde_path_to_error::Error<serde_json::Error>) -> String {
    if error.path().iter().len() == 0 {
        return String::new();
    }
    let path = error.path().to_string();
    let known = path.trim_end_matches(UNKNOWN_SEGMENT).trim_end_matches('.');
    excerpt(known)
}

/// A path together with the error's line and column.
fn place_in_text(path: String, error: &serde_json::Error) -> Location {
    let position = Position { line: error.line(), column: error.column() };
    Location { path, position: Some(position) }
}

fn unreadable(error: &serde_json::Error) -> Problem {
    Problem::InvalidJson { reason: reason_of(error) }
}

fn wrong_type(error: &serde_json::Error) -> Problem {
    Problem::WrongType { reason: reason_of(error) }
}

/// What the reader says, without the line and column at its end, which the place tells.
fn reason_of(error: &serde_json::Error) -> String {
    let reason = error.to_string();
    let end = reason.rfind(" at line ").unwrap_or(reason.len());
    excerpt(&reason[..end])
}
