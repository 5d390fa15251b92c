//! Settings of a replica.

use std::net::SocketAddr;

use juniperwing_clock::Span;
use juniperwing_protocol::replication::Voter;

/// The maximum number of voters in an epoch.
pub const MAX_VOTERS: usize = 9;

/// Settings of a replica; fixed for one incarnation of the process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This keeper.
    pub local_voter: Voter,
    /// Addresses of other keepers, in any order; at the first start, the addresses of all keepers that
    /// bootstrap the tier.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the tier, on empty disks.
    pub bootstrap: bool,
    /// The number of disks, including this keeper's, that must hold a write before it is acknowledged; at
    /// least 1.
    pub min_in_sync_replicas: usize,
    /// Intervals and timeouts.
    pub timings: Timings,
}

impl Settings {
    /// The number of voters that are retained even if some have timed out: the number that bootstrapped the
    /// tier or the number needed for the required in-sync replicas, whichever is larger.
    pub(crate) fn min_voters(&self) -> usize {
        self.seeds.len().max(2 * self.min_in_sync_replicas - 1)
    }

    /// Whether one of `voters` may be dropped without tolerating fewer losses.
    pub(crate) fn can_drop_one_of(&self, voters: usize) -> bool {
        voters > self.min_voters() && voters.is_multiple_of(2)
    }
}

/// Intervals and timeouts of a replica.
#[derive(Clone, Copy, Debug)]
pub struct Timings {
    /// Interval between two heartbeats of the primary.
    pub heartbeat_interval: Span,
    /// The first backup starts a pre-vote after this time without a heartbeat; a primary steps down after
    /// this time without replies of a majority.
    pub election_timeout: Span,
    /// The additional time that each further backup waits compared to the previous one.
    pub election_stagger: Span,
    /// A backup that acknowledges nothing for this time leaves the in-sync set.
    pub ack_timeout: Span,
    /// A voter that does not reply for this time may be replaced by a keeper that requests to join.
    pub voter_timeout: Span,
    /// Interval between two requests to join.
    pub join_interval: Span,
    /// A pre-vote fails after this time, an election after twice this time.
    pub attempt_timeout: Span,
    /// The time that a candidate with a quorum waits for the promises of the other in-sync replicas.
    pub straggler_wait: Span,
    /// Delay before a request for a promise or acceptance is sent again.
    pub resend_interval: Span,
    /// The longest time that a proposal or a read may be pending.
    pub request_timeout: Span,
    /// Bytes per millisecond on the slowest link that must be supported. Data that has been in flight for
    /// longer than the transfer takes on this link counts as lost.
    pub min_link_bytes_per_ms: f64,
}

impl Default for Timings {
    fn default() -> Self {
        Timings {
            heartbeat_interval: Span::from_millis(150),
            election_timeout: Span::from_millis(500),
            election_stagger: Span::from_millis(120),
            ack_timeout: Span::from_millis(400),
            voter_timeout: Span::from_millis(1_000),
            join_interval: Span::from_millis(300),
            attempt_timeout: Span::from_millis(400),
            straggler_wait: Span::from_millis(80),
            resend_interval: Span::from_millis(120),
            request_timeout: Span::from_millis(2_000),
            min_link_bytes_per_ms: 1_000.0,
        }
    }
}
