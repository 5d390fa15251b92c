//! Grants each key to one ordered notification at a time.

use crate::message::{Component, Message};
use crate::outbox::Outbox;
use crate::state::{KeyQueues, QueuedNotification};
use crate::time::{Span, Time};

/// Notifications with the same key are pushed one at a time, in order of acceptance, across all ordered topic types.
impl KeyQueues {
    pub(crate) fn handle(&mut self, message: Message, key_cooldown: Span, outbox: &mut Outbox) {
        match message {
            Message::KeyRequested { key, notification, destination } => {
                self.queues
                    .entry(key)
                    .or_default()
                    .waiting
                    .push_back(QueuedNotification { id: notification, destination });
            }
            Message::KeyReleased { key, notification, last_uncertain_end } => {
                let Some(queue) = self.queues.get_mut(&key) else { return };
                queue.is_granted &= queue.waiting.front().is_some_and(|first| first.id != notification);
                queue.waiting.retain(|waiting| waiting.id != notification);
                let cooldown_until = last_uncertain_end.map_or(Time::default(), |at| at + key_cooldown);
                queue.cooldown_until = queue.cooldown_until.max(cooldown_until);
            }
            _ => {}
        }
        for queue in self.queues.values_mut().filter(|queue| !queue.is_granted) {
            if queue.cooldown_until > outbox.now {
                outbox.set_timer(Component::KeyQueues, queue.cooldown_until);
            } else if let Some(first) = queue.waiting.front() {
                queue.is_granted = true;
                outbox.send(Component::Destination(first.destination), Message::KeyGranted(first.id));
            }
        }
        self.queues.retain(|_, queue| !queue.waiting.is_empty() || queue.cooldown_until > outbox.now);
    }
}
