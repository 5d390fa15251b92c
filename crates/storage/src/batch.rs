//! A sequence of batches, one file each.

use std::fs;
use std::path::PathBuf;

use snafu::ResultExt;

use crate::error::{StorageError, StorageSnafu};
use crate::file;

const PREFIX: &str = "batch-";

/// The place of a batch in the sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BatchNumber(pub u64);

/// A batch as it was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Its place.
    pub number: BatchNumber,
    /// Its contents.
    pub contents: Vec<u8>,
}

/// Keeps batches in a folder until they are removed.
#[derive(Debug)]
pub struct BatchFiles {
    folder: PathBuf,
    next: u64,
}

impl BatchFiles {
    /// Opens the folder (made if missing) and reads all whole batches in order. Torn ones never counted: they
    /// are removed.
    ///
    /// # Errors
    ///
    /// If the folder cannot be made, listed or read.
    pub fn open(folder: impl Into<PathBuf>) -> Result<(Self, Vec<Batch>), StorageError> {
        let mut batches = Vec::new();
        let files = BatchFiles::open_each(folder, |batch| batches.push(batch))?;
        Ok((files, batches))
    }

    /// As [`BatchFiles::open`], but hands on one batch after the other, so that only one is in memory.
    ///
    /// # Errors
    ///
    /// If the folder cannot be made, listed or read.
    pub fn open_each(folder: impl Into<PathBuf>, mut take: impl FnMut(Batch)) -> Result<Self, StorageError> {
        let folder = folder.into();
        fs::create_dir_all(&folder).context(StorageSnafu { action: "making", path: &folder })?;
        let numbers = file::numbered(&folder, PREFIX)?;
        for number in &numbers {
            let path = folder.join(file::name(PREFIX, *number));
            match file::read_checked(&path)? {
                Some(contents) => take(Batch { number: BatchNumber(*number), contents }),
                None => drop(fs::remove_file(&path)),
            }
        }
        let next = numbers.last().map_or(1, |last| last + 1);
        Ok(BatchFiles { folder, next })
    }

    /// Writes a batch. When this returns, it outlasts a loss of power: a new file lasts with its own sync.
    ///
    /// # Errors
    ///
    /// If the disk refuses; earlier batches are untouched then.
    pub fn append(&mut self, contents: &[u8]) -> Result<BatchNumber, StorageError> {
        let number = self.next;
        self.next += 1;
        let path = self.folder.join(file::name(PREFIX, number));
        let written = file::write_synced(&path, contents);
        if written.is_err() {
            // What is left of it is torn or, if it is whole, was never confirmed.
            let _ = fs::remove_file(&path);
        }
        written.map(|()| BatchNumber(number))
    }

    /// Removes a batch that nothing needs any more. It may come back after a loss of power.
    ///
    /// # Errors
    ///
    /// If the disk refuses.
    pub fn remove(&mut self, number: BatchNumber) -> Result<(), StorageError> {
        let path = self.folder.join(file::name(PREFIX, number.0));
        fs::remove_file(&path).context(StorageSnafu { action: "removing", path: &path })
    }
}
