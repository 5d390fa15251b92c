//! The order of preference among candidate endpoints.

use std::hash::{DefaultHasher, Hash, Hasher};

use juniperwing_clock::Time;
use juniperwing_protocol::identity::InstanceId;

/// The rank of an endpoint for one call; the lowest is chosen. Fields are compared in declaration order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank<'a> {
    /// The delay that the call adds, in whole multiples of the delay that one call causes, so that smaller differences
    /// are ignored.
    pub(crate) quantized_delay: u64,
    /// Whether the program's previous turn ran at another endpoint.
    pub(crate) is_cache_cold: bool,
    pub(crate) is_in_other_zone: bool,
    /// When this relay last sent a turn to the endpoint. This spreads programs, each of which stays where its first
    /// turn ran. Calls without prompts use the same time for all endpoints, which concentrates them on few endpoints so
    /// that connections are reused.
    pub(crate) last_turn_at: Time,
    /// Orders otherwise equal endpoints, differently at each relay.
    pub(crate) tie_breaker: u64,
    pub(crate) id: &'a InstanceId,
}

impl Rank<'_> {
    /// Computes the tie breaker of an endpoint at the relay with this seed.
    pub(crate) fn tie_breaker(seed: u64, id: &InstanceId) -> u64 {
        let mut hasher = DefaultHasher::new();
        (seed, id).hash(&mut hasher);
        hasher.finish()
    }
}
