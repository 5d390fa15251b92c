//! Owns the poller, every socket and its buffers, and the times at which sockets are due. Sockets are given
//! back in one place, [`Net::close`]. It must never look into the bytes it carries, wait on anything but the
//! poller, or decide what a connection is used for.

use std::collections::{BTreeSet, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::os::fd::{AsFd, AsRawFd};
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use juniperwing::time::{Span, Time};
use polling::{Event, Events, PollMode, Poller};
use socket2::{Domain, Protocol, Socket, Type};

/// Most bytes read from one socket in a turn, so that one busy peer does not keep others waiting.
const MAX_READ_BYTES_PER_TURN: usize = 64 * 1024;
/// Bytes that may wait to be taken from one connection's input; no more are read. A client's request with all its
/// frames is shorter, and so is a line of discovery's.
const MAX_CLIENT_INPUT_BYTES: usize = 160 * 1024;
const MAX_INPUT_BYTES: usize = 8 * 1024 * 1024;
/// After a connection could not be accepted for want of anything, the next is not tried for so long.
const ACCEPT_RETRY_INTERVAL: Span = Span::from_millis(100);
/// How long a connection closed by us may go on sending what nobody reads, before it is cut.
const LINGER_TIMEOUT: Span = Span::from_millis(1_000);
/// Connections waiting to be accepted.
const LISTEN_BACKLOG: i32 = 1_024;

const LISTENER_KEY: usize = usize::MAX - 1;
const STOP_KEY: usize = usize::MAX - 2;
const RELOAD_KEY: usize = usize::MAX - 3;
/// A token is a place in the table and the count of its uses, so that news of a socket long closed reaches
/// nobody.
const SLOT_BITS: u32 = 20;

/// Unix time that never steps: read from the system once, then advanced by the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_nanos_at_start: u64,
}

impl Clock {
    pub fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_nanos_at_start: u64::try_from(unix.as_nanos()).unwrap_or(0) }
    }

    pub fn now(&self) -> Time {
        let since = u64::try_from(self.start.elapsed().as_nanos()).unwrap_or(u64::MAX);
        Time::from_nanos(self.unix_nanos_at_start.saturating_add(since))
    }
}

/// Names an open connection; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Token(usize);

impl Token {
    fn slot(self) -> usize {
        self.0 & ((1 << SLOT_BITS) - 1)
    }
}

/// Whom a connection was opened for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Client,
    Endpoint,
    Watch,
    Notices,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEvent {
    /// A client has connected.
    Accepted,
    /// The connection that we opened is up.
    Connected,
    /// There are new bytes in the input, or it is to be looked at again.
    Readable,
    /// The peer has ended or broken the connection; it is still to be closed.
    PeerClosed,
    /// The time given by [`Net::due`] has come.
    DeadlineReached,
}

/// What a turn brings.
#[derive(Debug, Default)]
pub struct Turn {
    pub connection_events: Vec<(Token, Role, ConnectionEvent)>,
    /// A signal to stop has come.
    pub is_stop_requested: bool,
    /// A signal to read the configuration anew has come.
    pub is_reload_requested: bool,
}

/// Signals come as bytes: those to stop, and those to read the configuration anew.
pub struct Signals {
    pub stop: UnixStream,
    pub reload: UnixStream,
}

struct Connection {
    socket: Socket,
    role: Role,
    is_connected: bool,
    is_peer_closed: bool,
    /// Closed by its owner: only what is queued goes out.
    is_closing: bool,
    input: Vec<u8>,
    output: VecDeque<u8>,
    interest: (bool, bool),
    deadline: Time,
}

pub struct Net {
    clock: Clock,
    poller: Poller,
    events: Events,
    listener: Option<TcpListener>,
    is_accepting: bool,
    signals: Signals,
    slots: Vec<(usize, Option<Connection>)>,
    free_slots: Vec<usize>,
    deadlines: BTreeSet<(Time, Token)>,
    unflushed: BTreeSet<Token>,
    deferred_events: Vec<(Token, Role, ConnectionEvent)>,
    client_count: usize,
    max_clients: usize,
    /// When clients are accepted again that could not be.
    accept_retry_at: Time,
}

