//! Timers of a store.

use juniperwing_protocol::{DiskId, PartitionId};

use crate::store::Store;
use crate::write::WriteId;

/// What is due at a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The synchronization of a replica may start.
    SyncReplica(PartitionId, DiskId),
    /// A write may be sent to a replica again.
    ResendWrite(WriteId, DiskId),
    /// The caller of a write has waited for long enough.
    WriteTimeout(WriteId),
    /// The caller of a waiting request has waited for long enough.
    RequestTimeout(u64),
    /// Replicas that have caught up may be reported again.
    ReportInterval,
    /// The disk may be used again after a failure.
    ResumeDisk,
    /// Expired programs are to be removed.
    ExpirySweep,
}

impl Store {
    pub(crate) fn run_timers(&mut self) {
        while let Some((at, timer)) = self.timers.first().copied().filter(|(at, _)| *at <= self.moment.now) {
            self.timers.remove(&(at, timer));
            match timer {
                Timer::SyncReplica(partition, replica) => self.start_sync(partition, replica),
                Timer::ResendWrite(write, replica) => self.resend_write(write, replica),
                Timer::WriteTimeout(write) => self.write_timed_out(write),
                Timer::RequestTimeout(number) => self.request_timed_out(number),
                Timer::ReportInterval => self.report_interval_elapsed(),
                Timer::ResumeDisk => self.group_commit.resume(),
                Timer::ExpirySweep => self.sweep_interval_elapsed(),
            }
        }
    }
}
