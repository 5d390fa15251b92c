//! The third stage: hands the core what happened in a turn and takes its commands. It owns the core's state
//! and its wake-up, and must never add to a command or leave one out.

use juniperwing::Relay;
use juniperwing::interface::{Command, Event};
use juniperwing::time::Time;
use juniperwing_settings::Settings;

pub struct Route {
    core: Relay,
    events: Vec<Event>,
    wake: Time,
}

impl Route {
    pub fn new(now: Time, seed: u64, settings: &Settings) -> Route {
        let core = Relay::new(now, seed, settings.relay_config.clone());
        Route { core, events: Vec::new(), wake: now }
    }

    /// Notes what happened, for the next decision.
    pub fn tell(&mut self, event: Event) {
        self.events.push(event);
    }

    /// When the next decision is due.
    pub fn due(&self) -> Time {
        if self.events.is_empty() { self.wake } else { Time::default() }
    }

    /// Has the core decide on all that happened.
    pub fn decide(&mut self, now: Time) -> Vec<Command> {
        if self.wake <= now {
            self.wake = Time::NEVER;
            self.events.push(Event::WakeUp);
        }
        if self.events.is_empty() {
            return Vec::new();
        }
        let commands = self.core.handle(now, std::mem::take(&mut self.events));
        for command in &commands {
            if let Command::WakeAfter(after) = command {
                self.wake = self.wake.min(now + *after);
            }
        }
        commands
    }
}
