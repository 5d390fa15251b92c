//! An index of a history for the checks.

use std::collections::BTreeMap;

use juniperwing_clock::Time;
use juniperwing_protocol::registry::InstanceState;

use crate::history::{Event, OrderId, RecordedEvent};
use crate::scenario::{ProcessId, RELAY_COUNT, Scenario};
use crate::stability::{Scope, Stability, millis};

/// A response to a submission of an order.
pub(super) struct OrderReply {
    pub(super) at: Time,
    pub(super) requested_at: Time,
    pub(super) status: u16,
    pub(super) keeper: usize,
}

/// An order and the responses to it.
pub(super) struct Order {
    pub(super) id: OrderId,
    pub(super) submitted_at: Time,
    pub(super) base: u64,
    pub(super) generation: u64,
    pub(super) replies: Vec<OrderReply>,
    /// When it was first observed in force, by a relay or a read.
    pub(super) in_force: Option<Time>,
}

/// A configuration that a relay applied.
pub(super) struct ConfigurationUpdate {
    pub(super) at: Time,
    pub(super) order: Option<OrderId>,
}

/// A state of an endpoint that a relay applied.
pub(super) struct InstanceUpdate {
    at: Time,
    id: String,
    state: InstanceState,
}

/// One run of a relay, from its start to its kill.
pub(super) struct RelayIncarnation {
    pub(super) relay: usize,
    pub(super) started_at: Time,
    pub(super) stopped_at: Time,
    /// In order of time.
    pub(super) configurations: Vec<ConfigurationUpdate>,
    /// In order of time.
    pub(super) instances: Vec<InstanceUpdate>,
}

/// The indexed history of a scenario.
pub(super) struct Observations<'scenario> {
    pub(super) scenario: &'scenario Scenario,
    pub(super) history: &'scenario [RecordedEvent],
    pub(super) stability: Stability,
    pub(super) orders: BTreeMap<OrderId, Order>,
    pub(super) relay_incarnations: Vec<RelayIncarnation>,
}

impl Order {
    /// The time of the first acknowledgement.
    pub(super) fn acknowledged_at(&self) -> Option<Time> {
        self.replies.iter().find(|reply| reply.status == 200).map(|reply| reply.at)
    }

    fn mark_in_force(&mut self, at: Time) {
        self.in_force.get_or_insert(at);
    }

    /// The first response that refuses the order permanently.
    pub(super) fn refusal(&self) -> Option<&OrderReply> {
        self.replies.iter().find(|reply| reply.is_refusal())
    }
}

impl OrderReply {
    /// Whether it refuses the order permanently; 408 and 429 ask for a retry.
    pub(super) fn is_refusal(&self) -> bool {
        (400..500).contains(&self.status) && self.status != 408 && self.status != 429
    }
}

impl RelayIncarnation {
    /// The state of an endpoint that this relay had applied by a moment.
    pub(super) fn instance_state_at(&self, id: &str, at: Time) -> Option<InstanceState> {
        let updates = self.instances.iter().take_while(|update| update.at <= at);
        updates.filter(|update| update.id == id).last().map(|update| update.state)
    }
}

impl<'scenario> Observations<'scenario> {
    /// Indexes the history of a scenario.
    pub(super) fn index(
        scenario: &'scenario Scenario, history: &'scenario [RecordedEvent],
    ) -> Observations<'scenario> {
        let end = Time::from_nanos(scenario.duration_ms * 1_000_000);
        let mut observations = Observations {
            scenario,
            history,
            stability: Stability::compute(scenario, history, Scope::Core),
            orders: BTreeMap::new(),
            relay_incarnations: (1..=RELAY_COUNT)
                .flat_map(|relay| relay_incarnations(relay, history, end))
                .collect(),
        };
        observations.index_orders();
        observations
    }

    fn index_orders(&mut self) {
        for RecordedEvent { at, event } in self.history {
            match event {
                Event::OrderSubmitted { order, base, generation } => {
                    let (id, base, generation) = (*order, *base, *generation);
                    let submitted = Order {
                        id,
                        submitted_at: *at,
                        base,
                        generation,
                        replies: Vec::new(),
                        in_force: None,
                    };
                    self.orders.insert(id, submitted);
                }
                Event::OrderReplied { order, status, requested_at, keeper } => {
                    let reply =
                        OrderReply { at: *at, requested_at: *requested_at, status: *status, keeper: *keeper };
                    self.orders.entry(*order).and_modify(|order| order.replies.push(reply));
                }
                Event::ConfigurationRead { order: Some(order), .. }
                | Event::RelayConfigurationApplied { order: Some(order), .. } => {
                    self.orders.entry(*order).and_modify(|order| order.mark_in_force(*at));
                }
                _ => {}
            }
        }
    }

    /// The newest generation acknowledged before a moment.
    pub(super) fn acknowledged_before(&self, moment: Time) -> Option<u64> {
        let acknowledged = |order: &&Order| order.acknowledged_at().is_some_and(|at| at < moment);
        self.orders.values().filter(acknowledged).map(|order| order.generation).max()
    }

    /// The generation of an order; 0 if it is unknown.
    pub(super) fn generation(&self, order: OrderId) -> u64 {
        self.orders.get(&order).map_or(0, |order| order.generation)
    }

    /// Whether the core is stable throughout a period, in milliseconds from the start of the scenario.
    pub(super) fn is_stable(&self, from_ms: u64, until_ms: u64) -> bool {
        self.stability.is_stable_throughout(from_ms, until_ms)
    }
}

/// The incarnations of one relay. The last one ends at `end` unless it was killed before.
fn relay_incarnations(relay: usize, history: &[RecordedEvent], end: Time) -> Vec<RelayIncarnation> {
    let mut incarnations: Vec<RelayIncarnation> = Vec::new();
    for RecordedEvent { at, event } in history {
        match event {
            Event::ProcessStarted { process } if *process == ProcessId::relay(relay) => {
                let (configurations, instances) = (Vec::new(), Vec::new());
                incarnations.push(RelayIncarnation {
                    relay,
                    started_at: *at,
                    stopped_at: end,
                    configurations,
                    instances,
                });
            }
            Event::ProcessStopped { process } if *process == ProcessId::relay(relay) => {
                if let Some(incarnation) = incarnations.last_mut() {
                    incarnation.stopped_at = *at;
                }
            }
            Event::RelayConfigurationApplied { relay: number, order } if *number == relay => {
                let update = ConfigurationUpdate { at: *at, order: *order };
                if let Some(incarnation) = incarnations.last_mut() {
                    incarnation.configurations.push(update);
                }
            }
            Event::RelayInstanceApplied { relay: number, id, state } if *number == relay => {
                let update = InstanceUpdate { at: *at, id: id.clone(), state: *state };
                if let Some(incarnation) = incarnations.last_mut() {
                    incarnation.instances.push(update);
                }
            }
            _ => {}
        }
    }
    incarnations
}

/// Whether an incarnation runs throughout a period, in milliseconds from the start of the scenario.
pub(super) fn runs_throughout(incarnation: &RelayIncarnation, from_ms: u64, until_ms: u64) -> bool {
    millis(incarnation.started_at) <= from_ms && until_ms <= millis(incarnation.stopped_at)
}
