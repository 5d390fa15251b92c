//! Notifications, their topic types and accounts.

use std::sync::Arc;

use super::{DestinationId, NotificationId};
use crate::time::{Span, Time};

/// Which endpoints of a destination recognise a duplicate of a notification.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    All,
    /// The endpoints in the zone of the endpoint that received the first push.
    Zone,
}

/// The effect of executing a notification of a topic type more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Semantics {
    /// None: it may be executed again.
    Idempotent,
    /// The endpoints in `scope` drop duplicates for `window` after the first push that may have been executed.
    Deduplicated {
        /// The endpoints that drop duplicates.
        scope: DeduplicationScope,
        /// How long they drop duplicates.
        window: Span,
    },
    /// It must not be executed more than once.
    #[default]
    NonIdempotent,
}

impl Semantics {
    /// Whether a notification that may have been executed may ever be pushed again.
    pub const fn is_retryable(self) -> bool {
        !matches!(self, Semantics::NonIdempotent)
    }

    /// How long duplicates are dropped; `None` if they are not dropped.
    pub const fn deduplication_window(self) -> Option<Span> {
        match self {
            Semantics::Deduplicated { window, .. } => Some(window),
            _ => None,
        }
    }
}

/// A topic type and its delivery requirements.
#[derive(Clone, Debug, Default)]
pub struct TopicType {
    /// Its name.
    pub name: String,
    /// The effect of executing a notification more than once.
    pub semantics: Semantics,
    /// The latency objective: a notification delivered within this time has its full benefit.
    pub latency_target: Span,
    /// Time to live: how long after its submission a notification may be delivered.
    pub ttl: Span,
    /// The benefit of a delivery within the latency target.
    pub benefit: f64,
    /// The fraction of the benefit that remains at the end of the TTL, 0 to 1.
    pub late_benefit_fraction: f64,
    /// Whether notifications with the same key are delivered one at a time, in order of acceptance.
    pub is_ordered: bool,
}

/// An account and its quota.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// Its name.
    pub name: String,
    /// Its quota in notifications per second over all relays.
    pub quota_per_second: f64,
}

/// A push that may have been executed.
#[derive(Clone, Debug, PartialEq)]
pub struct PossibleExecution {
    /// When the push was sent.
    pub sent_at: Time,
    /// The zone of its endpoint.
    pub zone: Arc<str>,
}

/// The push history of a notification without an acknowledged final answer, carried across restarts.
#[derive(Clone, Debug, Default)]
pub struct NotificationHistory {
    /// The number of pushes so far.
    pub push_count: u32,
    /// The first push that may have been executed.
    pub first_possible_execution: Option<PossibleExecution>,
    /// The latest time at which a push ended while possibly still executing.
    pub last_uncertain_end: Option<Time>,
    /// Whether it has a final answer that its client has not acknowledged.
    pub has_final_answer: bool,
    /// Whether it was accepted by an earlier process.
    pub is_recovered: bool,
}

/// A notification as it was submitted.
#[derive(Clone, Debug, Default)]
pub struct Notification {
    /// Its id.
    pub id: NotificationId,
    /// Its destination.
    pub destination: DestinationId,
    /// Its topic type.
    pub topic: Arc<TopicType>,
    /// Its account, if it has one.
    pub account: Option<Arc<Account>>,
    /// Its ordering key, used if the topic type is ordered.
    pub key: Option<String>,
    /// Its deadline; it must not be delivered later.
    pub valid_until: Time,
    /// Its history before this process started; the default if it is new.
    pub history: NotificationHistory,
}
