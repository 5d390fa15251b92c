//! Reads and writes HTTP/1.1 messages: heads by `httparse`, bodies by length, in chunks or until the end. It
//! owns nothing and must never touch a socket or know what a message is for.

use std::fmt::Write;

/// The longest head and the most header lines that are read.
const HEAD_MOST: usize = 16 * 1024;
const HEADERS_MOST: usize = 64;
/// The longest body of a notification.
pub const BODY_MOST: usize = 64 * 1024;
/// The longest line that gives a chunk's size.
const SIZE_LINE_MOST: usize = 1_024;

/// Why a message cannot be read, as the status that says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unreadable(pub u16);

type Read<T> = Result<Option<T>, Unreadable>;

#[derive(Debug, Default)]
pub struct Headers(Vec<(String, Vec<u8>)>);

impl Headers {
    fn of(parsed: &[httparse::Header<'_>]) -> Headers {
        Headers(parsed.iter().map(|h| (h.name.to_ascii_lowercase(), h.value.to_vec())).collect())
    }

    /// A header's value, be it text or not.
    fn raw(&self, name: &str) -> Option<&[u8]> {
        self.0.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| &**value)
    }

    pub fn get(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.raw(name)?).ok().map(str::trim_ascii)
    }

    fn has(&self, name: &str, word: &str) -> bool {
        let all = self.0.iter().filter(|(known, _)| known == name);
        let mut words = all.flat_map(|(_, value)| value.split(|byte| *byte == b','));
        words.any(|value| value.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
    }

    /// Whether the connection stays open after a message with these headers, of HTTP/1.0 or 1.1.
    fn keep(&self, version: Option<u8>) -> bool {
        let wished = version != Some(0) || self.has("connection", "keep-alive");
        wished && !self.has("connection", "close")
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
    pub keep: bool,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)
    }

    /// Whether a header is there that is no text, which [`Request::header`] does not give.
    pub fn is_odd(&self, name: &str) -> bool {
        self.headers.raw(name).is_some_and(|value| std::str::from_utf8(value).is_err())
    }
}

#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
    pub keep: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)
    }
}

/// How a body ends.
enum Framing {
    Length(usize),
    Chunks,
    End,
}

fn framing(headers: &Headers, otherwise: Framing) -> Result<Framing, Unreadable> {
    let lengths: Vec<_> = headers.0.iter().filter(|h| h.0 == "content-length").collect();
    let encoded = headers.0.iter().any(|h| h.0 == "transfer-encoding");
    // Guards against messages that two readers would cut apart in two ways.
    if encoded && !lengths.is_empty() || lengths.iter().any(|h| h.1 != lengths[0].1) {
        return Err(Unreadable(400));
    }
    if encoded {
        let mut all = headers.0.iter().filter(|h| h.0 == "transfer-encoding");
        let chunked = all.all(|h| h.1.trim_ascii().eq_ignore_ascii_case(b"chunked"));
        return if chunked { Ok(Framing::Chunks) } else { Err(Unreadable(501)) };
    }
    let Some((_, value)) = lengths.first() else { return Ok(otherwise) };
    let digits = std::str::from_utf8(value).ok().map(str::trim).filter(|v| !v.starts_with('+'));
    digits.and_then(|digits| digits.parse().ok()).map(Framing::Length).ok_or(Unreadable(400))
}

/// The first chunk that `input` holds whole: where its data is, and where the next begins. No data: the last.
pub fn chunk(input: &[u8], most: usize) -> Read<(std::ops::Range<usize>, usize)> {
    match httparse::parse_chunk_size(input) {
        Ok(httparse::Status::Complete((start, size))) => {
            let size = usize::try_from(size).ok().filter(|size| *size <= most).ok_or(Unreadable(413))?;
            let end = start + size;
            if input.len() < end + 2 {
                return Ok(None);
            }
            if size > 0 && &input[end..end + 2] != b"\r\n" {
                return Err(Unreadable(400));
            }
            Ok(Some((start..end, end + 2)))
        }
        Ok(httparse::Status::Partial) if input.len() <= SIZE_LINE_MOST => Ok(None),
        _ => Err(Unreadable(400)),
    }
}

