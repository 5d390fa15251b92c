//! Checks of single notifications: final answers, repeats, order, waits and drains.

use juniperwing::time::Time;

use super::records::{
    AcceptedNotification, ExecutionStatus, FinalAnswer, NotificationRecord, Observation, PushRecord,
    PushTarget, RepeatSemantics,
};
use super::{Judge, Rule, as_secs};

impl Judge {
    /// A relay has accepted a notification and from now on owes a final answer.
    pub(crate) fn handle_accepted(
        &mut self, now: Time, relay: usize, notification_id: u64, accepted: AcceptedNotification,
    ) {
        if let Some(key) = &accepted.key {
            self.key_queues.entry((relay, key.clone())).or_default().notifications.push_back(notification_id);
        }
        let due_at = accepted.valid_until + self.tolerances.answer_slack;
        if self.notifications.contains_key(&notification_id) {
            self.report_for(Rule::Lost, now, relay, notification_id, "an id was taken twice");
        }
        let record =
            NotificationRecord { accepted, relay, pushes: Vec::new(), has_final_answer: false, due_at };
        self.notifications.insert(notification_id, record);
    }

    /// A relay pushes a notification.
    pub(crate) fn handle_push(
        &mut self, now: Time, relay: usize, notification_id: u64, push: u32, target: PushTarget,
    ) {
        self.remember(
            now,
            relay,
            Observation::Push { notification: notification_id, endpoint: target.endpoint },
        );
        self.check_drain(now, relay, notification_id, target.endpoint);
        self.check_wait(now, relay, notification_id, target.route);
        let Some(record) = self.notifications.get(&notification_id) else {
            return self.report_for(Rule::Lost, now, relay, notification_id, "sent what nobody handed in");
        };
        if record.has_final_answer {
            self.report_for(Rule::Lost, now, relay, notification_id, "sent after its final answer");
        } else if record.relay != relay {
            self.report_for(Rule::Lost, now, relay, notification_id, "sent what another relay took");
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
            let what = format!("sent to endpoint {endpoint}, told to drain at {:.3} s", as_secs(*since));
            self.report_for(Rule::Drain, now, relay, notification_id, what);
        }
    }

    fn check_wait(&mut self, now: Time, relay: usize, notification_id: u64, route: usize) {
        if let Some(until) = self.wait_until.get(&(relay, route))
            && now < *until
        {
            let what = format!("sent to lane {route} in a wait until {:.3} s", as_secs(*until));
            self.report_for(Rule::Wait, now, relay, notification_id, what);
        }
    }

    /// After a push that may have been executed, another one is allowed only if the effect stays single.
    fn check_repeat(&mut self, now: Time, relay: usize, notification_id: u64, zone: usize) {
        let Some(record) = self.notifications.get(&notification_id) else { return };
        let Some(first) = record.pushes.iter().find(|push| push.may_have_executed()) else { return };
        let what = match record.accepted.repeat {
            RepeatSemantics::Harmless => return,
            RepeatSemantics::Forbidden => {
                format!("a once-only one sent again, though push {} may have run", first.number)
            }
            RepeatSemantics::Deduplicated { window, .. } if now >= first.sent_at + window => {
                format!("sent again outside its window, first sent at {:.3} s", as_secs(first.sent_at))
            }
            RepeatSemantics::Deduplicated { same_zone_only: true, .. } if first.zone != zone => {
                format!("sent again to zone {zone}, first sent to zone {}", first.zone)
            }
            RepeatSemantics::Deduplicated { .. } => return,
        };
        self.report_for(Rule::Twice, now, relay, notification_id, what);
    }

    /// A push must be for the first unfinished notification of its key, with no other of the key in flight, and
    /// after the settle delay of the key.
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
            format!("sent while {other} of key {key}, taken before, is not over")
        } else if now < queue.settles_at && is_first && record.pushes.is_empty() {
            format!("sent while key {key} rests until {:.3} s", as_secs(queue.settles_at))
        } else {
            return;
        };
        self.report_for(Rule::Order, now, relay, notification_id, what);
    }

    /// A relay receives the outcome of a push.
    pub(crate) fn handle_outcome(
        &mut self, now: Time, relay: usize, notification_id: u64, push: u32, execution: ExecutionStatus,
    ) {
        self.remember(
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
            self.delay_key(now, relay, key);
        }
        if has_final_answer {
            self.forget(notification_id);
        }
    }

    /// Starts the settle delay of a key: a push of it may still be executing.
    pub(super) fn delay_key(&mut self, now: Time, relay: usize, key: Option<String>) {
        if let Some(key) = key
            && let Some(queue) = self.key_queues.get_mut(&(relay, key))
        {
            queue.settles_at = queue.settles_at.max(now + self.tolerances.key_cooldown);
        }
    }

    /// A relay gives a final answer.
    pub(crate) fn handle_final_answer(
        &mut self, now: Time, relay: usize, notification_id: u64, answer: FinalAnswer,
    ) {
        self.remember(now, relay, Observation::FinalAnswer { notification: notification_id, answer });
        let Some(record) = self.notifications.get_mut(&notification_id) else {
            return self.report_for(
                Rule::Lost,
                now,
                relay,
                notification_id,
                format!("{answer}, though nobody handed it in"),
            );
        };
        if record.has_final_answer {
            return self.report_for(
                Rule::Lost,
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
            let what = format!("{answer} too late: its end was due by {:.3} s", as_secs(due_at));
            self.report_for(Rule::Lost, now, relay, notification_id, what);
        }
        if may_repeat_effect {
            let what = "throttled, as if trying again were harmless, though a push may have run";
            self.report_for(Rule::Twice, now, relay, notification_id, what);
        }
        self.forget(notification_id);
    }

    /// The client has withdrawn a notification: no final answer is owed any more.
    pub(crate) fn handle_withdrawal(&mut self, notification_id: u64) {
        if let Some(record) = self.notifications.get_mut(&notification_id) {
            record.has_final_answer = true;
            self.forget(notification_id);
        }
    }

    /// Drops the pushes and the key of a notification that has its final answer and no push in flight.
    pub(super) fn forget(&mut self, notification_id: u64) {
        let Some(record) = self.notifications.get_mut(&notification_id) else { return };
        if !record.has_final_answer || record.is_in_flight() {
            return;
        }
        // The record itself stays until the end of the run: a later answer or push must still be recognized.
        record.pushes = Vec::new();
        if let Some(key) = record.accepted.key.take()
            && let Some(queue) = self.key_queues.get_mut(&(record.relay, key))
        {
            queue.notifications.retain(|other| *other != notification_id);
        }
    }

    /// An endpoint has executed a notification of a client; `notification_id` is the id that its relay knows it by.
    pub(crate) fn record_effect(
        &mut self, now: Time, notification: usize, notification_id: u64, once_only: bool,
    ) {
        if let Some(first) = self.first_effect_at.get(&notification).copied().filter(|_| once_only) {
            let what = format!("a once-only effect took place again, first at {:.3} s", as_secs(first));
            self.report(Rule::Twice, now, None, Some(notification_id), what);
        }
        self.first_effect_at.entry(notification).or_insert(now);
    }
}
