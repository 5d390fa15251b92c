//! The queues of ordered notifications.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::{DestinationId, NotificationId};
use crate::time::Time;

/// A notification in the queue of its key.
pub(crate) struct QueuedNotification {
    pub(crate) id: NotificationId,
    pub(crate) destination: DestinationId,
}

/// The notifications of one key, in order of acceptance.
#[derive(Default)]
pub(crate) struct KeyQueue {
    pub(crate) waiting: VecDeque<QueuedNotification>,
    /// Whether the first notification may be pushed.
    pub(crate) is_granted: bool,
    /// No grant before this time, because a push of the key may still be executing.
    pub(crate) cooldown_until: Time,
}

/// The keys in use.
#[derive(Default)]
pub(crate) struct KeyQueues {
    pub(crate) queues: BTreeMap<String, KeyQueue>,
}
