//! Requests from clients.

use super::body::{Framing, body_framing, parse_body};
use super::{Headers, MAX_HEADERS, Parsed, check_head_length};

/// A complete request.
#[derive(Debug)]
pub struct Request {
    /// The method as received.
    pub method: String,
    /// The target before the question mark.
    pub path: String,
    /// The target after the question mark; empty if there is none.
    pub query: String,
    headers: Headers,
    /// The body without its framing.
    pub body: Vec<u8>,
    /// Whether the connection stays open after the response.
    pub is_keep_alive: bool,
}

impl Request {
    /// Returns the value of a header if it is present and is UTF-8.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)
    }

    /// Whether a header is present but not UTF-8, so that [`Request::header`] returns `None`.
    pub fn is_header_not_utf8(&self, name: &str) -> bool {
        self.headers.raw(name).is_some_and(|value| std::str::from_utf8(value).is_err())
    }
}

/// Parses the first request in `input`. Returns it with its length in bytes once it is complete.
///
/// # Errors
///
/// The head or the body is invalid or too long.
pub fn parse_request(input: &[u8]) -> Parsed<(Request, usize)> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let body_start = match head.parse(input)? {
        httparse::Status::Partial => return check_head_length(input).map(|()| None),
        httparse::Status::Complete(body_start) => body_start,
    };
    check_head_length(&input[..body_start])?;
    let headers = Headers::from_parsed(head.headers);
    let framing = body_framing(&headers, Framing::Length(0))?;
    let Some((body, end)) = parse_body(input, body_start, &framing, false)? else { return Ok(None) };
    let target = head.path.unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let request = Request {
        method: head.method.unwrap_or_default().to_owned(),
        path: path.to_owned(),
        query: query.to_owned(),
        is_keep_alive: headers.is_keep_alive(head.version),
        headers,
        body,
    };
    Ok(Some((request, end)))
}

/// Whether `input` contains a complete request head with `Expect: 100-continue`.
pub fn expects_continue(input: &[u8]) -> bool {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    matches!(head.parse(input), Ok(httparse::Status::Complete(_)))
        && Headers::from_parsed(head.headers).has_value("expect", "100-continue")
}
