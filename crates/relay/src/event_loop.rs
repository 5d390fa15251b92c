//! The event loop: the poller, all sockets with their buffers, and the deadlines of connections.
//!
//! It does not interpret the bytes that it transfers, does not decide what a connection is used for, and blocks only in
//! the poller. Sockets are closed only in [`Net::close`].

mod connection;
mod listener;

use std::collections::BTreeSet;
use std::io::{self, ErrorKind, Read};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::os::fd::{AsFd, AsRawFd};
use std::os::unix::net::UnixStream;
use std::time::Duration;

use juniperwing::time::{Span, Time};
use polling::{Event, Events, PollMode, Poller};
use socket2::{Domain, Protocol, Socket, Type};

use crate::clock::Clock;
pub use connection::Token;
use connection::{ConnectProgress, Connection, ConnectionTable, FlushResult, Interest};

/// How long input is still read and discarded on a connection closed by the relay before its socket is closed.
const LINGER_TIMEOUT: Span = Span::from_millis(1_000);
/// Poller keys of sources other than connections.
const LISTENER_KEY: usize = usize::MAX - 1;
const STOP_KEY: usize = usize::MAX - 2;
const RELOAD_KEY: usize = usize::MAX - 3;
/// The error number for a connection attempt in progress.
const EINPROGRESS: i32 = 115;

/// The purpose of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionRole {
    Client,
    Endpoint,
    Watch,
    Notices,
}

/// An event on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEvent {
    /// A client has connected.
    Accepted,
    /// A connection opened by the relay is established.
    Connected,
    /// There is new input, or the input is to be processed again.
    Readable,
    /// The peer has closed or reset the connection; the handler still has to close it.
    PeerClosed,
    /// The deadline set by [`Net::set_deadline`] has been reached.
    DeadlineReached,
}

/// An event with its connection.
#[derive(Clone, Copy, Debug)]
pub struct QueuedEvent {
    /// The connection.
    pub token: Token,
    /// The purpose of the connection.
    pub role: ConnectionRole,
    /// The event.
    pub event: ConnectionEvent,
}

/// The events and signals that one wait of the poller returned.
#[derive(Debug, Default)]
pub struct PollResult {
    /// The events in the order in which they are to be handled.
    pub events: Vec<QueuedEvent>,
    /// A signal to shut down was received.
    pub is_shutdown_requested: bool,
    /// A signal to reload the configuration was received.
    pub is_reload_requested: bool,
}

/// Streams that carry a byte for each signal received.
pub struct Signals {
    /// A byte for each SIGTERM and SIGINT.
    pub stop: UnixStream,
    /// A byte for each SIGHUP.
    pub reload: UnixStream,
}

/// The sockets of the process.
pub struct Net {
    clock: Clock,
    poller: Poller,
    events: Events,
    listener: Option<TcpListener>,
    is_accepting: bool,
    /// When accepting is resumed after a failure; [`Time::NEVER`] otherwise.
    accept_retry_at: Time,
    signals: Signals,
    connections: ConnectionTable,
    deadlines: BTreeSet<(Time, Token)>,
    /// Connections with output that may be writable.
    unflushed: BTreeSet<Token>,
    /// Events for the next iteration.
    deferred_events: Vec<QueuedEvent>,
    client_count: usize,
    max_clients: usize,
}

impl Net {
    /// Creates the event loop with a listener on this address.
    pub fn new(clock: Clock, address: SocketAddr, signals: Signals, max_clients: usize) -> io::Result<Net> {
        let listener = listener::listen(address)?;
        let poller = Poller::new()?;
        register(&poller, &listener, Event::readable(LISTENER_KEY))?;
        for (stream, key) in [(&signals.stop, STOP_KEY), (&signals.reload, RELOAD_KEY)] {
            stream.set_nonblocking(true)?;
            register(&poller, stream, Event::readable(key))?;
        }
        Ok(Net {
            clock,
            poller,
            events: Events::new(),
            listener: Some(listener),
            is_accepting: true,
            accept_retry_at: Time::NEVER,
            signals,
            connections: ConnectionTable::default(),
            deadlines: BTreeSet::new(),
            unflushed: BTreeSet::new(),
            deferred_events: Vec::new(),
            client_count: 0,
            max_clients,
        })
    }

