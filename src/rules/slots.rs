//! Assigns free slots to destinations.

use std::collections::BTreeSet;

use super::tuning::NEXT_PROCESS_DELAY;
use crate::message::{Component, Message};
use crate::outbox::Outbox;
use crate::state::Slots;
use crate::time::{Span, Time};

impl Slots {
    pub(crate) fn handle(
        &mut self, message: Message, slot_count: usize, overload_duration: Span, outbox: &mut Outbox,
    ) {
        let now = outbox.now;
        match message {
            Message::SlotRequested(destination) => self.slot_times.set_waiting(destination, now),
            Message::SlotDeclined { destination, until } => {
                self.is_offered = false;
                self.slot_times.set_waiting(destination, until);
                outbox.set_timer(Component::Slots, until);
            }
            Message::CallSent(call) => {
                self.is_offered = false;
                self.slot_times.begin_call(now, call.destination, call.expected_duration);
            }
            Message::CallEnded(destination) => self.slot_times.end_call(now, &destination),
            _ => {}
        }
        let in_use = self.slot_times.slots_in_use();
        if in_use < slot_count && !self.is_offered {
            // The destination with the least slot time is next; calls in flight count with their expected duration.
            if let Some(&next) = self.slot_times.next_destination(now, overload_duration) {
                self.is_offered = true;
                outbox.send(Component::Destination(next), Message::SlotOffered);
            }
        } else if slot_count == 0 {
            self.announce_no_slots(outbox);
        } else if in_use >= slot_count && self.slot_times.waiting_destinations(now).count() > 0 {
            self.shed_load(slot_count, overload_duration, outbox);
        }
    }

    /// Tells waiting destinations that only the next process can push, so that they end now what would then be too
    /// late.
    fn announce_no_slots(&self, outbox: &mut Outbox) {
        let until: Time = outbox.now + NEXT_PROCESS_DELAY;
        for &destination in self.slot_times.waiting_destinations(outbox.now) {
            outbox.send(Component::Destination(destination), Message::SlotsUnavailable { until });
        }
    }

    /// Asks destinations to cancel overdue calls, so that unresponsive destinations do not occupy every slot. Includes
    /// non-idempotent pushes if most slots are stuck.
    fn shed_load(&self, slot_count: usize, overload_duration: Span, outbox: &mut Outbox) {
        let now = outbox.now;
        let is_stuck = |began: Time| now.since(began) >= overload_duration;
        let stuck = self.slot_times.calls_in_flight().filter(|(_, began)| is_stuck(*began)).count();
        let includes_non_idempotent = stuck * 2 > slot_count;
        let destinations: BTreeSet<_> = self.slot_times.calls_in_flight().map(|(id, _)| *id).collect();
        for destination in destinations {
            outbox.send(Component::Destination(destination), Message::ShedLoad { includes_non_idempotent });
        }
    }
}
