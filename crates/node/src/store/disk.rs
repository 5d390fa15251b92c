//! The disk of a store: batches are written one after the other, on a thread that may wait.

use std::future::Future;
use std::path::Path;
use std::sync::Arc;

use juniperwing_protocol::DiskId;
use juniperwing_sessions::{Event, Limits, Store, StoredRecord, decode_batch, encode_batch};
use juniperwing_storage::{SegmentLog, SegmentNumber, SnapshotFiles, StorageError, identity, layout};
use slog::{Logger, info, warn};
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::core::{Core, DISK_LOST_AFTER};
use crate::clock::{duration, random};
use crate::host::run_disk_write;
use crate::rate_limit::RateLimit;

/// The folder of the batches within the data folder.
const FOLDER: &str = "sessions";
/// Lines in a second for what the disk refuses; it is tried again many times.
const REFUSALS_PER_SECOND: u32 = 2;
/// The layout of batches; another number with every change of what is in them.
const LAYOUT: u32 = 1;
/// The name of the state with the map version.
const MAP_VERSION: &str = "map-version";

/// What is to be done on disk.
pub(super) enum DiskJob {
    Write(Vec<StoredRecord>),
    Remove(SegmentNumber),
    WriteMapVersion(u64),
}

/// What a store finds on its disk.
pub(super) struct Opened {
    /// The identity of its folder.
    pub(super) disk: DiskId,
    /// Whether the folder is a new one.
    pub(super) is_new: bool,
    /// Where its batches go.
    pub(super) files: Disk,
    /// The store as it was.
    pub(super) store: Store,
}

/// The batches of a store, and the map version that it must not fall behind.
pub(super) struct Disk {
    files: SegmentLog,
    map_version: SnapshotFiles,
}

impl Disk {
    /// Opens the folder, with the identity that it has or is given now, and recovers the store from its batches. Blocks.
    pub(super) fn open(folder: &Path, limits: Limits, log: &Logger) -> Result<Opened, StorageError> {
        let (identity, is_new) = identity::open(folder, random())?;
        layout::check(folder, FOLDER, LAYOUT)?;
        let disk = DiskId(identity);
        let moment = super::core::moment();
        let mut store = Store::new(disk, limits);
        let mut batches = 0_u64;
        let mut is_readable = true;
        let files = SegmentLog::replay(folder.join(FOLDER), |batch| {
            batches += 1;
            let bytes = batch.contents.len() as u64;
            match decode_batch(&batch.contents) {
                Ok(records) => store.recover_batch(moment, batch.segment.0, bytes, records),
                Err(e) => {
                    is_readable = false;
                    warn!(log, "a batch cannot be read"; "number" => batch.segment.0, "why" => %e);
                }
            }
        })?;
        // Its checksum is right, so another release wrote it; others count on what it holds.
        if !is_readable {
            return Err(StorageError::UnsupportedLayout { path: folder.join(FOLDER) });
        }
        let (map_version, newest) = SnapshotFiles::open(folder, MAP_VERSION)?;
        if let Some(bytes) = newest {
            let version =
                bytes.try_into().map_err(|_| StorageError::UnsupportedLayout { path: folder.to_owned() })?;
            store.recover_map_version(u64::from_le_bytes(version));
        }
        info!(log, "recovered"; "batches" => batches);
        Ok(Opened { disk, is_new, files: Disk { files, map_version }, store })
    }

    /// Does the jobs that come, until no more can.
    pub(super) async fn run(self, mut jobs: mpsc::UnboundedReceiver<DiskJob>, core: Arc<Core>, log: Logger) {
        let mut disk = self;
        let refusals = RateLimit::per_second(REFUSALS_PER_SECOND);
        let mut waiting = Vec::new();
        while jobs.recv_many(&mut waiting, usize::MAX).await > 0 {
            let taken = std::mem::take(&mut waiting);
            let done = run_disk_write(&log, move || {
                let outcome = disk.work(taken);
                (disk, outcome)
            });
            let Ok((returned, outcome)) = answered(done, &core).await else { return };
            disk = returned;
            for failure in outcome.failures {
                if let Some(unlogged) = refusals.try_acquire() {
                    warn!(log, "the disk refuses"; "why" => failure.to_string(), "unlogged" => unlogged);
                }
            }
            for event in outcome.events {
                core.handle(event);
            }
        }
    }

    fn work(&mut self, jobs: Vec<DiskJob>) -> Outcome {
        let mut outcome = Outcome::default();
        for job in jobs {
            match job {
                DiskJob::Write(records) => match write(&mut self.files, &records) {
                    Ok(event) => outcome.events.push(event),
                    Err(failure) => {
                        outcome.events.push(Event::BatchFailed);
                        outcome.failures.extend(failure);
                    }
                },
                // One that stays counts for nothing; it goes after the next start.
                DiskJob::Remove(segment) => outcome.failures.extend(self.files.remove(segment).err()),
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
}

/// Waits for the disk, and has the store taken out while it answers nothing.
async fn answered<T>(work: impl Future<Output = T>, core: &Core) -> T {
    tokio::pin!(work);
    match timeout(duration(DISK_LOST_AFTER), work.as_mut()).await {
        Ok(done) => done,
        Err(_) => {
            core.set_disk_hangs(true);
            let done = work.await;
            core.set_disk_hangs(false);
            done
        }
    }
}

#[derive(Default)]
struct Outcome {
    /// The ends of what was written.
    events: Vec<Event>,
    failures: Vec<StorageError>,
}

/// Writes a batch; the error is `None` if the records cannot be encoded.
fn write(files: &mut SegmentLog, records: &[StoredRecord]) -> Result<Event, Option<StorageError>> {
    let contents = encode_batch(records).map_err(|_| None)?;
    let segment = files.append(&contents).map_err(Some)?;
    Ok(Event::BatchWritten { segment: segment.0, bytes: contents.len() as u64 })
}
