//! Outcomes of pushes, probes and notifications.

use juniperwing::interface::{Event, NotificationId, PushOutcome};
use juniperwing::time::Time;
use slog::{debug, warn};

use super::Server;
use crate::journal::UndeliveredEnd;
use crate::notices::NoticeResults;
use crate::upstream::{CallOutcome, RetryAfter};

impl Server {
    /// Reports the outcomes of pushes and probes to the core.
    pub(super) fn report_outcomes(&mut self, now: Time) {
        for RetryAfter { endpoint, delay } in self.upstream.take_retry_afters() {
            debug!(self.log, "retry-after received"; "endpoint" => &*endpoint.0,
                "retry_after_ms" => delay.as_millis());
            self.core.enqueue(Event::RetryAfterReported { endpoint, retry_after: delay });
        }
        for outcome in self.upstream.take_outcomes() {
            match outcome.notification {
                Some(notification) => self.report_push_outcome(notification, outcome, now),
                None => {
                    let CallOutcome { endpoint, result, limit, .. } = outcome;
                    self.core.enqueue(Event::ProbeEnded {
                        endpoint,
                        status: result.status,
                        rate_limit: limit,
                    });
                }
            }
        }
    }

    fn report_push_outcome(&mut self, notification: NotificationId, outcome: CallOutcome, now: Time) {
        let CallOutcome { push_index, endpoint, result, elapsed, retry_after, limit, .. } = outcome;
        let status = result.status;
        debug!(self.log, "push ended"; "notification" => notification.0, "push" => push_index,
            "endpoint" => &*endpoint.0, "status" => format!("{status:?}"),
            "duration_ms" => elapsed.as_millis(),
            "limit_remaining" => limit.map(|limit| limit.remaining_fraction),
            "limit_rate" => limit.map(|limit| limit.rate_per_second));
        let may_run_since = status.may_be_executing().then_some(now);
        self.journal.record_push_ended(notification.0, status.may_have_executed(), may_run_since);
        if result.is_final {
            self.close_notification(notification);
        }
        let entry = self.journal.get(notification.0);
        let has_final_answer = entry.is_none_or(|entry| entry.notification.history.end.is_some());
        self.core.enqueue(Event::PushEnded(PushOutcome {
            notification,
            push_index,
            endpoint,
            status,
            elapsed,
            has_final_answer,
            retry_after,
            rate_limit: limit,
        }));
    }

    /// Records that a notification ended undelivered, and queues the notice to its client.
    pub(super) fn end_undelivered(&mut self, notification: NotificationId, end: UndeliveredEnd, now: Time) {
        self.journal.record_end(notification.0, end);
        self.count_recovered(notification, now);
        if let Some(entry) = self.journal.get(notification.0) {
            debug!(self.log, "notification undelivered"; "id" => &entry.notification.attributes.id,
                "notification" => notification.0, "end" => format!("{end:?}"));
            self.notices.enqueue(notification.0);
        }
    }

    pub(super) fn handle_notice_results(&mut self, results: NoticeResults) {
        if let Some(number) = results.rejected {
            let id = self.journal.get(number).map(|entry| entry.notification.attributes.id.clone());
            warn!(self.log, "notice rejected"; "id" => id);
        }
        for number in results.acknowledged.into_iter().chain(results.rejected) {
            self.handle_end_acknowledged(NotificationId(number));
        }
    }

    /// Closes a notification whose final outcome is acknowledged.
    pub(super) fn handle_end_acknowledged(&mut self, notification: NotificationId) {
        debug!(self.log, "final answer acknowledged"; "notification" => notification.0);
        self.close_notification(notification);
        self.core.enqueue(Event::FinalAnswerAcknowledged(notification));
    }

    fn close_notification(&mut self, notification: NotificationId) {
        self.upstream.remove_notification(notification);
        if self.journal.get(notification.0).is_some() {
            self.journal.close(notification.0);
        }
    }
}
