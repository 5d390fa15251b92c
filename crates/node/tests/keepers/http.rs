//! A minimal HTTP client with one request per connection.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// An HTTP response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: String,
}

/// Sends a request with the request line and headers in `head`. Returns `None` without a complete response.
pub async fn call(address: SocketAddr, head: &str, body: &str) -> Option<Answer> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let length = body.len();
    let request =
        format!("{head}Host: keeper\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}");
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.ok()?;
    let text = String::from_utf8(bytes).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Answer { status, body: body.to_owned() })
}
