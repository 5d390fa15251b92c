//! Typed events, commands and configuration of a relay: what goes into the core and what comes out of it.
//!
//! There is no logic here, and nothing depends on how a front end serialises these types.

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
    Account, DeduplicationScope, Notification, NotificationHistory, PossibleRun, Semantics, TopicType,
};
