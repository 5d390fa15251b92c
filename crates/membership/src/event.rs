//! Input and output of the state machine: events that are passed in, and commands that it returns.

use std::net::SocketAddr;

use juniperwing_clock::Time;

use crate::member::{Member, Status};
use crate::wire::DecodeError;

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// A datagram was received. Pass all datagrams in the socket buffer before a tick; otherwise an ack that has
    /// already arrived counts as missing.
    Datagram {
        /// The address of the sender.
        from: SocketAddr,
        /// The encoded datagram.
        bytes: &'a [u8],
    },
    /// The time of the last [`Command::WakeAt`] was reached. Earlier ticks have no effect on the protocol.
    Tick,
    /// The process is about to terminate. Other members are notified; from then on only pings are replied to.
    Leave,
    /// The addresses of the seeds have changed.
    SeedsChanged(Vec<SocketAddr>),
}

/// An output of the state machine. Commands are to be executed in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send a datagram; it may be lost.
    Send {
        /// The receiver.
        to: SocketAddr,
        /// The encoded datagram, at most [`MAX_DATAGRAM_BYTES`](crate::MAX_DATAGRAM_BYTES).
        bytes: Vec<u8>,
    },
    /// The status, run id or address of a member has changed. Never reported for the local member.
    Changed {
        /// The member.
        member: Member,
        /// The new status.
        status: Status,
    },
    /// Pass [`Event::Tick`] at this time; it replaces the time of earlier commands.
    WakeAt(Time),
    /// A datagram could not be decoded and was dropped.
    Rejected {
        /// The address of the sender.
        from: SocketAddr,
        /// Why it could not be decoded.
        reason: DecodeError,
    },
    /// Another process uses the name of the local member (for instance a replaced machine that resumed). It keeps
    /// refuting this member's records, so it is not refuted any more while it is alive. Reported once per run id.
    Conflict {
        /// The other process, as described by its own record.
        duplicate: Member,
    },
}
