//! A client on a raw socket that disconnects as planned.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::case_state::CaseState;
use super::script::{ClientPlan, CloseMode, RequestPlan, request_body, request_id};
use super::violation::Violation;
use super::wire::{Body, Head, lossy_text, split_chunks, split_head, split_length};

/// The deadline that clients send with their requests, in milliseconds.
pub const DEADLINE_MS: u64 = 500;

/// What a client received for one request.
#[derive(Debug)]
pub struct Outcome {
    pub id: String,
    /// `None` if no complete head arrived.
    pub response: Option<ObservedResponse>,
}

#[derive(Debug)]
pub struct ObservedResponse {
    pub head: Head,
    pub body: Vec<u8>,
    pub is_complete: bool,
    /// Whether the client disconnected before the response was complete.
    pub client_disconnected: bool,
}

/// Runs a client; returns what it received for each request, in order.
///
/// # Errors
///
/// If bytes arrived that are not a response.
pub async fn run(
    number: usize, plan: ClientPlan, relay: SocketAddr, case: Arc<CaseState>,
) -> Result<Vec<Outcome>, Violation> {
    let mut outcomes = Vec::new();
    let mut readable_bytes = plan.disconnects_after_bytes.unwrap_or(usize::MAX);
    while outcomes.len() < plan.requests.len() {
        let mut connection = ClientConnection {
            stream: connect(relay).await,
            buffer: Vec::new(),
            readable_bytes,
            started_requests: 0,
        };
        connection.run(number, &plan, &mut outcomes, &case).await?;
        if connection.readable_bytes == 0 && plan.disconnects_by == CloseMode::Reset {
            let _ = connection.stream.set_zero_linger();
        }
        readable_bytes = connection.readable_bytes;
        // Requests that were at least partly sent but got no response are not sent again, because ids are used only
        // once.
        for request in outcomes.len()..connection.started_requests {
            outcomes.push(Outcome { id: request_id(number, request), response: None });
        }
        if readable_bytes == 0 {
            break;
        }
    }
    Ok(outcomes)
}

async fn connect(relay: SocketAddr) -> TcpStream {
    TcpStream::connect(relay).await.unwrap()
}

/// One connection of a client.
struct ClientConnection {
    stream: TcpStream,
    buffer: Vec<u8>,
    readable_bytes: usize,
    /// The number of requests of which bytes may have been sent, including those on earlier connections.
    started_requests: usize,
}

impl ClientConnection {
    async fn run(
        &mut self, number: usize, plan: &ClientPlan, outcomes: &mut Vec<Outcome>, case: &CaseState,
    ) -> Result<(), Violation> {
        let first = outcomes.len();
        let bytes: Vec<Vec<u8>> = (first..plan.requests.len())
            .map(|request| request_bytes(&request_id(number, request), &plan.requests[request]))
            .collect();
        self.started_requests = if plan.pipelines { plan.requests.len() } else { first };
        if plan.pipelines && self.stream.write_all(&bytes.concat()).await.is_err() {
            return Ok(());
        }
        for (index, bytes) in bytes.iter().enumerate() {
            self.started_requests = self.started_requests.max(first + index + 1);
            if !plan.pipelines && self.stream.write_all(bytes).await.is_err() {
                return Ok(());
            }
            let id = request_id(number, first + index);
            let response = self.read_response().await?;
            let may_continue =
                response.as_ref().is_some_and(|response| response.is_complete && !closes(&response.head));
            let Some(response) = response else { return Ok(()) };
            case.response_received(&id).notify_one();
            outcomes.push(Outcome { id, response: Some(response) });
            if !may_continue {
                return Ok(());
            }
        }
        self.expect_nothing_more().await
    }

    /// Reads a response, or the part of it that arrives; `None` if its head is incomplete.
    async fn read_response(&mut self) -> Result<Option<ObservedResponse>, Violation> {
        let mut has_ended = false;
        loop {
            if let Some((head, body)) = self.split()? {
                if body.is_complete || has_ended {
                    let (data, is_complete, rest) = (body.data, body.is_complete, body.rest.to_vec());
                    self.buffer = rest;
                    let client_disconnected = self.readable_bytes == 0;
                    return Ok(Some(ObservedResponse { head, body: data, is_complete, client_disconnected }));
                }
            } else if has_ended {
                return Ok(None);
            }
            has_ended = !self.fill().await;
        }
    }

    fn split(&self) -> Result<Option<(Head, Body<'_>)>, Violation> {
        let Some(split) = split_head(&self.buffer) else { return Ok(None) };
        let (head, bytes) = split?;
        let undelimited = || Violation::UndelimitedResponse { head: format!("{head:?}") };
        let lengths: Vec<&str> = head.all("content-length").collect();
        let codings: Vec<&str> = head.all("transfer-encoding").collect();
        let body = match (lengths.as_slice(), codings.as_slice()) {
            ([length], []) => split_length(bytes, length.parse().map_err(|_| undelimited())?),
            ([], ["chunked"]) => split_chunks(bytes)?,
            _ => return Err(undelimited()),
        };
        Ok(Some((head, body)))
    }

    /// Reads more bytes; `false` at the end of the connection, or if the client disconnects.
    async fn fill(&mut self) -> bool {
        let mut bytes = [0; 4_096];
        let max_bytes = self.readable_bytes.min(bytes.len());
        let read = self.stream.read(&mut bytes[..max_bytes]).await.unwrap_or(0);
        self.readable_bytes -= read;
        self.buffer.extend_from_slice(&bytes[..read]);
        read > 0
    }

    /// Checks that the relay closes the connection after all responses without sending more bytes.
    async fn expect_nothing_more(&mut self) -> Result<(), Violation> {
        let _ = self.stream.shutdown().await;
        while self.fill().await {}
        if self.buffer.is_empty() {
            Ok(())
        } else {
            Err(Violation::UnexpectedBytes { bytes: lossy_text(&self.buffer) })
        }
    }
}

fn closes(head: &Head) -> bool {
    head.all("connection").any(|value| value.eq_ignore_ascii_case("close"))
}

fn request_bytes(id: &str, plan: &RequestPlan) -> Vec<u8> {
    let prefix = plan.kind.prefix();
    let body = request_body(id, plan.body);
    let (framed, body) = if plan.in_chunks {
        let mut chunks = Vec::new();
        for chunk in body.chunks(7_000) {
            chunks.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            chunks.extend_from_slice(chunk);
            chunks.extend_from_slice(b"\r\n");
        }
        chunks.extend_from_slice(b"0\r\n\r\n");
        ("Transfer-Encoding: chunked".to_owned(), chunks)
    } else {
        (format!("Content-Length: {}", body.len()), body)
    };
    let head = format!(
        "POST {prefix}{id} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n{framed}\r\n\r\n"
    );
    [head.into_bytes(), body].concat()
}
