//! The notification state in the journal, and the records on disk.
//!
//! `serde(rename)` keeps the on-disk names of the first release. All times are Unix times in nanoseconds.

use juniperwing::interface::{DeduplicationScope, Semantics, TopicType};
use juniperwing::time::Span;
use serde::ser::SerializeTuple;
use serde::{Deserialize, Serialize, Serializer};

/// A push whose first byte may have been sent. It is stored as a pair.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(from = "(u64, String)")]
pub struct SentPush {
    /// When it was sent.
    pub sent_at_ns: u64,
    /// The zone of the endpoint.
    pub zone: String,
}

impl From<(u64, String)> for SentPush {
    fn from((sent_at_ns, zone): (u64, String)) -> SentPush {
        SentPush { sent_at_ns, zone }
    }
}

impl Serialize for SentPush {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut pair = serializer.serialize_tuple(2)?;
        pair.serialize_element(&self.sent_at_ns)?;
        pair.serialize_element(&self.zone)?;
        pair.end()
    }
}

/// The end of a notification that was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UndeliveredEnd {
    /// It may have run; there is no guarantee about its effect.
    GivenUp,
    /// It has not run. Its client may submit it again after this number of milliseconds; 0 if no delay is advised.
    #[serde(rename = "HandedBack")]
    ReturnedToClient(u64),
}

/// The history of a notification's pushes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// The number of pushes that may have sent a byte.
    #[serde(rename = "pushes")]
    pub push_count: u32,
    /// The push that has not ended yet.
    #[serde(rename = "out")]
    pub in_flight: Option<SentPush>,
    /// The first push that may have run.
    #[serde(rename = "ran")]
    pub first_possible_execution: Option<SentPush>,
    /// The end of the last push that may still be running at its endpoint.
    #[serde(rename = "doubt")]
    pub may_run_since_ns: Option<u64>,
    /// The end of the notification, until its notice is acknowledged.
    pub end: Option<UndeliveredEnd>,
}

/// The attributes of a notification, set by its client.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Attributes {
    /// The id assigned by the client.
    pub id: String,
    /// The name of the topic type.
    pub topic: String,
    /// The name of the account.
    pub account: Option<String>,
    /// The ordering key.
    pub key: Option<String>,
    /// The key by which the endpoint detects duplicates.
    pub idempotency_key: Option<String>,
    /// The number of the destination.
    pub destination: u64,
}

/// An accepted notification.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedNotification {
    /// The attributes set by its client.
    #[serde(rename = "words")]
    pub attributes: Attributes,
    /// The expiry time.
    #[serde(rename = "valid_until")]
    pub valid_until_ns: u64,
    /// The history of its pushes.
    pub history: History,
    /// The guarantee given when it was accepted; `None` in the journal of a release without guarantees.
    #[serde(default, rename = "kept")]
    pub guarantee: Option<Guarantee>,
}

/// The properties of a notification that later changes of the settings do not affect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Guarantee {
    /// The effect of running it again.
    #[serde(rename = "effect")]
    pub semantics: RecordedSemantics,
    /// Whether notifications with the same key are delivered in order.
    #[serde(rename = "ordered")]
    pub is_ordered: bool,
}

/// The core's [`Semantics`] as they are written to disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordedSemantics {
    /// It may run more than once.
    #[serde(rename = "Runs")]
    Idempotent,
    /// Endpoints drop duplicates.
    #[serde(rename = "Dropped")]
    Deduplicated {
        /// Whether all endpoints drop duplicates, and not only those in the zone of the first push.
        #[serde(rename = "all")]
        is_scope_all: bool,
        /// The deduplication window, in nanoseconds.
        #[serde(rename = "window")]
        window_ns: u64,
    },
    /// It must not run more than once.
    #[serde(rename = "Never")]
    NonIdempotent,
}

impl From<&TopicType> for Guarantee {
    fn from(topic: &TopicType) -> Guarantee {
        let semantics = match topic.semantics {
            Semantics::Idempotent => RecordedSemantics::Idempotent,
            Semantics::Deduplicated { scope, window } => RecordedSemantics::Deduplicated {
                is_scope_all: scope == DeduplicationScope::All,
                window_ns: window.as_nanos(),
            },
            Semantics::NonIdempotent => RecordedSemantics::NonIdempotent,
        };
        Guarantee { semantics, is_ordered: topic.is_ordered }
    }
}

impl Guarantee {
    /// Returns the topic type with the guaranteed properties applied.
    pub fn apply_to(self, topic: &TopicType) -> TopicType {
        let semantics = match self.semantics {
            RecordedSemantics::Idempotent => Semantics::Idempotent,
            RecordedSemantics::Deduplicated { is_scope_all, window_ns } => {
                let scope = if is_scope_all { DeduplicationScope::All } else { DeduplicationScope::Zone };
                Semantics::Deduplicated { scope, window: Span::from_nanos(window_ns) }
            }
            RecordedSemantics::NonIdempotent => Semantics::NonIdempotent,
        };
        TopicType { semantics, is_ordered: self.is_ordered, ..topic.clone() }
    }
}

/// A journal record; the first field is the number of the notification.
#[derive(Serialize, Deserialize)]
pub(super) enum Record {
    /// A notification with its history.
    #[serde(rename = "Taken")]
    Accepted(u64, Box<AcceptedNotification>),
    /// A push is about to be sent, at this time and to this zone. Written in the iteration in which its first byte may
    /// be sent.
    Pushed(u64, u64, String),
    /// A push ended: whether it may have run, and, if it may still be running, when it ended.
    #[serde(rename = "Returned")]
    PushEnded(u64, bool, Option<u64>),
    /// The notification ended undelivered.
    Ended(u64, UndeliveredEnd),
    /// The notification is complete and no longer live.
    #[serde(rename = "Over")]
    Closed(u64),
}
