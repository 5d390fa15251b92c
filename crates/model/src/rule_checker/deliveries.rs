//! Checks of single notifications: final answers, repeats, order, retry-after and drains.

use juniperwing::time::Time;

use super::records::{
    AcceptedNotification, ExecutionStatus, FinalAnswer, NotificationRecord, Observation, PushRecord,
    PushTarget, RepeatSemantics,
};
use super::{Rule, RuleChecker, as_secs};

impl RuleChecker {
    /// Records that a relay has accepted a notification, for which it must give a final answer.
    pub(crate) fn handle_accepted(
        &mut self, now: Time, relay: usize, notification_id: u64, accepted: AcceptedNotification,
    ) {
        if let Some(key) = &accepted.key {
            self.key_queues.entry((relay, key.clone())).or_default().notifications.push_back(notification_id);
        }
        let due_at = accepted.valid_until + self.tolerances.answer_slack;
        if self.notifications.contains_key(&notification_id) {
            self.report_for(Rule::FinalAnswer, now, relay, notification_id, "an id was taken twice");
        }
        let record =
            NotificationRecord { accepted, relay, pushes: Vec::new(), has_final_answer: false, due_at };
        self.notifications.insert(notification_id, record);
    }

    /// Checks and records a push.
    pub(crate) fn handle_push(
        &mut self, now: Time, relay: usize, notification_id: u64, push: u32, target: PushTarget,
    ) {
        self.record_observation(
            now,
            relay,
            Observation::Push { notification: notification_id, endpoint: target.endpoint },
        );
        self.check_drain(now, relay, notification_id, target.endpoint);
        self.check_retry_after(now, relay, notification_id, target.route);
        let Some(record) = self.notifications.get(&notification_id) else {
            return self.report_for(
                Rule::FinalAnswer,
                now,
                relay,
                notification_id,
                "sent what nobody handed in",
            );
        };
        if record.has_final_answer {
            self.report_for(Rule::FinalAnswer, now, relay, notification_id, "sent after its final answer");
        } else if record.relay != relay {
            self.report_for(Rule::FinalAnswer, now, relay, notification_id, "sent what another relay took");
        }
        self.check_repeat(now, relay, notification_id, target.zone);
        self.check_order(now, relay, notification_id);
        if let Some(record) = self.notifications.get_mut(&notification_id) {
            let push = PushRecord { number: push, sent_at: now, zone: target.zone, execution: None };
            record.pushes.push(push);
        }
    }

    fn check_drain(&mut self, now: Time, relay: usize, notification_id: u64, endpoint: usize) {
        if let Some(since) = self.draining_since.get(&(relay, endpoint))
            && now > *since + self.tolerances.drain_grace
        {
            let what =
                format!("sent to endpoint {endpoint}, reported as draining at {:.3} s", as_secs(*since));
            self.report_for(Rule::Drain, now, relay, notification_id, what);
        }
    }

    fn check_retry_after(&mut self, now: Time, relay: usize, notification_id: u64, route: usize) {
        if let Some(until) = self.retry_after_until.get(&(relay, route))
            && now < *until
        {
            let what =
                format!("sent to route {route} before its retry-after ends at {:.3} s", as_secs(*until));
            self.report_for(Rule::RetryAfter, now, relay, notification_id, what);
        }
    }

    /// After a push that may have been executed, another one is allowed only if the effect cannot occur twice.
    fn check_repeat(&mut self, now: Time, relay: usize, notification_id: u64, zone: usize) {
        let Some(record) = self.notifications.get(&notification_id) else { return };
        let Some(first) = record.pushes.iter().find(|push| push.may_have_executed()) else { return };
        let what = match record.accepted.repeat {
            RepeatSemantics::Harmless => return,
            RepeatSemantics::Forbidden => {
                format!(
                    "non-idempotent notification sent again, although push {} may have been executed",
                    first.number
                )
            }
            RepeatSemantics::Deduplicated { window, .. } if now >= first.sent_at + window => {
                format!("sent again outside its window, first sent at {:.3} s", as_secs(first.sent_at))
            }
            RepeatSemantics::Deduplicated { same_zone_only: true, .. } if first.zone != zone => {
                format!("sent again to zone {zone}, first sent to zone {}", first.zone)
            }
            RepeatSemantics::Deduplicated { .. } => return,
        };
        self.report_for(Rule::SingleEffect, now, relay, notification_id, what);
    }

