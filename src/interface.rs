//! What goes into a relay and what comes out: typed events, commands and the facts it is started with.
//!
//! Nothing here decides, and nothing here knows how a front writes these things down.

use std::sync::Arc;

use crate::time::{Span, Time};

/// A notification's id, as its front gave it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct NotificationId(pub u64);

/// A destination's id, as its front gave it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct DestinationId(pub u64);

/// An endpoint's id, as its front gave it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndpointId(pub Arc<str>);

/// Which endpoints of a destination recognise a repeat of a collapsible notification.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All of them.
    All,
    /// Those in the zone of the endpoint that had the first push.
    Zone,
}

/// What happens if a notification of a topic type runs twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Semantics {
    /// Nothing: it may run again.
    Idempotent,
    /// The repeat is dropped by the endpoints of `group`, for `window` from the first push that may have run.
    Deduplicated {
        /// The endpoints that drop a repeat.
        scope: DeduplicationScope,
        /// For how long they do.
        window: Span,
    },
    /// It must never run twice.
    #[default]
    NonIdempotent,
}

impl Semantics {
    /// Whether it may be run a second time at all.
    pub const fn is_retryable(self) -> bool {
        !matches!(self, Semantics::NonIdempotent)
    }

    /// For how long a repeat is dropped, where one is.
    pub const fn deduplication_window(self) -> Option<Span> {
        match self {
            Semantics::Deduplicated { window, .. } => Some(window),
            _ => None,
        }
    }
}

/// A topic type and what its clients want of it.
#[derive(Clone, Debug, Default)]
pub struct TopicType {
    /// Its name.
    pub name: String,
    /// What a second run would do.
    pub semantics: Semantics,
    /// The latency objective: delivered within this, a notification earns its full benefit.
    pub latency_target: Span,
    /// How long a notification may be delivered, from when it was first handed in.
    pub ttl: Span,
    /// The benefit of a delivery within the objective.
    pub benefit: f64,
    /// The share of the benefit that is left at the TTL.
    pub late_benefit_fraction: f64,
    /// Whether notifications with one key go one at a time, in the order taken.
    pub is_ordered: bool,
}

/// A kind of destination.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DestinationKind {
    /// Its name.
    pub name: String,
    /// Whether its endpoints are separate routes, each with its own limit, waits and outages. The core takes them
    /// as one destination all the same, which is stricter.
    pub has_separate_routes: bool,
    /// Most notifications that travel in one call.
    pub max_notifications_per_call: usize,
}

/// An account and the part of the service that it may use.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// Its name.
    pub name: String,
    /// Notifications a second within its share, over all relays.
    pub quota_per_second: f64,
}

/// What a relay is told of where it serves: when it starts, and again whenever that changes.
#[derive(Clone, Debug, Default)]
pub struct RelayConfig {
    /// The group of relays that it belongs to.
    pub fleet: Fleet,
    /// What it may use.
    pub limits: RelayLimits,
    /// The figures of the rules.
    pub rules: RuleParameters,
}

/// The group of relays that this one belongs to.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// How many relays there are, this one included.
    pub relay_count: usize,
    /// Whether list entries carry the rate that is taken, in calls a second over all relays, and not a rough one.
    pub has_listed_rates: bool,
    /// Whether news of the list has to be asked for.
    pub is_list_on_request: bool,
    /// Whether what discovery has counts as told at once, asked for or not.
    pub is_list_pushed: bool,
    /// The shortest gap between two rounds.
    pub tick: Span,
    /// The relay's own zone, where pushes to endpoints in others are priced.
    pub home_zone: Option<Arc<str>>,
}

/// What this relay may use.
#[derive(Clone, Copy, Debug, Default)]
pub struct RelayLimits {
    /// Calls out at once.
    pub slots: usize,
    /// Pushes for one notification.
    pub max_pushes: u32,
    /// Notifications held, sent or not; what comes beyond is turned away before the relay sees it.
    pub max_pending: usize,
    /// The longest time to come back that a client heeds; zero if none may be named.
    pub max_retry_after: Span,
    /// Whether endpoints may be probed.
    pub can_probe: bool,
    /// Whether a push may be called off.
    pub can_cancel: bool,
    /// Connections idle for so long are closed by their endpoints; without end if that is not told.
    pub idle_timeout: Span,
}

/// The figures of the rules.
#[derive(Clone, Copy, Debug, Default)]
pub struct RuleParameters {
    /// Without a subscription, a relay that has not asked for this long counts as told.
    pub list_refresh_interval: Span,
    /// The least share of its capacity that a destination has right after an outage.
    pub warm_up_initial_fraction: f64,
    /// How long after its return a destination has all of its capacity again, at the latest.
    pub warm_up_duration: Span,
    /// A cold destination falls over above this many times its present capacity...
    pub overload_factor: f64,
    /// ...kept up for this long.
    pub overload_duration: Span,
    /// How long a key rests after a push that might still be running.
    pub key_cooldown: Span,
}

/// What an earlier life of this relay did with a notification that it still owes an end.
#[derive(Clone, Debug, Default)]
pub struct NotificationHistory {
    /// How many pushes it had.
    pub push_count: u32,
    /// When and to which zone the first push that may have run was sent.
    pub first_possible_run: Option<(Time, Arc<str>)>,
    /// When a push last ended that may still be running.
    pub last_doubtful_end: Option<Time>,
    /// It has its final answer, which its client has not heard.
    pub has_final_answer: bool,
    /// It was taken on by an earlier life.
    pub is_recovered: bool,
}

/// A notification as it was handed in.
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
    /// What it is about, if its topic type is ordered.
    pub key: Option<String>,
    /// It may be delivered until then.
    pub valid_until: Time,
    /// What was done with it before this relay restarted; nothing if it is new.
    pub history: NotificationHistory,
}

