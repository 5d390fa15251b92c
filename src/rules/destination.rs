//! Destinations: accepts notifications, proposes calls to endpoints, and rejects or expires what cannot be delivered.

use super::tuning::{LOAD_MEMORY_FACTOR, MIN_TIME_LEFT};
use crate::interface::{CallStatus, Command, Notification, PushOutcome};
use crate::message::{Component, Message};
use crate::outbox::Outbox;
use crate::state::{Destination, PendingNotification, TopicAtEndpoint};
use crate::time::{Span, Time};

impl Destination {
    pub(crate) fn handle(&mut self, message: Message, outbox: &mut Outbox) {
        self.first_seen_at = self.first_seen_at.or(Some(outbox.now));
        match message {
            Message::EndpointChanged(entry) => self.update_endpoint(entry),
            Message::Accepted(notification) => self.handle_accepted(notification, outbox),
            Message::KeyGranted(id) => self.update_pending(id, |pending| pending.is_key_granted = true),
            Message::Withdrawn(id) => self.update_pending(id, |pending| pending.is_finished = true),
            Message::FinalAnswerAcknowledged(id) => {
                self.update_pending(id, |pending| pending.history.has_final_answer = false);
            }
            Message::PushEnded { outcome, is_first_of_call } => {
                self.handle_push_ended(&outcome, is_first_of_call, outbox.now);
            }
            Message::CancelUnsent => {
                let endpoints = self.endpoints.iter().map(|endpoint| endpoint.id.clone());
                outbox.commands.extend(endpoints.map(Command::CancelUnsent));
            }
            Message::CallSent(call) => {
                let is_recorded = self.record_call(&call, outbox.now);
                if !is_recorded {
                    return;
                }
            }
            Message::SlotOffered => return self.propose_call(0, Time::NEVER, outbox),
            Message::CallDeclined { until } => {
                let usable_from = self.slot_usable_from.min(until);
                return self.propose_call(self.endpoints_tried + 1, usable_from, outbox);
            }
            Message::SlotsUnavailable { until } => return self.decline_slot(until, outbox),
            Message::ShedLoad { includes_non_idempotent } => {
                return self.cancel_overdue(true, includes_non_idempotent, outbox);
            }
            _ => {}
        }
        self.update_schedule(outbox);
    }

    fn handle_accepted(&mut self, notification: Notification, outbox: &mut Outbox) {
        let (id, now) = (notification.id, outbox.now);
        let key = notification.key.clone().filter(|_| notification.topic.is_ordered);
        self.add_pending(notification, now, key.is_none());
        if let Some(key) = key {
            let message = Message::KeyRequested { key, notification: id, destination: self.id };
            outbox.send(Component::KeyQueues, message);
        }
        let memory = self.config.rules.warm_up_duration.mul_f64(LOAD_MEMORY_FACTOR);
        self.accepted_times.retain(|at| now.since(*at) < memory);
    }

    /// Ends notifications that cannot be delivered, cancels overdue pushes, sets a timer for the next deadline, and
    /// requests a slot if any notification is waiting.
    fn update_schedule(&mut self, outbox: &mut Outbox) {
        self.end_undeliverable(outbox);
        outbox.set_timer(Component::Destination(self.id), self.next_deadline(outbox.now));
        self.cancel_overdue(false, false, outbox);
        let is_waiting = |pending: &PendingNotification| {
            pending.is_key_granted && pending.in_flight.is_none() && !pending.is_finished
        };
        if self.pending.iter().any(is_waiting) {
            outbox.send(Component::Slots, Message::SlotRequested(self.id));
        }
    }

