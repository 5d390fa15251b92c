//! A relay: its components, the routing of events, and the message loop. Decisions are made in [`rules`](crate::rules).

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::interface::{
    Command, DestinationId, EndpointId, Event, MAX_WAKE_DELAY, NotificationId, RelayConfig,
};
use crate::message::{Component, Message};
use crate::outbox::Outbox;
use crate::state::{Destination, DestinationLimiter, Endpoint, EndpointList, KeyQueues, Slots};
use crate::time::Time;

/// The core of a relay. It is deterministic: its commands depend only on its configuration, events, clock and seed.
pub struct Relay {
    config: Arc<RelayConfig>,
    /// Upper limit on slots, in addition to the configured one.
    slot_limit: usize,
    /// When the earliest requested wake-up is due.
    next_wake_at: Time,
    outbox: Outbox,
    endpoint_list: EndpointList,
    key_queues: KeyQueues,
    slots: Slots,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    limiters: BTreeMap<DestinationId, DestinationLimiter>,
    destinations: BTreeMap<DestinationId, Destination>,
}

impl Relay {
    /// Creates a relay without endpoints or notifications.
    pub fn new(now: Time, seed: u64, config: RelayConfig) -> Self {
        let mut outbox = Outbox::new(seed);
        let subscribe_at = if config.fleet.is_list_on_request { now } else { Time::NEVER };
        outbox.set_timer(Component::EndpointList, subscribe_at);
        Relay {
            config: Arc::new(config),
            slot_limit: usize::MAX,
            next_wake_at: Time::default(),
            outbox,
            endpoint_list: EndpointList::default(),
            key_queues: KeyQueues::default(),
            slots: Slots::default(),
            endpoints: BTreeMap::new(),
            limiters: BTreeMap::new(),
            destinations: BTreeMap::new(),
        }
    }

    /// Handles the events up to `now`, in order, and returns the resulting commands.
    pub fn handle(&mut self, now: Time, events: Vec<Event>) -> Vec<Command> {
        self.outbox.begin_round(now);
        self.deliver_messages();
        for event in events {
            if let Some((component, message)) = self.route(event) {
                self.outbox.send(component, message);
                self.deliver_messages();
            }
        }
        self.request_wake_up(now);
        std::mem::take(&mut self.outbox.commands)
    }

    /// Maps an event to a component and the message for it; `None` if no component handles it.
    fn route(&mut self, event: Event) -> Option<(Component, Message)> {
        Some(match event {
            Event::EndpointListUpdated(update) => {
                (Component::EndpointList, Message::EndpointListUpdated(update))
            }
            Event::Accepted(notification) => {
                (Component::Destination(notification.destination), Message::Accepted(notification))
            }
            Event::PushEnded(outcome) => (
                Component::Endpoint(outcome.endpoint.clone()),
                Message::PushEnded { outcome, is_first_of_call: false },
            ),
            Event::RetryAfterReported { endpoint, retry_after } => {
                (Component::Endpoint(endpoint), Message::RetryAfterReported(retry_after))
            }
            Event::Withdrawn(id) => (self.destination_of(id)?, Message::Withdrawn(id)),
            Event::FinalAnswerAcknowledged(id) => {
                (self.destination_of(id)?, Message::FinalAnswerAcknowledged(id))
            }
            Event::SlotLimitChanged(slots) => {
                self.slot_limit = slots;
                (Component::Slots, Message::TimerExpired)
            }
            Event::ConfigChanged(config) => {
                self.apply_config(Arc::new(config));
                (Component::Slots, Message::TimerExpired)
            }
            Event::ProbeEnded { .. } | Event::WakeUp => return None,
        })
    }

    /// The destination that has a notification pending.
    fn destination_of(&self, id: NotificationId) -> Option<Component> {
        let (destination, _) =
            self.destinations.iter().find(|(_, destination)| destination.is_pending(id))?;
        Some(Component::Destination(*destination))
    }

    /// Requests a wake-up for the next timer, unless one requested earlier is soon enough. A wake-up due within one
    /// tick is not relied on: the front end may have delivered it already, as its clock can be coarser than this one.
    fn request_wake_up(&mut self, now: Time) {
        let next = self.outbox.next_timer().min(now + MAX_WAKE_DELAY);
        if self.next_wake_at <= now + self.config.fleet.tick || next < self.next_wake_at {
            self.next_wake_at = next;
            self.outbox.commands.push(Command::WakeAfter(next.since(now)));
        }
    }

    /// Passes a new configuration to all components, which keep their state.
    fn apply_config(&mut self, config: Arc<RelayConfig>) {
        // List updates may now require a subscription. Subscribing again is harmless if one exists.
        if config.fleet.is_list_on_request && !self.config.fleet.is_list_on_request {
            self.outbox.set_timer(Component::EndpointList, self.outbox.now);
        }
        self.endpoints.values_mut().for_each(|endpoint| endpoint.config = config.clone());
        self.limiters.values_mut().for_each(|limiter| limiter.config = config.clone());
        self.destinations.values_mut().for_each(|destination| destination.config = config.clone());
        self.config = config;
    }

    /// Delivers messages until every inbox is empty.
    fn deliver_messages(&mut self) {
        while let Some((component, message)) = self.outbox.next_message() {
            self.deliver(component, message);
        }
    }

    fn deliver(&mut self, component: Component, message: Message) {
        let (config, outbox) = (&self.config, &mut self.outbox);
        match component {
            Component::EndpointList => self.endpoint_list.handle(
                message,
                config.rules.list_refresh_interval,
                config.fleet.is_list_pushed,
                outbox,
            ),
            Component::KeyQueues => self.key_queues.handle(message, config.rules.key_cooldown, outbox),
            Component::Slots => {
                let slot_count = config.limits.slots.min(self.slot_limit);
                self.slots.handle(message, slot_count, config.rules.overload_duration, outbox);
            }
            Component::DestinationLimiter(id) => {
                let new = || DestinationLimiter::new(config.clone());
                self.limiters.entry(id).or_insert_with(new).handle(message, outbox);
            }
            Component::Endpoint(id) => {
                if let Message::EndpointChanged(entry) = &message {
                    let new = || Endpoint::new(config.clone());
                    self.endpoints.entry(entry.endpoint.clone()).or_insert_with(new);
                }
                let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
                endpoint.handle(message, outbox);
                if endpoint.is_removable() {
                    self.endpoints.remove(&id);
                }
            }
            Component::Destination(id) => {
                let new = || Destination::new(id, config.clone());
                self.destinations.entry(id).or_insert_with(new).handle(message, outbox);
            }
        }
    }
}
