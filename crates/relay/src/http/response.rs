//! Responses from endpoints and the platform, which interim (1xx) responses may precede.

use super::body::{Framing, body_framing, parse_body};
use super::{Headers, MAX_HEADERS, Parsed, check_head_length};

/// A complete final response.
#[derive(Debug)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The header fields.
    pub headers: Headers,
    /// The body without its framing.
    pub body: Vec<u8>,
    /// Whether the connection stays open after the response.
    pub is_keep_alive: bool,
}

impl Response {
    /// Returns the value of a header if it is present and is UTF-8.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)
    }
}

/// The head of a response, without its body.
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The offset of the body in the input, in bytes.
    pub body_start: usize,
    /// The header fields.
    pub headers: Headers,
    is_keep_alive: bool,
}

fn is_interim(status: u16) -> bool {
    (100..200).contains(&status)
}

/// Parses the head of the first response in `input`, which may be an interim one.
///
/// # Errors
///
/// The head is invalid or too long.
pub fn parse_response_head(input: &[u8]) -> Parsed<ResponseHead> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let body_start = match head.parse(input)? {
        httparse::Status::Partial => return check_head_length(input).map(|()| None),
        httparse::Status::Complete(body_start) => body_start,
    };
    let headers = Headers::from_parsed(head.headers);
    let is_keep_alive = headers.is_keep_alive(head.version);
    Ok(Some(ResponseHead { status: head.code.unwrap_or(0), body_start, headers, is_keep_alive }))
}

/// Returns the bytes of the final response received so far, without any interim responses before it.
fn final_response_bytes(mut input: &[u8]) -> &[u8] {
    while let Ok(Some(head)) = parse_response_head(input)
        && is_interim(head.status)
    {
        input = &input[head.body_start..];
    }
    input
}

/// Whether any byte of the final response has been received.
pub fn has_final_response_begun(input: &[u8]) -> bool {
    !final_response_bytes(input).is_empty()
}

/// Returns the status code in the status line of the final response, even if the rest is missing.
pub fn final_status(input: &[u8]) -> Option<u16> {
    let input = final_response_bytes(input);
    let line = input.split(|byte| *byte == b'\n').next().filter(|line| line.len() < input.len())?;
    let line = [line, b"\n"].concat();
    let mut headers = [httparse::EMPTY_HEADER; 1];
    let mut head = httparse::Response::new(&mut headers);
    // The rest may be missing or invalid: only the status line matters.
    let _ = head.parse(&line);
    head.code
}

/// Parses the head of the final response in `input`, skipping interim responses.
///
/// # Errors
///
/// A head is invalid, or the heads together are too long.
pub fn parse_final_head(input: &[u8]) -> Parsed<ResponseHead> {
    let mut position = 0;
    loop {
        // The number of interim responses is unlimited, so their total length is checked.
        check_head_length(&input[..position])?;
        let Some(head) = parse_response_head(&input[position..])? else { return Ok(None) };
        position += head.body_start;
        if !is_interim(head.status) {
            return Ok(Some(ResponseHead { body_start: position, ..head }));
        }
    }
}

/// Parses the first final response in `input`. Returns it with its length in bytes once it is complete. `is_closed`
/// tells that no more bytes will arrive.
///
/// # Errors
///
/// The head or the body is invalid or too long.
pub fn parse_response(input: &[u8], is_closed: bool) -> Parsed<(Response, usize)> {
    let Some(head) = parse_final_head(input)? else { return Ok(None) };
    let ResponseHead { status, body_start, headers, is_keep_alive } = head;
    let has_no_body = matches!(status, 204 | 304);
    let framing = if has_no_body { Framing::Length(0) } else { body_framing(&headers, Framing::UntilClose)? };
    let Some((body, end)) = parse_body(input, body_start, &framing, is_closed)? else { return Ok(None) };
    let is_keep_alive = is_keep_alive && !matches!(framing, Framing::UntilClose);
    Ok(Some((Response { status, headers, body, is_keep_alive }, end)))
}
