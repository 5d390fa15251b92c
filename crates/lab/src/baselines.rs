//! Baseline policies to compare the core with: one attempt in the order of arrival; a fixed timeout with backoff; the
//! same with a circuit breaker and a retry budget; and an oracle with access to the actual state of the simulation.
//!
//! They comply with the rules that need only the state of a single relay (lost, twice, drain, order, wait). They are
//! not used in production.

mod policy;
mod sending;
mod state;

use juniperwing::time::Time;
use juniperwing_model::fleet::Fleet;
use juniperwing_model::policy::{Policies, Policy};

use policy::BaselinePolicy;

/// The strategy of a baseline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Strategy {
    SingleAttempt,
    Backoff,
    BackoffWithBreaker,
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
    /// One attempt for each notification, in the order of arrival, with a timeout of all the remaining time.
    SingleAttempt, "one-try";
    /// A fixed timeout and exponential backoff with full jitter.
    Backoff, "backoff";
    /// Backoff with a circuit breaker for each endpoint and a retry budget.
    BackoffWithBreaker, "breaker";
    /// Pushes only to endpoints that will answer, by the actual state of every endpoint.
    Oracle, "oracle";
}