/// What the list says of an endpoint. It says nothing of health.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    /// It takes calls.
    #[default]
    Serving,
    /// Nothing new may go to it.
    Draining,
    /// It is gone.
    Deleted,
}

/// An entry of the list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The destination it belongs to.
    pub destination: DestinationId,
    /// Its destination's kind.
    pub kind: Arc<DestinationKind>,
    /// The name of its zone.
    pub zone: Arc<str>,
    /// What the list says of it.
    pub readiness: Readiness,
    /// The listed rate in calls a second; see [`Fleet::rates_listed`].
    pub rate_per_second: f64,
}

/// News of the list.
#[derive(Clone, Debug)]
pub enum EndpointListUpdate {
    /// Only what changed.
    Changes(Vec<EndpointEntry>),
    /// All of it: what is missing is gone.
    Snapshot(Vec<EndpointEntry>),
    /// All of it as an earlier process held it; it may be old.
    CachedSnapshot(Vec<EndpointEntry>),
    /// A request for it failed or the subscription broke.
    Failed,
}

/// How a push or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallStatus {
    /// Delivered.
    Delivered,
    /// The destination answered with an error; it may have run.
    Error,
    /// Turned away unseen; it never ran.
    Busy,
    /// No answer in time; it may have run or still do so.
    TimedOut,
    /// No connection; it never ran.
    NoConnection,
    /// Turned away by an endpoint that is up, for it has too many connections; it never ran.
    ConnectionLimitReached,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Not sent at all.
    Skipped,
}

impl CallStatus {
    /// Whether a push that ended so may have run.
    pub const fn may_have_run(self) -> bool {
        !matches!(
            self,
            CallStatus::Busy
                | CallStatus::NoConnection
                | CallStatus::ConnectionLimitReached
                | CallStatus::Skipped
        )
    }

    /// Whether a push that ended so may still be running.
    pub const fn may_be_running(self) -> bool {
        matches!(self, CallStatus::TimedOut | CallStatus::Reset | CallStatus::Cancelled)
    }
}

/// What a destination tells of its limit.
#[derive(Clone, Copy, Debug)]
pub struct RateLimitReport {
    /// The share of the limit that is left.
    pub remaining_fraction: f64,
    /// The limit in calls a second, over all relays; zero if there is none.
    pub rate_per_second: f64,
}

/// How a push ended.
#[derive(Clone, Debug)]
pub struct PushOutcome {
    /// The notification pushed.
    pub notification: NotificationId,
    /// Which of its pushes, counted from 0.
    pub push_index: u32,
    /// Where it was pushed to.
    pub endpoint: EndpointId,
    /// How the push ended.
    pub status: CallStatus,
    /// How long ago it was sent.
    pub elapsed: Span,
    /// Whether the notification has its final answer, by this or earlier.
    pub has_final_answer: bool,
    /// How long the destination said to wait, whatever became of this push.
    pub retry_after: Option<Span>,
    /// What the destination told of its limit.
    pub rate_limit: Option<RateLimitReport>,
}

/// Something that happened to this relay.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the list came in.
    EndpointListUpdated(EndpointListUpdate),
    /// A notification was handed in; the relay owes it one final answer.
    Accepted(Notification),
    /// A push ended.
    PushEnded(PushOutcome),
    /// An endpoint told a wait in the answer to a call that was over by then.
    RetryAfterReported {
        /// The endpoint.
        endpoint: EndpointId,
        /// How long it said to wait.
        retry_after: Span,
    },
    /// The client has taken the notification back; nothing is owed any more.
    Withdrawn(NotificationId),
    /// The client has heard the final answer that the relay gave.
    FinalAnswerAcknowledged(NotificationId),
    /// From now on these terms hold. What was decided before stands; a notification keeps its topic type.
    ConfigChanged(RelayConfig),
    /// From now on this relay may have so many calls out at once, whatever the terms say.
    SlotLimitChanged(usize),
    /// A wake-up that was asked for.
    WakeUp,
    /// A probe ended.
    ProbeEnded {
        /// The endpoint probed.
        endpoint: EndpointId,
        /// How the probe ended.
        status: CallStatus,
        /// What the destination told of its limit.
        rate_limit: Option<RateLimitReport>,
    },
}

/// The longest wake-up that a relay asks for; a front need not keep longer ones.
pub const MAX_WAKE_DELAY: Span = Span::from_millis(3_600_000);

/// Something the relay wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Push a notification to an endpoint.
    Push {
        /// The notification.
        notification: NotificationId,
        /// Where to.
        endpoint: EndpointId,
        /// When to abandon the push.
        timeout: Span,
        /// When it has not gone out to the endpoint by then, for its connection is not up, it is not to go.
        send_within: Span,
    },
    /// Call a push off.
    Cancel {
        /// The notification.
        notification: NotificationId,
        /// Which of its pushes, counted from 0.
        push_index: u32,
    },
    /// Final answer: handed back, trying again is harmless.
    Throttle {
        /// The notification.
        notification: NotificationId,
        /// When the client should come back; zero if nothing is advised.
        retry_after: Span,
    },
    /// Final answer: given up, with no promise about its effect.
    Expire(NotificationId),
    /// Send [`Event::Woken`] after this long.
    WakeAfter(Span),
    /// Subscribe to news of the list.
    SubscribeToEndpointList,
    /// Probe an endpoint.
    Probe(EndpointId),
    /// Close this relay's idle connections to an endpoint.
    CloseIdleConnections(EndpointId),
    /// What has not gone out to an endpoint yet, for its connection is not up, is not to go.
    CancelUnsent(EndpointId),
    /// Tell the staff.
    Log(String),
}
