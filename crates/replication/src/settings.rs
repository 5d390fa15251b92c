//! Settings of a replica.

use std::net::SocketAddr;

use juniperwing_clock::Span;
use juniperwing_protocol::replication::Voter;

/// The most voters that an epoch has.
pub const MAX_VOTERS: usize = 9;

/// What a replica is told when it starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This keeper.
    pub local_voter: Voter,
    /// Addresses where keepers may be found, in any order; at the first start those of the founding keepers.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the whole tier, on empty disks.
    pub bootstrap: bool,
    /// On how many disks a write must be before it is acknowledged, this keeper's included; at least 1.
    pub min_in_sync_replicas: usize,
    /// Spans of time.
    pub timings: Timings,
}

impl Settings {
    /// The fewest voters that are kept, even if some are silent: as many as founded the tier or are needed for
    /// the copies.
    pub(crate) fn least_voters(&self) -> usize {
        self.seeds.len().max(2 * self.min_in_sync_replicas - 1)
    }

    /// Whether one of `voters` may go and as many losses can be borne as before.
    pub(crate) fn may_drop_one_of(&self, voters: usize) -> bool {
        voters > self.least_voters() && voters.is_multiple_of(2)
    }
}

/// The spans that a replica goes by.
#[derive(Clone, Copy, Debug)]
pub struct Timings {
    /// Between two heartbeats of the primary.
    pub heartbeat_interval: Span,
    /// Without a heartbeat for so long, the first of the backups seeks to become primary; without a majority of
    /// answers for so long, a primary steps down.
    pub election_timeout: Span,
    /// How much longer than the one before it each further backup waits.
    pub election_stagger: Span,
    /// A backup that confirms nothing for so long leaves the in-sync set.
    pub ack_timeout: Span,
    /// A voter that answers nothing for so long may be replaced by a keeper that asks to be let in.
    pub voter_timeout: Span,
    /// Between two requests to be let in.
    pub join_interval: Span,
    /// How long a canvass, and an election, may take before it is given up.
    pub attempt_timeout: Span,
    /// How long a candidate with a majority waits for the remaining in-sync replicas.
    pub straggler_wait: Span,
    /// Before a promise or acceptance is asked for again.
    pub resend_interval: Span,
    /// The longest that a proposal or a read waits.
    pub request_timeout: Span,
    /// Bytes in a millisecond on the slowest link that a whole state must get over: what is on its way for
    /// longer than that takes counts as lost.
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
