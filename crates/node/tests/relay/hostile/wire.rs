//! A strict HTTP/1.1 parser for heads, and for bodies with a length or in chunks.

use super::violation::Violation;

/// The head of a message: its first line and its headers.
#[derive(Clone, Debug)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// The value of the first header with a name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut named = self.headers.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
        named.next().map(|(_, value)| value.as_str())
    }

    /// The values of all headers with a name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        let named = self.headers.iter().filter(move |(key, _)| key.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value.as_str())
    }
}

/// Splits off a head; `None` if it is incomplete.
pub fn split_head(bytes: &[u8]) -> Option<Result<(Head, &[u8]), Violation>> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    let read = |text: &str| -> Option<Head> {
        let mut lines = text.split("\r\n");
        let line = lines.next()?.to_owned();
        let pair =
            |line: &str| line.split_once(':').map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
        Some(Head { line, headers: lines.map(pair).collect::<Option<_>>()? })
    };
    let head = std::str::from_utf8(&bytes[..end]).ok().and_then(read);
    let malformed = || Violation::MalformedHead { bytes: lossy_text(&bytes[..end]) };
    Some(head.map(|head| (head, &bytes[end + 4..])).ok_or_else(malformed))
}

/// A body, split off from the start of some bytes.
#[derive(Debug, PartialEq, Eq)]
pub struct Body<'a> {
    pub data: Vec<u8>,
    /// Whether the body has arrived completely.
    pub is_complete: bool,
    /// The bytes after the body.
    pub rest: &'a [u8],
}

/// Splits off a body with a length.
pub fn split_length(bytes: &[u8], length: usize) -> Body<'_> {
    let (data, rest) = bytes.split_at(length.min(bytes.len()));
    Body { data: data.to_vec(), is_complete: data.len() == length, rest }
}

/// Splits off a body in chunks, which must have neither extensions nor trailers.
pub fn split_chunks(bytes: &[u8]) -> Result<Body<'_>, Violation> {
    let (mut data, mut rest) = (Vec::new(), bytes);
    loop {
        let Some(line_end) = rest.windows(2).position(|window| window == b"\r\n") else {
            return Ok(Body { data, is_complete: false, rest: &[] });
        };
        let malformed = || Violation::MalformedChunk { bytes: lossy_text(rest) };
        let line = std::str::from_utf8(&rest[..line_end]).map_err(|_| malformed())?;
        let length = usize::from_str_radix(line, 16).map_err(|_| malformed())?;
        rest = &rest[line_end + 2..];
        let chunk = &rest[..length.min(rest.len())];
        data.extend_from_slice(chunk);
        rest = &rest[chunk.len()..];
        if rest.len() < 2 {
            return Ok(Body { data, is_complete: false, rest: &[] });
        }
        let malformed = || Violation::MalformedChunk { bytes: lossy_text(rest) };
        rest = rest.strip_prefix(b"\r\n").ok_or_else(malformed)?;
        if length == 0 {
            return Ok(Body { data, is_complete: true, rest });
        }
    }
}

/// Converts bytes to text, with replacement characters for invalid UTF-8.
pub fn lossy_text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}
