//! A sequence of batches, appended to segment files.
//!
//! A batch counts when the segment is synced behind it: one sync, and none of the folder but for the first batch
//! of a segment. A segment is sealed when it is large enough, when a write to it fails, and at every
//! start, so nothing is ever appended behind what may be torn.

use std::io::Write;
use std::path::{Path, PathBuf};

use snafu::ResultExt;

use crate::error::{IoSnafu, StorageError};
use crate::file_system::{self, File};
use crate::frame;

const PREFIX: &str = "segment-";
/// The size at which a segment is sealed, in bytes.
const SEALED_BYTES: u64 = 1 << 20;

/// The place of a segment in the sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SegmentNumber(pub u64);

/// A batch as it was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The segment that holds it.
    pub segment: SegmentNumber,
    /// Its contents.
    pub contents: Vec<u8>,
}

/// Keeps batches in segments until these are removed.
#[derive(Debug)]
pub struct SegmentLog {
    folder: PathBuf,
    next: u64,
    open: Option<OpenSegment>,
}

#[derive(Debug)]
struct OpenSegment {
    number: SegmentNumber,
    file: File,
    bytes: u64,
}

impl OpenSegment {
    /// Writes a batch and makes it last.
    fn write(&mut self, frame: &[u8], path: &Path) -> Result<(), StorageError> {
        self.file.write_all(frame).context(IoSnafu { action: "writing", path })?;
        self.file.sync_data().context(IoSnafu { action: "syncing", path })
    }
}

impl SegmentLog {
    /// Opens the folder (made if missing) and reads all whole batches in order. What is torn never counted; it
    /// is passed over.
    ///
    /// # Errors
    ///
    /// If the folder cannot be made, listed or read.
    pub fn open(folder: impl Into<PathBuf>) -> Result<(Self, Vec<Batch>), StorageError> {
        let mut batches = Vec::new();
        let files = SegmentLog::replay(folder, |batch| batches.push(batch))?;
        Ok((files, batches))
    }

    /// As [`SegmentFiles::open`], but hands on one batch after the other, so that only one segment is in memory.
    /// Segments without a whole batch are removed.
    ///
    /// # Errors
    ///
    /// If the folder cannot be made, listed or read.
    pub fn replay(folder: impl Into<PathBuf>, mut take: impl FnMut(Batch)) -> Result<Self, StorageError> {
        let folder = folder.into();
        file_system::create_dir_all(&folder).context(IoSnafu { action: "making", path: &folder })?;
        let numbers = frame::numbered(&folder, PREFIX)?;
        if let Some(newest) = numbers.last() {
            // A process that was killed may have left a batch that a loss of power would still undo.
            frame::sync_file(&folder.join(frame::name(PREFIX, *newest)))?;
        }
        for number in &numbers {
            let path = folder.join(frame::name(PREFIX, *number));
            let bytes = file_system::read(&path).context(IoSnafu { action: "reading", path: &path })?;
            let segment = SegmentNumber(*number);
            let mut rest = bytes.as_slice();
            while let Some((contents, behind)) = frame::first_batch(rest) {
                take(Batch { segment, contents: contents.to_vec() });
                rest = behind;
            }
            if rest.len() == bytes.len() {
                // What cannot be removed now is looked at again after the next start.
                let _ = file_system::remove_file(&path);
            }
        }
        let next = numbers.last().map_or(1, |last| last + 1);
        Ok(SegmentLog { folder, next, open: None })
    }

    /// Appends a batch and tells its segment. When this returns, the batch outlasts a loss of power.
    ///
    /// # Errors
    ///
    /// If the disk refuses; earlier batches are untouched then. The batch may come back after a start.
    pub fn append(&mut self, contents: &[u8]) -> Result<SegmentNumber, StorageError> {
        let mut segment = match self.open.take() {
            Some(segment) => segment,
            None => self.create()?,
        };
        let path = self.path(segment.number);
        let frame = frame::batch_frame(contents);
        if let Err(error) = segment.write(&frame, &path) {
            // Sealed by being dropped. One without a whole batch would only take room; if it cannot be removed now, it
            // goes after the next start.
            if segment.bytes == 0 {
                let _ = file_system::remove_file(&path);
            }
            return Err(error);
        }
        let number = segment.number;
        segment.bytes += frame.len() as u64;
        self.open = Some(segment).filter(|segment| segment.bytes < SEALED_BYTES);
        Ok(number)
    }

    /// Removes a segment that nothing needs any more. It may come back after a loss of power.
    ///
    /// # Errors
    ///
    /// If the disk refuses.
    pub fn remove(&mut self, number: SegmentNumber) -> Result<(), StorageError> {
        self.open.take_if(|open| open.number == number);
        let path = self.path(number);
        file_system::remove_file(&path).context(IoSnafu { action: "removing", path: &path })
    }

    fn create(&mut self) -> Result<OpenSegment, StorageError> {
        let number = SegmentNumber(self.next);
        self.next += 1;
        let path = self.path(number);
        let file = File::create(&path).context(IoSnafu { action: "creating", path: &path })?;
        if let Err(error) = frame::sync_folder(&self.folder) {
            let _ = file_system::remove_file(&path);
            return Err(error);
        }
        Ok(OpenSegment { number, file, bytes: 0 })
    }

    fn path(&self, number: SegmentNumber) -> PathBuf {
        Path::join(&self.folder, frame::name(PREFIX, number.0))
    }
}
