//! A client on a raw socket that leaves when its plan says so.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::endpoint::Stage;
use super::script::{ClientPlan, End, RequestPlan, request_body, request_id};
use super::wire::{Body, Head, split_chunks, split_head, split_length};

/// What a client waits for an answer, in milliseconds.
pub const DEADLINE_MS: u64 = 500;

/// What came for one request.
#[derive(Debug)]
pub struct Outcome {
    pub id: String,
    /// `None` if no whole head came.
    pub answer: Option<ClientAnswer>,
}

#[derive(Debug)]
pub struct ClientAnswer {
    pub head: Head,
    pub body: Vec<u8>,
    pub is_whole: bool,
    /// The client left before its end.
    pub client_left: bool,
}

/// Plays a client and gives back what it got for each request, in order.
///
/// # Errors
///
/// If bytes came that are no answer.
pub async fn play(
    number: usize, plan: ClientPlan, relay: SocketAddr, stage: Arc<Stage>,
) -> Result<Vec<Outcome>, String> {
    let mut outcomes = Vec::new();
    let mut may_read = plan.leaves_after.unwrap_or(usize::MAX);
    while outcomes.len() < plan.requests.len() {
        let mut visit = Visit { stream: connect(relay).await, buffer: Vec::new(), may_read, begun: 0 };
        visit.play(number, &plan, &mut outcomes, &stage).await?;
        if visit.may_read == 0 && plan.leaves_by == End::Reset {
            let _ = visit.stream.set_zero_linger();
        }
        may_read = visit.may_read;
        // What was sent, as a whole or in part, and not answered is not sent again: each try has an id of its own.
        for request in outcomes.len()..visit.begun {
            outcomes.push(Outcome { id: request_id(number, request), answer: None });
        }
        if may_read == 0 {
            break;
        }
    }
    Ok(outcomes)
}

async fn connect(relay: SocketAddr) -> TcpStream {
    TcpStream::connect(relay).await.unwrap()
}

/// One connection.
struct Visit {
    stream: TcpStream,
    buffer: Vec<u8>,
    may_read: usize,
    /// Requests of which bytes may have been sent, those of earlier connections included.
    begun: usize,
}

impl Visit {
    async fn play(
        &mut self, number: usize, plan: &ClientPlan, outcomes: &mut Vec<Outcome>, stage: &Stage,
    ) -> Result<(), String> {
        let first = outcomes.len();
        let bytes: Vec<Vec<u8>> = (first..plan.requests.len())
            .map(|request| request_bytes(&request_id(number, request), &plan.requests[request]))
            .collect();
        self.begun = if plan.pipelines { plan.requests.len() } else { first };
        if plan.pipelines && self.stream.write_all(&bytes.concat()).await.is_err() {
            return Ok(());
        }
        for (place, bytes) in bytes.iter().enumerate() {
            self.begun = self.begun.max(first + place + 1);
            if !plan.pipelines && self.stream.write_all(bytes).await.is_err() {
                return Ok(());
            }
            let id = request_id(number, first + place);
            let answer = self.read_answer().await?;
            let goes_on = answer.as_ref().is_some_and(|answer| answer.is_whole && !closes(&answer.head));
            let Some(answer) = answer else { return Ok(()) };
            stage.answered(&id).notify_one();
            outcomes.push(Outcome { id, answer: Some(answer) });
            if !goes_on {
                return Ok(());
            }
        }
        self.expect_nothing_more().await
    }

    /// Reads an answer as far as it comes; `None` if its head does not come whole.
    async fn read_answer(&mut self) -> Result<Option<ClientAnswer>, String> {
        let mut ended = false;
        loop {
            if let Some((head, body)) = self.split()? {
                if body.is_whole || ended {
                    let (data, is_whole, rest) = (body.data, body.is_whole, body.rest.to_vec());
                    self.buffer = rest;
                    let client_left = self.may_read == 0;
                    return Ok(Some(ClientAnswer { head, body: data, is_whole, client_left }));
                }
            } else if ended {
                return Ok(None);
            }
            ended = !self.fill().await;
        }
    }

    fn split(&self) -> Result<Option<(Head, Body<'_>)>, String> {
        let Some(split) = split_head(&self.buffer) else { return Ok(None) };
        let (head, bytes) = split?;
        let lengths: Vec<&str> = head.all("content-length").collect();
        let codings: Vec<&str> = head.all("transfer-encoding").collect();
        let body = match (lengths.as_slice(), codings.as_slice()) {
            ([length], []) => split_length(bytes, length.parse().map_err(|_| "no length")?),
            ([], ["chunked"]) => split_chunks(bytes)?,
            _ => return Err(format!("the end of the answer cannot be told: {head:?}")),
        };
        Ok(Some((head, body)))
    }

    /// Reads on; `false` at the end of the connection, or if the client leaves.
    async fn fill(&mut self) -> bool {
        let mut bytes = [0; 4_096];
        let most = self.may_read.min(bytes.len());
        let read = self.stream.read(&mut bytes[..most]).await.unwrap_or(0);
        self.may_read -= read;
        self.buffer.extend_from_slice(&bytes[..read]);
        read > 0
    }

    /// All answers have come: the relay closes in turn and says nothing before.
    async fn expect_nothing_more(&mut self) -> Result<(), String> {
        let _ = self.stream.shutdown().await;
        while self.fill().await {}
        if self.buffer.is_empty() { Ok(()) } else { Err(format!("unasked: {:?}", text(&self.buffer))) }
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
        for piece in body.chunks(7_000) {
            chunks.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
            chunks.extend_from_slice(piece);
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

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}
