//! Conversion of the inputs of relays to events of the core. The rule checker and the relay's storage record them.

use juniperwing::interface::{
    CallStatus, EndpointEntry, EndpointListUpdate, Event, Notification, NotificationHistory, NotificationId,
    PossibleExecution, PushOutcome, Readiness,
};
use juniperwing::time::Time;

use super::Simulation;
use super::state::{PendingNotification, RelayInput, SentPush};
use crate::fleet::{destination_id, span_ms};
use crate::metrics::UndeliveredReason;
use crate::rule_checker::{AcceptedNotification, ExecutionStatus, FinalAnswer, RepeatSemantics};
use crate::scenario::Semantics;

/// Effects of the inputs that apply at the end of the turn.
#[derive(Default)]
pub(super) struct TurnEffects {
    /// Retry-after times that the relay receives, by route.
    pub(super) retry_after: Vec<(usize, Time)>,
    /// Submissions that the relay responds to in this turn.
    pub(super) accepted: Vec<u64>,
}

fn execution_status(status: CallStatus) -> ExecutionStatus {
    match status {
        CallStatus::Busy
        | CallStatus::NoConnection
        | CallStatus::ConnectionLimitReached
        | CallStatus::Skipped => ExecutionStatus::NotExecuted,
        CallStatus::TimedOut | CallStatus::Reset | CallStatus::Cancelled => ExecutionStatus::MayBeExecuting,
        CallStatus::Delivered | CallStatus::Error => ExecutionStatus::MayHaveExecuted,
    }
}

