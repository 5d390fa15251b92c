//! A connection with its buffers, and the table of all of them.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::mem::MaybeUninit;

use juniperwing::time::Time;
use socket2::Socket;

use super::ConnectionRole;

/// The maximum number of bytes read from one socket in an iteration, so that one busy peer does not delay others.
const MAX_READ_BYTES_PER_TURN: usize = 64 * 1024;
/// The size of one read, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// The maximum number of unprocessed bytes in a client's input buffer; no more are read. A request with all its chunk
/// frames is shorter.
const MAX_CLIENT_INPUT_BYTES: usize = 160 * 1024;
/// The same for any other connection; a line of discovery's is shorter.
const MAX_INPUT_BYTES: usize = 8 * 1024 * 1024;
/// A token is a slot of the table and the number of its uses, so that an event of a closed connection is ignored.
const SLOT_BITS: u32 = 20;

/// Names an open connection; never used twice.
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

/// What the poller is to report of a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Interest {
    pub(super) reads: bool,
    pub(super) writes: bool,
}

impl Interest {
    pub(super) const NONE: Interest = Interest { reads: false, writes: false };
    pub(super) const READS: Interest = Interest { reads: true, writes: false };
}

/// The state of an attempt to connect.
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

/// How far queued output could be written.
pub(super) enum FlushResult {
    Complete,
    /// The system's buffer is full.
    Blocked,
    Broken,
}

pub(super) struct Connection {
    pub(super) socket: Socket,
    pub(super) role: ConnectionRole,
    pub(super) is_connected: bool,
    pub(super) is_peer_closed: bool,
    /// Closed by its owner: only the queued output is still written.
    pub(super) is_closing: bool,
    pub(super) input: Vec<u8>,
    pub(super) output: VecDeque<u8>,
    pub(super) interest: Interest,
    /// [`Time::NEVER`] without one.
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

    /// Reads what the system has, within the limits. Input of a closing connection is dropped.
    pub(super) fn read_available(&mut self) -> ReadResult {
        let max_input_bytes =
            if self.role == ConnectionRole::Client { MAX_CLIENT_INPUT_BYTES } else { MAX_INPUT_BYTES };
        let (bytes_before, mut bytes_read, mut is_peer_closed) = (self.input.len(), 0, false);
        let mut buffer = [0; READ_BUFFER_BYTES];
        while bytes_read < MAX_READ_BYTES_PER_TURN && self.input.len() < max_input_bytes {
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

    /// Writes the queued output as far as the system accepts it.
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

    /// Whether there are bytes, or an end, that have not been read, here or at the system.
    pub(super) fn has_unread(&self) -> bool {
        let is_empty = |e: io::Error| e.kind() == ErrorKind::WouldBlock;
        !self.input.is_empty() || !self.socket.peek(&mut [MaybeUninit::uninit()]).is_err_and(is_empty)
    }
}

#[derive(Default)]
struct Slot {
    /// How many connections have been in this slot.
    use_count: usize,
    connection: Option<Connection>,
}

/// The open connections by their tokens.
#[derive(Default)]
pub(super) struct ConnectionTable {
    slots: Vec<Slot>,
    free_slots: Vec<usize>,
}

impl ConnectionTable {
    /// Takes a free slot; [`ConnectionTable::insert`] or [`ConnectionTable::release`] is to follow.
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

    /// Removes an open connection; its token is not used again.
    pub(super) fn remove(&mut self, token: Token) -> Option<Connection> {
        self.get_mut(token)?;
        let slot = &mut self.slots[token.slot()];
        slot.use_count += 1;
        self.free_slots.push(token.slot());
        slot.connection.take()
    }
}
