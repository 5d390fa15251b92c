//! Disk I/O of a store: jobs run sequentially on a blocking thread.

use std::future::Future;
use std::path::Path;

use juniperwing_protocol::DiskId;
use juniperwing_sessions::{Event, Limits, Store, StoredRecord, decode_batch, encode_batch};
use juniperwing_storage::{SegmentLog, SegmentNumber, SnapshotFiles, StorageError, identity, layout};
use slog::{Logger, info, warn};
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::clock::read_clocks;
use super::disk_health::DISK_LOST_TIMEOUT;
use crate::clock::{duration, random};
use crate::host::run_disk_write;
use crate::rate_limit::RateLimit;

/// The subdirectory of the data directory that holds the batches.
const BATCH_DIRECTORY: &str = "sessions";
/// The layout version of batches; must change with every change of their format.
const BATCH_LAYOUT: u32 = 1;
/// The name of the snapshot with the map version.
const MAP_VERSION: &str = "map-version";
/// The limit of log lines per second for failed disk operations, which are retried many times.
const FAILURE_LOGS_PER_SECOND: u32 = 2;

/// An operation on the disk.
pub(super) enum DiskJob {
    WriteBatch(Vec<StoredRecord>),
    RemoveSegment(SegmentNumber),
    WriteMapVersion(u64),
}

/// Receives the results of disk jobs.
pub(super) trait DiskObserver {
    /// Handles the result of a job.
    fn handle_event(&self, event: Event);

    /// Handles the start of a stall, which is a job running longer than [`DISK_LOST_TIMEOUT`], or its end.
    fn set_stalled(&self, is_stalled: bool);
}

/// A store that was recovered from its disk.
pub(super) struct RecoveredStore {
    /// The identity of the data directory.
    pub(super) disk: DiskId,
    /// Whether the data directory was created by this start.
    pub(super) is_new: bool,
    /// The files that its batches and map version are written to.
    pub(super) files: StoreDisk,
    /// The store with all its batches; [`Store::finish_recovery`] has not been called yet.
    pub(super) store: Store,
}

/// The files of a store: its batches, and the oldest map version that it may accept.
pub(super) struct StoreDisk {
    batches: SegmentLog,
    map_version: SnapshotFiles,
}

impl StoreDisk {
    /// Opens the data directory, which gets an identity if it has none, and recovers the store from its batches.
    /// Blocks.
    ///
    /// # Errors
    ///
    /// If the disk fails, or holds data in a layout that this release does not support.
    pub(super) fn open(
        directory: &Path, limits: Limits, log: &Logger,
    ) -> Result<RecoveredStore, StorageError> {
        let (identity, is_new) = identity::open(directory, random())?;
        layout::check(directory, BATCH_DIRECTORY, BATCH_LAYOUT)?;
        let disk = DiskId(identity);
        let mut store = Store::new(disk, limits);
        let batches = recover_batches(directory, &mut store, log)?;
        let map_version = recover_map_version(directory, &mut store)?;
        Ok(RecoveredStore { disk, is_new, files: StoreDisk { batches, map_version }, store })
    }

    /// Runs jobs until the sending side of the channel is closed.
    pub(super) async fn run(
        self, mut jobs: mpsc::UnboundedReceiver<DiskJob>, observer: impl DiskObserver, log: Logger,
    ) {
        let mut disk = self;
        let failure_logs = RateLimit::per_second(FAILURE_LOGS_PER_SECOND);
        let mut pending = Vec::new();
        while jobs.recv_many(&mut pending, usize::MAX).await > 0 {
            let jobs = std::mem::take(&mut pending);
            let work = run_disk_write(&log, move || {
                let outcome = disk.execute(jobs);
                (disk, outcome)
            });
            let Ok((returned, outcome)) = watch_for_stall(work, &observer).await else { return };
            disk = returned;
            for failure in outcome.failures {
                if let Some(suppressed) = failure_logs.try_acquire() {
                    warn!(log, "disk operation failed";
                        "error" => failure.to_string(), "suppressed" => suppressed);
                }
            }
            for event in outcome.events {
                observer.handle_event(event);
            }
        }
    }

    fn execute(&mut self, jobs: Vec<DiskJob>) -> JobOutcome {
        let mut outcome = JobOutcome::default();
        for job in jobs {
            match job {
                DiskJob::WriteBatch(records) => match self.write_batch(&records) {
                    Ok(event) => outcome.events.push(event),
                    Err(failure) => {
                        outcome.events.push(Event::BatchFailed);
                        outcome.failures.extend(failure);
                    }
                },
                // If the removal fails, the segment is removed after the next start: it holds no live record.
                DiskJob::RemoveSegment(segment) => {
                    outcome.failures.extend(self.batches.remove(segment).err())
                }
                DiskJob::WriteMapVersion(version) => match self.map_version.write(&version.to_le_bytes()) {
                    Ok(()) => outcome.events.push(Event::MapVersionWritten { version }),
                    Err(failure) => {
                        outcome.events.push(Event::MapVersionFailed);
                        outcome.failures.push(failure);
                    }
                },
            }
        }
        outcome
    }

    /// Writes a batch. The error is `None` if the records cannot be encoded.
    fn write_batch(&mut self, records: &[StoredRecord]) -> Result<Event, Option<StorageError>> {
        let contents = encode_batch(records).map_err(|_| None)?;
        let segment = self.batches.append(&contents).map_err(Some)?;
        Ok(Event::BatchWritten { segment: segment.0, bytes: contents.len() as u64 })
    }
}

/// The results of a group of jobs.
#[derive(Default)]
struct JobOutcome {
    /// The events that report the results of writes to the store.
    events: Vec<Event>,
    failures: Vec<StorageError>,
}

fn recover_batches(directory: &Path, store: &mut Store, log: &Logger) -> Result<SegmentLog, StorageError> {
    let path = directory.join(BATCH_DIRECTORY);
    let clock = read_clocks();
    let mut batch_count = 0_u64;
    let mut is_readable = true;
    let batches = SegmentLog::replay(path.clone(), |batch| {
        batch_count += 1;
        let bytes = batch.contents.len() as u64;
        match decode_batch(&batch.contents) {
            Ok(records) => store.recover_batch(clock, batch.segment.0, bytes, records),
            Err(error) => {
                is_readable = false;
                warn!(log, "invalid batch"; "segment" => batch.segment.0, "error" => %error);
            }
        }
    })?;
    // The checksum is valid, so another release wrote the batch. It must not be skipped, since other stores rely on
    // this replica to hold its records.
    if !is_readable {
        return Err(StorageError::UnsupportedLayout { path });
    }
    info!(log, "recovered"; "batches" => batch_count);
    Ok(batches)
}

fn recover_map_version(directory: &Path, store: &mut Store) -> Result<SnapshotFiles, StorageError> {
    let (files, newest) = SnapshotFiles::open(directory, MAP_VERSION)?;
    if let Some(bytes) = newest {
        let version =
            bytes.try_into().map_err(|_| StorageError::UnsupportedLayout { path: directory.to_owned() })?;
        store.recover_map_version(u64::from_le_bytes(version));
    }
    Ok(files)
}

/// Waits for disk work to complete; reports a stall to the observer while it exceeds the timeout.
async fn watch_for_stall<T>(work: impl Future<Output = T>, observer: &impl DiskObserver) -> T {
    tokio::pin!(work);
    match timeout(duration(DISK_LOST_TIMEOUT), work.as_mut()).await {
        Ok(output) => output,
        Err(_) => {
            observer.set_stalled(true);
            let output = work.await;
            observer.set_stalled(false);
            output
        }
    }
}