    /// The next time at which the options for a notification that is not in flight change without an event.
    fn next_deadline(&self, now: Time) -> Time {
        let just_below = |time_left: Span| time_left - Span::from_nanos(1);
        let cutoff = just_below(self.latencies.median().max(MIN_TIME_LEFT));
        let deadlines = |pending: &PendingNotification| {
            let valid_until = pending.notification.valid_until;
            // What waits beyond the cutoff waits for a trial.
            let is_beyond_cutoff = valid_until - cutoff <= now;
            [
                valid_until - if is_beyond_cutoff { just_below(MIN_TIME_LEFT) } else { cutoff },
                self.batching_deadline(pending),
                pending.last_duplicate_at().unwrap_or(Time::NEVER),
            ]
        };
        let waiting = self.pending.iter().filter(|pending| pending.in_flight.is_none());
        waiting.flat_map(deadlines).filter(|at| *at > now).fold(Time::NEVER, Time::min)
    }

    /// Cancels overdue pushes if all slots are in use or a push blocks two or more notifications of its key. Sets a
    /// timer for pushes that are not overdue yet.
    fn cancel_overdue(&mut self, are_slots_full: bool, includes_non_idempotent: bool, outbox: &mut Outbox) {
        if !self.config.limits.can_cancel {
            return;
        }
        let (now, overdue_after) = (outbox.now, self.overdue_after());
        let non_idempotent_after = overdue_after.max(self.config.rules.overload_duration);
        for index in 0..self.pending.len() {
            let pending = &self.pending[index];
            let Some(sent_at) = pending.in_flight.as_ref().map(|run| run.sent_at) else { continue };
            let blocks_key = self.blocks_key(pending);
            let after = if pending.is_retryable() { overdue_after } else { non_idempotent_after };
            let due = if are_slots_full || blocks_key { sent_at + after } else { Time::NEVER };
            if now < due {
                let component = if blocks_key { Component::Destination(self.id) } else { Component::Slots };
                outbox.set_timer(component, due);
                continue;
            }
            let is_cancelled = pending.history.last_uncertain_end.is_some_and(|at| at >= sent_at);
            if !is_cancelled && (blocks_key || pending.is_retryable() || includes_non_idempotent) {
                outbox.commands.push(Command::Cancel {
                    notification: pending.notification.id,
                    push_index: pending.history.push_count - 1,
                });
                self.pending[index].history.last_uncertain_end = Some(now);
            }
        }
    }

    /// Whether two or more notifications with the same key wait for this one.
    fn blocks_key(&self, pending: &PendingNotification) -> bool {
        let is_behind = |other: &&PendingNotification| {
            !other.is_key_granted && other.notification.key == pending.notification.key
        };
        pending.notification.topic.is_ordered && self.pending.iter().filter(is_behind).count() > 1
    }

    /// Proposes a call to the next endpoint in rotation, trying endpoints of the home zone first if cross-zone pushes
    /// incur a cost. The first of two passes over the endpoints skips notifications whose previous push went to the
    /// same endpoint.
    fn propose_call(&mut self, endpoints_tried: usize, usable_from: Time, outbox: &mut Outbox) {
        (self.endpoints_tried, self.slot_usable_from) = (endpoints_tried, usable_from);
        let order = self.rotation();
        while self.endpoints_tried < 2 * order.len() && !self.pending.is_empty() {
            let endpoint = &self.endpoints[order[self.endpoints_tried % order.len()]];
            let pushes = self.select_pushes(outbox.now, endpoint);
            if !pushes.is_empty() {
                let call = self.plan_call(endpoint.id.clone(), pushes, outbox.now);
                let component = Component::Endpoint(call.endpoint.clone());
                return outbox.send(component, Message::CallProposed(call));
            }
            self.endpoints_tried += 1;
        }
        self.decline_slot(usable_from, outbox);
    }

    /// Ends notifications that cannot be delivered if no call is sent before `until`, and declines the slot.
    fn decline_slot(&mut self, until: Time, outbox: &mut Outbox) {
        (self.endpoints_tried, self.slot_usable_from) = (2 * self.endpoints.len(), until);
        self.end_undeliverable(outbox);
        outbox.send(Component::Slots, Message::SlotDeclined { destination: self.id, until });
    }

