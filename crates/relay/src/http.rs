//! Reads and writes HTTP/1.1 messages: heads by `httparse`, bodies by length, in chunks or until the end. It
//! owns nothing and must never touch a socket or know what a message is for.

use std::fmt::Write;

/// The longest head and the most header lines that are read.
const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_HEADERS: usize = 64;
/// The longest body of a notification.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// The longest line that gives a chunk's size.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 1_024;

/// Why a message cannot be read, as the status that says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseError(pub u16);

type Parsed<T> = Result<Option<T>, ParseError>;

#[derive(Debug, Default)]
pub struct Headers(Vec<(String, Vec<u8>)>);

impl Headers {
    fn from_parsed(parsed: &[httparse::Header<'_>]) -> Headers {
        Headers(parsed.iter().map(|h| (h.name.to_ascii_lowercase(), h.value.to_vec())).collect())
    }

    /// A header's value, be it text or not.
    fn raw(&self, name: &str) -> Option<&[u8]> {
        self.0.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| &**value)
    }

    pub fn get(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.raw(name)?).ok().map(str::trim_ascii)
    }

    fn has_value(&self, name: &str, word: &str) -> bool {
        let all = self.0.iter().filter(|(known, _)| known == name);
        let mut words = all.flat_map(|(_, value)| value.split(|byte| *byte == b','));
        words.any(|value| value.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
    }

    /// Whether the connection stays open after a message with these headers, of HTTP/1.0 or 1.1.
    fn is_keep_alive(&self, version: Option<u8>) -> bool {
        let wished = version != Some(0) || self.has_value("connection", "keep-alive");
        wished && !self.has_value("connection", "close")
    }
}

#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    headers: Headers,
    pub body: Vec<u8>,
    /// Whether the connection stays open after the answer.
    pub is_keep_alive: bool,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)
    }

    /// Whether a header is there that is no text, which [`Request::header`] does not give.
    pub fn is_header_not_text(&self, name: &str) -> bool {
        self.headers.raw(name).is_some_and(|value| std::str::from_utf8(value).is_err())
    }
}

#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
    pub is_keep_alive: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)
    }
}

/// How a body ends.
enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
}

fn body_framing(headers: &Headers, otherwise: Framing) -> Result<Framing, ParseError> {
    let lengths: Vec<_> = headers.0.iter().filter(|h| h.0 == "content-length").collect();
    let encoded = headers.0.iter().any(|h| h.0 == "transfer-encoding");
    // Guards against messages that two readers would cut apart in two ways.
    if encoded && !lengths.is_empty() || lengths.iter().any(|h| h.1 != lengths[0].1) {
        return Err(ParseError(400));
    }
    if encoded {
        let mut all = headers.0.iter().filter(|h| h.0 == "transfer-encoding");
        let chunked = all.all(|h| h.1.trim_ascii().eq_ignore_ascii_case(b"chunked"));
        return if chunked { Ok(Framing::Chunked) } else { Err(ParseError(501)) };
    }
    let Some((_, value)) = lengths.first() else { return Ok(otherwise) };
    let digits = std::str::from_utf8(value).ok().map(str::trim).filter(|v| !v.starts_with('+'));
    digits.and_then(|digits| digits.parse().ok()).map(Framing::Length).ok_or(ParseError(400))
}

/// The first chunk that `input` holds whole: where its data is, and where the next begins. No data: the last.
pub fn parse_chunk(input: &[u8], most: usize) -> Parsed<(std::ops::Range<usize>, usize)> {
    match httparse::parse_chunk_size(input) {
        Ok(httparse::Status::Complete((start, size))) => {
            let size = usize::try_from(size).ok().filter(|size| *size <= most).ok_or(ParseError(413))?;
            let end = start + size;
            if input.len() < end + 2 {
                return Ok(None);
            }
            if size > 0 && &input[end..end + 2] != b"\r\n" {
                return Err(ParseError(400));
            }
            Ok(Some((start..end, end + 2)))
        }
        Ok(httparse::Status::Partial) if input.len() <= MAX_CHUNK_SIZE_LINE_BYTES => Ok(None),
        _ => Err(ParseError(400)),
    }
}

