//! The acceptor state of a voter.

use juniperwing_protocol::EpochNumber;
use juniperwing_protocol::replication::Epoch;

/// The state of an acceptor (Paxos). It must be on disk before any reply that depends on it is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AcceptorState {
    /// No epoch below this number is accepted. Never decreases.
    pub promised: EpochNumber,
    /// The highest epoch accepted; its number is 0 if there is none. Not above `promised`.
    pub accepted: Epoch,
}
