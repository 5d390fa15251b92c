//! Calls to a keeper's control listener over one kept connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long a call may take; callers of the platform move on after a second.
pub const CALL_WITHIN: Duration = Duration::from_secs(1);

/// A caller: it moves on to the next keeper when a call fails.
pub struct Caller {
    keepers: Vec<SocketAddr>,
    next: usize,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl Caller {
    /// A caller that begins at the keeper with this number (modulo their count).
    pub fn new(keepers: Vec<SocketAddr>, first: usize) -> Caller {
        Caller { keepers, next: first, sender: None }
    }

    /// Sends a `PUT` and returns the status; `None` if none came in time.
    pub async fn put(&mut self, path: &str, base: Option<u64>, body: Bytes, within: Duration) -> Option<u16> {
        let status = timeout(within, self.try_put(path, base, body)).await.ok().flatten();
        if status.is_none_or(|status| status >= 500) {
            self.sender = None;
            self.next = self.next.wrapping_add(1);
        }
        status
    }

    async fn try_put(&mut self, path: &str, base: Option<u64>, body: Bytes) -> Option<u16> {
        let mut request = Request::builder().method(Method::PUT).uri(path).header("host", "keeper");
        if let Some(base) = base {
            request = request.header("if-match", base);
        }
        let request = request.body(Full::new(body)).ok()?;
        if self.sender.as_ref().is_none_or(SendRequest::is_closed) {
            self.sender = self.connect().await;
        }
        let sender = self.sender.as_mut()?;
        sender.ready().await.ok()?;
        let answer = sender.send_request(request).await.ok()?;
        let status = answer.status().as_u16();
        answer.into_body().collect().await.ok()?;
        Some(status)
    }

    async fn connect(&self) -> Option<SendRequest<Full<Bytes>>> {
        let keeper = self.keepers.get(self.next % self.keepers.len().max(1))?;
        let stream = TcpStream::connect(keeper).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        // It ends when the sender is dropped or the keeper closes.
        tokio::spawn(connection);
        Some(sender)
    }
}
