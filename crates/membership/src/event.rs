//! Input and output of the state machine: events that are passed in, and commands that it returns.

use std::net::SocketAddr;

use juniperwing_clock::Time;

use crate::member::{Member, Status};
use crate::wire::DecodeError;

/// What happens to a member.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// A datagram has come. Hand in all that wait in the socket before a tick, so that no answer counts as
    /// missing that is already there.
    Datagram {
        /// Its sender's address.
        from: SocketAddr,
        /// Its bytes.
        bytes: &'a [u8],
    },
    /// The time of the last [`Command::WakeAt`] has come. Earlier ticks do no harm.
    Tick,
    /// The process is about to end. The others are told; nothing but pings is answered from then on.
    Leave,
    /// Other seeds, from settings that have changed.
    SeedsChanged(Vec<SocketAddr>),
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send a datagram; it may be lost.
    Send {
        /// Where to.
        to: SocketAddr,
        /// Its bytes, at most [`MAX_DATAGRAM_BYTES`](crate::MAX_DATAGRAM_BYTES).
        bytes: Vec<u8>,
    },
    /// A member's status, life or address is another than before. Never reported of the member itself.
    Changed {
        /// The member.
        member: Member,
        /// Its status from now on.
        status: Status,
    },
    /// Hand in [`Event::Tick`] at this time; replaces the time given before.
    WakeAt(Time),
    /// A datagram was not understood and has been dropped.
    Rejected {
        /// Its sender's address.
        from: SocketAddr,
        /// What is wrong with it.
        reason: DecodeError,
    },
    /// Another process lives under the name of this one (a replaced machine that woke up, say). It has insisted, and
    /// is contradicted no more while it is held to be alive. Reported once for each of its lives.
    Conflict {
        /// What the other process tells of itself.
        duplicate: Member,
    },
}
