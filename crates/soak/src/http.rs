//! A minimal HTTP/1.1 client and server. It is written by hand so that both sides can violate the protocol at any byte.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use snafu::{ResultExt, Snafu};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The maximum number of header lines of a message.
const MAX_HEADERS: usize = 64;
/// The maximum number of bytes that are buffered for a connection.
const MAX_BUFFERED_BYTES: usize = 32 << 20;
/// How long a connection may take to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Reason why a message could not be read or written.
#[derive(Debug, Snafu)]
pub enum HttpError {
    /// The socket failed.
    #[snafu(display("{source}"))]
    Socket {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The connection was not established, or the response was not complete, in time.
    #[snafu(display("timed out"))]
    TimedOut,
    /// The connection ended before or within a message.
    #[snafu(display("the connection ended within a message"))]
    UnexpectedEnd,
    /// The head of a message is malformed.
    #[snafu(display("malformed head: {source}"))]
    MalformedHead {
        /// The error of the parser.
        source: httparse::Error,
    },
    /// The framing of a chunk is malformed.
    #[snafu(display("malformed chunk"))]
    MalformedChunk,
    /// A response has neither a length nor a chunked body.
    #[snafu(display("the response has neither Content-Length nor a chunked body"))]
    UnframedResponse,
    /// A message exceeds the maximum size of the buffer.
    #[snafu(display("the message exceeds the maximum buffer size"))]
    TooLong,
    /// The callback that receives the body stopped the transfer.
    #[snafu(display("the reader of the body stopped the transfer"))]
    ReaderStopped,
}

/// The start line and the headers of a message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// The status of a response; 0 for a request.
    pub status: u16,
    /// The method of a request.
    pub method: String,
    /// The path of a request.
    pub path: String,
    headers: Vec<(String, String)>,
}

impl Head {
    /// The value of a header; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// Whether a header is present.
    pub fn has(&self, name: &str) -> bool {
        self.headers.iter().any(|(key, _)| key.eq_ignore_ascii_case(name))
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").eq_ignore_ascii_case("chunked")
    }

    fn length(&self) -> Option<usize> {
        self.header("content-length").parse().ok()
    }

    /// Whether the connection closes after the message.
    pub fn closes_connection(&self) -> bool {
        self.header("connection").eq_ignore_ascii_case("close")
    }
}

/// A connection with a read buffer.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length(usize),
    Chunked,
    None,
}

impl Connection {
    /// Wraps a connected socket.
    pub fn new(stream: TcpStream) -> Connection {
        Connection { stream, buffer: Vec::new() }
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// If it is not established in time.
    pub async fn open(address: SocketAddr) -> Result<Connection, HttpError> {
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connecting.map_err(|_| HttpError::TimedOut)?.context(SocketSnafu)?;
        stream.set_nodelay(true).context(SocketSnafu)?;
        Ok(Connection::new(stream))
    }

    /// Writes bytes.
    ///
    /// # Errors
    ///
    /// If the connection is closed.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), HttpError> {
        self.stream.write_all(bytes).await.context(SocketSnafu)
    }

