//! HTTP/1.1 by hand, so that callers and endpoints can misbehave at any byte.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Header lines of a message at the most.
const MAX_HEADERS: usize = 64;
/// Bytes of a message at the most.
const MAX_BYTES: usize = 32 << 20;
/// How long a connection may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The first line and the headers of a message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// The status of an answer; 0 for a request.
    pub status: u16,
    /// The method of a request.
    pub method: String,
    /// The path of a request.
    pub path: String,
    headers: Vec<(String, String)>,
}

impl Head {
    /// A header as text; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// Whether a header is there.
    pub fn has(&self, name: &str) -> bool {
        self.headers.iter().any(|(key, _)| key.eq_ignore_ascii_case(name))
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").eq_ignore_ascii_case("chunked")
    }

    fn length(&self) -> Option<usize> {
        self.header("content-length").parse().ok()
    }

    /// Whether the connection ends behind the message.
    pub fn closes_connection(&self) -> bool {
        self.header("connection").eq_ignore_ascii_case("close")
    }
}

/// A connection with the bytes that were read ahead.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

/// How a body is told from what is behind it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length(usize),
    Chunks,
    None,
}

impl Connection {
    /// Over a socket that has come up.
    pub fn new(stream: TcpStream) -> Connection {
        Connection { stream, buffer: Vec::new() }
    }

    /// Opens one.
    ///
    /// # Errors
    ///
    /// If it does not come up in time.
    pub async fn open(address: SocketAddr) -> io::Result<Connection> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        Ok(Connection::new(stream))
    }

    /// Writes bytes.
    ///
    /// # Errors
    ///
    /// If the connection is gone.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Has the other end see a reset when this is dropped.
    pub fn reset_on_drop(&self) {
        // A connection that is gone already needs no reset.
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Waits until the other end closes or sends; `true` if it has closed.
    pub async fn wait_for_close(&mut self) -> bool {
        let mut byte = [0; 1];
        !matches!(self.stream.peek(&mut byte).await, Ok(1))
    }

    /// Reads the head of a request; `None` if the connection ends before one.
    ///
    /// # Errors
    ///
    /// If the connection breaks within it, or it is none.
    pub async fn read_request_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut request = httparse::Request::new(&mut headers);
            if let httparse::Status::Complete(length) =
                request.parse(&self.buffer).map_err(io::Error::other)?
            {
                let head = Head {
                    status: 0,
                    method: request.method.unwrap_or_default().to_owned(),
                    path: request.path.unwrap_or_default().to_owned(),
                    headers: owned_headers(request.headers),
                };
                self.buffer.drain(..length);
                return Ok(Some(head));
            }
            if !self.fill().await? {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }

    /// Reads the head of an answer.
    ///
    /// # Errors
    ///
    /// If the connection ends before or within it, or it is none.
    pub async fn read_response_head(&mut self) -> io::Result<Head> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut answer = httparse::Response::new(&mut headers);
            if let httparse::Status::Complete(length) =
                answer.parse(&self.buffer).map_err(io::Error::other)?
            {
                let status = answer.code.unwrap_or_default();
                let headers = owned_headers(answer.headers);
                self.buffer.drain(..length);
                return Ok(Head { status, headers, ..Head::default() });
            }
            if !self.fill().await? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads a body to its end and hands on each piece as it comes, for as long as that gives `true`.
    ///
    /// # Errors
    ///
    /// If the connection ends before the body does, or it is not framed; `Interrupted` if no more is wanted.
    pub async fn read_body(&mut self, head: &Head, mut piece: impl FnMut(&[u8]) -> bool) -> io::Result<()> {
        let framing = match (head.is_chunked(), head.length()) {
            (true, _) => Framing::Chunks,
            (false, Some(length)) => Framing::Length(length),
            (false, None) => Framing::None,
        };
        match framing {
            Framing::None if head.status == 0 => Ok(()),
            Framing::None => Err(io::Error::other("an answer without a length")),
            Framing::Length(length) => self.read_exactly(length, &mut piece).await,
            Framing::Chunks => loop {
                let length = self.read_chunk_length().await?;
                self.read_exactly(length, &mut piece).await?;
                self.read_line_end().await?;
                if length == 0 {
                    return Ok(());
                }
            },
        }
    }

    /// The same, as a whole.
    ///
    /// # Errors
    ///
    /// As [`Connection::read_body`].
    pub async fn read_full_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let mut whole = Vec::new();
        let take = |piece: &[u8]| {
            whole.extend_from_slice(piece);
            true
        };
        self.read_body(head, take).await?;
        Ok(whole)
    }

    async fn read_exactly(&mut self, length: usize, piece: &mut impl FnMut(&[u8]) -> bool) -> io::Result<()> {
        let mut left = length;
        while left > 0 {
            if self.buffer.is_empty() && !self.fill().await? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let length_taken = left.min(self.buffer.len());
            if !piece(&self.buffer[..length_taken]) {
                return Err(io::ErrorKind::Interrupted.into());
            }
            self.buffer.drain(..length_taken);
            left -= length_taken;
        }
        Ok(())
    }

    async fn read_chunk_length(&mut self) -> io::Result<usize> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).take(end).collect();
                let text = std::str::from_utf8(&line).map_err(io::Error::other)?;
                return usize::from_str_radix(text.trim(), 16).map_err(io::Error::other);
            }
            if !self.fill().await? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    async fn read_line_end(&mut self) -> io::Result<()> {
        while self.buffer.len() < 2 {
            if !self.fill().await? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        let end: Vec<u8> = self.buffer.drain(..2).collect();
        if end == b"\r\n" { Ok(()) } else { Err(io::Error::other("no line end behind a chunk")) }
    }

    /// Reads more; `false` at the end.
    async fn fill(&mut self) -> io::Result<bool> {
        if self.buffer.len() > MAX_BYTES {
            return Err(io::Error::other("too long"));
        }
        Ok(self.stream.read_buf(&mut self.buffer).await? > 0)
    }
}

fn owned_headers(headers: &[httparse::Header]) -> Vec<(String, String)> {
    let text = |header: &httparse::Header| {
        (header.name.to_owned(), String::from_utf8_lossy(header.value).into_owned())
    };
    headers.iter().map(text).collect()
}

/// A request as bytes. The length is set here.
pub fn encode_request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str("\r\n");
    [bytes.as_bytes(), body].concat()
}

/// Asks once over a connection of its own.
///
/// # Errors
///
/// If there is no whole answer in time.
pub async fn exchange(address: SocketAddr, bytes: &[u8], within: Duration) -> io::Result<(Head, Vec<u8>)> {
    let whole = async {
        let mut connection = Connection::open(address).await?;
        connection.write(bytes).await?;
        let head = connection.read_response_head().await?;
        let body = connection.read_full_body(&head).await?;
        Ok((head, body))
    };
    timeout(within, whole).await?
}
