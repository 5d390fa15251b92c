//! Locations in the text of a configuration.

use std::fmt;

use serde::Serialize;

/// A line and a column of the text, both counted from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Position {
    /// The line.
    pub line: usize,
    /// The column, in bytes.
    pub column: usize,
}

/// The location of a problem.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Location {
    /// The JSON path, as in `routes[3].timeoutMs`; empty for the whole text.
    pub path: String,
    /// The position in the text, if the text itself cannot be parsed.
    #[serde(flatten)]
    pub position: Option<Position>,
}

impl Location {
    /// The location of the field with this path.
    pub(crate) fn field(path: impl Into<String>) -> Self {
        Location { path: path.into(), position: None }
    }

    /// The location of a problem that concerns the whole text.
    pub(crate) fn whole_text() -> Self {
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
