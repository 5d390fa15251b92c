//! The behaviour of clients: submission, resubmission and withdrawal of notifications, and giving up.

use juniperwing::time::Span;
use rand::Rng;

use super::Simulation;
use super::state::{ClientNotification, PendingAt, PendingNotification, RelayInput, SimulationEvent};
use crate::fleet::span_ms;
use crate::metrics::{Submission, UndeliveredReason};
use crate::traffic::{Arrival, resubmit_delay};

impl Simulation<'_> {
    pub(super) fn schedule_next_arrival(&mut self, source: usize) {
        match self.traffic.next(source, &self.fleet, &self.fault_windows, &self.destination_faults) {
            Some(arrival) => {
                let at = arrival.drawn_at;
                self.queue.schedule(at, SimulationEvent::Arrival { source, arrival: Box::new(arrival) });
            }
            None => self.active_sources -= 1,
        }
    }

    pub(super) fn handle_arrival(&mut self, arrival: Arrival) {
        let Arrival { submitted_at: at, destination, topic, relay, .. } = arrival;
        let account = self.fleet.destinations[destination].account;
        let mut benefit = self.scenario.topics[topic].benefit;
        if let Some(account) = account {
            benefit *= self.quotas[account].take(at);
        }
        let submission = Submission { at, topic, account, benefit };
        let notification = self.notifications.len();
        self.notifications.push(ClientNotification {
            submission,
            destination,
            valid_until: at + arrival.ttl,
            key: arrival.key,
            work_s: arrival.work_s,
            resubmissions: 0,
            is_finished: false,
            is_delivered: false,
            pending_at: None,
        });
        self.unfinished += 1;
        self.recorder.record_submission(&submission);
        self.queue.schedule(at, SimulationEvent::Submit { notification, relay });
        if let Some(after) = arrival.withdrawn_after {
            self.queue.schedule(at + after, SimulationEvent::Withdraw { notification });
        }
    }

    pub(super) fn handle_submission(&mut self, notification: usize, relay: usize) {
        let submitted = &self.notifications[notification];
        if submitted.is_finished {
            return;
        }
        if self.now >= submitted.valid_until {
            return self.give_up(notification, UndeliveredReason::Abandoned);
        }
        let process = &mut self.relays[relay];
        if !process.is_running {
            return self.resubmit_elsewhere(notification);
        }
        if process.pending.len() >= process.plan.limits.max_pending {
            self.recorder.metrics.rejected_at_capacity += 1;
            return self.resubmit_or_give_up(notification, relay, None);
        }
        self.last_notification_id += 1;
        let notification_id = self.last_notification_id;
        process.pending.insert(notification_id, PendingNotification::new(notification));
        self.notifications[notification].pending_at = Some(PendingAt { relay, notification_id });
        self.enqueue_input(relay, RelayInput::Accepted(notification_id));
    }

    /// Resubmits a notification, whose relay is down, to a running relay after the failover delay.
    pub(super) fn resubmit_elsewhere(&mut self, notification: usize) {
        let running: Vec<usize> =
            (0..self.relays.len()).filter(|relay| self.relays[*relay].is_running).collect();
        let after = span_ms(self.scenario.clients.failover_delay_ms.draw(&mut self.client_rng));
        let choice = self.client_rng.random::<u32>() as usize;
        // If none is running, any relay is chosen, and the client will fail over again.
        let relay =
            if running.is_empty() { choice % self.relays.len() } else { running[choice % running.len()] };
        self.queue.schedule(self.now + after, SimulationEvent::Submit { notification, relay });
    }

    /// Resubmits a throttled notification, or gives it up.
    pub(super) fn resubmit_or_give_up(
        &mut self, notification: usize, relay: usize, retry_after: Option<Span>,
    ) {
        let throttled = &mut self.notifications[notification];
        throttled.pending_at = None;
        if throttled.is_finished {
            return;
        }
        let plan = &self.scenario.clients;
        let max_retry = span_ms(plan.max_retry_after_ms);
        let announced = retry_after.filter(|_| max_retry > Span::ZERO).map(|span| span.min(max_retry));
        match resubmit_delay(plan, &mut self.client_rng, throttled.resubmissions, announced) {
            Some(after) if self.now + after < throttled.valid_until => {
                throttled.resubmissions += 1;
                self.recorder.metrics.resubmissions += 1;
                self.queue.schedule(self.now + after, SimulationEvent::Submit { notification, relay });
            }
            _ => self.give_up(notification, UndeliveredReason::Throttled),
        }
    }

    /// Finishes a notification for its client, and records it as undelivered unless it was delivered.
    pub(super) fn give_up(&mut self, notification: usize, reason: UndeliveredReason) {
        let notification = &mut self.notifications[notification];
        if !std::mem::replace(&mut notification.is_finished, true) {
            self.unfinished -= 1;
            if !notification.is_delivered {
                let Submission { topic, account, .. } = notification.submission;
                self.recorder.record_undelivered(topic, account, reason);
            }
        }
    }

    /// Handles the withdrawal of a notification by its client.
    pub(super) fn handle_withdrawal(&mut self, notification: usize) {
        if let Some(PendingAt { relay, notification_id }) = self.notifications[notification].pending_at.take()
        {
            let process = &mut self.relays[relay];
            let is_owed =
                process.pending.get(&notification_id).is_some_and(|pending| !pending.has_final_answer);
            if is_owed && process.is_running {
                process.pending.remove(&notification_id);
                self.rule_checker.handle_withdrawal(notification_id);
                self.enqueue_input(relay, RelayInput::Withdrawn(notification_id));
            }
        }
        self.give_up(notification, UndeliveredReason::Abandoned);
    }
}