    /// Waits for events, at the latest until `until`, and returns all pending ones.
    pub fn poll(&mut self, until: Time) -> PollResult {
        let until =
            self.deadlines.first().map_or(until, |first| first.0.min(until)).min(self.accept_retry_at);
        let mut timeout = Duration::from_nanos(until.since(self.clock.now()).as_nanos());
        let mut polled =
            PollResult { events: std::mem::take(&mut self.deferred_events), ..PollResult::default() };
        if !polled.events.is_empty() {
            timeout = Duration::ZERO;
        }
        self.events.clear();
        // An interrupted wait counts as an iteration without events.
        let _ = self.poller.wait(&mut self.events, Some(timeout));
        let events: Vec<Event> = self.events.iter().collect();
        for event in events {
            match event.key {
                LISTENER_KEY => self.accept(&mut polled),
                STOP_KEY => polled.is_shutdown_requested |= drain_signals(&self.signals.stop),
                RELOAD_KEY => polled.is_reload_requested |= drain_signals(&self.signals.reload),
                key => self.handle_readiness(Token(key), &mut polled),
            }
        }
        let now = self.clock.now();
        self.retry_accepting(now);
        self.expire_deadlines(now, &mut polled);
        polled
    }

    fn expire_deadlines(&mut self, now: Time, polled: &mut PollResult) {
        while let Some((_, token)) = self.deadlines.first().copied().filter(|first| first.0 <= now) {
            self.set_deadline(token, Time::NEVER);
            match self.connection(token).map(|connection| (connection.is_closing, connection.role)) {
                Some((true, _)) => self.close(token),
                Some((false, role)) => {
                    polled.events.push(QueuedEvent { token, role, event: ConnectionEvent::DeadlineReached });
                }
                None => {}
            }
        }
    }

    /// Starts to connect. Bytes written before the connection is established are sent once it is.
    pub fn open(&mut self, address: SocketAddr, role: ConnectionRole) -> io::Result<Token> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        match socket.connect(&address.into()) {
            Ok(()) => {}
            Err(e) if e.raw_os_error() == Some(EINPROGRESS) || e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
        self.insert(socket, role, false)
    }

    fn insert(&mut self, socket: Socket, role: ConnectionRole, is_connected: bool) -> io::Result<Token> {
        let token = self.connections.reserve();
        let connection = Connection::new(socket, role, is_connected);
        let event = poller_event(token, connection.interest);
        if let Err(e) = register(&self.poller, &connection.socket, event) {
            self.connections.release(token);
            return Err(e);
        }
        self.client_count += usize::from(role == ConnectionRole::Client);
        self.connections.insert(token, connection);
        Ok(token)
    }

    fn connection(&mut self, token: Token) -> Option<&mut Connection> {
        self.connections.get_mut(token)
    }

    fn handle_readiness(&mut self, token: Token, polled: &mut PollResult) {
        let Some(connection) = self.connection(token) else { return };
        let role = connection.role;
        if !connection.is_connected {
            match connection.connect_progress() {
                ConnectProgress::Pending => return,
                ConnectProgress::Failed => {
                    connection.is_peer_closed = true;
                    self.set_interest(token, Interest::NONE);
                    polled.events.push(QueuedEvent { token, role, event: ConnectionEvent::PeerClosed });
                    return;
                }
                ConnectProgress::Connected => connection.is_connected = true,
            }
            self.set_interest(token, Interest::READS);
            polled.events.push(QueuedEvent { token, role, event: ConnectionEvent::Connected });
        }
        self.unflushed.insert(token);
        self.read(token, polled);
    }

    fn read(&mut self, token: Token, polled: &mut PollResult) {
        let Some(connection) = self.connection(token).filter(|connection| !connection.is_peer_closed) else {
            return;
        };
        let role = connection.role;
        let read = connection.read_available();
        if read.has_new_input {
            polled.events.push(QueuedEvent { token, role, event: ConnectionEvent::Readable });
        }
        if !read.is_peer_closed {
            return;
        }
        connection.is_peer_closed = true;
        if connection.is_closing {
            return self.close(token);
        }
        let interest = Interest { reads: false, ..connection.interest };
        self.set_interest(token, interest);
        polled.events.push(QueuedEvent { token, role, event: ConnectionEvent::PeerClosed });
    }

    fn set_interest(&mut self, token: Token, interest: Interest) {
        let connection = self.connections.get_mut(token).filter(|connection| connection.interest != interest);
        let Some(connection) = connection else { return };
        connection.interest = interest;
        // If the poller fails, the connection is ended by its deadline.
        let event = poller_event(token, interest);
        let _ = self.poller.modify_with_mode(&connection.socket, event, PollMode::Level);
    }

    /// Returns the bytes that were received and not consumed yet.
    pub fn input(&mut self, token: Token) -> Option<&mut Vec<u8>> {
        self.connection(token).map(|connection| &mut connection.input)
    }

    /// Queues bytes for the next [`Net::flush`] after the connection is established.
    pub fn write(&mut self, token: Token, bytes: &[u8]) {
        if let Some(connection) = self.connection(token) {
            connection.output.extend(bytes);
            self.unflushed.insert(token);
        }
    }

    /// Writes all queued bytes to the sockets, as far as they accept them.
    pub fn flush(&mut self) {
        for token in std::mem::take(&mut self.unflushed) {
            self.flush_connection(token);
        }
    }

