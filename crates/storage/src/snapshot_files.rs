//! Snapshots of a small state, one file per version.

use std::io;
use std::path::{Path, PathBuf};

use snafu::ResultExt;

use crate::error::{IoSnafu, StorageError};
use crate::file_system;
use crate::frame;

/// Number of old versions retained in addition to the newest.
const RETAINED_OLD_VERSIONS: usize = 1;
/// The prefix of temporary files.
const TEMPORARY_PREFIX: &str = "aside-";

/// The snapshots of one state in a directory.
///
/// A version is renamed to its final name only after its contents are synced, so that after a power loss every such name
/// refers to a complete version. The version is durable once the directory is synced as well.
#[derive(Debug)]
pub struct SnapshotFiles {
    directory: PathBuf,
    prefix: String,
    /// The numbers of the versions on disk, ascending.
    numbers: Vec<u64>,
}

impl SnapshotFiles {
    /// Opens the state `name` in `directory` (created if missing) and reads its newest version, which is durable when this
    /// returns.
    ///
    /// # Errors
    ///
    /// If the directory cannot be created, listed, synced or read, or the newest version is corrupt: an older one is not
    /// read in its place, since the newest may have been acknowledged.
    pub fn open(directory: impl Into<PathBuf>, name: &str) -> Result<(Self, Option<Vec<u8>>), StorageError> {
        let directory = directory.into();
        file_system::create_dir_all(&directory).context(IoSnafu { action: "making", path: &directory })?;
        let prefix = format!("{name}-");
        remove_all(&directory, &format!("{TEMPORARY_PREFIX}{prefix}"))?;
        let numbers = frame::list_numbers(&directory, &prefix)?;
        // A process that was killed may have left a rename unsynced, which a power loss could still undo.
        frame::sync_directory(&directory)?;
        let newest = match numbers.last() {
            Some(number) => {
                Some(frame::read_snapshot(&directory.join(frame::file_name(&prefix, *number)), *number)?)
            }
            None => None,
        };
        Ok((SnapshotFiles { directory, prefix, numbers }, newest))
    }

    /// Durably removes all versions of a state and opens it empty.
    ///
    /// # Errors
    ///
    /// If a file cannot be removed or the directory cannot be read or synced.
    pub fn clear(directory: impl Into<PathBuf>, name: &str) -> Result<Self, StorageError> {
        let directory = directory.into();
        remove_all(&directory, &format!("{name}-"))?;
        frame::sync_directory(&directory)?;
        SnapshotFiles::open(directory, name).map(|(files, _)| files)
    }

    /// The number of the newest version; 0 if there is none. A version whose write failed may have had the same
    /// number.
    pub fn newest_number(&self) -> u64 {
        self.numbers.last().copied().unwrap_or_default()
    }

    /// Writes the next version. When this returns, the version is durable.
    ///
    /// # Errors
    ///
    /// If the write fails; the previous version is unaffected. The new one may reappear after a restart.
    pub fn write(&mut self, contents: &[u8]) -> Result<(), StorageError> {
        let number = self.numbers.last().map_or(1, |newest| newest + 1);
        let name = frame::file_name(&self.prefix, number);
        let path = self.directory.join(&name);
        let temporary = self.directory.join(format!("{TEMPORARY_PREFIX}{name}"));
        frame::write_snapshot(&temporary, number, contents)?;
        file_system::rename(&temporary, &path).context(IoSnafu { action: "renaming", path: &temporary })?;
        // The name may exist from now on, even if the sync fails, so the number is not reused.
        self.numbers.push(number);
        frame::sync_directory(&self.directory)?;
        self.remove_old();
        Ok(())
    }

    /// Removes old versions. A version that cannot be removed is harmless; the next write retries it.
    fn remove_old(&mut self) {
        while self.numbers.len() > 1 + RETAINED_OLD_VERSIONS {
            if remove(&self.directory.join(frame::file_name(&self.prefix, self.numbers[0]))).is_err() {
                return;
            }
            self.numbers.remove(0);
        }
    }
}

fn remove_all(directory: &Path, prefix: &str) -> Result<(), StorageError> {
    for number in frame::list_numbers(directory, prefix)? {
        remove(&directory.join(frame::file_name(prefix, number)))?;
    }
    Ok(())
}

/// Removes a file if it exists.
fn remove(path: &Path) -> Result<(), StorageError> {
    match file_system::remove_file(path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => {
            Err(error).context(IoSnafu { action: "removing", path })
        }
        _ => Ok(()),
    }
}
