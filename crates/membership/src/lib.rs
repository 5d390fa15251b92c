//! SWIM membership: which processes of the serving tier are alive, and where they listen.
//!
//! [`Membership`] is a state machine without I/O. It takes the time, datagrams and ticks, and returns datagrams to
//! send, changes to report and the time of its next wake-up. It opens no socket, reads no clock, and its random
//! numbers depend on the given seed alone.
//!
//! - **Failure detection.** Once per probe interval one member is pinged, in a shuffled round. Without an ack, a few
//!   others are asked to ping it (ping-req); without any ack, it is suspected. It is declared dead if it has not
//!   refuted the suspicion within a time that grows with the logarithm of the number of members.
//! - **Precedence.** Records of a member are ordered by incarnation, run id and status ([`Record`]); only the member
//!   itself raises its incarnation. A restarted process has another run id and raises its incarnation above that of
//!   the records of its previous run.
//! - **Dissemination.** Updates are piggybacked on pings and acks, and on a few extra datagrams while there are any;
//!   each is sent about `3 * log2(n + 1)` times.
//! - **Reconciliation.** Members periodically compare digests of their tables and exchange what differs, in bounded
//!   pages. Seeds and dead members are contacted periodically, so that a partition heals.
//!
//! # Cost
//!
//! In steady state a member sends one ping and one ack per probe interval and one digest per sync interval, whatever the
//! number of members: with 760 of them (700 relays and 60 others), the datagrams per second and the bytes of
//! each are those of a tier of 20. The table takes one entry per member (at most [`MAX_MEMBERS`]). While there are
//! updates, up to `gossip_fanout` more datagrams per probe interval are sent, of at most
//! [`MAX_DATAGRAM_BYTES`] each.

mod digest;
mod dissemination;
mod event;
mod failure_detection;
mod jitter;
mod member;
mod membership;
mod message_handlers;
mod prober;
mod reconciler;
mod reconciliation;
mod send;
mod settings;
mod table;
mod update;
mod wire;

pub use digest::{Buckets, HashRange};
pub use event::{Command, Event};
pub use member::{Incarnation, Member, MemberId, Record, Role, RunId, Status};
pub use membership::Membership;
pub use settings::{MAX_SEEDS, Settings, SettingsError, Timings};
pub use table::MAX_MEMBERS;
pub use wire::{
    Datagram, DecodeError, MAX_DATAGRAM_BYTES, MAX_INCARNATION, MAX_TEXT_BYTES, Message, Sequence,
    WIRE_VERSION, encode,
};
