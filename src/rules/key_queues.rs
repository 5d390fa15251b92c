//! Which notification of a key is pushed next.

use crate::message::{Component, Message};
use crate::outbox::Outbox;
use crate::state::KeyQueues;
use crate::time::{Span, Time};

/// Rule: notifications of one key are pushed one at a time, in the order of acceptance, over all ordered topic types.
impl KeyQueues {
    pub(crate) fn handle(&mut self, message: Message, key_cooldown: Span, outbox: &mut Outbox) {
        match message {
            Message::KeyRequested { key, notification, destination } => {
                self.queues.entry(key).or_default().waiting.push_back((notification, destination));
            }
            Message::KeyReleased { key, notification, last_doubtful_end } => {
                let Some(queue) = self.queues.get_mut(&key) else { return };
                queue.is_granted &= queue.waiting.front().is_some_and(|first| first.0 != notification);
                queue.waiting.retain(|waiting| waiting.0 != notification);
                let cooldown_until = last_doubtful_end.map_or(Time::default(), |at| at + key_cooldown);
                queue.cooldown_until = queue.cooldown_until.max(cooldown_until);
            }
            _ => {}
        }
        for queue in self.queues.values_mut().filter(|queue| !queue.is_granted) {
            if queue.cooldown_until > outbox.now {
                outbox.set_timer(Component::KeyQueues, queue.cooldown_until);
            } else if let Some(&(notification, destination)) = queue.waiting.front() {
                queue.is_granted = true;
                outbox.send(Component::Destination(destination), Message::KeyGranted(notification));
            }
        }
        self.queues.retain(|_, queue| !queue.waiting.is_empty() || queue.cooldown_until > outbox.now);
    }
}
