//! Primary-backup replication with witnesses that store only epochs.
//!
//! A [`Replica`] is a pure state machine: it takes the time and an [`Event`] and returns [`Command`]s. It
//! reads no clock, draws no randomness but from the seed it is handed, and does no I/O.
//!
//! Two layers:
//!
//! 1. **Epochs.** An epoch names the primary, the in-sync replicas and the voters. The next one is chosen by
//!    promise and accept of a majority of the present voters (and of the new ones, where they differ). Only a
//!    member of the highest epoch's in-sync set can become primary, so it holds all that was acknowledged.
//!    Its own promise fences the old primary, whose writes need its confirmation.
//! 2. **State.** The primary writes one change at a time to all in-sync replicas and acknowledges it when
//!    each has it on disk and there are at least [`Settings::required_copies`] of them. There is no log:
//!    a replica that lags is sent the changes it lacks, or the whole state.
//!
//! A primary that takes office first brings all in-sync replicas to its own version, which completes whatever
//! was written and not acknowledged, and shows nothing until that is done. A process that starts again is
//! never primary of an epoch of its former life.
//!
//! Reads rest on no clock and no lease: a read is confirmed by a round of heartbeats that began after it and
//! that a majority of voters answered. A process that was frozen in between gets no false answer by it.

mod acceptor;
mod bootstrap;
mod catch_up;
mod election;
mod error;
mod follower;
mod interface;
mod jitter;
mod leadership;
mod membership;
mod persistence;
mod primary;
mod replica;
mod settings;
mod state;

pub use acceptor::AcceptorState;
pub use error::{MalformedState, ProposeError, ReadError};
pub use interface::{Command, Event, PersistToken, ProposeToken, ReadToken, Record, Role};
pub use replica::Replica;
pub use settings::{MAX_VOTERS, Settings, Timings};
pub use state::{ReplicatedState, Versioned};
