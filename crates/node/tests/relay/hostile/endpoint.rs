//! An endpoint on raw sockets that handles each request as its script says, and records what it received.

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
use super::script::{AfterEarly, Closing, End, Framing, Kind, Reply, Surplus, response_body};
use super::wire::{Head, split_head};

/// The size of the receive buffer: small, so that a long body does not fit in it.
const RECEIVE_BUFFER_BYTES: u32 = 4 << 10;
/// An endpoint that listens on loopback.
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

    /// Ends the case: connections are read to their end. The relay must have ended.
    pub async fn finish(self) {
        self.finish_sender.send_replace(true);
        self.listening.await.unwrap();
    }
}

async fn listen(listener: TcpListener, case: Arc<CaseState>, mut is_finished: watch::Receiver<bool>) {
    let mut conversations = JoinSet::new();
    let conversation_finished = is_finished.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { break };
                let conversation = Conversation {
                    stream,
                    buffer: Vec::new(),
                    log: case.new_stream(),
                    case: Arc::clone(&case),
                    is_finished: conversation_finished.clone(),
                };
                conversations.spawn(conversation.run());
            }
            _ = is_finished.wait_for(|is_finished| *is_finished) => break,
        }
    }
    while conversations.join_next().await.is_some() {}
}

struct Conversation {
    stream: TcpStream,
    /// Bytes that are read, but not parsed yet.
    buffer: Vec<u8>,
    log: Arc<Mutex<Vec<u8>>>,
    case: Arc<CaseState>,
    is_finished: watch::Receiver<bool>,
}

/// The conversation has ended.
struct ConversationEnded;

impl From<io::Error> for ConversationEnded {
    fn from(_: io::Error) -> ConversationEnded {
        ConversationEnded
    }
}

impl Conversation {
    async fn run(mut self) {
        let mut due = None;
        loop {
            match self.exchange(due.take()).await {
                Ok(next) => due = next,
                Err(ConversationEnded) => return,
            }
        }
    }

    /// Handles one request; `due` is sent once its head has arrived. Returns what is due with the next one.
    async fn exchange(&mut self, due: Option<Vec<u8>>) -> Result<Option<Vec<u8>>, ConversationEnded> {
        let head = self.read_head().await?;
        if let Some(surplus) = due {
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
                self.end(End::Reset)?;
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

    /// Sends a reply other than a complete response, and ends the connection where the reply says so.
    async fn send_reply(
        &mut self, id: &str, kind: Kind, body: &[u8], reply: Reply,
    ) -> Result<(), ConversationEnded> {
        let (bytes, end) = match reply {
            Reply::CutHead { at, end } => {
                let mut bytes = response(OK, id, "", Framing::Length, body);
                bytes.truncate(at % (bytes.len() - body.len()));
                (bytes, Some(end))
            }
            Reply::CutBody { framing, at, end } => {
                let (bytes, end) = truncate(response(OK, id, "", framing, body), framing, kind, at, end);
                (bytes, Some(end))
            }
            Reply::Garbage(which) => {
                let text = GARBAGE[which % GARBAGE.len()].replace("ID", id);
                (text.into_bytes(), Some(End::Close))
            }
            Reply::OtherId => (response(OK, "another", "", Framing::Length, body), None),
            Reply::TwoIds => (response(OK, id, "X-Request-Id: another\r\n", Framing::Length, body), None),
            Reply::Failed(framing) => {
                let end = framing.ends_with_connection().then_some(End::Close);
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
    ) -> Result<Option<Vec<u8>>, ConversationEnded> {
        let second = response(OK, id, "", Framing::Length, b"SURPLUS");
        if surplus == Surplus::AtOnce {
            bytes.extend_from_slice(&second);
        }
        self.stream.write_all(&bytes).await?;
        if matches!(closing, Closing::Announced) {
            self.end(End::Close)?;
        }
        if surplus == Surplus::WhileIdle {
            self.idle(id).await;
            self.stream.write_all(&second).await?;
        }
        if let Closing::WhileIdle(end) = closing {
            self.idle(id).await;
            self.end(end)?;
        }
        Ok((surplus == Surplus::WhenNextIsDue).then_some(second))
    }

    /// Waits until the client has its response, or another request arrives.
    async fn idle(&mut self, id: &str) {
        let response_received = self.case.response_received(id);
        tokio::select! {
            () = response_received.notified() => {}
            _ = self.stream.readable() => {}
            _ = self.is_finished.wait_for(|is_finished| *is_finished) => {}
        }
    }

    async fn respond_early(
        &mut self, id: &str, length: usize, body: &[u8], declines: bool, then: AfterEarly,
    ) -> Result<(), ConversationEnded> {
        if declines {
            self.decline(id).await?;
        } else {
            self.stream.write_all(&response(OK, id, "", Framing::Length, body)).await?;
        }
        match then {
            AfterEarly::ReadOn => self.read_body(length).await,
            AfterEarly::KeepOpen => {
                let _ = self.is_finished.wait_for(|is_finished| *is_finished).await;
                self.read_to_end().await
            }
            AfterEarly::Close => self.end(End::Close),
            AfterEarly::Reset => self.end(End::Reset),
        }
    }

    async fn decline(&mut self, id: &str) -> Result<(), ConversationEnded> {
        self.case.declined.lock().unwrap().push(id.to_owned());
        let bytes = response(DECLINED, id, "X-Not-Executed: 1\r\n", Framing::Length, b"");
        Ok(self.stream.write_all(&bytes).await?)
    }

    fn end(&mut self, end: End) -> Result<(), ConversationEnded> {
        if end == End::Reset {
            self.stream.set_zero_linger()?;
        }
        Err(ConversationEnded)
    }

    async fn fill(&mut self) -> Result<(), ConversationEnded> {
        let before = self.buffer.len();
        if self.stream.read_buf(&mut self.buffer).await? == 0 {
            return Err(ConversationEnded);
        }
        self.log.lock().unwrap().extend_from_slice(&self.buffer[before..]);
        Ok(())
    }

    async fn read_head(&mut self) -> Result<Head, ConversationEnded> {
        loop {
            if let Some(split) = split_head(&self.buffer) {
                let (head, rest) = split.map_err(|_| ConversationEnded)?;
                self.buffer = rest.to_vec();
                return Ok(head);
            }
            self.fill().await?;
        }
    }

    async fn read_body(&mut self, length: usize) -> Result<(), ConversationEnded> {
        while self.buffer.len() < length {
            self.fill().await?;
        }
        self.buffer.drain(..length);
        Ok(())
    }

    async fn read_to_end(&mut self) -> Result<(), ConversationEnded> {
        loop {
            self.fill().await?;
        }
    }
}
