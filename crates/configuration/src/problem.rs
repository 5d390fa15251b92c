//! Problems of a configuration, with the messages for operators.

use snafu::Snafu;

/// Maximum number of characters of the operator's text that a finding quotes.
const MAX_EXCERPT_CHARS: usize = 120;

/// A problem of a configuration.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Problem {
    /// The configuration is too large.
    #[snafu(display("{bytes} bytes are too many; {max} at most"))]
    TooManyBytes {
        /// The number of bytes.
        bytes: usize,
        /// The maximum.
        max: usize,
    },
    /// The text is not UTF-8.
    #[snafu(display("not UTF-8 from byte {valid_up_to} on"))]
    NotUtf8 {
        /// The number of bytes before the first invalid one.
        valid_up_to: usize,
    },
    /// The text is not valid JSON: malformed, truncated, or followed by other text.
    #[snafu(display("cannot be read: {reason}"))]
    InvalidJson {
        /// The message of the JSON parser.
        reason: String,
    },
    /// A value has the wrong type for its field.
    #[snafu(display("does not fit: {reason}"))]
    WrongType {
        /// The message of the JSON parser.
        reason: String,
    },
    /// A required field is missing.
    #[snafu(display("missing"))]
    Missing,
    /// A required string is empty.
    #[snafu(display("empty"))]
    Empty,
    /// A number that must be greater than 0 is 0.
    #[snafu(display("must be above 0"))]
    Zero,
    /// A number is negative.
    #[snafu(display("{value} is below 0"))]
    Negative {
        /// The number.
        value: f64,
    },
    /// A number that must be an integer has a fraction.
    #[snafu(display("{value} is not a whole number"))]
    NotInteger {
        /// The number.
        value: f64,
    },
    /// A number is too large.
    #[snafu(display("{value} is too great; {max} at most"))]
    NumberTooLarge {
        /// The number.
        value: f64,
        /// The maximum.
        max: f64,
    },
    /// The generation is not greater than the one in force.
    #[snafu(display("{generation} is not above {current}, which is in force"))]
    GenerationNotIncreased {
        /// The generation that was sent.
        generation: u64,
        /// The generation in force.
        current: u64,
    },
    /// The route type does not exist.
    #[snafu(display("{value:?} is not one of streaming, idempotent, non_idempotent"))]
    UnknownRouteType {
        /// The type that was sent.
        value: String,
    },
    /// A path prefix does not begin and end with a slash.
    #[snafu(display("{prefix:?} does not begin and end with a slash"))]
    PrefixWithoutSlash {
        /// The prefix.
        prefix: String,
    },
    /// A route names no service.
    #[snafu(display("neither backend nor weightedBackends is given"))]
    NoService,
    /// A route names a service that is not defined.
    #[snafu(display("no service has the name {name:?}"))]
    UnknownService {
        /// The name.
        name: String,
    },
    /// None of the weights of a route's services is greater than 0.
    #[snafu(display("the weights add up to 0"))]
    NoWeight,
    /// Two services have the same name.
    #[snafu(display("backends[{first}] has the same name"))]
    DuplicateService {
        /// The index of the first of them.
        first: usize,
    },
    /// Two routes have the same host and prefix.
    #[snafu(display("routes[{first}] has the same host and prefix"))]
    DuplicateRoute {
        /// The index of the first of them.
        first: usize,
    },
}

/// Truncates a text of the operator's for quoting it in a finding.
pub(crate) fn excerpt(text: &str) -> String {
    match text.char_indices().nth(MAX_EXCERPT_CHARS) {
        None => text.to_owned(),
        Some((end, _)) => format!("{}…", &text[..end]),
    }
}