/// A body and where it ends in `input`.
fn parse_body(input: &[u8], start: usize, framing: &Framing, ended: bool) -> Parsed<(Vec<u8>, usize)> {
    match framing {
        Framing::Length(length) if *length > MAX_BODY_BYTES => Err(ParseError(413)),
        Framing::Length(length) => {
            let end = start + length;
            Ok((input.len() >= end).then(|| (input[start..end].to_vec(), end)))
        }
        Framing::UntilClose if input.len() - start > MAX_BODY_BYTES => Err(ParseError(413)),
        Framing::UntilClose => Ok(ended.then(|| (input[start..].to_vec(), input.len()))),
        Framing::Chunked => {
            let (mut whole, mut at) = (Vec::new(), start);
            while let Some((data, next)) = parse_chunk(&input[at..], MAX_BODY_BYTES - whole.len())? {
                whole.extend_from_slice(&input[at..][data.clone()]);
                if data.is_empty() {
                    return trailers_end(input, at + data.start).map(|end| end.map(|end| (whole, end)));
                }
                at += next;
            }
            // Guards against chunks so small that most of what comes in is their frames.
            if input.len() - start > 2 * MAX_BODY_BYTES { Err(ParseError(413)) } else { Ok(None) }
        }
    }
}

/// Where the lines after the last chunk end.
fn trailers_end(input: &[u8], mut at: usize) -> Parsed<usize> {
    let start = at;
    while let Some(length) = input[at..].windows(2).position(|pair| pair == b"\r\n") {
        at += length + 2;
        if length == 0 {
            return Ok(Some(at));
        }
    }
    if input.len() - start > MAX_HEAD_BYTES { Err(ParseError(431)) } else { Ok(None) }
}

fn check_head_length(input: &[u8]) -> Result<(), ParseError> {
    if input.len() > MAX_HEAD_BYTES { Err(ParseError(431)) } else { Ok(()) }
}

fn head_error(error: httparse::Error) -> ParseError {
    ParseError(if error == httparse::Error::TooManyHeaders { 431 } else { 400 })
}

/// The first request in `input` and its length, once it is all there.
pub fn parse_request(input: &[u8]) -> Parsed<(Request, usize)> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let start = match head.parse(input).map_err(head_error)? {
        httparse::Status::Partial => return check_head_length(input).map(|()| None),
        httparse::Status::Complete(start) => start,
    };
    check_head_length(&input[..start])?;
    let headers = Headers::from_parsed(head.headers);
    let framing = body_framing(&headers, Framing::Length(0))?;
    let Some((body, end)) = parse_body(input, start, &framing, false)? else { return Ok(None) };
    let target = head.path.unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let keep = headers.is_keep_alive(head.version);
    let method = head.method.unwrap_or_default().to_owned();
    let (path, query) = (path.to_owned(), query.to_owned());
    Ok(Some((Request { method, path, query, headers, body, is_keep_alive: keep }, end)))
}

/// Whether `input` holds a request's head whose sender waits to be told to go on.
pub fn expects_continue(input: &[u8]) -> bool {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    matches!(head.parse(input), Ok(httparse::Status::Complete(_)))
        && Headers::from_parsed(head.headers).has_value("expect", "100-continue")
}

/// A response's head, without its body.
pub struct ResponseHead {
    pub status: u16,
    /// Where the body starts.
    pub body_start: usize,
    pub headers: Headers,
    is_keep_alive: bool,
}

/// The first response's head in `input`, once it is all there.
pub fn parse_response_head(input: &[u8]) -> Parsed<ResponseHead> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let start = match head.parse(input).map_err(head_error)? {
        httparse::Status::Partial => return check_head_length(input).map(|()| None),
        httparse::Status::Complete(start) => start,
    };
    let headers = Headers::from_parsed(head.headers);
    let keep = headers.is_keep_alive(head.version);
    Ok(Some(ResponseHead { status: head.code.unwrap_or(0), body_start: start, headers, is_keep_alive: keep }))
}

/// What has come of the final response, behind any 1xx ones before it.
fn final_response_bytes(mut input: &[u8]) -> &[u8] {
    while let Ok(Some(head)) = parse_response_head(input)
        && (100..200).contains(&head.status)
    {
        input = &input[head.body_start..];
    }
    input
}

/// Whether any of the final response has come.
pub fn has_final_response_begun(input: &[u8]) -> bool {
    !final_response_bytes(input).is_empty()
}

/// The status in the final response's first line, whether or not the rest is there.
pub fn final_status(input: &[u8]) -> Option<u16> {
    let input = final_response_bytes(input);
    let line = input.split(|byte| *byte == b'\n').next().filter(|line| line.len() < input.len())?;
    let line = [line, b"\n"].concat();
    let mut headers = [httparse::EMPTY_HEADER; 1];
    let mut head = httparse::Response::new(&mut headers);
    // The rest may be missing or broken: only the line counts.
    let _ = head.parse(&line);
    head.code
}

