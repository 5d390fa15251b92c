//! The newest version of a state, one file for each version.

use std::io;
use std::path::{Path, PathBuf};

use snafu::ResultExt;

use crate::error::{IoSnafu, StorageError};
use crate::file_system;
use crate::frame;

/// Versions kept beside the newest.
const KEPT: usize = 1;
const ASIDE: &str = "aside-";

/// Keeps the newest version of one state in a folder.
///
/// A version gets its name only when its contents are synced, so whatever power losses leave, a name stands for
/// a whole version, and it counts only when the folder is synced behind it.
#[derive(Debug)]
pub struct SnapshotFiles {
    folder: PathBuf,
    prefix: String,
    kept: Vec<u64>,
}

impl SnapshotFiles {
    /// Opens the state named `name` in `folder` (made if missing) and reads its newest version, which outlasts a
    /// loss of power from then on.
    ///
    /// # Errors
    ///
    /// If the folder cannot be made, listed, synced or read, or the newest version is not what was written: an
    /// older one is not read in its place, since the newest may have been confirmed.
    pub fn open(folder: impl Into<PathBuf>, name: &str) -> Result<(Self, Option<Vec<u8>>), StorageError> {
        let folder = folder.into();
        file_system::create_dir_all(&folder).context(IoSnafu { action: "making", path: &folder })?;
        let prefix = format!("{name}-");
        remove_all(&folder, &format!("{ASIDE}{prefix}"))?;
        let kept = frame::numbered(&folder, &prefix)?;
        // A process that was killed may have left a name that a loss of power would still undo.
        frame::sync_folder(&folder)?;
        let newest = match kept.last() {
            Some(number) => Some(frame::read_version(&folder.join(frame::name(&prefix, *number)), *number)?),
            None => None,
        };
        Ok((SnapshotFiles { folder, prefix, kept }, newest))
    }

    /// Removes all versions of a state, for good, and opens it empty.
    ///
    /// # Errors
    ///
    /// If the disk refuses.
    pub fn clear(folder: impl Into<PathBuf>, name: &str) -> Result<Self, StorageError> {
        let folder = folder.into();
        remove_all(&folder, &format!("{name}-"))?;
        frame::sync_folder(&folder)?;
        SnapshotFiles::open(folder, name).map(|(files, _)| files)
    }

    /// The number of the newest version; 0 if there is none. A version that could not be written may have had the
    /// number before.
    pub fn newest(&self) -> u64 {
        self.kept.last().copied().unwrap_or_default()
    }

    /// Writes the next version. When this returns, the version outlasts a loss of power.
    ///
    /// # Errors
    ///
    /// If the disk refuses; the version before is untouched then. The new one may come back after a start.
    pub fn write(&mut self, contents: &[u8]) -> Result<(), StorageError> {
        let number = self.kept.last().map_or(1, |newest| newest + 1);
        let name = frame::name(&self.prefix, number);
        let path = self.folder.join(&name);
        let aside = self.folder.join(format!("{ASIDE}{name}"));
        frame::write_version(&aside, number, contents)?;
        file_system::rename(&aside, &path).context(IoSnafu { action: "renaming", path: &aside })?;
        // From here on the name may be seen, so it is not given to anything else.
        self.kept.push(number);
        frame::sync_folder(&self.folder)?;
        self.remove_old();
        Ok(())
    }

    /// An old version that stays by a failure does no harm; it is tried again with the next.
    fn remove_old(&mut self) {
        while self.kept.len() > 1 + KEPT {
            if remove(&self.folder.join(frame::name(&self.prefix, self.kept[0]))).is_err() {
                return;
            }
            self.kept.remove(0);
        }
    }
}

fn remove_all(folder: &Path, prefix: &str) -> Result<(), StorageError> {
    for number in frame::numbered(folder, prefix)? {
        remove(&folder.join(frame::name(prefix, number)))?;
    }
    Ok(())
}

/// Removes a file, or finds it gone.
fn remove(path: &Path) -> Result<(), StorageError> {
    match file_system::remove_file(path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => {
            Err(error).context(IoSnafu { action: "removing", path })
        }
        _ => Ok(()),
    }
}
