//! What the journal stores of a notification, and the records on disk.
//!
//! The names on disk are those of the first release, kept by `serde(rename)`. All times are Unix time in nanoseconds.

use juniperwing::interface::{DeduplicationScope, Semantics, TopicType};
use juniperwing::time::Span;
use serde::ser::SerializeTuple;
use serde::{Deserialize, Serialize, Serializer};

/// A push whose first byte may have been sent. On disk it is a pair.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(from = "(u64, String)")]
pub struct SentPush {
    /// When it was sent.
    pub sent_at_ns: u64,
    /// The zone of its endpoint.
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

/// How a notification ended that was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UndeliveredEnd {
    /// It may have run; nothing is promised about its effect.
    GivenUp,
    /// It has not run, and its client may submit it again after so many milliseconds; 0 if no delay is advised.
    #[serde(rename = "HandedBack")]
    ReturnedToClient(u64),
}

/// The history of a notification's pushes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// How many pushes may have sent a byte.
    #[serde(rename = "pushes")]
    pub push_count: u32,
    /// The push that has not ended.
    #[serde(rename = "out")]
    pub in_flight: Option<SentPush>,
    /// The first push that may have run.
    #[serde(rename = "ran")]
    pub first_may_have_run: Option<SentPush>,
    /// When a push last ended that may still be running.
    #[serde(rename = "doubt")]
    pub may_run_since_ns: Option<u64>,
    /// Its end, until its client has acknowledged the notice of it.
    pub end: Option<UndeliveredEnd>,
}

/// The attributes of a notification that its client sets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Attributes {
    /// The id, as the client gave it.
    pub id: String,
    /// The name of the topic type.
    pub topic: String,
    /// The name of the account.
    pub account: Option<String>,
    /// The ordering key.
    pub key: Option<String>,
    /// Sent to the endpoint, which recognises a duplicate by it.
    pub idempotency_key: Option<String>,
    /// The number of the destination.
    pub destination: u64,
}

/// A notification that was accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedNotification {
    /// The attributes set by its client.
    #[serde(rename = "words")]
    pub attributes: Attributes,
    /// The end of its time to live.
    #[serde(rename = "valid_until")]
    pub valid_until_ns: u64,
    /// The history of its pushes.
    pub history: History,
    /// What was promised when it was accepted; `None` in a journal of a release before guarantees.
    #[serde(default, rename = "kept")]
    pub guarantee: Option<Guarantee>,
}

/// What holds for a notification whatever the settings become after it was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Guarantee {
    /// What a second run would do.
    #[serde(rename = "effect")]
    pub semantics: RecordedSemantics,
    /// Whether it is delivered in the order of its key.
    #[serde(rename = "ordered")]
    pub is_ordered: bool,
}

/// The core's [`Semantics`] as they are written to disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordedSemantics {
    /// It may run again.
    #[serde(rename = "Runs")]
    Idempotent,
    /// A repeat is dropped.
    #[serde(rename = "Dropped")]
    Deduplicated {
        /// Whether all endpoints drop a repeat, and not only those of the first push's zone.
        #[serde(rename = "all")]
        is_scope_all: bool,
        /// For how long they do, in nanoseconds.
        #[serde(rename = "window")]
        window_ns: u64,
    },
    /// It must not run again.
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
    /// The topic type as it is now, but for what was guaranteed.
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

/// A record of the journal; the first field is the notification's number.
#[derive(Serialize, Deserialize)]
pub(super) enum Record {
    /// A notification with its history.
    #[serde(rename = "Taken")]
    Accepted(u64, Box<AcceptedNotification>),
    /// A push is about to be sent, at this time and to this zone; written in the iteration in which its first byte may be sent.
    Pushed(u64, u64, String),
    /// A push ended: whether it may have run, and since when it may still be running.
    #[serde(rename = "Returned")]
    PushEnded(u64, bool, Option<u64>),
    /// It ended undelivered.
    Ended(u64, UndeliveredEnd),
    /// It is complete.
    #[serde(rename = "Over")]
    Closed(u64),
}
