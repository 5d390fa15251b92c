//! Primary-backup replication with witnesses that store only epochs.
//!
//! A [`Replica`] is a pure state machine: it takes the time and an [`Event`] and returns [`Command`]s. It
//! reads no clock, draws no randomness except from the seed it is given, and does no I/O.
//!
//! The protocol has two layers:
//!
//! 1. **Epochs.** An epoch specifies the primary, the in-sync replicas and the voters. The next one is chosen by
//!    promises and acceptances (Paxos) of a majority of the current voters (and of the new ones, if they
//!    differ). Only a member of the highest epoch's in-sync set can become primary, so a primary has all
//!    acknowledged changes. Its own promise fences the old primary, whose writes need its acknowledgement.
//! 2. **State.** The primary writes one change at a time to all in-sync replicas and acknowledges it when
//!    each has it on disk and there are at least [`Settings::min_in_sync_replicas`] of them. There is no log:
//!    a replica that lags is sent the changes it lacks, or the complete state.
//!
//! A new primary first brings all in-sync replicas to its own version, which completes the writes that were
//! not acknowledged, and serves no requests until then. A restarted process is never primary of an epoch of
//! its former incarnation.
//!
//! Reads depend on no clock and no lease: a read is confirmed by a round of heartbeats that began after the
//! read and was answered by a majority of voters. A process that was frozen in between therefore returns no
//! stale state.

mod acceptor;
mod election;
mod epoch;
mod epoch_plan;
mod error;
mod interface;
mod jitter;
mod leadership;
mod persistence;
mod pre_vote;
mod recent_changes;
mod replica;
mod settings;
mod state;
mod state_transfer;

pub use acceptor::AcceptorState;
pub use error::{MalformedState, ProposeError, ReadError};
pub use interface::{Command, Event, PersistToken, ProposeToken, ReadToken, Record, Role};
pub use replica::Replica;
pub use settings::{MAX_VOTERS, Settings, Timings};
pub use state::{ReplicatedState, Versioned};