/// A body and where it ends in `input`.
fn body(input: &[u8], start: usize, framing: &Framing, ended: bool) -> Read<(Vec<u8>, usize)> {
    match framing {
        Framing::Length(length) if *length > BODY_MOST => Err(Unreadable(413)),
        Framing::Length(length) => {
            let end = start + length;
            Ok((input.len() >= end).then(|| (input[start..end].to_vec(), end)))
        }
        Framing::End if input.len() - start > BODY_MOST => Err(Unreadable(413)),
        Framing::End => Ok(ended.then(|| (input[start..].to_vec(), input.len()))),
        Framing::Chunks => {
            let (mut whole, mut at) = (Vec::new(), start);
            while let Some((data, next)) = chunk(&input[at..], BODY_MOST - whole.len())? {
                whole.extend_from_slice(&input[at..][data.clone()]);
                if data.is_empty() {
                    return trailers(input, at + data.start).map(|end| end.map(|end| (whole, end)));
                }
                at += next;
            }
            // Guards against chunks so small that most of what comes in is their frames.
            if input.len() - start > 2 * BODY_MOST { Err(Unreadable(413)) } else { Ok(None) }
        }
    }
}

/// Where the lines after the last chunk end.
fn trailers(input: &[u8], mut at: usize) -> Read<usize> {
    let start = at;
    while let Some(length) = input[at..].windows(2).position(|pair| pair == b"\r\n") {
        at += length + 2;
        if length == 0 {
            return Ok(Some(at));
        }
    }
    if input.len() - start > HEAD_MOST { Err(Unreadable(431)) } else { Ok(None) }
}

fn too_long(input: &[u8]) -> Result<(), Unreadable> {
    if input.len() > HEAD_MOST { Err(Unreadable(431)) } else { Ok(()) }
}

fn head_error(error: httparse::Error) -> Unreadable {
    Unreadable(if error == httparse::Error::TooManyHeaders { 431 } else { 400 })
}

/// The first request in `input` and its length, once it is all there.
pub fn request(input: &[u8]) -> Read<(Request, usize)> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
    let mut head = httparse::Request::new(&mut headers);
    let start = match head.parse(input).map_err(head_error)? {
        httparse::Status::Partial => return too_long(input).map(|()| None),
        httparse::Status::Complete(start) => start,
    };
    too_long(&input[..start])?;
    let headers = Headers::of(head.headers);
    let framing = framing(&headers, Framing::Length(0))?;
    let Some((body, end)) = body(input, start, &framing, false)? else { return Ok(None) };
    let target = head.path.unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let keep = headers.keep(head.version);
    let method = head.method.unwrap_or_default().to_owned();
    let (path, query) = (path.to_owned(), query.to_owned());
    Ok(Some((Request { method, path, query, headers, body, keep }, end)))
}

/// Whether `input` holds a request's head whose sender waits to be told to go on.
pub fn expects_continue(input: &[u8]) -> bool {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
    let mut head = httparse::Request::new(&mut headers);
    matches!(head.parse(input), Ok(httparse::Status::Complete(_)))
        && Headers::of(head.headers).has("expect", "100-continue")
}

/// A response's head, without its body.
pub struct ResponseHead {
    pub status: u16,
    /// Where the body starts.
    pub start: usize,
    pub headers: Headers,
    keep: bool,
}

/// The first response's head in `input`, once it is all there.
pub fn response_head(input: &[u8]) -> Read<ResponseHead> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
    let mut head = httparse::Response::new(&mut headers);
    let start = match head.parse(input).map_err(head_error)? {
        httparse::Status::Partial => return too_long(input).map(|()| None),
        httparse::Status::Complete(start) => start,
    };
    let headers = Headers::of(head.headers);
    let keep = headers.keep(head.version);
    Ok(Some(ResponseHead { status: head.code.unwrap_or(0), start, headers, keep }))
}

