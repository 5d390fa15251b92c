//! Recovery of the notifications that an earlier process accepted.

use std::collections::BTreeSet;
use std::sync::Arc;

use juniperwing::interface::{
    Event, Notification, NotificationHistory, NotificationId, PossibleExecution, TopicType,
};
use juniperwing::time::Time;
use slog::info;

use super::Server;
use crate::journal::{AcceptedNotification, History, UndeliveredEnd};

/// The progress of the notifications that an earlier process accepted and never pushed.
#[derive(Default)]
pub(super) struct RecoveryProgress {
    /// Notifications that have neither been pushed nor ended.
    pub(super) pending: BTreeSet<NotificationId>,
    pushed: usize,
    /// The number of notifications that expired without a push.
    expired: usize,
    /// The number of notifications that ended earlier without a push.
    given_up: usize,
}

/// A live notification in the journal that is about to be reported to the core.
struct RecoveredNotification {
    number: u64,
    /// Whether a push was in flight when the earlier process ended.
    was_in_flight: bool,
    /// `None` if neither the journal nor the settings define its topic type.
    notification: Option<Notification>,
}

impl Server {
    /// Reports unfinished notifications of an earlier process to the core, in the order accepted.
    pub(super) fn recover_notifications(&mut self, now: Time) {
        let mut live = Vec::new();
        for (number, entry) in self.journal.live() {
            let history = &entry.notification.history;
            if history.end.is_some() {
                self.notices.enqueue(number);
            } else if history.push_count == 0 {
                self.recovery.pending.insert(NotificationId(number));
            }
            let notification = self.recovered_topic(&entry.notification).map(|topic| {
                self.notification(number, &entry.notification, topic, recovered_history(history, now))
            });
            live.push(RecoveredNotification {
                number,
                was_in_flight: history.in_flight.is_some(),
                notification,
            });
        }
        for RecoveredNotification { number, was_in_flight, notification } in live {
            if was_in_flight {
                self.journal.record_push_ended(number, true, Some(now));
            }
            match notification {
                Some(notification) => self.core.enqueue(Event::Accepted(notification)),
                None => self.end_undelivered(NotificationId(number), UndeliveredEnd::GivenUp, now),
            }
        }
    }

    /// Returns the topic type of a notification with the guarantee given when it was accepted. A topic type that is no
    /// longer in the settings is replaced by the default one. Without a guarantee, as in the journal of an early
    /// release, the topic type is the one in the settings, if any.
    fn recovered_topic(&self, notification: &AcceptedNotification) -> Option<Arc<TopicType>> {
        let name = &notification.attributes.topic;
        let topic = self.settings.topic_type(name);
        let Some(guarantee) = notification.guarantee else { return topic };
        let missing = || Arc::new(TopicType { name: name.clone(), ..TopicType::default() });
        Some(Arc::new(guarantee.apply_to(&topic.unwrap_or_else(missing))))
    }

    /// Counts a notification that an earlier process did not push, once it is pushed or has ended.
    pub(super) fn count_recovered(&mut self, notification: NotificationId, now: Time) {
        let recovery = &mut self.recovery;
        if !recovery.pending.remove(&notification) {
            return;
        }
        let now_ns = now.since(Time::default()).as_nanos();
        match self.journal.get(notification.0).map(|entry| &entry.notification) {
            Some(notification) if notification.history.end.is_none() => recovery.pushed += 1,
            Some(notification) if notification.valid_until_ns > now_ns => recovery.given_up += 1,
            _ => recovery.expired += 1,
        }
        if recovery.pending.is_empty() {
            info!(self.log, "recovered notifications pushed or ended";
                "pushed" => recovery.pushed, "expired" => recovery.expired,
                "given_up" => recovery.given_up);
        }
    }
}

/// Converts the history of a recovered notification for the core. A push that was in flight when the earlier process
/// ended may have run, and may still be running.
fn recovered_history(history: &History, now: Time) -> NotificationHistory {
    let first_possible_execution = history.first_possible_execution.as_ref().or(history.in_flight.as_ref());
    let may_run_since = match history.in_flight {
        Some(_) => Some(now),
        None => history.may_run_since_ns.map(Time::from_nanos),
    };
    NotificationHistory {
        push_count: history.push_count,
        first_possible_execution: first_possible_execution.map(|push| PossibleExecution {
            sent_at: Time::from_nanos(push.sent_at_ns),
            zone: Arc::from(push.zone.as_str()),
        }),
        last_uncertain_end: may_run_since,
        has_final_answer: history.end.is_some(),
        is_recovered: true,
    }
}
