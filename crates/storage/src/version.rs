//! The newest version of a state, one file for each version.

use std::path::PathBuf;

use snafu::ResultExt;

use crate::disk;
use crate::error::{StorageError, StorageSnafu};
use crate::file;

/// Versions kept beside the newest.
const KEPT: usize = 1;
const ASIDE: &str = "aside-";

/// Keeps the newest version of one state in a folder.
#[derive(Debug)]
pub struct VersionFiles {
    folder: PathBuf,
    prefix: String,
    kept: Vec<u64>,
}

impl VersionFiles {
    /// Opens the state named `name` in `folder` (made if missing) and reads its newest whole version.
    ///
    /// # Errors
    ///
    /// If the folder cannot be made, listed or read.
    pub fn open(folder: impl Into<PathBuf>, name: &str) -> Result<(Self, Option<Vec<u8>>), StorageError> {
        let folder = folder.into();
        disk::create_dir_all(&folder).context(StorageSnafu { action: "making", path: &folder })?;
        let prefix = format!("{name}-");
        let kept = file::numbered(&folder, &prefix)?;
        let mut newest = None;
        for number in kept.iter().rev() {
            newest = file::read_checked(&folder.join(file::name(&prefix, *number)))?;
            if newest.is_some() {
                break;
            }
        }
        Ok((VersionFiles { folder, prefix, kept }, newest))
    }

    /// Writes the next version. When this returns, the version outlasts a loss of power.
    ///
    /// # Errors
    ///
    /// If the disk refuses; the version before is untouched then.
    pub fn write(&mut self, contents: &[u8]) -> Result<(), StorageError> {
        let number = self.kept.last().map_or(1, |newest| newest + 1);
        let name = file::name(&self.prefix, number);
        let path = self.folder.join(&name);
        let aside = self.folder.join(format!("{ASIDE}{name}"));
        file::write_synced(&aside, contents)?;
        disk::rename(&aside, &path).context(StorageSnafu { action: "renaming", path: &aside })?;
        file::sync_folder(&self.folder)?;
        self.kept.push(number);
        self.remove_old();
        Ok(())
    }

    /// An old version that stays by a failure does no harm; it is tried again with the next.
    fn remove_old(&mut self) {
        while self.kept.len() > 1 + KEPT {
            if disk::remove_file(self.folder.join(file::name(&self.prefix, self.kept[0]))).is_err() {
                return;
            }
            self.kept.remove(0);
        }
    }
}
