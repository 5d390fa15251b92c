//! The disk of a store: batches are written one after the other, on a thread that may wait.

use std::path::Path;
use std::sync::Arc;

use juniperwing_protocol::DiskId;
use juniperwing_sessions::{Event, Limits, Store, StoredRecord, decode_batch, encode_batch};
use juniperwing_storage::{SegmentFiles, SegmentNumber, StorageError};
use slog::{Logger, info, warn};
use tokio::sync::mpsc;

use super::core::Core;
use crate::host::wait_for_disk;

/// The folder of the batches within the data folder.
const FOLDER: &str = "sessions";

/// What is to be done on disk.
pub(super) enum DiskJob {
    Write(Vec<StoredRecord>),
    Remove(SegmentNumber),
}

/// The batches of a store.
pub(super) struct Disk {
    files: SegmentFiles,
}

impl Disk {
    /// Opens the batches and recovers the store from them.
    pub(super) fn open(
        folder: &Path, disk: DiskId, limits: Limits, log: &Logger,
    ) -> Result<(Disk, Store), StorageError> {
        let moment = super::core::moment();
        let mut store = Store::new(disk, limits);
        let mut batches = 0_u64;
        let files = SegmentFiles::open_each(folder.join(FOLDER), |batch| {
            batches += 1;
            let bytes = batch.contents.len() as u64;
            match decode_batch(&batch.contents) {
                Ok(records) => store.recover(moment, batch.segment.0, bytes, records),
                // Its checksum is right, so it was written by another version of this program.
                Err(e) => warn!(log, "a batch cannot be read"; "number" => batch.segment.0, "why" => %e),
            }
        })?;
        info!(log, "recovered"; "batches" => batches);
        Ok((Disk { files }, store))
    }

    /// Does the jobs that come, until no more can.
    pub(super) async fn run(self, mut jobs: mpsc::UnboundedReceiver<DiskJob>, core: Arc<Core>, log: Logger) {
        let mut files = self.files;
        let mut waiting = Vec::new();
        while jobs.recv_many(&mut waiting, usize::MAX).await > 0 {
            let taken = std::mem::take(&mut waiting);
            let done = wait_for_disk(move || {
                let outcome = work(&mut files, taken);
                (files, outcome)
            });
            let Ok((returned, outcome)) = done.await else { return };
            files = returned;
            for failure in outcome.failures {
                warn!(log, "the disk refuses"; "why" => failure.to_string());
            }
            if let Some(event) = outcome.written {
                core.handle(event);
            }
        }
    }
}

#[derive(Default)]
struct Outcome {
    /// The end of the batch; there is one at a time.
    written: Option<Event>,
    failures: Vec<StorageError>,
}

fn work(files: &mut SegmentFiles, jobs: Vec<DiskJob>) -> Outcome {
    let mut outcome = Outcome::default();
    for job in jobs {
        match job {
            DiskJob::Write(records) => match write(files, &records) {
                Ok(event) => outcome.written = Some(event),
                Err(failure) => {
                    outcome.written = Some(Event::BatchFailed);
                    outcome.failures.extend(failure);
                }
            },
            // One that stays counts for nothing; it goes after the next start.
            DiskJob::Remove(segment) => outcome.failures.extend(files.remove(segment).err()),
        }
    }
    outcome
}

/// Writes a batch; the error is `None` if the records cannot be encoded.
fn write(files: &mut SegmentFiles, records: &[StoredRecord]) -> Result<Event, Option<StorageError>> {
    let contents = encode_batch(records).map_err(|_| None)?;
    let segment = files.append(&contents).map_err(Some)?;
    Ok(Event::BatchWritten { segment: segment.0, bytes: contents.len() as u64 })
}
