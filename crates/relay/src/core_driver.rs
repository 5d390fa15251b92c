//! Passes the events of an event loop iteration to the core and returns its commands.
//!
//! It owns the core and its wake-up timer, and returns the commands unchanged.

use juniperwing::Relay;
use juniperwing::interface::{Command, Event};
use juniperwing::time::Time;
use juniperwing_settings::Settings;

/// The core with its queued events and its wake-up timer.
pub struct CoreDriver {
    core: Relay,
    /// Events for the next decision.
    events: Vec<Event>,
    wake_at: Time,
}

impl CoreDriver {
    /// Creates a core whose first decision is due at `now`.
    pub fn new(now: Time, seed: u64, settings: &Settings) -> CoreDriver {
        let core = Relay::new(now, seed, settings.relay_config.clone());
        CoreDriver { core, events: Vec::new(), wake_at: now }
    }

    /// Queues an event for the next decision.
    pub fn enqueue(&mut self, event: Event) {
        self.events.push(event);
    }

    /// Returns when the next decision is due: immediately if events are queued.
    pub fn next_decision_at(&self) -> Time {
        if self.events.is_empty() { self.wake_at } else { Time::default() }
    }

    /// Runs the core on all queued events, and on its wake-up if that is due.
    pub fn decide(&mut self, now: Time) -> Vec<Command> {
        if self.wake_at <= now {
            self.wake_at = Time::NEVER;
            self.events.push(Event::WakeUp);
        }
        if self.events.is_empty() {
            return Vec::new();
        }
        let commands = self.core.handle(now, std::mem::take(&mut self.events));
        for command in &commands {
            if let Command::WakeAfter(after) = command {
                self.wake_at = self.wake_at.min(now + *after);
            }
        }
        commands
    }
}
