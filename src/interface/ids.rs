//! Identifiers, assigned by the front end.

use std::sync::Arc;

/// Identifies a notification.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct NotificationId(pub u64);

/// Identifies a destination.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct DestinationId(pub u64);

/// Identifies an endpoint of a destination.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndpointId(pub Arc<str>);
