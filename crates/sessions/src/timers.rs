//! Timers of a store.

use juniperwing_protocol::{DiskId, PartitionId};

use crate::store::Store;
use crate::write::WriteId;

/// An action that is scheduled for a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The synchronization of a replica may start.
    SyncReplica(PartitionId, DiskId),
    /// A write to a replica is to be retried.
    ResendWrite(WriteId, DiskId),
    /// The reply to a write has timed out.
    WriteTimeout(WriteId),
    /// A waiting request has timed out.
    RequestTimeout(u64),
    /// The interval between reports of replicas that have caught up has elapsed.
    ReportInterval,
    /// The retry delay after a failed batch has elapsed.
    ResumeDisk,
    /// Expired programs are to be removed.
    ExpirySweep,
}

impl Store {
    pub(crate) fn run_timers(&mut self) {
        while let Some((at, timer)) = self.timers.first().copied().filter(|(at, _)| *at <= self.clock.now) {
            self.timers.remove(&(at, timer));
            match timer {
                Timer::SyncReplica(partition, replica) => self.start_sync(partition, replica),
                Timer::ResendWrite(write, replica) => self.resend_write(write, replica),
                Timer::WriteTimeout(write) => self.write_timed_out(write),
                Timer::RequestTimeout(id) => self.request_timed_out(id),
                Timer::ReportInterval => self.report_interval_elapsed(),
                Timer::ResumeDisk => self.group_commit.resume(),
                Timer::ExpirySweep => self.sweep_interval_elapsed(),
            }
        }
    }
}
