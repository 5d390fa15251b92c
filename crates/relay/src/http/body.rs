//! Message bodies and their framing.

use std::ops::Range;

use super::{Headers, MAX_HEAD_BYTES, ParseError, Parsed};

/// The maximum length of a message body, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// The maximum length of a chunk size line, in bytes.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 1_024;

/// How the end of a body is determined.
pub(super) enum Framing {
    /// After this number of bytes.
    Length(usize),
    /// By a last chunk without data.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// Returns the framing of the body after these headers; `default` if they do not specify it.
pub(super) fn body_framing(headers: &Headers, default: Framing) -> Result<Framing, ParseError> {
    let mut lengths = headers.values("content-length");
    let first_length = lengths.next();
    let is_encoded = headers.values("transfer-encoding").next().is_some();
    // Rejected to prevent request smuggling: two recipients could delimit such a message differently.
    if is_encoded && first_length.is_some() || lengths.any(|length| Some(length) != first_length) {
        return Err(ParseError::BAD_REQUEST);
    }
    if is_encoded {
        let mut encodings = headers.values("transfer-encoding");
        let is_chunked = encodings.all(|encoding| encoding.trim_ascii().eq_ignore_ascii_case(b"chunked"));
        return if is_chunked { Ok(Framing::Chunked) } else { Err(ParseError::NOT_IMPLEMENTED) };
    }
    let Some(length) = first_length else { return Ok(default) };
    let digits = std::str::from_utf8(length).ok().map(str::trim).filter(|digits| !digits.starts_with('+'));
    digits.and_then(|digits| digits.parse().ok()).map(Framing::Length).ok_or(ParseError::BAD_REQUEST)
}

/// Parses the first chunk in `input`. Returns the range of its data and the start of the next chunk. The last chunk has
/// no data.
///
/// # Errors
///
/// The chunk is longer than `max_bytes`, or its framing is invalid.
pub fn parse_chunk(input: &[u8], max_bytes: usize) -> Parsed<(Range<usize>, usize)> {
    match httparse::parse_chunk_size(input) {
        Ok(httparse::Status::Complete((start, size))) => {
            let size = usize::try_from(size).ok().filter(|size| *size <= max_bytes);
            let end = start + size.ok_or(ParseError::CONTENT_TOO_LARGE)?;
            if input.len() < end + 2 {
                return Ok(None);
            }
            if end > start && &input[end..end + 2] != b"\r\n" {
                return Err(ParseError::BAD_REQUEST);
            }
            Ok(Some((start..end, end + 2)))
        }
        Ok(httparse::Status::Partial) if input.len() <= MAX_CHUNK_SIZE_LINE_BYTES => Ok(None),
        _ => Err(ParseError::BAD_REQUEST),
    }
}

/// Parses the body that begins at `start`. Returns the body and its end in `input`. `is_closed` tells that no more
/// bytes will arrive.
pub(super) fn parse_body(
    input: &[u8], start: usize, framing: &Framing, is_closed: bool,
) -> Parsed<(Vec<u8>, usize)> {
    match framing {
        Framing::Length(length) if *length > MAX_BODY_BYTES => Err(ParseError::CONTENT_TOO_LARGE),
        Framing::Length(length) => {
            let end = start + length;
            Ok((input.len() >= end).then(|| (input[start..end].to_vec(), end)))
        }
        Framing::UntilClose if input.len() - start > MAX_BODY_BYTES => Err(ParseError::CONTENT_TOO_LARGE),
        Framing::UntilClose => Ok(is_closed.then(|| (input[start..].to_vec(), input.len()))),
        Framing::Chunked => parse_chunked_body(input, start),
    }
}

fn parse_chunked_body(input: &[u8], start: usize) -> Parsed<(Vec<u8>, usize)> {
    let (mut body, mut position) = (Vec::new(), start);
    while let Some((data, next)) = parse_chunk(&input[position..], MAX_BODY_BYTES - body.len())? {
        body.extend_from_slice(&input[position..][data.clone()]);
        if data.is_empty() {
            return trailers_end(input, position + data.start).map(|end| end.map(|end| (body, end)));
        }
        position += next;
    }
    // Without this limit, tiny chunks, which consist mostly of framing, could grow the buffer without bound.
    if input.len() - start > 2 * MAX_BODY_BYTES { Err(ParseError::CONTENT_TOO_LARGE) } else { Ok(None) }
}

/// Returns the end of the trailer section after the last chunk.
fn trailers_end(input: &[u8], start: usize) -> Parsed<usize> {
    let mut position = start;
    while let Some(length) = input[position..].windows(2).position(|pair| pair == b"\r\n") {
        position += length + 2;
        if length == 0 {
            return Ok(Some(position));
        }
    }
    if input.len() - start > MAX_HEAD_BYTES { Err(ParseError::HEAD_TOO_LARGE) } else { Ok(None) }
}
