//! A small HTTP/1.1 client and the reading of requests, over plain sockets.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The head of a request or of an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// The status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if line.is_empty() {
            if head.first_line.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        if head.first_line.is_empty() {
            head.first_line = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that a head announces, and passes each piece to `piece`. Returns whether it is whole.
pub fn read_body(
    reader: &mut impl BufRead, head: &Head, is_answer: bool, mut piece: impl FnMut(&[u8]),
) -> bool {
    let chunked = head.get("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
    let mut buffer = vec![0; 64 << 10];
    if chunked {
        loop {
            let mut line = String::new();
            match reader.read_line(&mut line) {
                Ok(n) if n > 0 => {}
                _ => return false,
            }
            let Ok(mut left) = usize::from_str_radix(line.trim(), 16) else { return false };
            if left == 0 {
                let mut end = String::new();
                return reader.read_line(&mut end).is_ok_and(|n| n > 0);
            }
            while left > 0 {
                let n = left.min(buffer.len());
                if reader.read_exact(&mut buffer[..n]).is_err() {
                    return false;
                }
                piece(&buffer[..n]);
                left -= n;
            }
            let mut end = [0; 2];
            if reader.read_exact(&mut end).is_err() {
                return false;
            }
        }
    }
    if let Some(length) = head.get("content-length").and_then(|v| v.parse::<usize>().ok()) {
        let mut left = length;
        while left > 0 {
            let n = left.min(buffer.len());
            if reader.read_exact(&mut buffer[..n]).is_err() {
                return false;
            }
            piece(&buffer[..n]);
            left -= n;
        }
        return true;
    }
    if !is_answer {
        return true;
    }
    loop {
        match reader.read(&mut buffer) {
            Ok(0) => return true,
            Ok(n) => piece(&buffer[..n]),
            Err(_) => return false,
        }
    }
}

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0: no answer (refused, cut, or silent).
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the body came whole.
    pub whole: bool,
    pub took_ms: u128,
}

impl Answer {
    /// The whole events of a stream.
    pub fn events(&self) -> usize {
        String::from_utf8_lossy(&self.body).matches("\n\n").count()
    }

    pub fn text(&self) -> String {
        let cut = match (self.status, self.whole) {
            (0, _) => "no answer",
            (_, false) => "cut",
            (_, true) => "whole",
        };
        format!("status {} {cut}, {} bytes, {} ms", self.status, self.body.len(), self.took_ms)
    }
}

/// Sends one request on a new connection and reads the answer.
pub fn call(
    to: SocketAddr, method: &str, path: &str, headers: &[(&str, &str)], body: &[u8], patience: Duration,
) -> Answer {
    let started = Instant::now();
    let mut answer = call_inner(to, method, path, headers, body, patience).unwrap_or_default();
    answer.took_ms = started.elapsed().as_millis();
    answer
}

fn call_inner(
    to: SocketAddr, method: &str, path: &str, headers: &[(&str, &str)], body: &[u8], patience: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    stream.set_write_timeout(Some(patience))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head.push_str(&format!("Host: {to}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    // An answer may come before all is sent.
    let sent = stream.write_all(&bytes);
    let mut reader = BufReader::new(stream);
    let head = match read_head(&mut reader) {
        Ok(Some(head)) => head,
        _ => {
            sent?;
            return Ok(Answer::default());
        }
    };
    let mut answer = Answer { status: head.status(), ..Answer::default() };
    let mut got = Vec::new();
    answer.whole = read_body(&mut reader, &head, true, |piece| got.extend_from_slice(piece));
    answer.body = got;
    answer.head = head;
    Ok(answer)
}
