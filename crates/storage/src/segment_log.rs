//! An append-only log of batches in segment files.
//!
//! A batch is durable when its segment is synced: one sync per batch, and one sync of the directory per segment. A segment
//! is sealed when it is large enough, when a write to it fails, and at every start, so that nothing is appended after a
//! write that may be torn.

use std::io::Write;
use std::path::{Path, PathBuf};

use snafu::ResultExt;

use crate::error::{IoSnafu, StorageError};
use crate::file_system::{self, File};
use crate::frame;

const FILE_PREFIX: &str = "segment-";
/// The size at which a segment is sealed.
const SEAL_THRESHOLD_BYTES: u64 = 1 << 20;

/// The number of a segment; later segments have higher numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SegmentNumber(pub u64);

/// A batch read from the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The segment that contains it.
    pub segment: SegmentNumber,
    /// Its contents.
    pub contents: Vec<u8>,
}

/// The log of one directory.
#[derive(Debug)]
pub struct SegmentLog {
    directory: PathBuf,
    next_number: u64,
    open_segment: Option<OpenSegment>,
}

#[derive(Debug)]
struct OpenSegment {
    number: SegmentNumber,
    file: File,
    bytes: u64,
}

impl OpenSegment {
    /// Appends a frame and syncs it.
    fn write(&mut self, frame: &[u8], path: &Path) -> Result<(), StorageError> {
        self.file.write_all(frame).context(IoSnafu { action: "writing", path })?;
        self.file.sync_data().context(IoSnafu { action: "syncing", path })
    }
}

impl SegmentLog {
    /// Opens the directory (created if missing) and reads all intact batches in order. A torn batch was never
    /// acknowledged and is skipped.
    ///
    /// # Errors
    ///
    /// If the directory cannot be created, listed or read.
    pub fn open(directory: impl Into<PathBuf>) -> Result<(Self, Vec<Batch>), StorageError> {
        let mut batches = Vec::new();
        let log = SegmentLog::replay(directory, |batch| batches.push(batch))?;
        Ok((log, batches))
    }

    /// Like [`SegmentLog::open`], but passes each batch to `visit`, so that only one segment is in memory at a time.
    /// Segments without an intact batch are removed.
    ///
    /// # Errors
    ///
    /// If the directory cannot be created, listed or read.
    pub fn replay(directory: impl Into<PathBuf>, mut visit: impl FnMut(Batch)) -> Result<Self, StorageError> {
        let directory = directory.into();
        file_system::create_dir_all(&directory).context(IoSnafu { action: "making", path: &directory })?;
        let numbers = frame::list_numbers(&directory, FILE_PREFIX)?;
        if let Some(newest) = numbers.last() {
            // A process that was killed may have left a batch unsynced, which a power loss could still undo.
            frame::sync_file(&directory.join(frame::file_name(FILE_PREFIX, *newest)))?;
        }
        for number in &numbers {
            let path = directory.join(frame::file_name(FILE_PREFIX, *number));
            let bytes = file_system::read(&path).context(IoSnafu { action: "reading", path: &path })?;
            let segment = SegmentNumber(*number);
            let mut rest = bytes.as_slice();
            while let Some((contents, remainder)) = frame::first_batch(rest) {
                visit(Batch { segment, contents: contents.to_vec() });
                rest = remainder;
            }
            if rest.len() == bytes.len() {
                // If the file cannot be removed now, a later start removes it.
                let _ = file_system::remove_file(&path);
            }
        }
        let next_number = numbers.last().map_or(1, |last| last + 1);
        Ok(SegmentLog { directory, next_number, open_segment: None })
    }

    /// Appends a batch and returns its segment. When this returns, the batch is durable.
    ///
    /// # Errors
    ///
    /// If the write fails; earlier batches are unaffected. The batch may reappear after a restart.
    pub fn append(&mut self, contents: &[u8]) -> Result<SegmentNumber, StorageError> {
        let mut segment = match self.open_segment.take() {
            Some(segment) => segment,
            None => self.create_segment()?,
        };
        let path = self.path(segment.number);
        let frame = frame::batch_frame(contents);
        if let Err(error) = segment.write(&frame, &path) {
            // Dropping the segment seals it. A segment without an intact batch is removed, now or by a later start.
            if segment.bytes == 0 {
                let _ = file_system::remove_file(&path);
            }
            return Err(error);
        }
        let number = segment.number;
        segment.bytes += frame.len() as u64;
        self.open_segment = Some(segment).filter(|segment| segment.bytes < SEAL_THRESHOLD_BYTES);
        Ok(number)
    }

    /// Removes a segment that is no longer needed. It may reappear after a power loss.
    ///
    /// # Errors
    ///
    /// If the file cannot be removed.
    pub fn remove(&mut self, number: SegmentNumber) -> Result<(), StorageError> {
        self.open_segment.take_if(|open| open.number == number);
        let path = self.path(number);
        file_system::remove_file(&path).context(IoSnafu { action: "removing", path: &path })
    }

    fn create_segment(&mut self) -> Result<OpenSegment, StorageError> {
        let number = SegmentNumber(self.next_number);
        self.next_number += 1;
        let path = self.path(number);
        let file = File::create(&path).context(IoSnafu { action: "creating", path: &path })?;
        if let Err(error) = frame::sync_directory(&self.directory) {
            let _ = file_system::remove_file(&path);
            return Err(error);
        }
        Ok(OpenSegment { number, file, bytes: 0 })
    }

    fn path(&self, number: SegmentNumber) -> PathBuf {
        Path::join(&self.directory, frame::file_name(FILE_PREFIX, number.0))
    }
}
