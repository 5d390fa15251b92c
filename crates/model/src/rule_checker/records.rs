//! The records of notifications and pushes, and the observations that they are made from.

use std::fmt;

use juniperwing::time::{Span, Time};

/// The effect of a second execution of a notification.
#[derive(Clone, Debug)]
pub(crate) enum RepeatSemantics {
    /// A repeat has no further effect.
    Harmless,
    /// A repeat is dropped within a time window.
    Deduplicated {
        /// Starts with the first push that may have been executed.
        window: Span,
        /// Whether only endpoints in the zone of that push drop the repeat.
        same_zone_only: bool,
    },
    /// A repeat takes effect again.
    Forbidden,
}

/// A notification that a relay has accepted.
#[derive(Clone, Debug)]
pub(crate) struct AcceptedNotification {
    pub(crate) repeat: RepeatSemantics,
    /// The ordering key; `None` for a topic type without order.
    pub(crate) key: Option<String>,
    pub(crate) valid_until: Time,
}

/// Whether a push that has ended was executed by its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExecutionStatus {
    NotExecuted,
    /// It was or may have been executed, and is not executing any more.
    MayHaveExecuted,
    /// It may have been executed, or may still be executing.
    MayBeExecuting,
}

/// The terms of reports, which differ from the names of the variants.
impl fmt::Display for ExecutionStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ExecutionStatus::NotExecuted => "Never",
            ExecutionStatus::MayHaveExecuted => "Maybe",
            ExecutionStatus::MayBeExecuting => "Unsure",
        })
    }
}

/// The last answer that a relay gives for a notification.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FinalAnswer {
    Delivered,
    /// The client may submit it again.
    Throttled,
    Expired,
}

impl fmt::Display for FinalAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            FinalAnswer::Delivered => "delivered",
            FinalAnswer::Throttled => "throttled",
            FinalAnswer::Expired => "expired",
        })
    }
}

/// Indices of the endpoint that a push goes to, of its zone and of its route.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PushTarget {
    pub(crate) endpoint: usize,
    pub(crate) zone: usize,
    pub(crate) route: usize,
}

/// An action or an input of a relay, kept for the history in the report of a later violation.
pub(super) enum Observation {
    Push { notification: u64, endpoint: usize },
    PushOutcome { notification: u64, push: u32, execution: ExecutionStatus },
    FinalAnswer { notification: u64, answer: FinalAnswer },
}

impl fmt::Display for Observation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Observation::Push { notification, endpoint } => {
                write!(f, "pushes {notification} to endpoint {endpoint}")
            }
            Observation::PushOutcome { notification, push, execution } => {
                write!(f, "hears of push {push} of {notification}: {execution}")
            }
            Observation::FinalAnswer { notification, answer } => write!(f, "ends {notification}: {answer}"),
        }
    }
}

/// A push of a notification.
pub(super) struct PushRecord {
    pub(super) number: u32,
    pub(super) sent_at: Time,
    pub(super) zone: usize,
    /// `None` while it is in flight.
    pub(super) execution: Option<ExecutionStatus>,
}

impl PushRecord {
    pub(super) fn is_in_flight(&self) -> bool {
        self.execution.is_none()
    }

    pub(super) fn may_have_executed(&self) -> bool {
        self.execution != Some(ExecutionStatus::NotExecuted)
    }
}

/// The state of a notification.
pub(super) struct NotificationRecord {
    pub(super) accepted: AcceptedNotification,
    pub(super) relay: usize,
    pub(super) pushes: Vec<PushRecord>,
    pub(super) has_final_answer: bool,
    /// The deadline of the final answer. A restart of the relay extends it to a short time after the start.
    pub(super) due_at: Time,
}

impl NotificationRecord {
    pub(super) fn is_in_flight(&self) -> bool {
        self.pushes.iter().any(PushRecord::is_in_flight)
    }

    /// Whether the effect could occur twice if the client submitted the notification again to any relay.
    pub(super) fn may_repeat_effect(&self) -> bool {
        let repeat_takes_effect = match self.accepted.repeat {
            RepeatSemantics::Harmless => false,
            RepeatSemantics::Deduplicated { same_zone_only, .. } => same_zone_only,
            RepeatSemantics::Forbidden => true,
        };
        repeat_takes_effect && self.pushes.iter().any(PushRecord::may_have_executed)
    }
}
