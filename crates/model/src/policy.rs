//! The interface of decisions: those of the core, or of another policy for comparison.
//!
//! A policy that a relay could run must never look at the [`Truth`]; that is for oracles.

use juniperwing::Relay;
use juniperwing::interface::{Command, EndpointId, Event};
use juniperwing::time::Time;

use crate::fleet::Fleet;

/// The true state of an endpoint, which no relay knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrueState {
    /// Whether it answers calls now.
    pub is_answering: bool,
    /// Calls that it could start to serve at once.
    pub free_servers: usize,
    /// Calls in its queue.
    pub queued: usize,
    /// The fraction of its rate limit that is left; 1 without a limit.
    pub limit_remaining: f64,
    /// How much more a recovering destination may be sent before it is overloaded, in notifications; infinite for a
    /// warm one.
    pub remaining_load: f64,
}

/// The true state of everything.
pub trait Truth {
    /// The true state of an endpoint; `None` if there is no such endpoint.
    fn endpoint(&self, endpoint: &EndpointId) -> Option<TrueState>;
}

/// The decisions of one relay.
pub trait Policy {
    /// Handles all events up to `now` and returns the commands that follow from them.
    fn handle(&mut self, now: Time, events: Vec<Event>, truth: &dyn Truth) -> Vec<Command>;
}

/// Starts the policies of a run.
pub trait Policies {
    /// The name of the policy in metrics and reports.
    fn name(&self) -> &str;

    /// Starts the policy of the relay with that index.
    fn start(&self, now: Time, relay: usize, seed: u64, fleet: &Fleet) -> Box<dyn Policy>;
}

/// The decisions of juniperwing's own core.
#[derive(Clone, Copy, Debug, Default)]
pub struct Core;

impl Policies for Core {
    fn name(&self) -> &str {
        "core"
    }

    fn start(&self, now: Time, relay: usize, seed: u64, fleet: &Fleet) -> Box<dyn Policy> {
        Box::new(Relay::new(now, seed, fleet.relay_config(relay)))
    }
}

impl Policy for Relay {
    fn handle(&mut self, now: Time, events: Vec<Event>, _: &dyn Truth) -> Vec<Command> {
        Relay::handle(self, now, events)
    }
}
