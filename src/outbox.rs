//! The message queues, timers and commands of one round of a relay, and its random number generator.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::interface::Command;
use crate::message::{Component, Message};
use crate::time::Time;

/// The state of the current round: its time, the inboxes and timers of the components, the commands issued so far, and
/// the random number generator.
#[derive(Default)]
pub(crate) struct Outbox {
    pub(crate) now: Time,
    inboxes: BTreeMap<Component, VecDeque<Message>>,
    timers: BTreeSet<(Time, Component)>,
    pub(crate) commands: Vec<Command>,
    random_state: u64,
}

impl Outbox {
    pub(crate) fn new(seed: u64) -> Self {
        Outbox { random_state: (seed ^ 0x9e37_79b9_7f4a_7c15) >> 1 | 1, ..Outbox::default() }
    }

    /// Starts a round: sends one [`Message::TimerExpired`] to each component with expired timers.
    pub(crate) fn begin_round(&mut self, now: Time) {
        self.now = now;
        let mut expired = BTreeSet::new();
        while self.timers.first().is_some_and(|timer| timer.0 <= now) {
            expired.extend(self.timers.pop_first().map(|timer| timer.1));
        }
        expired.into_iter().for_each(|component| self.send(component, Message::TimerExpired));
    }

    /// Notifies a component in the first round at or after `at`; does nothing for [`Time::NEVER`].
    pub(crate) fn set_timer(&mut self, component: Component, at: Time) {
        if at < Time::NEVER {
            self.timers.insert((at, component));
        }
    }

    /// The earliest expiry of a timer; [`Time::NEVER`] if none is set.
    pub(crate) fn next_timer(&self) -> Time {
        self.timers.first().map_or(Time::NEVER, |timer| timer.0)
    }

    /// Appends a message to a component's inbox.
    pub(crate) fn send(&mut self, component: Component, message: Message) {
        self.inboxes.entry(component).or_default().push_back(message);
    }

    /// Returns a pseudorandom number in `0.0..1.0`, from a multiply-with-carry generator.
    pub(crate) fn random_fraction(&mut self) -> f64 {
        self.random_state = 4_294_957_665 * (self.random_state & 0xffff_ffff) + (self.random_state >> 32);
        f64::from(self.random_state as u32) / 4_294_967_296.0
    }

    /// Removes and returns the next message of the first component with a non-empty inbox.
    pub(crate) fn next_message(&mut self) -> Option<(Component, Message)> {
        loop {
            let mut first = self.inboxes.first_entry()?;
            if let Some(message) = first.get_mut().pop_front() {
                return Some((first.key().clone(), message));
            }
            first.remove();
        }
    }
}
