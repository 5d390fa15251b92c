//! Continues the notifications that an earlier process accepted.

use std::collections::BTreeSet;
use std::sync::Arc;

use juniperwing::interface::{
    Event, Notification, NotificationHistory, NotificationId, PossibleRun, TopicType,
};
use juniperwing::time::Time;
use slog::info;

use super::Server;
use crate::journal::{AcceptedNotification, History, UndeliveredEnd};

/// The notifications that an earlier process accepted and never pushed, and how many of them ended how.
#[derive(Default)]
pub(super) struct Recovered {
    /// Those that have neither been pushed nor ended.
    pub(super) pending: BTreeSet<NotificationId>,
    pushed: usize,
    /// Ended at the time to live without a push.
    expired: usize,
    /// Ended before without a push.
    given_up: usize,
}

/// A live notification of the journal that is about to be reported to the core.
struct RecoveredNotification {
    number: u64,
    /// A push of it was in flight when the earlier process ended.
    was_in_flight: bool,
    /// `None` if neither the journal nor the settings have its topic type.
    notification: Option<Notification>,
}

impl Server {
    /// Reports to the core what an earlier process accepted and did not finish, in the order accepted.
    pub(super) fn recover_notifications(&mut self, now: Time) {
        let mut live = Vec::new();
        for (number, entry) in self.journal.live() {
            let history = &entry.notification.history;
            if history.end.is_some() {
                self.notices.enqueue(number);
            } else if history.push_count == 0 {
                self.recovered.pending.insert(NotificationId(number));
            }
            let notification = self
                .recovered_topic(&entry.notification)
                .map(|topic| self.notification(number, &entry.notification, topic, past_of(history, now)));
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

    /// The topic type of a notification, with what was guaranteed when it was accepted. A topic type that is not in the
    /// settings any more counts as one with defaults. Without a guarantee, as in a journal of an early release, it is that
    /// of the settings, if they have it.
    fn recovered_topic(&self, notification: &AcceptedNotification) -> Option<Arc<TopicType>> {
        let name = &notification.attributes.topic;
        let topic = self.settings.topic_type(name);
        let Some(guarantee) = notification.guarantee else { return topic };
        let missing = || Arc::new(TopicType { name: name.clone(), ..TopicType::default() });
        Some(Arc::new(guarantee.apply_to(&topic.unwrap_or_else(missing))))
    }

    /// Counts the outcome of a notification that an earlier process did not push, once it has been pushed or has ended.
    pub(super) fn count_recovered(&mut self, notification: NotificationId, now: Time) {
        let recovered = &mut self.recovered;
        if !recovered.pending.remove(&notification) {
            return;
        }
        let now_ns = now.since(Time::default()).as_nanos();
        match self.journal.get(notification.0).map(|entry| &entry.notification) {
            Some(notification) if notification.history.end.is_none() => recovered.pushed += 1,
            Some(notification) if notification.valid_until_ns > now_ns => recovered.given_up += 1,
            _ => recovered.expired += 1,
        }
        if recovered.pending.is_empty() {
            info!(self.log, "recovered notifications pushed or ended";
                "pushed" => recovered.pushed, "expired" => recovered.expired,
                "given_up" => recovered.given_up);
        }
    }
}

/// The history that an earlier process leaves to the core. A push that was in flight when that ended may have run, and may still
/// be running.
fn past_of(history: &History, now: Time) -> NotificationHistory {
    let first_may_have_run = history.first_may_have_run.as_ref().or(history.in_flight.as_ref());
    let may_run_since = match history.in_flight {
        Some(_) => Some(now),
        None => history.may_run_since_ns.map(Time::from_nanos),
    };
    NotificationHistory {
        push_count: history.push_count,
        first_possible_run: first_may_have_run.map(|push| PossibleRun {
            sent_at: Time::from_nanos(push.sent_at_ns),
            zone: Arc::from(push.zone.as_str()),
        }),
        last_doubtful_end: may_run_since,
        has_final_answer: history.end.is_some(),
        is_recovered: true,
    }
}
