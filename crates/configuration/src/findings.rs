//! What is wrong with a configuration, and where.

use std::fmt;

use serde::ser::SerializeStruct;
use serde::{Serialize, Serializer};
use snafu::Snafu;

/// The most findings that are listed; those beyond are only counted.
pub const MAX_FINDINGS: usize = 100;

/// The most characters of the operator's own text in a finding.
const MAX_EXCERPT_CHARS: usize = 120;

/// A line and a column of the text, both from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Position {
    /// The line.
    pub line: usize,
    /// The column, in bytes.
    pub column: usize,
}

/// Where something is wrong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Location {
    /// The JSON path, as in `routes[3].timeoutMs`; empty for the whole text.
    pub path: String,
    /// Where in the text, if the text itself cannot be read.
    #[serde(flatten)]
    pub position: Option<Position>,
}

impl Location {
    /// The field at a path.
    pub(crate) fn field(path: impl Into<String>) -> Self {
        Location { path: path.into(), position: None }
    }

    /// The whole text.
    pub(crate) fn text() -> Self {
        Location::field("")
    }
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.path.as_str(), self.position) {
            ("", None) => f.write_str("the configuration"),
            ("", Some(at)) => write!(f, "line {}, column {}", at.line, at.column),
            (path, None) => f.write_str(path),
            (path, Some(at)) => write!(f, "{path} (line {}, column {})", at.line, at.column),
        }
    }
}

/// What is wrong.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Problem {
    /// More bytes than a configuration may have.
    #[snafu(display("{bytes} bytes are too many; {most} at most"))]
    TooLarge {
        /// How many there are.
        bytes: usize,
        /// How many there may be.
        most: usize,
    },
    /// The text is not UTF-8.
    #[snafu(display("not UTF-8 from byte {valid_up_to} on"))]
    NotUtf8 {
        /// Bytes before the first that is wrong.
        valid_up_to: usize,
    },
    /// The text is not JSON, or not whole, or something stands behind it.
    #[snafu(display("cannot be read: {reason}"))]
    InvalidJson {
        /// What the reader says.
        reason: String,
    },
    /// A value is of another type than its field.
    #[snafu(display("does not fit: {reason}"))]
    WrongType {
        /// What the reader says.
        reason: String,
    },
    /// A field that has to be there is not.
    #[snafu(display("missing"))]
    Missing,
    /// A field that has to say something is empty.
    #[snafu(display("empty"))]
    Empty,
    /// A number that has to be above 0 is 0.
    #[snafu(display("must be above 0"))]
    Zero,
    /// A number is below 0.
    #[snafu(display("{value} is below 0"))]
    Negative {
        /// The number.
        value: f64,
    },
    /// A number has a fraction where whole ones count.
    #[snafu(display("{value} is not a whole number"))]
    NotInteger {
        /// The number.
        value: f64,
    },
    /// A number is beyond all sense.
    #[snafu(display("{value} is too great; {most} at most"))]
    NumberTooLarge {
        /// The number.
        value: f64,
        /// The greatest allowed.
        most: f64,
    },
    /// The generation does not follow the one in force.
    #[snafu(display("{generation} is not above {current}, which is in force"))]
    GenerationNotIncreased {
        /// The generation sent.
        generation: u64,
        /// The generation in force.
        current: u64,
    },
    /// No such type of route.
    #[snafu(display("{value:?} is not one of streaming, idempotent, non_idempotent"))]
    UnknownRouteType {
        /// What was sent.
        value: String,
    },
    /// A prefix does not begin and end with a slash.
    #[snafu(display("{prefix:?} does not begin and end with a slash"))]
    PrefixWithoutSlash {
        /// The prefix.
        prefix: String,
    },
    /// A route names neither a service nor shares of services.
    #[snafu(display("neither backend nor weightedBackends is given"))]
    NoService,
    /// A route names a service that is not in the list.
    #[snafu(display("no service has the name {name:?}"))]
    UnknownService {
        /// The name.
        name: String,
    },
    /// The shares of a route's services add up to 0.
    #[snafu(display("the weights add up to 0"))]
    NoWeight,
    /// Two services have one name.
    #[snafu(display("backends[{first}] has the same name"))]
    DuplicateService {
        /// The place of the first of them in the list.
        first: usize,
    },
    /// Two routes have one host and prefix.
    #[snafu(display("routes[{first}] has the same host and prefix"))]
    DuplicateRoute {
        /// The place of the first of them in the list.
        first: usize,
    },
}

/// Something wrong, and its place.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Where.
    pub location: Location,
    /// What.
    pub problem: Problem,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.location, self.problem)
    }
}

impl Serialize for Finding {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut finding = serializer.serialize_struct("Finding", 2)?;
        finding.serialize_field("place", &self.location)?;
        finding.serialize_field("problem", &self.problem.to_string())?;
        finding.end()
    }
}

/// All that is wrong with a configuration, in the order in which it was found.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Findings {
    /// The first [`MAX_FINDINGS`].
    findings: Vec<Finding>,
    /// How many more there were.
    omitted: usize,
}

impl Findings {
    /// The findings that are listed, [`MAX_FINDINGS`] at most.
    pub fn listed(&self) -> &[Finding] {
        &self.findings
    }

    /// How many more there were.
    pub fn omitted(&self) -> usize {
        self.omitted
    }

    /// Whether nothing is wrong.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// A single finding.
    pub(crate) fn one(location: Location, problem: Problem) -> Self {
        Findings { findings: vec![Finding { location, problem }], omitted: 0 }
    }

    /// Adds a finding, or counts it if there are many already.
    pub(crate) fn add(&mut self, location: Location, problem: Problem) {
        if self.findings.len() < MAX_FINDINGS {
            self.findings.push(Finding { location, problem });
        } else {
            self.omitted += 1;
        }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.findings.iter().enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            write!(f, "{separator}{finding}")?;
        }
        if self.omitted > 0 {
            write!(f, "; and {} more", self.omitted)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}

/// As much of the operator's own text as a finding repeats.
pub(crate) fn excerpt(text: &str) -> String {
    match text.char_indices().nth(MAX_EXCERPT_CHARS) {
        None => text.to_owned(),
        Some((end, _)) => format!("{}…", &text[..end]),
    }
}
