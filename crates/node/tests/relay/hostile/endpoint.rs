//! An endpoint on raw sockets that handles each request as planned, and records the bytes that it receives.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use juniperwing_node::sync::watch;
use juniperwing_protocol::identity::{InstanceId, ServiceName};
use juniperwing_protocol::registry::{Instance, InstanceState};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinSet;

use super::case_state::CaseState;
use super::responses::{
    DECLINED, FAILED, GARBAGE, OK, complete_response, failure, response, switching_protocols, truncate,
};
use super::script::{
    AfterEarlyResponse, CloseMode, Closing, Framing, Reply, RequestKind, Surplus, response_body,
};
use super::wire::{Head, split_head};

/// The size of the receive buffer. It is small, so that a long body does not fit into it.
const RECEIVE_BUFFER_BYTES: u32 = 4 << 10;

/// A misbehaving endpoint that listens on loopback.
pub struct HostileEndpoint {
    pub address: SocketAddr,
    finish_sender: watch::Sender<bool>,
    listening: tokio::task::JoinHandle<()>,
}

impl HostileEndpoint {
    pub fn start(case: &Arc<CaseState>) -> HostileEndpoint {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(64).unwrap();
        let address = listener.local_addr().unwrap();
        let (finish_sender, is_finished) = watch::channel(false);
        let listening = tokio::spawn(listen(listener, Arc::clone(case), is_finished));
        HostileEndpoint { address, finish_sender, listening }
    }

    /// The endpoint as published to the relay.
    pub fn instance(&self, number: usize) -> Instance {
        Instance {
            id: InstanceId(format!("i-{number}").into()),
            service: ServiceName::from("s"),
            address: self.address,
            zone: "a".into(),
            capacity: 8,
            state: InstanceState::Ready,
            sequence: 1,
        }
    }

    /// Ends the test case: reads all connections to their end. The relay must have been shut down.
    pub async fn finish(self) {
        self.finish_sender.send_replace(true);
        self.listening.await.unwrap();
    }
}

async fn listen(listener: TcpListener, case: Arc<CaseState>, mut is_finished: watch::Receiver<bool>) {
    let mut connections = JoinSet::new();
    let connection_finished = is_finished.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { break };
                let connection = EndpointConnection {
                    stream,
                    buffer: Vec::new(),
                    received_bytes: case.new_stream(),
                    case: Arc::clone(&case),
                    is_finished: connection_finished.clone(),
                };
                connections.spawn(connection.run());
            }
            _ = is_finished.wait_for(|is_finished| *is_finished) => break,
        }
    }
    while connections.join_next().await.is_some() {}
}

struct EndpointConnection {
    stream: TcpStream,
    /// Bytes that have been read but not parsed.
    buffer: Vec<u8>,
    received_bytes: Arc<Mutex<Vec<u8>>>,
    case: Arc<CaseState>,
    is_finished: watch::Receiver<bool>,
}

/// The connection was closed by either side.
struct ConnectionClosed;

impl From<io::Error> for ConnectionClosed {
    fn from(_: io::Error) -> ConnectionClosed {
        ConnectionClosed
    }
}

impl EndpointConnection {
    async fn run(mut self) {
        let mut pending_surplus = None;
        loop {
            match self.handle_request(pending_surplus.take()).await {
                Ok(next) => pending_surplus = next,
                Err(ConnectionClosed) => return,
            }
        }
    }

    /// Handles one request, and sends `pending_surplus` once its head has arrived. Returns the surplus response that is
    /// to be sent with the next request.
    async fn handle_request(
        &mut self, pending_surplus: Option<Vec<u8>>,
    ) -> Result<Option<Vec<u8>>, ConnectionClosed> {
        let head = self.read_head().await?;
        if let Some(surplus) = pending_surplus {
            self.stream.write_all(&surplus).await?;
        }
        let id = head.header("x-request-id").unwrap_or_default().to_owned();
        let length: usize = head.header("content-length").map_or(0, |length| length.parse().unwrap());
        let reply = self.case.next_reply(&id);
        let kind = self.case.kind(&id);
        let after = head.header("last-event-id").map_or(0, |last| last.parse().unwrap());
        let body = response_body(&id, kind, after);
        match reply {
            Reply::Early { declines, then } => {
                return self.respond_early(&id, length, &body, declines, then).await.map(|()| None);
            }
            Reply::ResetAfter(at) => {
                self.read_body(at.min(length)).await?;
                self.end(CloseMode::Reset)?;
            }
            _ => self.read_body(length).await?,
        }
        match reply {
            Reply::Complete { framing, informational, surplus, closing } => {
                let bytes = complete_response(&id, &body, framing, informational, closing);
                let ends_now = matches!(closing, Closing::Announced) || framing.ends_with_connection();
                let closing = if ends_now { Closing::Announced } else { closing };
                self.send_complete(&id, bytes, surplus, closing).await
            }
            reply => self.send_reply(&id, kind, &body, reply).await.map(|()| None),
        }
    }

