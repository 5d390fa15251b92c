//! Typed events, commands and configuration of a relay: the inputs and outputs of the core.
//!
//! These types contain no decision logic and do not depend on how a front end serialises them.

mod command;
mod config;
mod endpoint_list;
mod event;
mod ids;
mod notification;

pub use command::{Command, MAX_WAKE_DELAY};
pub use config::{Fleet, RelayConfig, RelayLimits, RuleParameters};
pub use endpoint_list::{DestinationKind, EndpointEntry, EndpointListUpdate, Readiness};
pub use event::{CallStatus, Event, PushOutcome, RateLimitReport};
pub use ids::{DestinationId, EndpointId, NotificationId};
pub use notification::{
    Account, DeduplicationScope, Notification, NotificationHistory, PossibleExecution, Semantics, TopicType,
};