    /// A push must be for the first unfinished notification of its key, with no other of the key in flight, and
    /// after the cooldown of the key.
    fn check_order(&mut self, now: Time, relay: usize, notification_id: u64) {
        let Some(record) = self.notifications.get(&notification_id) else { return };
        let Some(key) = record.accepted.key.clone() else { return };
        let Some(queue) = self.key_queues.get(&(relay, key.clone())) else { return };
        let is_unfinished = |other: &&u64| {
            let other = self.notifications.get(other);
            other.is_some_and(|other| !other.has_final_answer || other.is_in_flight())
        };
        let mut earlier = queue.notifications.iter().take_while(|other| **other != notification_id);
        let is_first = queue.notifications.front() == Some(&notification_id);
        let what = if let Some(other) = earlier.find(is_unfinished) {
            format!("sent while the earlier notification {other} of key {key} is unfinished")
        } else if now < queue.cooldown_until && is_first && record.pushes.is_empty() {
            format!("sent while key {key} rests until {:.3} s", as_secs(queue.cooldown_until))
        } else {
            return;
        };
        self.report_for(Rule::Order, now, relay, notification_id, what);
    }

    /// Records the outcome of a push that a relay received.
    pub(crate) fn handle_outcome(
        &mut self, now: Time, relay: usize, notification_id: u64, push: u32, execution: ExecutionStatus,
    ) {
        self.record_observation(
            now,
            relay,
            Observation::PushOutcome { notification: notification_id, push, execution },
        );
        let Some(record) = self.notifications.get_mut(&notification_id) else { return };
        if let Some(push) = record.pushes.iter_mut().find(|p| p.number == push && p.is_in_flight()) {
            push.execution = Some(execution);
        }
        let (key, has_final_answer) = (record.accepted.key.clone(), record.has_final_answer);
        if execution == ExecutionStatus::MayBeExecuting {
            self.extend_key_cooldown(now, relay, key);
        }
        if has_final_answer {
            self.prune(notification_id);
        }
    }

    /// Starts or extends the cooldown of a key, a push of which may still be executing.
    pub(super) fn extend_key_cooldown(&mut self, now: Time, relay: usize, key: Option<String>) {
        if let Some(key) = key
            && let Some(queue) = self.key_queues.get_mut(&(relay, key))
        {
            queue.cooldown_until = queue.cooldown_until.max(now + self.tolerances.key_cooldown);
        }
    }

    /// Checks and records a final answer.
    pub(crate) fn handle_final_answer(
        &mut self, now: Time, relay: usize, notification_id: u64, answer: FinalAnswer,
    ) {
        self.record_observation(
            now,
            relay,
            Observation::FinalAnswer { notification: notification_id, answer },
        );
        let Some(record) = self.notifications.get_mut(&notification_id) else {
            return self.report_for(
                Rule::FinalAnswer,
                now,
                relay,
                notification_id,
                format!("{answer}, though nobody handed it in"),
            );
        };
        if record.has_final_answer {
            return self.report_for(
                Rule::FinalAnswer,
                now,
                relay,
                notification_id,
                format!("{answer}, after another final answer"),
            );
        }
        record.has_final_answer = true;
        let due_at = record.due_at;
        let may_repeat_effect = answer == FinalAnswer::Throttled && record.may_repeat_effect();
        if now > due_at {
            let what = format!("{answer} too late: the final answer was due by {:.3} s", as_secs(due_at));
            self.report_for(Rule::FinalAnswer, now, relay, notification_id, what);
        }
        if may_repeat_effect {
            let what = "throttled, which permits a repeat, although a push may have been executed";
            self.report_for(Rule::SingleEffect, now, relay, notification_id, what);
        }
        self.prune(notification_id);
    }

    /// Records that the client has withdrawn a notification, which then needs no final answer.
    pub(crate) fn handle_withdrawal(&mut self, notification_id: u64) {
        if let Some(record) = self.notifications.get_mut(&notification_id) {
            record.has_final_answer = true;
            self.prune(notification_id);
        }
    }

    /// Drops the pushes and the key of a notification that has its final answer and no push in flight.
    pub(super) fn prune(&mut self, notification_id: u64) {
        let Some(record) = self.notifications.get_mut(&notification_id) else { return };
        if !record.has_final_answer || record.is_in_flight() {
            return;
        }
        // The record itself is kept until the end of the run, to detect a later answer or push.
        record.pushes = Vec::new();
        if let Some(key) = record.accepted.key.take()
            && let Some(queue) = self.key_queues.get_mut(&(record.relay, key))
        {
            queue.notifications.retain(|other| *other != notification_id);
        }
    }

    /// Records that an endpoint has executed a notification of a client; `notification_id` is its id at the relay.
    pub(crate) fn record_effect(
        &mut self, now: Time, notification: usize, notification_id: u64, is_non_idempotent: bool,
    ) {
        if let Some(first) = self.first_effect_at.get(&notification).copied().filter(|_| is_non_idempotent) {
            let what = format!("a once-only effect took place again, first at {:.3} s", as_secs(first));
            self.report(Rule::SingleEffect, now, None, Some(notification_id), what);
        }
        self.first_effect_at.entry(notification).or_insert(now);
    }
}
