//! Connections with their buffers, and the connection table.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::mem::MaybeUninit;

use juniperwing::time::Time;
use socket2::Socket;

use super::ConnectionRole;

/// The maximum number of bytes read from one socket in an iteration, so that a busy peer does not delay others.
const MAX_READ_BYTES_PER_ITERATION: usize = 64 * 1024;
/// The size of one read, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// The maximum number of unprocessed bytes in a client's input buffer; reading pauses at the limit. A request including
/// its chunk framing is shorter.
const MAX_CLIENT_INPUT_BYTES: usize = 160 * 1024;
/// The same limit for other connections; a line from discovery is shorter.
const MAX_INPUT_BYTES: usize = 8 * 1024 * 1024;
/// The number of bits of a token that hold its slot in the table. The others hold the slot's use count, so that events
/// of closed connections are ignored.
const SLOT_BITS: u32 = 20;

/// Identifies an open connection; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Token(pub(super) usize);

impl Token {
    fn new(slot: usize, use_count: usize) -> Token {
        Token(use_count << SLOT_BITS | slot)
    }

    fn slot(self) -> usize {
        self.0 & ((1 << SLOT_BITS) - 1)
    }

    fn use_count(self) -> usize {
        self.0 >> SLOT_BITS
    }
}

/// The readiness events that the poller reports for a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Interest {
    pub(super) reads: bool,
    pub(super) writes: bool,
}

impl Interest {
    pub(super) const NONE: Interest = Interest { reads: false, writes: false };
    pub(super) const READS: Interest = Interest { reads: true, writes: false };
}

/// The state of a connection attempt.
pub(super) enum ConnectProgress {
    Pending,
    Connected,
    Failed,
}

/// The result of a read.
pub(super) struct ReadResult {
    pub(super) has_new_input: bool,
    pub(super) is_peer_closed: bool,
}

/// The result of writing queued output.
pub(super) enum FlushResult {
    Complete,
    /// The socket's send buffer is full.
    Blocked,
    Broken,
}

pub(super) struct Connection {
    pub(super) socket: Socket,
    pub(super) role: ConnectionRole,
    pub(super) is_connected: bool,
    pub(super) is_peer_closed: bool,
    /// Closed by its owner: only queued output is still written.
    pub(super) is_closing: bool,
    pub(super) input: Vec<u8>,
    pub(super) output: VecDeque<u8>,
    pub(super) interest: Interest,
    /// The deadline; [`Time::NEVER`] if there is none.
    pub(super) deadline: Time,
}

impl Connection {
    pub(super) fn new(socket: Socket, role: ConnectionRole, is_connected: bool) -> Connection {
        Connection {
            socket,
            role,
            is_connected,
            is_peer_closed: false,
            is_closing: false,
            input: Vec::new(),
            output: VecDeque::new(),
            interest: Interest { reads: true, writes: !is_connected },
            deadline: Time::NEVER,
        }
    }

    pub(super) fn connect_progress(&self) -> ConnectProgress {
        match self.socket.take_error() {
            Ok(None) if self.socket.peer_addr().is_ok() => ConnectProgress::Connected,
            Ok(None) => ConnectProgress::Pending,
            _ => ConnectProgress::Failed,
        }
    }

    /// Reads the available data, up to the limits. Input of a closing connection is discarded.
    pub(super) fn read_available(&mut self) -> ReadResult {
        let max_input_bytes =
            if self.role == ConnectionRole::Client { MAX_CLIENT_INPUT_BYTES } else { MAX_INPUT_BYTES };
        let (bytes_before, mut bytes_read, mut is_peer_closed) = (self.input.len(), 0, false);
        let mut buffer = [0; READ_BUFFER_BYTES];
        while bytes_read < MAX_READ_BYTES_PER_ITERATION && self.input.len() < max_input_bytes {
            match self.socket.read(&mut buffer) {
                Ok(0) => is_peer_closed = true,
                Ok(count) => {
                    bytes_read += count;
                    if !self.is_closing {
                        self.input.extend_from_slice(&buffer[..count]);
                    }
                    continue;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) => is_peer_closed = e.kind() != ErrorKind::WouldBlock,
            }
            break;
        }
        ReadResult { has_new_input: self.input.len() > bytes_before, is_peer_closed }
    }

    /// Writes queued output until the socket accepts no more.
    pub(super) fn flush_output(&mut self) -> FlushResult {
        while !self.output.is_empty() {
            let (first, _) = self.output.as_slices();
            match self.socket.write(first) {
                Ok(count) => drop(self.output.drain(..count)),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return FlushResult::Blocked,
                Err(_) => return FlushResult::Broken,
            }
        }
        FlushResult::Complete
    }

    /// Whether there is unprocessed input, or unread data or an end of stream on the socket.
    pub(super) fn has_unread(&self) -> bool {
        let would_block = |e: io::Error| e.kind() == ErrorKind::WouldBlock;
        !self.input.is_empty() || !self.socket.peek(&mut [MaybeUninit::uninit()]).is_err_and(would_block)
    }
}

#[derive(Default)]
struct Slot {
    /// The number of connections that have used this slot.
    use_count: usize,
    connection: Option<Connection>,
}

/// The open connections, indexed by token.
#[derive(Default)]
pub(super) struct ConnectionTable {
    slots: Vec<Slot>,
    free_slots: Vec<usize>,
}

impl ConnectionTable {
    /// Reserves a slot; [`ConnectionTable::insert`] or [`ConnectionTable::release`] must follow.
    pub(super) fn reserve(&mut self) -> Token {
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.slots.push(Slot::default());
            self.slots.len() - 1
        });
        Token::new(slot, self.slots[slot].use_count)
    }

    /// Releases a reserved slot that was not used.
    pub(super) fn release(&mut self, token: Token) {
        self.free_slots.push(token.slot());
    }

    pub(super) fn insert(&mut self, token: Token, connection: Connection) {
        self.slots[token.slot()].connection = Some(connection);
    }

    pub(super) fn get_mut(&mut self, token: Token) -> Option<&mut Connection> {
        let slot = self.slots.get_mut(token.slot())?;
        if slot.use_count == token.use_count() { slot.connection.as_mut() } else { None }
    }

    /// Removes an open connection; its token is not reused.
    pub(super) fn remove(&mut self, token: Token) -> Option<Connection> {
        self.get_mut(token)?;
        let slot = &mut self.slots[token.slot()];
        slot.use_count += 1;
        self.free_slots.push(token.slot());
        slot.connection.take()
    }
}
