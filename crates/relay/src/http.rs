//! Parses and encodes HTTP/1.1 messages. Heads are parsed by `httparse`; bodies are delimited by length, by chunks or
//! by the end of the connection.
//!
//! This module performs no I/O and does not depend on the purpose of a message. Every parser takes all bytes received
//! so far and returns `Ok(None)` until the message is complete.

mod body;
mod encode;
mod headers;
mod request;
mod response;

use snafu::Snafu;

pub use body::{MAX_BODY_BYTES, parse_chunk};
pub use encode::{encode_message, reason_phrase};
pub use headers::Headers;
pub use request::{Request, expects_continue, parse_request};
pub use response::{
    Response, ResponseHead, final_status, has_final_response_begun, parse_final_head, parse_response,
    parse_response_head,
};

/// The maximum length of a message head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The maximum number of header fields.
const MAX_HEADERS: usize = 64;

/// A message that cannot be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the message is invalid (status {status})"))]
pub struct ParseError {
    /// The HTTP status code of the response to the sender.
    pub status: u16,
}

impl ParseError {
    const BAD_REQUEST: ParseError = ParseError { status: 400 };
    const CONTENT_TOO_LARGE: ParseError = ParseError { status: 413 };
    const HEAD_TOO_LARGE: ParseError = ParseError { status: 431 };
    const NOT_IMPLEMENTED: ParseError = ParseError { status: 501 };
}

/// A parsed item; `None` while more bytes are needed.
pub type Parsed<T> = Result<Option<T>, ParseError>;

fn check_head_length(input: &[u8]) -> Result<(), ParseError> {
    if input.len() > MAX_HEAD_BYTES { Err(ParseError::HEAD_TOO_LARGE) } else { Ok(()) }
}

impl From<httparse::Error> for ParseError {
    fn from(error: httparse::Error) -> ParseError {
        match error {
            httparse::Error::TooManyHeaders => ParseError::HEAD_TOO_LARGE,
            _ => ParseError::BAD_REQUEST,
        }
    }
}
