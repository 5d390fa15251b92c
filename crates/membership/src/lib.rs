//! SWIM membership: which processes of the serving tier are alive, and where they listen.
//!
//! [`Membership`] is a pure state machine. It is handed the time, datagrams and ticks, and returns datagrams to
//! send, changes to report and the time of its next wake-up. It opens no socket, reads no clock and draws rng
//! only from the seed it was given.
//!
//! - **Failure detection.** Once a probe interval one member is pinged, in a shuffled round. Without an answer a
//!   few others are asked to ping it; without any, it is suspected. It is declared dead when it has not refuted
//!   the suspicion within a time that grows with the logarithm of the number of members.
//! - **Precedence.** What is said about a member is ordered by incarnation, life and status ([`Record`]); a
//!   member alone raises its incarnation. A restarted process has another life and raises its incarnation above
//!   what the others still hold of the life before.
//! - **Dissemination.** Updates ride on probes and answers, and on a few extra datagrams while there are any;
//!   each is sent about `3 * log2(n + 1)` times.
//! - **Reconciliation.** Members compare digests of their tables now and then and exchange what differs, in
//!   bounded pages. Seeds and dead members are contacted now and then, so a partition heals.
//!
//! # Cost
//!
//! At rest a member sends one ping and one answer per probe interval and one digest per sync interval, whatever
//! the number of members: with 760 of them (700 relays and 60 others), the datagrams per second and the bytes of
//! each are those of a tier of 20. The table takes one entry per member (at most [`MAX_MEMBERS`]). While there are
//! updates, up to `gossip_fanout` more datagrams per probe interval are sent, of at most
//! [`MAX_DATAGRAM_BYTES`] each.

mod digest;
mod dissemination;
mod jitter;
mod member;
mod membership;
mod probe;
mod reconcile;
mod settings;
mod table;
mod wire;

pub use digest::{Buckets, HashRange};
pub use member::{Incarnation, Member, MemberId, Record, Role, RunId, Status};
pub use membership::{Command, Event, Membership};
pub use settings::{MAX_SEEDS, Settings, SettingsError, Timings};
pub use table::MAX_MEMBERS;
pub use wire::{
    Datagram, DecodeError, MAX_DATAGRAM_BYTES, MAX_INCARNATION, MAX_TEXT_BYTES, Message, Sequence,
    WIRE_VERSION, encode,
};
