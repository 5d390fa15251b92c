//! An HTTP client for the control listener, with one request per connection.

use std::net::SocketAddr;
use std::time::Duration;

use juniperwing_node::host::Stream;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

/// The maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// A response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// A request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method and the path.
    pub target: String,
    /// The body.
    pub body: Vec<u8>,
    /// The configuration version that an order replaces (`If-Match`).
    pub if_match: Option<u64>,
}

impl Request {
    fn encode(&self) -> Vec<u8> {
        let Request { target, body, if_match } = self;
        let if_match = if_match.map_or_else(String::new, |version| format!("If-Match: {version}\r\n"));
        let length = body.len();
        let mut message = format!(
            "{target} HTTP/1.1\r\nHost: control\r\nConnection: close\r\n{if_match}Content-Length: {length}\r\n\r\n"
        )
        .into_bytes();
        message.extend_from_slice(body);
        message
    }

    /// Sends the request; `None` if there is no complete response within the time limit.
    pub async fn send(&self, address: SocketAddr, time_limit: Duration) -> Option<Response> {
        timeout(time_limit, self.exchange(address, time_limit)).await.ok()?
    }

    async fn exchange(&self, address: SocketAddr, time_limit: Duration) -> Option<Response> {
        let (mut reader, mut writer) = Stream::connect(address, time_limit).await.ok()?.into_split();
        writer.write_all(&self.encode()).await.ok()?;
        let mut received = Vec::new();
        loop {
            if let Some(response) = parse(&received) {
                return Some(response);
            }
            if received.len() > MAX_RESPONSE_BYTES || reader.read_buf(&mut received).await.ok()? == 0 {
                return None;
            }
        }
    }
}

/// Parses a response; `None` while it is incomplete.
fn parse(received: &[u8]) -> Option<Response> {
    let head_length = received.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = std::str::from_utf8(&received[..head_length]).ok()?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
    });
    let body = &received[head_length + 4..];
    (body.len() >= length.unwrap_or(0)).then(|| Response { status, body: body.to_vec() })
}