    /// Sends a reply other than a complete response, and closes the connection if the reply requires it.
    async fn send_reply(
        &mut self, id: &str, kind: RequestKind, body: &[u8], reply: Reply,
    ) -> Result<(), ConnectionClosed> {
        let (bytes, end) = match reply {
            Reply::TruncatedHead { at, end } => {
                let mut bytes = response(OK, id, "", Framing::Length, body);
                bytes.truncate(at % (bytes.len() - body.len()));
                (bytes, Some(end))
            }
            Reply::TruncatedBody { framing, at, end } => {
                let (bytes, end) = truncate(response(OK, id, "", framing, body), framing, kind, at, end);
                (bytes, Some(end))
            }
            Reply::Garbage(index) => {
                let text = GARBAGE[index % GARBAGE.len()].replace("ID", id);
                (text.into_bytes(), Some(CloseMode::Close))
            }
            Reply::WrongId => (response(OK, "another", "", Framing::Length, body), None),
            Reply::TwoIds => (response(OK, id, "X-Request-Id: another\r\n", Framing::Length, body), None),
            Reply::Failed(framing) => {
                let end = framing.ends_with_connection().then_some(CloseMode::Close);
                (response(FAILED, id, "", framing, failure(id).as_bytes()), end)
            }
            Reply::SwitchingProtocols => (switching_protocols(id), None),
            Reply::Declined => return self.decline(id).await,
            Reply::NoResponse => return self.read_to_end().await,
            Reply::Complete { .. } | Reply::Early { .. } | Reply::ResetAfter(_) => {
                unreachable!("handled by the caller")
            }
        };
        self.stream.write_all(&bytes).await?;
        end.map_or(Ok(()), |end| self.end(end))
    }

    async fn send_complete(
        &mut self, id: &str, mut bytes: Vec<u8>, surplus: Surplus, closing: Closing,
    ) -> Result<Option<Vec<u8>>, ConnectionClosed> {
        let second = response(OK, id, "", Framing::Length, b"SURPLUS");
        if surplus == Surplus::AtOnce {
            bytes.extend_from_slice(&second);
        }
        self.stream.write_all(&bytes).await?;
        if matches!(closing, Closing::Announced) {
            self.end(CloseMode::Close)?;
        }
        if surplus == Surplus::WhileIdle {
            self.idle(id).await;
            self.stream.write_all(&second).await?;
        }
        if let Closing::WhileIdle(end) = closing {
            self.idle(id).await;
            self.end(end)?;
        }
        Ok((surplus == Surplus::WithNextRequest).then_some(second))
    }

    /// Waits until the client has received its response, another request arrives, or the test case ends.
    async fn idle(&mut self, id: &str) {
        let response_received = self.case.response_received(id);
        tokio::select! {
            () = response_received.notified() => {}
            _ = self.stream.readable() => {}
            _ = self.is_finished.wait_for(|is_finished| *is_finished) => {}
        }
    }

    async fn respond_early(
        &mut self, id: &str, length: usize, body: &[u8], declines: bool, then: AfterEarlyResponse,
    ) -> Result<(), ConnectionClosed> {
        if declines {
            self.decline(id).await?;
        } else {
            self.stream.write_all(&response(OK, id, "", Framing::Length, body)).await?;
        }
        match then {
            AfterEarlyResponse::ReadOn => self.read_body(length).await,
            AfterEarlyResponse::KeepOpen => {
                let _ = self.is_finished.wait_for(|is_finished| *is_finished).await;
                self.read_to_end().await
            }
            AfterEarlyResponse::Close => self.end(CloseMode::Close),
            AfterEarlyResponse::Reset => self.end(CloseMode::Reset),
        }
    }

    async fn decline(&mut self, id: &str) -> Result<(), ConnectionClosed> {
        self.case.declined.lock().unwrap().push(id.to_owned());
        let bytes = response(DECLINED, id, "X-Not-Executed: 1\r\n", Framing::Length, b"");
        Ok(self.stream.write_all(&bytes).await?)
    }

    fn end(&mut self, end: CloseMode) -> Result<(), ConnectionClosed> {
        if end == CloseMode::Reset {
            self.stream.set_zero_linger()?;
        }
        Err(ConnectionClosed)
    }

    async fn fill(&mut self) -> Result<(), ConnectionClosed> {
        let before = self.buffer.len();
        if self.stream.read_buf(&mut self.buffer).await? == 0 {
            return Err(ConnectionClosed);
        }
        self.received_bytes.lock().unwrap().extend_from_slice(&self.buffer[before..]);
        Ok(())
    }

    async fn read_head(&mut self) -> Result<Head, ConnectionClosed> {
        loop {
            if let Some(split) = split_head(&self.buffer) {
                let (head, rest) = split.map_err(|_| ConnectionClosed)?;
                self.buffer = rest.to_vec();
                return Ok(head);
            }
            self.fill().await?;
        }
    }

    async fn read_body(&mut self, length: usize) -> Result<(), ConnectionClosed> {
        while self.buffer.len() < length {
            self.fill().await?;
        }
        self.buffer.drain(..length);
        Ok(())
    }

    async fn read_to_end(&mut self) -> Result<(), ConnectionClosed> {
        loop {
            self.fill().await?;
        }
    }
}