/// What has come of the final response, behind any 1xx ones before it.
fn final_part(mut input: &[u8]) -> &[u8] {
    while let Ok(Some(head)) = response_head(input)
        && (100..200).contains(&head.status)
    {
        input = &input[head.start..];
    }
    input
}

/// Whether any of the final response has come.
pub fn has_begun(input: &[u8]) -> bool {
    !final_part(input).is_empty()
}

/// The status in the final response's first line, whether or not the rest is there.
pub fn first_line(input: &[u8]) -> Option<u16> {
    let input = final_part(input);
    let line = input.split(|byte| *byte == b'\n').next().filter(|line| line.len() < input.len())?;
    let line = [line, b"\n"].concat();
    let mut headers = [httparse::EMPTY_HEADER; 1];
    let mut head = httparse::Response::new(&mut headers);
    // The rest may be missing or broken: only the line counts.
    let _ = head.parse(&line);
    head.code
}

/// The final response's head in `input`, behind any 1xx ones, once it is all there; its body starts at `start`.
pub fn final_head(input: &[u8]) -> Read<ResponseHead> {
    let mut at = 0;
    loop {
        // Guards against 1xx responses without end.
        too_long(&input[..at])?;
        let Some(head) = response_head(&input[at..])? else { return Ok(None) };
        at += head.start;
        if !(100..200).contains(&head.status) {
            return Ok(Some(ResponseHead { start: at, ..head }));
        }
    }
}

/// The first final response in `input` and its length, once it is all there; `ended` says that no more will
/// come.
pub fn response(input: &[u8], ended: bool) -> Read<(Response, usize)> {
    let Some(ResponseHead { status, start, headers, keep }) = final_head(input)? else { return Ok(None) };
    let bare = matches!(status, 204 | 304);
    let framing = if bare { Framing::Length(0) } else { framing(&headers, Framing::End)? };
    let Some((body, end)) = body(input, start, &framing, ended)? else { return Ok(None) };
    let keep = keep && !matches!(framing, Framing::End);
    Ok(Some((Response { status, headers, body, keep }, end)))
}

/// A whole message: first line, headers, the body's length and the body.
pub fn message(first_line: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{first_line}\r\n");
    for (name, value) in headers {
        write!(text, "{name}: {value}\r\n").expect("a string takes any text");
    }
    write!(text, "Content-Length: {}\r\n\r\n", body.len()).expect("a string takes any text");
    [text.as_bytes(), body].concat()
}

/// The usual words for a status.
pub fn reason(status: u16) -> &'static str {
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
            assert!((0..bytes.len()).all(|end| matches!(request(&bytes[..end]), Ok(None))));
            assert_eq!(request(&more).expect("readable").expect("whole").1, bytes.len());
        }
        for bytes in RESPONSES {
            let more = [bytes, b"HTTP"].concat();
            assert!((0..bytes.len()).all(|end| matches!(response(&bytes[..end], false), Ok(None))));
            assert_eq!(response(&more, false).expect("readable").expect("whole").1, bytes.len());
        }
        let (read, _) =
            response(b"HTTP/1.1 200 OK\r\n\r\nto the end", true).expect("readable").expect("whole");
        assert_eq!((&*read.body, read.keep), (&b"to the end"[..], false));
        assert_eq!(first_line(b"HTTP/1.1 200 OK\r\nContent-Le"), Some(200));
        assert_eq!(first_line(b"HTTP/1.1 200 OK"), None);
        // A 1xx answer may be followed by a long wait: the final one has not begun with it.
        let interim = b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n";
        assert!(!has_begun(&interim[..27]) && has_begun(&interim[..28]));
        assert_eq!(first_line(interim), Some(200));
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
            first_line(&bytes);
            expects_continue(&bytes);
            let read = [request(&bytes).err(), response(&bytes, false).err(), response(&bytes, true).err()];
            statuses.extend(read.into_iter().flatten().map(|unreadable| unreadable.0));
        }
        assert_eq!(statuses.into_iter().collect::<Vec<_>>(), [400, 501]);
    }
}
