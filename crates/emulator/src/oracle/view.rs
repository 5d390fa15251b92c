//! A history, sorted by what the judges ask for.

use std::collections::BTreeMap;

use juniperwing_clock::Time;
use juniperwing_protocol::registry::InstanceState;

use crate::day::Day;
use crate::history::{OrderId, Seen};
use crate::stability::{Stability, millis};
use crate::world::RELAYS;

/// An answer to an order.
pub(super) struct OrderAnswer {
    pub(super) at: Time,
    pub(super) asked: Time,
    pub(super) status: u16,
    pub(super) keeper: usize,
}

/// An order and its answers.
pub(super) struct Order {
    pub(super) id: OrderId,
    pub(super) made: Time,
    pub(super) base: u64,
    pub(super) generation: u64,
    pub(super) answers: Vec<OrderAnswer>,
    /// When it was first seen in force, by a relay or a reader.
    pub(super) in_force: Option<Time>,
}

/// One life of a relay.
pub(super) struct RelayLife {
    pub(super) relay: usize,
    pub(super) began: Time,
    pub(super) ended: Time,
    pub(super) configurations: Vec<(Time, Option<OrderId>)>,
    pub(super) instances: Vec<(Time, String, InstanceState)>,
}

/// All that judges ask for.
pub(super) struct View<'day> {
    pub(super) day: &'day Day,
    pub(super) history: &'day [(Time, Seen)],
    pub(super) stability: Stability,
    pub(super) orders: BTreeMap<OrderId, Order>,
    pub(super) lives: Vec<RelayLife>,
}

impl Order {
    pub(super) fn acknowledged_at(&self) -> Option<Time> {
        self.answers.iter().find(|answer| answer.status == 200).map(|answer| answer.at)
    }

    fn note_in_force(&mut self, at: Time) {
        self.in_force.get_or_insert(at);
    }

    pub(super) fn refused(&self) -> Option<&OrderAnswer> {
        self.answers.iter().find(|answer| answer.is_refusal())
    }
}

impl OrderAnswer {
    pub(super) fn is_refusal(&self) -> bool {
        (400..500).contains(&self.status) && self.status != 408 && self.status != 429
    }
}

impl RelayLife {
    /// The state that it held an instance in at a moment.
    pub(super) fn held(&self, id: &str, at: Time) -> Option<InstanceState> {
        let until = self.instances.iter().take_while(|(told, _, _)| *told <= at);
        until.filter(|(_, told, _)| told == id).last().map(|(_, _, state)| *state)
    }
}

impl<'day> View<'day> {
    pub(super) fn of(day: &'day Day, history: &'day [(Time, Seen)]) -> View<'day> {
        let end = Time::from_nanos(day.length_ms * 1_000_000);
        let mut view = View {
            day,
            history,
            stability: Stability::of(day, history),
            orders: BTreeMap::new(),
            lives: (1..=RELAYS).flat_map(|relay| lives(relay, history, end)).collect(),
        };
        view.take_orders();
        view
    }

    fn take_orders(&mut self) {
        for (at, seen) in self.history {
            match seen {
                Seen::OrderMade { order, base, generation } => {
                    let (id, base, generation) = (*order, *base, *generation);
                    let made = Order { id, made: *at, base, generation, answers: Vec::new(), in_force: None };
                    self.orders.insert(id, made);
                }
                Seen::OrderAnswered { order, status, asked, keeper } => {
                    let answer = OrderAnswer { at: *at, asked: *asked, status: *status, keeper: *keeper };
                    self.orders.entry(*order).and_modify(|order| order.answers.push(answer));
                }
                Seen::Read { order: Some(order), .. }
                | Seen::RelayConfiguration { order: Some(order), .. } => {
                    self.orders.entry(*order).and_modify(|order| order.note_in_force(*at));
                }
                _ => {}
            }
        }
    }

    /// The highest number acknowledged before a moment.
    pub(super) fn acknowledged_before(&self, moment: Time) -> Option<u64> {
        let acknowledged = |order: &&Order| order.acknowledged_at().is_some_and(|at| at < moment);
        self.orders.values().filter(acknowledged).map(|order| order.generation).max()
    }

    /// The number of the order that a body is from.
    pub(super) fn generation(&self, order: OrderId) -> u64 {
        self.orders.get(&order).map_or(0, |order| order.generation)
    }

    /// Whether the core is stable from one moment to another.
    pub(super) fn is_stable(&self, from_ms: u64, until_ms: u64) -> bool {
        self.stability.through(from_ms, until_ms)
    }
}

fn lives(relay: usize, history: &[(Time, Seen)], end: Time) -> Vec<RelayLife> {
    let mut lives: Vec<RelayLife> = Vec::new();
    for (at, seen) in history {
        match seen {
            Seen::RelayStarted { relay: one } if *one == relay => {
                let (configurations, instances) = (Vec::new(), Vec::new());
                lives.push(RelayLife { relay, began: *at, ended: end, configurations, instances });
            }
            Seen::RelayEnded { relay: one } if *one == relay => {
                lives.iter_mut().last().into_iter().for_each(|life| life.ended = *at);
            }
            Seen::RelayConfiguration { relay: one, order } if *one == relay => {
                lives.iter_mut().last().into_iter().for_each(|life| life.configurations.push((*at, *order)));
            }
            Seen::RelayInstance { relay: one, id, state } if *one == relay => {
                let told = (*at, id.clone(), *state);
                lives.iter_mut().last().into_iter().for_each(|life| life.instances.push(told.clone()));
            }
            _ => {}
        }
    }
    lives
}

/// Whether a life lasts from one moment to another, in milliseconds of the day.
pub(super) fn lives_through(life: &RelayLife, from_ms: u64, until_ms: u64) -> bool {
    millis(life.began) <= from_ms && until_ms <= millis(life.ended)
}
