//! Whether the disk of a store counts as lost, by the ends of its batches and the time that it takes.

use juniperwing_clock::{Span, Time};

use crate::clock::now;

/// How long the disk may fail, or complete nothing, before the store ends its subscriptions, so that the keepers assign
/// its partitions to others.
pub(super) const DISK_LOST_TIMEOUT: Span = Span::from_millis(2_000);

/// What the store knows of its disk.
#[derive(Debug, Default)]
pub(super) struct DiskHealth {
    /// Since when every batch has failed.
    failing_since: Option<Time>,
    is_stalled: bool,
    is_lost: bool,
}

impl DiskHealth {
    /// A batch is on disk.
    pub(super) fn batch_written(&mut self) {
        self.failing_since = None;
    }

    /// A batch could not be written.
    pub(super) fn batch_failed(&mut self) {
        self.failing_since.get_or_insert_with(now);
    }

    /// A job of the disk has taken [`DISK_LOST_TIMEOUT`], or has ended after all.
    pub(super) fn set_stalled(&mut self, is_stalled: bool) {
        self.is_stalled = is_stalled;
    }

    /// Whether a job of the disk takes too long.
    pub(super) fn is_stalled(&self) -> bool {
        self.is_stalled
    }

    /// Whether the disk counted as lost at the last [`DiskHealth::reevaluate`].
    pub(super) fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Whether the disk counts as lost now; `None` if that has not changed.
    pub(super) fn reevaluate(&mut self) -> Option<bool> {
        let is_failing = self.failing_since.is_some_and(|since| now().since(since) >= DISK_LOST_TIMEOUT);
        let is_lost = is_failing || self.is_stalled;
        if self.is_lost == is_lost {
            return None;
        }
        self.is_lost = is_lost;
        Some(is_lost)
    }
}
