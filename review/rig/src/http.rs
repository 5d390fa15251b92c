//! The client's side of HTTP/1.1: one request on a connection of its own, as clients' retries do it.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// What came back for a request.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The status; `None` if no head of an answer came.
    pub status: Option<u16>,
    /// The head, in lower case.
    pub head: String,
    /// The body as far as it came.
    pub body: Vec<u8>,
    /// Whether the answer is complete in the protocol.
    pub is_whole: bool,
}

impl Answer {
    /// A success with the stamp of an endpoint and its whole body.
    pub fn is_served(&self) -> bool {
        self.status == Some(200) && self.is_whole && self.head.contains("x-server-signature:")
    }

    /// The number of whole events in the body.
    pub fn events(&self) -> usize {
        self.body.windows(2).filter(|pair| pair == b"\n\n").count()
    }

    /// In a few words, for the record.
    pub fn summary(&self) -> String {
        let status = self.status.map_or("no answer".to_owned(), |status| status.to_string());
        let end = if self.is_whole { "whole" } else { "cut" };
        format!("{status} {end}, {} bytes, {} events", self.body.len(), self.events())
    }
}

/// A request.
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub headers: Vec<(&'a str, String)>,
    pub body: &'a [u8],
    pub patience: Duration,
    /// Told the number of whole events that have come.
    pub progress: Option<&'a AtomicUsize>,
}

/// Sends a request and reads its answer until it is complete, cut, or the patience is over.
pub fn send(address: SocketAddr, request: &Request) -> Answer {
    let mut answer = Answer::default();
    let _ = exchange(address, request, &mut answer);
    answer
}

fn exchange(address: SocketAddr, request: &Request, answer: &mut Answer) -> std::io::Result<()> {
    let until = Instant::now() + request.patience;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    let mut head = format!("{} {} HTTP/1.1\r\n", request.method, request.path);
    for (name, value) in &request.headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n", request.body.len());
    stream.write_all(head.as_bytes())?;
    stream.write_all(request.body)?;
    let mut raw = Vec::new();
    let mut buffer = [0; 16 << 10];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Ok(());
        }
        stream.set_read_timeout(Some(left))?;
        let length = match stream.read(&mut buffer) {
            Ok(length) => length,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Ok(());
            }
            Err(error) => return Err(error),
        };
        raw.extend_from_slice(&buffer[..length]);
        parse(&raw, answer);
        if let Some(progress) = request.progress {
            progress.store(answer.events(), Ordering::Relaxed);
        }
        if length == 0 || answer.is_whole {
            return Ok(());
        }
    }
}

/// Parses what has come so far.
fn parse(raw: &[u8], answer: &mut Answer) {
    let Some(end) = raw.windows(4).position(|bytes| bytes == b"\r\n\r\n") else { return };
    let head = String::from_utf8_lossy(&raw[..end]).to_ascii_lowercase();
    answer.status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    let rest = &raw[end + 4..];
    if head.contains("transfer-encoding: chunked") {
        let (body, is_whole) = unchunk(rest);
        answer.body = body;
        answer.is_whole = is_whole;
    } else {
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        let length: Option<usize> = length.and_then(|length| length.trim().parse().ok());
        answer.body = rest.to_vec();
        answer.is_whole = length.is_some_and(|length| rest.len() >= length);
    }
    answer.head = head;
}

/// The content of the chunks that are there, and whether the last one is.
pub fn unchunk(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(end) = rest.windows(2).position(|bytes| bytes == b"\r\n") else { return (body, false) };
        let size = String::from_utf8_lossy(&rest[..end]);
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else { return (body, false) };
        let Some(chunk) = rest.get(end + 2..end + 2 + size) else {
            body.extend_from_slice(&rest[end + 2..]);
            return (body, false);
        };
        if size == 0 {
            return (body, rest.get(end + 2..end + 4) == Some(b"\r\n"));
        }
        body.extend_from_slice(chunk);
        let Some(next) = rest.get(end + 2 + size + 2..) else { return (body, false) };
        rest = next;
    }
}
