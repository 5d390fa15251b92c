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
const READ_MOST: usize = 64 * 1024;
/// Bytes that may wait to be taken from one connection's input; no more are read. A client's request with all its
/// frames is shorter, and so is a line of discovery's.
const CLIENT_INPUT_MOST: usize = 160 * 1024;
const INPUT_MOST: usize = 8 * 1024 * 1024;
/// After a connection could not be accepted for want of anything, the next is not tried for so long.
const ACCEPT_PAUSE: Span = Span::from_millis(100);
/// How long a connection closed by us may go on sending what nobody reads, before it is cut.
const LINGER: Span = Span::from_millis(1_000);
/// Connections waiting to be accepted.
const BACKLOG: i32 = 1_024;

const LISTENER: usize = usize::MAX - 1;
const STOP: usize = usize::MAX - 2;
const RELOAD: usize = usize::MAX - 3;
/// A token is a place in the table and the count of its uses, so that news of a socket long closed reaches
/// nobody.
const PLACE_BITS: u32 = 20;

/// Unix time that never steps: read from the system once, then advanced by the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix: u64,
}

impl Clock {
    pub fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix: u64::try_from(unix.as_nanos()).unwrap_or(0) }
    }

    pub fn now(&self) -> Time {
        let since = u64::try_from(self.start.elapsed().as_nanos()).unwrap_or(u64::MAX);
        Time::from_nanos(self.unix.saturating_add(since))
    }
}

/// Names an open connection; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Token(usize);

