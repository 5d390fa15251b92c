//! The order among the endpoints that may be chosen.

use std::hash::{DefaultHasher, Hash, Hasher};

use juniperwing_clock::Time;
use juniperwing_protocol::identity::InstanceId;

/// The rank of an endpoint for one call; the least is chosen. The fields are compared in their order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank<'a> {
    /// The time that the call adds, in multiples of the delay that one call makes: smaller differences do not count.
    pub(crate) added_calls: u64,
    /// Whether the program's previous turn ran elsewhere.
    pub(crate) is_cache_cold: bool,
    pub(crate) is_in_other_zone: bool,
    /// When this relay last sent the endpoint a turn: programs have to be spread, because each stays where its first
    /// turn ran. The same time for all endpoints for calls without prompts, which go to few endpoints so that
    /// connections are reused.
    pub(crate) last_turn_at: Time,
    /// An order that differs from relay to relay.
    pub(crate) tie_breaker: u64,
    pub(crate) id: &'a InstanceId,
}

impl Rank<'_> {
    /// The tie breaker of an endpoint at the relay with this seed.
    pub(crate) fn tie_breaker(seed: u64, id: &InstanceId) -> u64 {
        let mut hasher = DefaultHasher::new();
        (seed, id).hash(&mut hasher);
        hasher.finish()
    }
}