    /// The indices of the endpoints in the order in which calls are proposed to them.
    fn rotation(&self) -> Vec<usize> {
        let count = self.endpoints.len();
        let mut order: Vec<usize> = (0..count).map(|i| (self.rotation_start + i) % count).collect();
        let home_zone = self.config.fleet.home_zone.as_ref();
        order.sort_by_key(|index| home_zone.is_some_and(|home| *home != self.endpoints[*index].zone));
        order
    }

    fn handle_push_ended(&mut self, outcome: &PushOutcome, is_first_of_call: bool, now: Time) {
        // Rejections and refused connections provide no information about latency.
        let (status, was_delivered) = (outcome.status, outcome.status == CallStatus::Delivered);
        let has_latency = was_delivered || matches!(status, CallStatus::TimedOut | CallStatus::Cancelled);
        if is_first_of_call && has_latency {
            self.latencies.record(now, outcome.elapsed, !was_delivered);
        }
        let is_pushed = |pending: &&mut PendingNotification| pending.notification.id == outcome.notification;
        let Some(pending) = self.pending.iter_mut().find(is_pushed) else { return };
        let run = pending.in_flight.take();
        pending.is_finished |= outcome.has_final_answer;
        if status.may_have_executed() {
            let topic = pending.notification.topic.name.clone();
            let key = TopicAtEndpoint { endpoint: outcome.endpoint.clone(), topic };
            let failures = self.topic_failures.entry(key).or_default();
            failures.count = if was_delivered { 0 } else { failures.count + 1 };
            failures.last_at = now;
            pending.history.first_possible_execution =
                pending.history.first_possible_execution.take().or(run);
        }
        if status.may_be_executing() {
            pending.history.last_uncertain_end = Some(now);
        }
    }

    /// Ends every notification that cannot be delivered, given that none can be sent before `slot_usable_from`.
    fn end_undeliverable(&mut self, outbox: &mut Outbox) {
        let is_known = self.slot_usable_from < Time::NEVER;
        let sendable_from = if is_known { self.slot_usable_from.max(outbox.now) } else { outbox.now };
        for index in (0..self.pending.len()).rev() {
            if self.is_undeliverable(&self.pending[index], sendable_from, outbox.now) {
                self.reject_or_expire(index, sendable_from, outbox);
            }
        }
    }

    /// The cutoff: whether a notification that is not in flight can no longer be pushed in time.
    fn is_undeliverable(&self, pending: &PendingNotification, sendable_from: Time, now: Time) -> bool {
        if pending.in_flight.is_some() || pending.history.has_final_answer {
            return false;
        }
        let left = pending.notification.valid_until.since(sendable_from);
        let is_in_time = left >= MIN_TIME_LEFT && self.latencies.allows_attempt(now, left);
        !(is_in_time && pending.can_run(now, None, self.config.limits.max_pushes))
    }

    /// Gives the final answer, unless the notification has one, and removes the notification. An ordered notification
    /// is kept until its final answer is acknowledged, because the next one of its key must wait for that.
    fn reject_or_expire(&mut self, index: usize, sendable_from: Time, outbox: &mut Outbox) {
        let retry_after = self.latencies.median().max(MIN_TIME_LEFT).max(sendable_from.since(outbox.now));
        let retry_after = self.config.limits.max_retry_after.min(retry_after);
        let pending = &mut self.pending[index];
        let (notification, key) = (pending.notification.id, pending.ordering_key());
        if !pending.is_finished {
            outbox.commands.push(if pending.history.first_possible_execution.is_some() {
                Command::Expire(notification)
            } else {
                Command::Throttle { notification, retry_after }
            });
            (pending.is_finished, pending.history.has_final_answer) = (true, key.is_some());
        }
        if !pending.history.has_final_answer {
            let last_uncertain_end = self.pending.remove(index).history.last_uncertain_end;
            if let Some(key) = key {
                let message = Message::KeyReleased { key, notification, last_uncertain_end };
                outbox.send(Component::KeyQueues, message);
            }
        }
    }
}