impl Simulation<'_> {
    /// Converts an input to an event. Returns `None` for a notification that is no longer pending.
    pub(super) fn convert_input(
        &mut self, relay: usize, input: RelayInput, effects: &mut TurnEffects,
    ) -> Option<Event> {
        Some(match input {
            RelayInput::Accepted(notification_id) => {
                return self.convert_accepted(relay, notification_id, effects);
            }
            RelayInput::PushEnded { mut outcome, route } => {
                self.handle_push_outcome(relay, route, &mut outcome, effects);
                Event::PushEnded(*outcome)
            }
            RelayInput::EndpointChanges(changes) => Event::EndpointListUpdated(EndpointListUpdate::Changes(
                self.report_endpoints(relay, &changes),
            )),
            RelayInput::EndpointSnapshot => {
                let endpoints = self.readiness.iter().copied().enumerate();
                let listed: Vec<(usize, Readiness)> =
                    endpoints.filter(|(_, readiness)| *readiness != Readiness::Deleted).collect();
                Event::EndpointListUpdated(EndpointListUpdate::Snapshot(
                    self.report_endpoints(relay, &listed),
                ))
            }
            RelayInput::SubscriptionLost => Event::EndpointListUpdated(EndpointListUpdate::Failed),
            RelayInput::Withdrawn(notification_id) => Event::Withdrawn(NotificationId(notification_id)),
            RelayInput::NoticeDelivered(notification_id) => {
                self.relays[relay].pending.remove(&notification_id);
                Event::FinalAnswerAcknowledged(NotificationId(notification_id))
            }
        })
    }

    /// Converts a submission or, after a restart, a notification recovered from storage.
    fn convert_accepted(
        &mut self, relay: usize, notification_id: u64, effects: &mut TurnEffects,
    ) -> Option<Event> {
        let pending = self.relays[relay].pending.get_mut(&notification_id)?;
        if pending.is_unanswered {
            let notification = pending.notification;
            effects.accepted.push(notification_id);
            let accepted = self.accepted_notification(notification);
            self.rule_checker.handle_accepted(self.now, relay, notification_id, accepted);
        } else {
            // A push that was in flight when the previous process ended may have been executed, or may still be
            // executing.
            pending.first_executed = pending.first_executed.or(pending.in_flight);
            if pending.in_flight.take().is_some() {
                pending.uncertain_since = Some(self.now);
            }
        }
        Some(Event::Accepted(
            self.core_notification(notification_id, &self.relays[relay].pending[&notification_id]),
        ))
    }

    /// Records the outcome of a push at the relay, and sets whether the notification has its final answer.
    fn handle_push_outcome(
        &mut self, relay: usize, route: usize, outcome: &mut PushOutcome, effects: &mut TurnEffects,
    ) {
        let (notification_id, status) = (outcome.notification.0, outcome.status);
        let execution = execution_status(status);
        self.rule_checker.handle_outcome(self.now, relay, notification_id, outcome.push_index, execution);
        if !matches!(status, CallStatus::Delivered | CallStatus::Cancelled | CallStatus::Skipped) {
            self.rule_checker.record_failure_seen(relay, route);
        }
        if let Some(wait) = outcome.retry_after {
            effects.retry_after.push((route, self.now + wait));
        }
        self.recorder.record_push_outcome(self.now, status);
        let Some(pending) = self.relays[relay].pending.get_mut(&notification_id) else {
            outcome.has_final_answer = true;
            return;
        };
        let sent = pending.in_flight.take();
        if execution != ExecutionStatus::NotExecuted {
            pending.first_executed = pending.first_executed.or(sent);
        }
        if execution == ExecutionStatus::MayBeExecuting {
            pending.uncertain_since = Some(self.now);
        }
        outcome.has_final_answer = pending.has_final_answer || status == CallStatus::Delivered;
        if status == CallStatus::Delivered {
            self.handle_delivery(relay, notification_id);
        }
    }

    /// Finishes a notification whose delivery the relay has learned of.
    fn handle_delivery(&mut self, relay: usize, notification_id: u64) {
        let Some(pending) = self.relays[relay].pending.remove(&notification_id) else { return };
        self.notifications[pending.notification].pending_at = None;
        if !pending.has_final_answer {
            self.rule_checker.handle_final_answer(self.now, relay, notification_id, FinalAnswer::Delivered);
        }
        self.give_up(pending.notification, UndeliveredReason::Abandoned);
    }

    /// Returns entries of the endpoint list for a relay; the rule checker records that the relay is notified of them.
    fn report_endpoints(&mut self, relay: usize, changes: &[(usize, Readiness)]) -> Vec<EndpointEntry> {
        for (endpoint, readiness) in changes {
            let is_serving = *readiness == Readiness::Serving;
            self.rule_checker.handle_readiness(self.now, relay, *endpoint, is_serving);
        }
        changes.iter().map(|(endpoint, readiness)| self.list_entry(*endpoint, *readiness)).collect()
    }

    fn list_entry(&self, endpoint: usize, readiness: Readiness) -> EndpointEntry {
        let plan = &self.endpoints[endpoint].plan;
        EndpointEntry {
            endpoint: plan.id.clone(),
            destination: destination_id(plan.destination),
            kind: self.fleet.kinds[self.fleet.destinations[plan.destination].kind].clone(),
            zone: self.fleet.zones[plan.zone].clone(),
            readiness,
            rate_per_second: self.routes[plan.route].plan.listed_rate,
        }
    }

    /// A notification as the rule checker represents it.
    fn accepted_notification(&self, notification: usize) -> AcceptedNotification {
        let notification = &self.notifications[notification];
        let topic = &self.scenario.topics[notification.submission.topic];
        let deduplicated = |same_zone_only| RepeatSemantics::Deduplicated {
            window: span_ms(topic.deduplication_window_ms),
            same_zone_only,
        };
        AcceptedNotification {
            repeat: match topic.semantics {
                Semantics::Idempotent => RepeatSemantics::Harmless,
                Semantics::Deduplicated => deduplicated(false),
                Semantics::DeduplicatedInZone => deduplicated(true),
                Semantics::NonIdempotent => RepeatSemantics::Forbidden,
            },
            key: notification.key.clone().filter(|_| topic.is_ordered),
            valid_until: notification.valid_until,
        }
    }

    /// A notification as the core represents it.
    fn core_notification(&self, notification_id: u64, pending: &PendingNotification) -> Notification {
        let notification = &self.notifications[pending.notification];
        let submission = &notification.submission;
        Notification {
            id: NotificationId(notification_id),
            destination: destination_id(notification.destination),
            topic: self.fleet.topics[submission.topic].topic.clone(),
            account: submission.account.map(|account| self.fleet.accounts[account].clone()),
            key: notification.key.clone(),
            valid_until: notification.valid_until,
            history: NotificationHistory {
                is_recovered: true,
                push_count: pending.push_count,
                first_possible_execution: pending.first_executed.map(|SentPush { at, zone }| {
                    PossibleExecution { sent_at: at, zone: self.fleet.zones[zone].clone() }
                }),
                last_uncertain_end: pending.uncertain_since,
                has_final_answer: pending.has_final_answer,
            },
        }
    }
}
