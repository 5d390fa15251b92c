//! Whose decisions a run plays: the core's, or another's for comparison, behind one small interface. It owns nothing
//! that happens. A policy that a relay could run must never look at the truth; it is there for oracles.

use juniperwing::Relay;
use juniperwing::interface::{Command, EndpointId, Event};
use juniperwing::time::Time;

use crate::fleet::Fleet;

/// What is true of an endpoint, which no relay is told.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrueState {
    /// It answers calls just now.
    pub answers: bool,
    /// Calls that it could begin to serve at once.
    pub room: usize,
    /// Calls that wait there.
    pub waiting: usize,
    /// The share of its limit that is left; 1 where there is none.
    pub left: f64,
    /// How much more a cold destination may be sent before it falls over, in notifications; infinite for a warm one.
    pub spare: f64,
}

/// The true state of everything.
pub trait Truth {
    /// What is true of an endpoint.
    fn endpoint(&self, endpoint: &EndpointId) -> Option<TrueState>;
}

/// The decisions of one relay.
pub trait Policy {
    /// Takes all that happened up to `now` and gives the commands that follow from it.
    fn handle(&mut self, now: Time, events: Vec<Event>, truth: &dyn Truth) -> Vec<Command>;
}

/// Starts the policies of a run.
pub trait Policies {
    /// What they are called.
    fn name(&self) -> &str;

    /// The policy of a relay, by place, that starts now with this seed.
    fn start(&self, now: Time, relay: usize, seed: u64, fleet: &Fleet) -> Box<dyn Policy>;
}

/// The project's own core.
#[derive(Clone, Copy, Debug, Default)]
pub struct Core;

impl Policies for Core {
    fn name(&self) -> &str {
        "core"
    }

    fn start(&self, now: Time, relay: usize, seed: u64, fleet: &Fleet) -> Box<dyn Policy> {
        Box::new(Relay::new(now, seed, fleet.terms(relay)))
    }
}

impl Policy for Relay {
    fn handle(&mut self, now: Time, events: Vec<Event>, _: &dyn Truth) -> Vec<Command> {
        Relay::handle(self, now, events)
    }
}
