//! A caller of the control listener: one call on each connection.

use std::net::SocketAddr;
use std::time::Duration;

use juniperwing_node::host::Stream;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

/// Bytes of an answer that are read at the most.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: Vec<u8>,
}

/// A call.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method and path.
    pub line: String,
    /// Its body.
    pub body: Vec<u8>,
    /// The version that an order builds on.
    pub base: Option<u64>,
}

impl Call {
    fn message(&self) -> Vec<u8> {
        let Call { line, body, base } = self;
        let base = base.map_or_else(String::new, |base| format!("If-Match: {base}\r\n"));
        let length = body.len();
        let mut message = format!(
            "{line} HTTP/1.1\r\nHost: control\r\nConnection: close\r\n{base}Content-Length: {length}\r\n\r\n"
        )
        .into_bytes();
        message.extend_from_slice(body);
        message
    }

    /// Makes the call; `None` if there is no whole answer within the time.
    pub async fn make(&self, address: SocketAddr, within: Duration) -> Option<Answer> {
        timeout(within, self.make_once(address, within)).await.ok()?
    }

    async fn make_once(&self, address: SocketAddr, within: Duration) -> Option<Answer> {
        let (mut reader, mut writer) = Stream::connect(address, within).await.ok()?.into_split();
        writer.write_all(&self.message()).await.ok()?;
        let mut received = Vec::new();
        loop {
            if let Some(answer) = parse(&received) {
                return Some(answer);
            }
            if received.len() > MAX_ANSWER_BYTES || reader.read_buf(&mut received).await.ok()? == 0 {
                return None;
            }
        }
    }
}

fn parse(received: &[u8]) -> Option<Answer> {
    let end = received.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = std::str::from_utf8(&received[..end]).ok()?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
    });
    let body = &received[end + 4..];
    (body.len() >= length.unwrap_or(0)).then(|| Answer { status, body: body.to_vec() })
}