    fn flush_connection(&mut self, token: Token) {
        let Some(connection) = self.connection(token).filter(|connection| connection.is_connected) else {
            return;
        };
        let result = connection.flush_output();
        let (role, is_closing) = (connection.role, connection.is_closing);
        let Interest { reads, .. } = connection.interest;
        match result {
            FlushResult::Broken if is_closing => self.close(token),
            FlushResult::Broken => {
                if !std::mem::replace(&mut connection.is_peer_closed, true) {
                    let event = ConnectionEvent::PeerClosed;
                    self.deferred_events.push(QueuedEvent { token, role, event });
                }
                self.set_interest(token, Interest::NONE);
            }
            FlushResult::Complete if is_closing && connection.is_peer_closed => self.close(token),
            FlushResult::Complete => {
                if is_closing {
                    // Fails if the peer has already disconnected.
                    let _ = connection.socket.shutdown(Shutdown::Write);
                }
                self.set_interest(token, Interest { reads, writes: false });
            }
            FlushResult::Blocked => self.set_interest(token, Interest { reads, writes: true }),
        }
    }

    /// Whether the connection is established.
    pub fn is_connected(&mut self, token: Token) -> bool {
        self.connection(token).is_some_and(|connection| connection.is_connected)
    }

    /// Returns how many of the queued bytes have not been written to the socket.
    pub fn unsent_bytes(&mut self, token: Token) -> usize {
        self.connection(token).map_or(0, |connection| connection.output.len())
    }

    /// Whether there is unprocessed input, or unread data or an end of stream on the socket.
    pub fn has_unread(&mut self, token: Token) -> bool {
        self.connection(token).is_some_and(|connection| connection.has_unread())
    }

    /// Whether the peer has closed its sending side.
    pub fn is_peer_closed(&mut self, token: Token) -> bool {
        self.connection(token).is_none_or(|connection| connection.is_peer_closed)
    }

    /// Replaces the deadline of a connection; [`Time::NEVER`] removes it.
    pub fn set_deadline(&mut self, token: Token, deadline: Time) {
        let Some(connection) = self.connection(token) else { return };
        let before = std::mem::replace(&mut connection.deadline, deadline);
        self.deadlines.remove(&(before, token));
        if deadline < Time::NEVER {
            self.deadlines.insert((deadline, token));
        }
    }

    /// Whether a connection has no deadline, which is the case after [`ConnectionEvent::DeadlineReached`] until one is
    /// set.
    pub fn has_no_deadline(&mut self, token: Token) -> bool {
        self.connection(token).is_some_and(|connection| connection.deadline == Time::NEVER)
    }

    /// Schedules the input to be processed again in the next iteration.
    pub fn read_again(&mut self, token: Token) {
        if let Some(role) = self.connection(token).map(|connection| connection.role) {
            self.deferred_events.push(QueuedEvent { token, role, event: ConnectionEvent::Readable });
        }
    }

    /// Closes a connection after the queued output has been sent. Input is read and discarded for a while: closing the
    /// socket with unread input would reset the connection, and the peer might lose the response.
    pub fn close_after_flush(&mut self, token: Token) {
        let until = self.clock.now() + LINGER_TIMEOUT;
        let Some(connection) = self.connection(token) else { return };
        connection.is_closing = true;
        connection.input = Vec::new();
        self.unflushed.insert(token);
        self.set_deadline(token, until);
    }

    /// Shuts down the write side of a connection; its input is still read.
    pub fn shutdown_write(&mut self, token: Token) {
        if let Some(connection) = self.connection(token) {
            connection.output.clear();
            // Fails if the peer has already disconnected.
            let _ = connection.socket.shutdown(Shutdown::Write);
        }
    }

    /// Closes a connection immediately.
    pub fn close(&mut self, token: Token) {
        let Some(connection) = self.connections.remove(token) else { return };
        self.deadlines.remove(&(connection.deadline, token));
        self.unflushed.remove(&token);
        // Closing the socket removes it from the poller in any case.
        let _ = self.poller.delete(&connection.socket);
        if connection.role == ConnectionRole::Client {
            self.client_count -= 1;
            self.set_accepting(true);
        }
    }
}

/// Whether any signal was received since the last call.
fn drain_signals(mut stream: &UnixStream) -> bool {
    matches!(stream.read(&mut [0; 64]), Ok(count) if count > 0)
}

fn poller_event(token: Token, interest: Interest) -> Event {
    Event::new(token.0, interest.reads, interest.writes)
}

#[allow(unsafe_code)]
fn register(poller: &Poller, source: &(impl AsRawFd + AsFd), interest: Event) -> io::Result<()> {
    // SAFETY: every source is owned by `Net`, which removes it from the poller before dropping it: connections in
    // `close`, the listener in `stop_listening`. All others are dropped together with the poller.
    unsafe { poller.add_with_mode(source, interest, PollMode::Level) }
}