    /// Sets the connection to be reset, not closed, when it is dropped.
    pub fn reset_on_drop(&self) {
        // Fails only on a connection that is already closed, which needs no reset.
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Waits until the peer closes the connection or sends data. Returns whether it closed.
    pub async fn wait_for_close(&mut self) -> bool {
        let mut byte = [0; 1];
        !matches!(self.stream.peek(&mut byte).await, Ok(1))
    }

    /// Reads the head of a request. Returns `None` if the connection ends before the first byte.
    ///
    /// # Errors
    ///
    /// If the connection ends within the head, or it is malformed.
    pub async fn read_request_head(&mut self) -> Result<Option<Head>, HttpError> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut request = httparse::Request::new(&mut headers);
            if let httparse::Status::Complete(length) =
                request.parse(&self.buffer).context(MalformedHeadSnafu)?
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
                return if self.buffer.is_empty() { Ok(None) } else { Err(HttpError::UnexpectedEnd) };
            }
        }
    }

    /// Reads the head of a response.
    ///
    /// # Errors
    ///
    /// If the connection ends before or within the head, or it is malformed.
    pub async fn read_response_head(&mut self) -> Result<Head, HttpError> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut response = httparse::Response::new(&mut headers);
            if let httparse::Status::Complete(length) =
                response.parse(&self.buffer).context(MalformedHeadSnafu)?
            {
                let status = response.code.unwrap_or_default();
                let headers = owned_headers(response.headers);
                self.buffer.drain(..length);
                return Ok(Head { status, headers, ..Head::default() });
            }
            if !self.fill().await? {
                return Err(HttpError::UnexpectedEnd);
            }
        }
    }

    /// Reads a body to its end and passes the data to `on_chunk` as it arrives, for as long as that returns `true`.
    ///
    /// # Errors
    ///
    /// If the connection ends before the body does, or a response is not framed; [`HttpError::ReaderStopped`] if
    /// `on_chunk` returns `false`.
    pub async fn read_body(
        &mut self, head: &Head, mut on_chunk: impl FnMut(&[u8]) -> bool,
    ) -> Result<(), HttpError> {
        let framing = match (head.is_chunked(), head.length()) {
            (true, _) => Framing::Chunked,
            (false, Some(length)) => Framing::Length(length),
            (false, None) => Framing::None,
        };
        match framing {
            Framing::None if head.status == 0 => Ok(()),
            Framing::None => Err(HttpError::UnframedResponse),
            Framing::Length(length) => self.read_exactly(length, &mut on_chunk).await,
            Framing::Chunked => loop {
                let length = self.read_chunk_length().await?;
                self.read_exactly(length, &mut on_chunk).await?;
                self.read_line_end().await?;
                if length == 0 {
                    return Ok(());
                }
            },
        }
    }

    /// Reads a body to its end and returns it.
    ///
    /// # Errors
    ///
    /// As [`Connection::read_body`].
    pub async fn read_full_body(&mut self, head: &Head) -> Result<Vec<u8>, HttpError> {
        let mut body = Vec::new();
        let append = |chunk: &[u8]| {
            body.extend_from_slice(chunk);
            true
        };
        self.read_body(head, append).await?;
        Ok(body)
    }

    async fn read_exactly(
        &mut self, length: usize, on_chunk: &mut impl FnMut(&[u8]) -> bool,
    ) -> Result<(), HttpError> {
        let mut remaining = length;
        while remaining > 0 {
            if self.buffer.is_empty() && !self.fill().await? {
                return Err(HttpError::UnexpectedEnd);
            }
            let length_taken = remaining.min(self.buffer.len());
            if !on_chunk(&self.buffer[..length_taken]) {
                return Err(HttpError::ReaderStopped);
            }
            self.buffer.drain(..length_taken);
            remaining -= length_taken;
        }
        Ok(())
    }

    async fn read_chunk_length(&mut self) -> Result<usize, HttpError> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).take(end).collect();
                let text = std::str::from_utf8(&line).map_err(|_| HttpError::MalformedChunk)?;
                return usize::from_str_radix(text.trim(), 16).map_err(|_| HttpError::MalformedChunk);
            }
            if !self.fill().await? {
                return Err(HttpError::UnexpectedEnd);
            }
        }
    }

    async fn read_line_end(&mut self) -> Result<(), HttpError> {
        while self.buffer.len() < 2 {
            if !self.fill().await? {
                return Err(HttpError::UnexpectedEnd);
            }
        }
        let end: Vec<u8> = self.buffer.drain(..2).collect();
        if end == b"\r\n" { Ok(()) } else { Err(HttpError::MalformedChunk) }
    }

    /// Reads more bytes into the buffer. Returns `false` at the end of the stream.
    async fn fill(&mut self) -> Result<bool, HttpError> {
        if self.buffer.len() > MAX_BUFFERED_BYTES {
            return Err(HttpError::TooLong);
        }
        Ok(self.stream.read_buf(&mut self.buffer).await.context(SocketSnafu)? > 0)
    }
}

fn owned_headers(headers: &[httparse::Header]) -> Vec<(String, String)> {
    let text = |header: &httparse::Header| {
        (header.name.to_owned(), String::from_utf8_lossy(header.value).into_owned())
    };
    headers.iter().map(text).collect()
}

/// Encodes a request and adds a `Content-Length` header.
pub fn encode_request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str("\r\n");
    [bytes.as_bytes(), body].concat()
}

/// Sends one request over a new connection and returns the response.
///
/// # Errors
///
/// If there is no complete response within `within`.
pub async fn exchange(
    address: SocketAddr, bytes: &[u8], within: Duration,
) -> Result<(Head, Vec<u8>), HttpError> {
    let response = async {
        let mut connection = Connection::open(address).await?;
        connection.write(bytes).await?;
        let head = connection.read_response_head().await?;
        let body = connection.read_full_body(&head).await?;
        Ok((head, body))
    };
    timeout(within, response).await.unwrap_or(Err(HttpError::TimedOut))
}