impl Token {
    fn place(self) -> usize {
        self.0 & ((1 << PLACE_BITS) - 1)
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
pub enum Happening {
    /// A client has connected.
    Accepted,
    /// The connection that we opened is up.
    Up,
    /// There are new bytes in the input, or it is to be looked at again.
    Data,
    /// The peer has ended or broken the connection; it is still to be closed.
    Ended,
    /// The time given by [`Net::due`] has come.
    Due,
}

/// What a turn brings.
#[derive(Debug, Default)]
pub struct Turn {
    pub happenings: Vec<(Token, Role, Happening)>,
    /// A signal to stop has come.
    pub stop: bool,
    /// A signal to read the configuration anew has come.
    pub reload: bool,
}

/// Signals come as bytes: those to stop, and those to read the configuration anew.
pub struct Signals {
    pub stop: UnixStream,
    pub reload: UnixStream,
}

struct Conn {
    socket: Socket,
    role: Role,
    connected: bool,
    ended: bool,
    /// Closed by its owner: only what is queued goes out.
    leaving: bool,
    input: Vec<u8>,
    output: VecDeque<u8>,
    interest: (bool, bool),
    due: Time,
}

pub struct Net {
    clock: Clock,
    poller: Poller,
    events: Events,
    listener: Option<TcpListener>,
    listening: bool,
    signals: Signals,
    conns: Vec<(usize, Option<Conn>)>,
    free: Vec<usize>,
    dues: BTreeSet<(Time, Token)>,
    unflushed: BTreeSet<Token>,
    again: Vec<(Token, Role, Happening)>,
    clients: usize,
    clients_most: usize,
    /// When clients are accepted again that could not be.
    accept_at: Time,
}

impl Net {
    /// Listens on an address.
    pub fn new(clock: Clock, listen: SocketAddr, signals: Signals, clients_most: usize) -> io::Result<Net> {
        let socket = Socket::new(Domain::for_address(listen), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.bind(&listen.into())?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        let listener = TcpListener::from(socket);
        let poller = Poller::new()?;
        register(&poller, &listener, Event::readable(LISTENER))?;
        for (stream, key) in [(&signals.stop, STOP), (&signals.reload, RELOAD)] {
            stream.set_nonblocking(true)?;
            register(&poller, stream, Event::readable(key))?;
        }
        Ok(Net {
            clock,
            poller,
            events: Events::new(),
            listener: Some(listener),
            listening: true,
            signals,
            conns: Vec::new(),
            free: Vec::new(),
            dues: BTreeSet::new(),
            unflushed: BTreeSet::new(),
            again: Vec::new(),
            clients: 0,
            clients_most,
            accept_at: Time::NEVER,
        })
    }

    pub fn local_addr(&self) -> Option<SocketAddr> {
        self.listener.as_ref().and_then(|listener| listener.local_addr().ok())
    }

    /// Waits for the next happenings, no longer than `until`, and gathers all that there are.
    pub fn wait(&mut self, until: Time) -> Turn {
        let until = self.dues.first().map_or(until, |due| due.0.min(until)).min(self.accept_at);
        let mut left = Duration::from_nanos(until.since(self.clock.now()).as_nanos());
        let mut turn = Turn { happenings: std::mem::take(&mut self.again), ..Turn::default() };
        if !turn.happenings.is_empty() {
            left = Duration::ZERO;
        }
        self.events.clear();
        // An interrupted wait is a turn in which nothing happened.
        let _ = self.poller.wait(&mut self.events, Some(left));
        let events: Vec<Event> = self.events.iter().collect();
        for event in events {
            match event.key {
                LISTENER => self.accept(&mut turn),
                STOP => turn.stop |= signalled(&self.signals.stop),
                RELOAD => turn.reload |= signalled(&self.signals.reload),
                key => self.ready(Token(key), &mut turn),
            }
        }
        let now = self.clock.now();
        if self.accept_at <= now {
            self.accept_at = Time::NEVER;
            self.listen(true);
        }
        while let Some((_, token)) = self.dues.first().copied().filter(|due| due.0 <= now) {
            self.due(token, Time::NEVER);
            match self.conn(token).map(|conn| (conn.leaving, conn.role)) {
                Some((true, _)) => self.close(token),
                Some((false, role)) => turn.happenings.push((token, role, Happening::Due)),
                None => {}
            }
        }
        turn
    }

    fn accept(&mut self, turn: &mut Turn) {
        while self.clients < self.clients_most {
            let Some(listener) = &self.listener else { return };
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => {
                    // Guards against a want of descriptors or memory: it would be told of the same client for ever.
                    self.accept_at = self.clock.now() + ACCEPT_PAUSE;
                    return self.listen(false);
                }
            };
            let socket = Socket::from(stream);
            if socket.set_nonblocking(true).is_err() {
                continue;
            }
            // Without it answers still arrive, only later.
            let _ = socket.set_tcp_nodelay(true);
            if let Ok(token) = self.insert(socket, Role::Client, true) {
                turn.happenings.push((token, Role::Client, Happening::Accepted));
            }
        }
        // Guards against more clients than there are descriptors: the rest wait unaccepted.
        self.listen(false);
    }

    fn listen(&mut self, wanted: bool) {
        if let Some(listener) = self.listener.as_ref().filter(|_| self.listening != wanted) {
            let interest = if wanted { Event::readable(LISTENER) } else { Event::none(LISTENER) };
            let done = self.poller.modify_with_mode(listener, interest, PollMode::Level);
            self.listening = if done.is_ok() { wanted } else { self.listening };
        }
    }

    /// Takes no further clients but those that have connected already.
    pub fn stop_listening(&mut self) {
        let mut last = Turn::default();
        self.accept(&mut last);
        self.again.extend(last.happenings);
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
        let place = self.free.pop().unwrap_or_else(|| {
            self.conns.push((0, None));
            self.conns.len() - 1
        });
        let token = Token(self.conns[place].0 << PLACE_BITS | place);
        let interest = (true, !connected);
        if let Err(e) = register(&self.poller, &socket, event(token, interest)) {
            self.free.push(place);
            return Err(e);
        }
        self.clients += usize::from(role == Role::Client);
        let (input, output) = (Vec::new(), VecDeque::new());
        let conn = Conn {
            socket,
            role,
            connected,
            ended: false,
            leaving: false,
            input,
            output,
            interest,
            due: Time::NEVER,
        };
        self.conns[place].1 = Some(conn);
        Ok(token)
    }

    fn conn(&mut self, token: Token) -> Option<&mut Conn> {
        find(&mut self.conns, token)
    }

    fn ready(&mut self, token: Token, turn: &mut Turn) {
        let Some(conn) = self.conn(token) else { return };
        let role = conn.role;
        if !conn.connected {
            match conn.socket.take_error() {
                Ok(None) if conn.socket.peer_addr().is_ok() => conn.connected = true,
                Ok(None) => return,
                _ => {
                    conn.ended = true;
                    self.watch_for(token, (false, false));
                    turn.happenings.push((token, role, Happening::Ended));
                    return;
                }
            }
            self.watch_for(token, (true, false));
            turn.happenings.push((token, role, Happening::Up));
        }
        self.unflushed.insert(token);
        let Some(conn) = self.conn(token).filter(|conn| !conn.ended) else { return };
        let (before, mut read, mut ended) = (conn.input.len(), 0, false);
        let mut piece = [0; 16 * 1024];
        let most = if role == Role::Client { CLIENT_INPUT_MOST } else { INPUT_MOST };
        while read < READ_MOST && conn.input.len() < most {
            match conn.socket.read(&mut piece) {
                Ok(0) => ended = true,
                Ok(count) => {
                    read += count;
                    if !conn.leaving {
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
            turn.happenings.push((token, role, Happening::Data));
        }
        if ended {
            conn.ended = true;
            if conn.leaving {
                return self.close(token);
            }
            let writes = conn.interest.1;
            self.watch_for(token, (false, writes));
            turn.happenings.push((token, role, Happening::Ended));
        }
    }

    fn watch_for(&mut self, token: Token, interest: (bool, bool)) {
        let Some(conn) = find(&mut self.conns, token).filter(|conn| conn.interest != interest) else {
            return;
        };
        conn.interest = interest;
        // A socket that cannot be watched is found out by its due time.
        let _ = self.poller.modify_with_mode(&conn.socket, event(token, interest), PollMode::Level);
    }

    /// What has come in and was not taken yet.
    pub fn input(&mut self, token: Token) -> Option<&mut Vec<u8>> {
        self.conn(token).map(|conn| &mut conn.input)
    }

    /// Queues bytes; they go out with the next [`Net::flush`], once the connection is up.
    pub fn write(&mut self, token: Token, bytes: &[u8]) {
        if let Some(conn) = self.conn(token) {
            conn.output.extend(bytes);
            self.unflushed.insert(token);
        }
    }

    /// Hands all that is queued to the system, as far as it takes it.
    pub fn flush(&mut self) {
        for token in std::mem::take(&mut self.unflushed) {
            let Some(conn) = self.conn(token).filter(|conn| conn.connected) else { continue };
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
            let (blocked, leaving, role) = (!conn.output.is_empty(), conn.leaving, conn.role);
            let reads = conn.interest.0;
            if broken && leaving || leaving && !blocked && conn.ended {
                self.close(token);
            } else if broken {
                if !std::mem::replace(&mut conn.ended, true) {
                    self.again.push((token, role, Happening::Ended));
                }
                self.watch_for(token, (false, false));
            } else {
                if leaving && !blocked {
                    // The peer may have gone already.
                    let _ = conn.socket.shutdown(Shutdown::Write);
                }
                self.watch_for(token, (reads, blocked));
            }
        }
    }

    /// Whether the connection is up.
    pub fn connected(&mut self, token: Token) -> bool {
        self.conn(token).is_some_and(|conn| conn.connected)
    }

    /// How many of the bytes queued have not been handed to the system.
    pub fn unsent(&mut self, token: Token) -> usize {
        self.conn(token).map_or(0, |conn| conn.output.len())
    }

    /// Whether there are bytes, or an end, that have not been read, here or at the system.
    pub fn has_unread(&mut self, token: Token) -> bool {
        let Some(conn) = self.conn(token) else { return false };
        let nothing = |e: io::Error| e.kind() == ErrorKind::WouldBlock;
        !conn.input.is_empty() || !conn.socket.peek(&mut [MaybeUninit::uninit()]).is_err_and(nothing)
    }

    /// Whether the peer has ended its sending.
    pub fn ended(&mut self, token: Token) -> bool {
        self.conn(token).is_none_or(|conn| conn.ended)
    }

    /// Sets when the connection is due, in place of an earlier time.
    pub fn due(&mut self, token: Token, at: Time) {
        let Some(conn) = self.conn(token) else { return };
        let before = std::mem::replace(&mut conn.due, at);
        self.dues.remove(&(before, token));
        if at < Time::NEVER {
            self.dues.insert((at, token));
        }
    }

    /// Whether the time of a connection that was found due has not been set anew since.
    pub fn is_overdue(&mut self, token: Token) -> bool {
        self.conn(token).is_some_and(|conn| conn.due == Time::NEVER)
    }

    /// Has the input looked at again in the next turn.
    pub fn again(&mut self, token: Token) {
        if let Some(role) = self.conn(token).map(|conn| conn.role) {
            self.again.push((token, role, Happening::Data));
        }
    }

    /// Closes a connection once what is queued has gone out; what still comes in is read and dropped for a
    /// while, or the peer's system would throw away the answer unread.
    pub fn leave(&mut self, token: Token) {
        let until = self.clock.now() + LINGER;
        let Some(conn) = self.conn(token) else { return };
        conn.leaving = true;
        conn.input = Vec::new();
        self.unflushed.insert(token);
        self.due(token, until);
    }

    /// Ends our sending on a connection; what its peer still sends is read.
    pub fn stop_sending(&mut self, token: Token) {
        if let Some(conn) = self.conn(token) {
            conn.output.clear();
            // The peer may have gone already.
            let _ = conn.socket.shutdown(Shutdown::Write);
        }
    }

    /// Closes a connection at once: the one place where sockets are given back.
    pub fn close(&mut self, token: Token) {
        let Some(due) = self.conn(token).map(|conn| conn.due) else { return };
        self.dues.remove(&(due, token));
        self.unflushed.remove(&token);
        let place = token.place();
        let Some(conn) = self.conns[place].1.take() else { return };
        // Closing the socket takes it from the poller in any case.
        let _ = self.poller.delete(&conn.socket);
        self.conns[place].0 += 1;
        self.free.push(place);
        if conn.role == Role::Client {
            self.clients -= 1;
            self.listen(true);
        }
    }

    /// Client connections that are open, and the most there may be.
    pub fn clients(&self) -> (usize, usize) {
        (self.clients, self.clients_most)
    }
}

fn find(conns: &mut [(usize, Option<Conn>)], token: Token) -> Option<&mut Conn> {
    let slot = conns.get_mut(token.place())?;
    if slot.0 == token.0 >> PLACE_BITS { slot.1.as_mut() } else { None }
}

fn signalled(mut stream: &UnixStream) -> bool {
    matches!(stream.read(&mut [0; 64]), Ok(count) if count > 0)
}

/// A connection is under way.
const EINPROGRESS: i32 = 115;

fn event(token: Token, (reads, writes): (bool, bool)) -> Event {
    Event::new(token.0, reads, writes)
}

#[allow(unsafe_code)]
fn register(poller: &Poller, source: &(impl AsRawFd + AsFd), interest: Event) -> io::Result<()> {
    // SAFETY: every source given here is owned by `Net`, which takes it out of the poller before it drops it:
    // the connections in `close`, the listener in `stop_listening`; all others are dropped together with the
    // poller.
    unsafe { poller.add_with_mode(source, interest, PollMode::Level) }
}