impl Net {
    /// Listens on an address.
    pub fn new(clock: Clock, listen: SocketAddr, signals: Signals, clients_most: usize) -> io::Result<Net> {
        let socket = Socket::new(Domain::for_address(listen), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.bind(&listen.into())?;
        socket.listen(LISTEN_BACKLOG)?;
        socket.set_nonblocking(true)?;
        let listener = TcpListener::from(socket);
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
            signals,
            slots: Vec::new(),
            free_slots: Vec::new(),
            deadlines: BTreeSet::new(),
            unflushed: BTreeSet::new(),
            deferred_events: Vec::new(),
            client_count: 0,
            max_clients: clients_most,
            accept_retry_at: Time::NEVER,
        })
    }

    pub fn local_addr(&self) -> Option<SocketAddr> {
        self.listener.as_ref().and_then(|listener| listener.local_addr().ok())
    }

    /// Waits for the next happenings, no longer than `until`, and gathers all that there are.
    pub fn poll(&mut self, until: Time) -> Turn {
        let until = self.deadlines.first().map_or(until, |due| due.0.min(until)).min(self.accept_retry_at);
        let mut left = Duration::from_nanos(until.since(self.clock.now()).as_nanos());
        let mut turn =
            Turn { connection_events: std::mem::take(&mut self.deferred_events), ..Turn::default() };
        if !turn.connection_events.is_empty() {
            left = Duration::ZERO;
        }
        self.events.clear();
        // An interrupted wait is a turn in which nothing happened.
        let _ = self.poller.wait(&mut self.events, Some(left));
        let events: Vec<Event> = self.events.iter().collect();
        for event in events {
            match event.key {
                LISTENER_KEY => self.accept(&mut turn),
                STOP_KEY => turn.is_stop_requested |= drain_signals(&self.signals.stop),
                RELOAD_KEY => turn.is_reload_requested |= drain_signals(&self.signals.reload),
                key => self.handle_readiness(Token(key), &mut turn),
            }
        }
        let now = self.clock.now();
        if self.accept_retry_at <= now {
            self.accept_retry_at = Time::NEVER;
            self.set_accepting(true);
        }
        while let Some((_, token)) = self.deadlines.first().copied().filter(|due| due.0 <= now) {
            self.set_deadline(token, Time::NEVER);
            match self.connection(token).map(|conn| (conn.is_closing, conn.role)) {
                Some((true, _)) => self.close(token),
                Some((false, role)) => {
                    turn.connection_events.push((token, role, ConnectionEvent::DeadlineReached))
                }
                None => {}
            }
        }
        turn
    }

    fn accept(&mut self, turn: &mut Turn) {
        while self.client_count < self.max_clients {
            let Some(listener) = &self.listener else { return };
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => {
                    // Guards against a want of descriptors or memory: it would be told of the same client for ever.
                    self.accept_retry_at = self.clock.now() + ACCEPT_RETRY_INTERVAL;
                    return self.set_accepting(false);
                }
            };
            let socket = Socket::from(stream);
            if socket.set_nonblocking(true).is_err() {
                continue;
            }
            // Without it answers still arrive, only later.
            let _ = socket.set_tcp_nodelay(true);
            if let Ok(token) = self.insert(socket, Role::Client, true) {
                turn.connection_events.push((token, Role::Client, ConnectionEvent::Accepted));
            }
        }
        // Guards against more clients than there are descriptors: the rest wait unaccepted.
        self.set_accepting(false);
    }

    fn set_accepting(&mut self, wanted: bool) {
        if let Some(listener) = self.listener.as_ref().filter(|_| self.is_accepting != wanted) {
            let interest = if wanted { Event::readable(LISTENER_KEY) } else { Event::none(LISTENER_KEY) };
            let done = self.poller.modify_with_mode(listener, interest, PollMode::Level);
            self.is_accepting = if done.is_ok() { wanted } else { self.is_accepting };
        }
    }

    /// Takes no further clients but those that have connected already.
    pub fn stop_listening(&mut self) {
        let mut last = Turn::default();
        self.accept(&mut last);
        self.deferred_events.extend(last.connection_events);
        if let Some(listener) = self.listener.take() {
            // The listener is closed with it, whatever the poller says.
            let _ = self.poller.delete(&listener);
        }
    }

    /// Begins a connection; what is written before it is up goes out then.
    pub fn open(&mut self, to: SocketAddr, role: Role) -> io::Result<Token> {
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        match socket.connect(&to.into()) {
            Ok(()) => {}
            Err(e) if e.raw_os_error() == Some(EINPROGRESS) || e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
        self.insert(socket, role, false)
    }

    fn insert(&mut self, socket: Socket, role: Role, connected: bool) -> io::Result<Token> {
        let place = self.free_slots.pop().unwrap_or_else(|| {
            self.slots.push((0, None));
            self.slots.len() - 1
        });
        let token = Token(self.slots[place].0 << SLOT_BITS | place);
        let interest = (true, !connected);
        if let Err(e) = register(&self.poller, &socket, poller_event(token, interest)) {
            self.free_slots.push(place);
            return Err(e);
        }
        self.client_count += usize::from(role == Role::Client);
        let (input, output) = (Vec::new(), VecDeque::new());
        let conn = Connection {
            socket,
            role,
            is_connected: connected,
            is_peer_closed: false,
            is_closing: false,
            input,
            output,
            interest,
            deadline: Time::NEVER,
        };
        self.slots[place].1 = Some(conn);
        Ok(token)
    }

    fn connection(&mut self, token: Token) -> Option<&mut Connection> {
        find_connection(&mut self.slots, token)
    }

    fn handle_readiness(&mut self, token: Token, turn: &mut Turn) {
        let Some(conn) = self.connection(token) else { return };
        let role = conn.role;
        if !conn.is_connected {
            match conn.socket.take_error() {
                Ok(None) if conn.socket.peer_addr().is_ok() => conn.is_connected = true,
                Ok(None) => return,
                _ => {
                    conn.is_peer_closed = true;
                    self.set_interest(token, (false, false));
                    turn.connection_events.push((token, role, ConnectionEvent::PeerClosed));
                    return;
                }
            }
            self.set_interest(token, (true, false));
            turn.connection_events.push((token, role, ConnectionEvent::Connected));
        }
        self.unflushed.insert(token);
        let Some(conn) = self.connection(token).filter(|conn| !conn.is_peer_closed) else { return };
        let (before, mut read, mut ended) = (conn.input.len(), 0, false);
        let mut piece = [0; 16 * 1024];
        let most = if role == Role::Client { MAX_CLIENT_INPUT_BYTES } else { MAX_INPUT_BYTES };
        while read < MAX_READ_BYTES_PER_TURN && conn.input.len() < most {
            match conn.socket.read(&mut piece) {
                Ok(0) => ended = true,
                Ok(count) => {
                    read += count;
                    if !conn.is_closing {
                        conn.input.extend_from_slice(&piece[..count]);
                    }
                    continue;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) => ended = e.kind() != ErrorKind::WouldBlock,
            }
            break;
        }
        if conn.input.len() > before {
            turn.connection_events.push((token, role, ConnectionEvent::Readable));
        }
        if ended {
            conn.is_peer_closed = true;
            if conn.is_closing {
                return self.close(token);
            }
            let writes = conn.interest.1;
            self.set_interest(token, (false, writes));
            turn.connection_events.push((token, role, ConnectionEvent::PeerClosed));
        }
    }

    fn set_interest(&mut self, token: Token, interest: (bool, bool)) {
        let Some(conn) = find_connection(&mut self.slots, token).filter(|conn| conn.interest != interest)
        else {
            return;
        };
        conn.interest = interest;
        // A socket that cannot be watched is found out by its due time.
        let _ = self.poller.modify_with_mode(&conn.socket, poller_event(token, interest), PollMode::Level);
    }

    /// What has come in and was not taken yet.
    pub fn input(&mut self, token: Token) -> Option<&mut Vec<u8>> {
        self.connection(token).map(|conn| &mut conn.input)
    }

    /// Queues bytes; they go out with the next [`Net::flush`], once the connection is up.
    pub fn write(&mut self, token: Token, bytes: &[u8]) {
        if let Some(conn) = self.connection(token) {
            conn.output.extend(bytes);
            self.unflushed.insert(token);
        }
    }

    /// Hands all that is queued to the system, as far as it takes it.
    pub fn flush(&mut self) {
        for token in std::mem::take(&mut self.unflushed) {
            let Some(conn) = self.connection(token).filter(|conn| conn.is_connected) else { continue };
            let mut broken = false;
            while !conn.output.is_empty() && !broken {
                let (first, _) = conn.output.as_slices();
                match conn.socket.write(first) {
                    Ok(count) => drop(conn.output.drain(..count)),
                    Err(e) if e.kind() == ErrorKind::Interrupted => {}
                    Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                    Err(_) => broken = true,
                }
            }
            let (blocked, leaving, role) = (!conn.output.is_empty(), conn.is_closing, conn.role);
            let reads = conn.interest.0;
            if broken && leaving || leaving && !blocked && conn.is_peer_closed {
                self.close(token);
            } else if broken {
                if !std::mem::replace(&mut conn.is_peer_closed, true) {
                    self.deferred_events.push((token, role, ConnectionEvent::PeerClosed));
                }
                self.set_interest(token, (false, false));
            } else {
                if leaving && !blocked {
                    // The peer may have gone already.
                    let _ = conn.socket.shutdown(Shutdown::Write);
                }
                self.set_interest(token, (reads, blocked));
            }
        }
    }

    /// Whether the connection is up.
    pub fn is_connected(&mut self, token: Token) -> bool {
        self.connection(token).is_some_and(|conn| conn.is_connected)
    }

    /// How many of the bytes queued have not been handed to the system.
    pub fn unsent_bytes(&mut self, token: Token) -> usize {
        self.connection(token).map_or(0, |conn| conn.output.len())
    }

    /// Whether there are bytes, or an end, that have not been read, here or at the system.
    pub fn has_unread(&mut self, token: Token) -> bool {
        let Some(conn) = self.connection(token) else { return false };
        let nothing = |e: io::Error| e.kind() == ErrorKind::WouldBlock;
        !conn.input.is_empty() || !conn.socket.peek(&mut [MaybeUninit::uninit()]).is_err_and(nothing)
    }

    /// Whether the peer has ended its sending.
    pub fn is_peer_closed(&mut self, token: Token) -> bool {
        self.connection(token).is_none_or(|conn| conn.is_peer_closed)
    }

    /// Sets when the connection is due, in place of an earlier time.
    pub fn set_deadline(&mut self, token: Token, at: Time) {
        let Some(conn) = self.connection(token) else { return };
        let before = std::mem::replace(&mut conn.deadline, at);
        self.deadlines.remove(&(before, token));
        if at < Time::NEVER {
            self.deadlines.insert((at, token));
        }
    }

    /// Whether the time of a connection that was found due has not been set anew since.
    pub fn has_no_deadline(&mut self, token: Token) -> bool {
        self.connection(token).is_some_and(|conn| conn.deadline == Time::NEVER)
    }

    /// Has the input looked at again in the next turn.
    pub fn read_again(&mut self, token: Token) {
        if let Some(role) = self.connection(token).map(|conn| conn.role) {
            self.deferred_events.push((token, role, ConnectionEvent::Readable));
        }
    }

    /// Closes a connection once what is queued has gone out; what still comes in is read and dropped for a
    /// while, or the peer's system would throw away the answer unread.
    pub fn close_after_flush(&mut self, token: Token) {
        let until = self.clock.now() + LINGER_TIMEOUT;
        let Some(conn) = self.connection(token) else { return };
        conn.is_closing = true;
        conn.input = Vec::new();
        self.unflushed.insert(token);
        self.set_deadline(token, until);
    }

    /// Ends our sending on a connection; what its peer still sends is read.
    pub fn shutdown_write(&mut self, token: Token) {
        if let Some(conn) = self.connection(token) {
            conn.output.clear();
            // The peer may have gone already.
            let _ = conn.socket.shutdown(Shutdown::Write);
        }
    }

    /// Closes a connection at once: the one place where sockets are given back.
    pub fn close(&mut self, token: Token) {
        let Some(due) = self.connection(token).map(|conn| conn.deadline) else { return };
        self.deadlines.remove(&(due, token));
        self.unflushed.remove(&token);
        let place = token.slot();
        let Some(conn) = self.slots[place].1.take() else { return };
        // Closing the socket takes it from the poller in any case.
        let _ = self.poller.delete(&conn.socket);
        self.slots[place].0 += 1;
        self.free_slots.push(place);
        if conn.role == Role::Client {
            self.client_count -= 1;
            self.set_accepting(true);
        }
    }

    /// Client connections that are open, and the most there may be.
    pub fn clients(&self) -> (usize, usize) {
        (self.client_count, self.max_clients)
    }
}

fn find_connection(conns: &mut [(usize, Option<Connection>)], token: Token) -> Option<&mut Connection> {
    let slot = conns.get_mut(token.slot())?;
    if slot.0 == token.0 >> SLOT_BITS { slot.1.as_mut() } else { None }
}

fn drain_signals(mut stream: &UnixStream) -> bool {
    matches!(stream.read(&mut [0; 64]), Ok(count) if count > 0)
}

/// A connection is under way.
const EINPROGRESS: i32 = 115;

fn poller_event(token: Token, (reads, writes): (bool, bool)) -> Event {
    Event::new(token.0, reads, writes)
}

#[allow(unsafe_code)]
fn register(poller: &Poller, source: &(impl AsRawFd + AsFd), interest: Event) -> io::Result<()> {
    // SAFETY: every source given here is owned by `Net`, which takes it out of the poller before it drops it:
    // the connections in `close`, the listener in `stop_listening`; all others are dropped together with the
    // poller.
    unsafe { poller.add_with_mode(source, interest, PollMode::Level) }
}