/// The final response's head in `input`, behind any 1xx ones, once it is all there; its body starts at `start`.
pub fn parse_final_head(input: &[u8]) -> Parsed<ResponseHead> {
    let mut at = 0;
    loop {
        // Guards against 1xx responses without end.
        check_head_length(&input[..at])?;
        let Some(head) = parse_response_head(&input[at..])? else { return Ok(None) };
        at += head.body_start;
        if !(100..200).contains(&head.status) {
            return Ok(Some(ResponseHead { body_start: at, ..head }));
        }
    }
}

/// The first final response in `input` and its length, once it is all there; `ended` says that no more will
/// come.
pub fn parse_response(input: &[u8], ended: bool) -> Parsed<(Response, usize)> {
    let Some(ResponseHead { status, body_start, headers, is_keep_alive }) = parse_final_head(input)? else {
        return Ok(None);
    };
    let bare = matches!(status, 204 | 304);
    let framing = if bare { Framing::Length(0) } else { body_framing(&headers, Framing::UntilClose)? };
    let Some((body, end)) = parse_body(input, body_start, &framing, ended)? else { return Ok(None) };
    let is_keep_alive = is_keep_alive && !matches!(framing, Framing::UntilClose);
    Ok(Some((Response { status, headers, body, is_keep_alive }, end)))
}

/// A whole message: first line, headers, the body's length and the body.
pub fn encode_message(first_line: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{first_line}\r\n");
    for (name, value) in headers {
        write!(text, "{name}: {value}\r\n").expect("a string takes any text");
    }
    write!(text, "Content-Length: {}\r\n\r\n", body.len()).expect("a string takes any text");
    [text.as_bytes(), body].concat()
}

/// The usual words for a status.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const REQUESTS: [&[u8]; 3] = [
        b"POST /a/b?key=k HTTP/1.1\r\nHost: r\r\nContent-Length: 5\r\n\r\nhello",
        b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nT: z\r\n\r\n",
        b"GET /ready HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
    ];
    const RESPONSES: [&[u8]; 3] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
        b"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n",
    ];

    /// A message is whole at its last byte and not before, and what follows is left alone.
    #[test]
    fn messages_are_read_whole_or_not_at_all() {
        for bytes in REQUESTS {
            let more = [bytes, b"GET"].concat();
            assert!((0..bytes.len()).all(|end| matches!(parse_request(&bytes[..end]), Ok(None))));
            assert_eq!(parse_request(&more).expect("readable").expect("whole").1, bytes.len());
        }
        for bytes in RESPONSES {
            let more = [bytes, b"HTTP"].concat();
            assert!((0..bytes.len()).all(|end| matches!(parse_response(&bytes[..end], false), Ok(None))));
            assert_eq!(parse_response(&more, false).expect("readable").expect("whole").1, bytes.len());
        }
        let (read, _) =
            parse_response(b"HTTP/1.1 200 OK\r\n\r\nto the end", true).expect("readable").expect("whole");
        assert_eq!((&*read.body, read.is_keep_alive), (&b"to the end"[..], false));
        assert_eq!(final_status(b"HTTP/1.1 200 OK\r\nContent-Le"), Some(200));
        assert_eq!(final_status(b"HTTP/1.1 200 OK"), None);
        // A 1xx answer may be followed by a long wait: the final one has not begun with it.
        let interim = b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n";
        assert!(!has_final_response_begun(&interim[..27]) && has_final_response_begun(&interim[..28]));
        assert_eq!(final_status(interim), Some(200));
    }

    /// Whatever comes in, reading ends with a message, a wish for more, or a status that says what is wrong.
    #[test]
    fn no_input_is_too_odd() {
        let (mut carry, mut statuses) = (7u64, std::collections::BTreeSet::new());
        let mut chance = |below: usize| {
            carry = 4_294_957_665 * (carry & 0xffff_ffff) + (carry >> 32);
            carry as u32 as usize % below
        };
        for round in 0..60_000 {
            let all = if round % 2 == 0 { REQUESTS } else { RESPONSES };
            let mut bytes = all[chance(3)].to_vec();
            for _ in 0..=chance(4) {
                let place = chance(bytes.len());
                match chance(4) {
                    0 => bytes[place] = chance(256) as u8,
                    1 => drop(bytes.remove(place)),
                    2 => bytes.insert(place, b"\r\n:0f;, \xff"[chance(9)]),
                    _ => bytes.extend_from_within(place..),
                }
            }
            final_status(&bytes);
            expects_continue(&bytes);
            let read = [
                parse_request(&bytes).err(),
                parse_response(&bytes, false).err(),
                parse_response(&bytes, true).err(),
            ];
            statuses.extend(read.into_iter().flatten().map(|unreadable| unreadable.0));
        }
        assert_eq!(statuses.into_iter().collect::<Vec<_>>(), [400, 501]);
    }
}
