//! Baseline policies to compare the core with: one attempt in the order of arrival; a fixed timeout with backoff; that
//! with a circuit breaker and a retry budget; and an oracle that sees the true state of everything.
//!
//! They keep the rules that a single relay can keep by bookkeeping (lost, twice, drain, order, wait). No relay in
//! service uses them.

mod policy;
mod sending;
mod state;

use juniperwing::time::Time;
use juniperwing_model::fleet::Fleet;
use juniperwing_model::policy::{Policies, Policy};

use policy::BaselinePolicy;

/// What distinguishes one baseline from another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Strategy {
    OneTry,
    Backoff,
    Breaker,
    Oracle,
}

macro_rules! baselines {
    ($($(#[$doc:meta])* $strategy:ident, $name:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug)]
        pub struct $strategy;

        impl Policies for $strategy {
            fn name(&self) -> &str {
                $name
            }

            fn start(&self, _: Time, relay: usize, seed: u64, fleet: &Fleet) -> Box<dyn Policy> {
                let limits = fleet.relays[relay].limits;
                Box::new(BaselinePolicy::new(Strategy::$strategy, seed, limits, fleet.rules))
            }
        }
    )*};
}

baselines! {
    /// One attempt for each notification, in the order of arrival, with all the time that is left.
    OneTry, "one-try";
    /// A fixed timeout and exponential backoff with full jitter.
    Backoff, "backoff";
    /// Backoff with a circuit breaker for each endpoint and a retry budget.
    Breaker, "breaker";
    /// Sends only what will be answered: it sees the true state of every destination.
    Oracle, "oracle";
}
