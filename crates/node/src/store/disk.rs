//! The disk of a store: its jobs run one after the other, on a thread that may block.

use std::future::Future;
use std::path::Path;

use juniperwing_protocol::DiskId;
use juniperwing_sessions::{Event, Limits, Store, StoredRecord, decode_batch, encode_batch};
use juniperwing_storage::{SegmentLog, SegmentNumber, SnapshotFiles, StorageError, identity, layout};
use slog::{Logger, info, warn};
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::clock::moment;
use super::disk_health::DISK_LOST_TIMEOUT;
use crate::clock::{duration, random};
use crate::host::run_disk_write;
use crate::rate_limit::RateLimit;

/// The directory of the batches within the data directory.
const BATCH_DIRECTORY: &str = "sessions";
/// The layout of batches; another number with every change of what is in them.
const BATCH_LAYOUT: u32 = 1;
/// The name of the snapshot with the map version.
const MAP_VERSION: &str = "map-version";
/// Log lines a second for failed disk operations, which are retried many times.
const FAILURE_LOGS_PER_SECOND: u32 = 2;

/// An operation on the disk.
pub(super) enum DiskJob {
    WriteBatch(Vec<StoredRecord>),
    RemoveSegment(SegmentNumber),
    WriteMapVersion(u64),
}

/// Learns what becomes of the jobs.
pub(super) trait DiskObserver {
    /// Handles the end of a job.
    fn handle_event(&self, event: Event);

    /// A job has taken [`DISK_LOST_TIMEOUT`], or has ended after all.
    fn set_stalled(&self, is_stalled: bool);
}

/// A store that was recovered from its disk.
pub(super) struct RecoveredStore {
    /// The identity of the data directory.
    pub(super) disk: DiskId,
    /// Whether the data directory is a new one.
    pub(super) is_new: bool,
    /// Where its batches go.
    pub(super) files: StoreDisk,
    /// The store, recovered but for [`Store::finish_recovery`].
    pub(super) store: Store,
}

/// The batches of a store, and the map version that it must not fall behind.
pub(super) struct StoreDisk {
    batches: SegmentLog,
    map_version: SnapshotFiles,
}

impl StoreDisk {
    /// Opens the data directory, with the identity that it has or is given now, and recovers the store from its batches.
    /// Blocks.
    ///
    /// # Errors
    ///
    /// If the disk fails, or holds what another release wrote.
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

    /// Runs the jobs that come, until no more can.
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
                // One that stays holds no live record; it is removed after the next start.
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

    /// Writes a batch; the error is `None` if the records cannot be encoded.
    fn write_batch(&mut self, records: &[StoredRecord]) -> Result<Event, Option<StorageError>> {
        let contents = encode_batch(records).map_err(|_| None)?;
        let segment = self.batches.append(&contents).map_err(Some)?;
        Ok(Event::BatchWritten { segment: segment.0, bytes: contents.len() as u64 })
    }
}

/// What became of jobs.
#[derive(Default)]
struct JobOutcome {
    /// The ends of the writes.
    events: Vec<Event>,
    failures: Vec<StorageError>,
}

fn recover_batches(directory: &Path, store: &mut Store, log: &Logger) -> Result<SegmentLog, StorageError> {
    let path = directory.join(BATCH_DIRECTORY);
    let moment = moment();
    let mut batch_count = 0_u64;
    let mut is_readable = true;
    let batches = SegmentLog::replay(path.clone(), |batch| {
        batch_count += 1;
        let bytes = batch.contents.len() as u64;
        match decode_batch(&batch.contents) {
            Ok(records) => store.recover_batch(moment, batch.segment.0, bytes, records),
            Err(error) => {
                is_readable = false;
                warn!(log, "invalid batch"; "segment" => batch.segment.0, "error" => %error);
            }
        }
    })?;
    // Its checksum is right, so another release wrote it; others count on what it holds.
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

/// Waits for work on the disk, and reports a stall while it takes too long.
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
