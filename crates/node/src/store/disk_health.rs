//! Tracks whether the disk of a store is considered lost, from batch results and stalls.

use juniperwing_clock::{Span, Time};

use crate::clock::now;

/// How long the disk may fail or stall before it is considered lost. The store then suspends its subscriptions, so that
/// the keepers assign its partitions to other stores.
pub(super) const DISK_LOST_TIMEOUT: Span = Span::from_millis(2_000);

/// The health of a store's disk.
#[derive(Debug, Default)]
pub(super) struct DiskHealth {
    /// When the first of the latest consecutive batch failures occurred.
    failing_since: Option<Time>,
    is_stalled: bool,
    is_lost: bool,
}

impl DiskHealth {
    /// Records that a batch was written.
    pub(super) fn batch_written(&mut self) {
        self.failing_since = None;
    }

    /// Records that a batch could not be written.
    pub(super) fn batch_failed(&mut self) {
        self.failing_since.get_or_insert_with(now);
    }

    /// Records whether a disk job is running longer than [`DISK_LOST_TIMEOUT`].
    pub(super) fn set_stalled(&mut self, is_stalled: bool) {
        self.is_stalled = is_stalled;
    }

    /// Whether a disk job is running longer than [`DISK_LOST_TIMEOUT`].
    pub(super) fn is_stalled(&self) -> bool {
        self.is_stalled
    }

    /// Whether the disk was considered lost at the last [`DiskHealth::reevaluate`].
    pub(super) fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Determines again whether the disk is considered lost; `None` if that has not changed.
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
