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

/// What happens if a notification of a topic type is executed twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Semantics {
    /// Nothing: it may be executed again.
    Idempotent,
    /// The endpoints in `scope` drop duplicates for `window`, counted from the first push that may have been executed.
    Deduplicated {
        /// The endpoints that drop duplicates.
        scope: DeduplicationScope,
        /// How long they drop duplicates.
        window: Span,
    },
    /// It must never be executed twice.
    #[default]
    NonIdempotent,
}

impl Semantics {
    /// Whether a notification that may have been executed may be pushed again at all.
    pub const fn is_retryable(self) -> bool {
        !matches!(self, Semantics::NonIdempotent)
    }

    /// How long duplicates are dropped; `None` where they are not.
    pub const fn deduplication_window(self) -> Option<Span> {
        match self {
            Semantics::Deduplicated { window, .. } => Some(window),
            _ => None,
        }
    }
}

/// A topic type and what its clients require of it.
#[derive(Clone, Debug, Default)]
pub struct TopicType {
    /// Its name.
    pub name: String,
    /// What a second execution would do.
    pub semantics: Semantics,
    /// The latency objective: delivered within this time, a notification earns its full benefit.
    pub latency_target: Span,
    /// Time to live: how long a notification may be delivered, counted from its submission.
    pub ttl: Span,
    /// The benefit of a delivery within the latency target.
    pub benefit: f64,
    /// The fraction of the benefit that is left at the TTL, 0 to 1.
    pub late_benefit_fraction: f64,
    /// Whether notifications with one key are delivered one at a time, in the order of acceptance.
    pub is_ordered: bool,
}

/// An account and the part of the service that it may use.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// Its name.
    pub name: String,
    /// Notifications a second within its quota share, over all relays.
    pub quota_per_second: f64,
}

/// A push that may have been executed.
#[derive(Clone, Debug, PartialEq)]
pub struct PossibleRun {
    /// When the push was sent.
    pub sent_at: Time,
    /// The zone of its endpoint.
    pub zone: Arc<str>,
}

/// What an earlier process did with a notification that has no acknowledged final answer yet.
#[derive(Clone, Debug, Default)]
pub struct NotificationHistory {
    /// How many times it was pushed.
    pub push_count: u32,
    /// The first push that may have been executed.
    pub first_possible_run: Option<PossibleRun>,
    /// When a push last ended that may still be executing.
    pub last_doubtful_end: Option<Time>,
    /// It has its final answer, which its client has not acknowledged.
    pub has_final_answer: bool,
    /// It was accepted by an earlier process.
    pub is_recovered: bool,
}

/// A notification as it was submitted.
#[derive(Clone, Debug, Default)]
pub struct Notification {
    /// Its id.
    pub id: NotificationId,
    /// The destination it is for.
    pub destination: DestinationId,
    /// Its topic type.
    pub topic: Arc<TopicType>,
    /// Its account, if it has one.
    pub account: Option<Arc<Account>>,
    /// The key that orders it, if its topic type is ordered.
    pub key: Option<String>,
    /// Its deadline; it must not be delivered later.
    pub valid_until: Time,
    /// What was done with it before this process started; the default if it is new.
    pub history: NotificationHistory,
}
