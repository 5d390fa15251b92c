//! The interface of relay policies: the core, or another policy to compare it with.
//!
//! Only an oracle may use the [`GroundTruth`]; a policy that a relay could run must not.

use juniperwing::Relay;
use juniperwing::interface::{Command, EndpointId, Event};
use juniperwing::time::Time;

use crate::fleet::Fleet;

/// The actual state of an endpoint, which relays cannot observe.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointState {
    /// Whether it answers calls now.
    pub is_answering: bool,
    /// Calls that it could start to serve immediately.
    pub free_servers: usize,
    /// Calls in its queue.
    pub queued: usize,
    /// The remaining fraction of its rate limit; 1 without a limit.
    pub limit_remaining: f64,
    /// Notifications that a recovering destination can still receive before it is overloaded; infinite for a warm one.
    pub remaining_load: f64,
}

/// Access to the actual state of the simulation.
pub trait GroundTruth {
    /// The actual state of an endpoint; `None` if there is no such endpoint.
    fn endpoint(&self, endpoint: &EndpointId) -> Option<EndpointState>;
}

/// The policy of one relay.
pub trait Policy {
    /// Handles all events up to `now` and returns the resulting commands.
    fn handle(&mut self, now: Time, events: Vec<Event>, truth: &dyn GroundTruth) -> Vec<Command>;
}

/// Creates the policies of the relays of a run.
pub trait Policies {
    /// The name of the policy in metrics and reports.
    fn name(&self) -> &str;

    /// Starts the policy of the relay with that index.
    fn start(&self, now: Time, relay: usize, seed: u64, fleet: &Fleet) -> Box<dyn Policy>;
}

/// The core of juniperwing.
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
    fn handle(&mut self, now: Time, events: Vec<Event>, _: &dyn GroundTruth) -> Vec<Command> {
        Relay::handle(self, now, events)
    }
}
