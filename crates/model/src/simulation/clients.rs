//! Notifications as their clients have them: drawn, handed in, handed in again, taken back and given up.

use juniperwing::time::Span;
use rand::Rng;

use super::Simulation;
use super::state::{ClientNotification, PendingNotification, RelayInput, SimulationEvent};
use crate::fleet::span_ms as ms;
use crate::metrics::UndeliveredReason;
use crate::traffic::{Arrival, resubmit_delay};

impl Simulation<'_> {
    pub(super) fn schedule_next_arrival(&mut self, source: usize) {
        match self.traffic.next(source, &self.fleet, &self.fault_windows, &self.destination_faults) {
            Some(arrival) => {
                let at = arrival.drawn;
                self.queue.schedule(at, SimulationEvent::Arrival(source, Box::new(arrival)));
            }
            None => self.active_sources -= 1,
        }
    }

    pub(super) fn handle_arrival(&mut self, arrival: Arrival) {
        let Arrival { at, destination, topic, relay, key, work, ttl, patience, .. } = arrival;
        let account = self.fleet.destinations[destination].account;
        let mut benefit = self.scenario.topic[topic].benefit;
        if let Some(share) = account.map(|account| &mut self.quotas[account]) {
            share.tokens = (share.tokens + share.rate_per_s * at.since(share.refilled_at).as_secs_f64())
                .min(share.rate_per_s.max(1.0));
            share.refilled_at = share.refilled_at.max(at);
            if share.tokens < 1.0 {
                benefit *= share.over_quota_value;
            } else {
                share.tokens -= 1.0;
            }
        }
        let notification = self.notifications.len();
        self.notifications.push(ClientNotification {
            topic,
            destination,
            account,
            benefit,
            submitted_at: at,
            valid_until: at + ttl,
            key,
            work,
            resubmissions: 0,
            is_finished: false,
            is_delivered: false,
            pending_as: None,
        });
        self.unfinished += 1;
        self.recorder.record_offered(at, topic, account, benefit);
        self.queue.schedule(at, SimulationEvent::Submit { notification, relay });
        if let Some(patience) = patience {
            self.queue.schedule(at + patience, SimulationEvent::Withdraw { notification });
        }
    }

    pub(super) fn handle_submission(&mut self, notification: usize, relay: usize) {
        if self.notifications[notification].is_finished {
            return;
        }
        if self.now >= self.notifications[notification].valid_until {
            return self.give_up(notification, UndeliveredReason::Abandoned);
        }
        if !self.nodes[relay].is_running {
            return self.resubmit_elsewhere(notification);
        }
        if self.nodes[relay].pending.len() >= self.nodes[relay].plan.allowance.held {
            self.recorder.metrics.rejected_at_capacity += 1;
            return self.resubmit_or_give_up(notification, relay, None);
        }
        self.next_notification_id += 1;
        let ntf = self.next_notification_id;
        let pending = PendingNotification {
            notification,
            push_count: 0,
            first_executed: None,
            in_flight: None,
            uncertain_since: None,
            has_final_answer: false,
            is_unanswered: true,
        };
        self.nodes[relay].pending.insert(ntf, pending);
        self.notifications[notification].pending_as = Some((relay, ntf));
        self.enqueue_input(relay, RelayInput::Accepted(ntf));
    }

    /// Its relay is gone: it comes to a live one after a while.
    pub(super) fn resubmit_elsewhere(&mut self, notification: usize) {
        let live: Vec<usize> = (0..self.nodes.len()).filter(|relay| self.nodes[*relay].is_running).collect();
        let after = ms(self.scenario.clients.orphan_ms.draw(&mut self.client_rng));
        let index = self.client_rng.random::<u32>() as usize;
        // With none left, any will do: it asks again.
        let relay = if live.is_empty() { index % self.nodes.len() } else { live[index % live.len()] };
        self.queue.schedule(self.now + after, SimulationEvent::Submit { notification, relay });
    }

    /// It was turned away: its client comes again, or gives up.
    pub(super) fn resubmit_or_give_up(&mut self, notification: usize, relay: usize, retry_in: Option<Span>) {
        self.notifications[notification].pending_as = None;
        if self.notifications[notification].is_finished {
            return;
        }
        let plan = &self.scenario.clients;
        let longest = ms(plan.longest_retry_ms);
        let input = retry_in.filter(|_| longest > Span::ZERO).map(|span| span.min(longest));
        let again = self.notifications[notification].resubmissions;
        match resubmit_delay(plan, &mut self.client_rng, again, input) {
            Some(after) if self.now + after < self.notifications[notification].valid_until => {
                self.notifications[notification].resubmissions += 1;
                self.recorder.metrics.resubmissions += 1;
                self.queue.schedule(self.now + after, SimulationEvent::Submit { notification, relay });
            }
            _ => self.give_up(notification, UndeliveredReason::Throttled),
        }
    }

    pub(super) fn give_up(&mut self, notification: usize, why: UndeliveredReason) {
        let notification = &mut self.notifications[notification];
        if !std::mem::replace(&mut notification.is_finished, true) {
            self.unfinished -= 1;
            if !notification.is_delivered {
                self.recorder.record_undelivered(notification.topic, notification.account, why);
            }
        }
    }

    pub(super) fn handle_withdrawal(&mut self, notification: usize) {
        if let Some((relay, ntf)) = self.notifications[notification].pending_as
            && let Some(pending) = self.nodes[relay].pending.get(&ntf)
            && !pending.has_final_answer
            && self.nodes[relay].is_running
        {
            self.nodes[relay].pending.remove(&ntf);
            self.judge.handle_withdrawal(ntf);
            self.enqueue_input(relay, RelayInput::Withdrawn(ntf));
        }
        self.notifications[notification].pending_as = None;
        self.give_up(notification, UndeliveredReason::Abandoned);
    }
}
