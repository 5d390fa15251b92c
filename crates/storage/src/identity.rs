//! The identity of a data directory: a number drawn once, which distinguishes a directory that was lost and created anew
//! from its predecessor.

use std::path::Path;

use crate::error::{StorageError, UnsupportedLayoutSnafu};
use crate::snapshot_files::SnapshotFiles;

const FILE_PREFIX: &str = "identity";

/// Reads the identity of the directory; a directory without a readable one is given `drawn`. The second value is
/// whether it was given a new identity.
///
/// # Errors
///
/// If the directory cannot be read or written, or has files of another release.
pub fn open(directory: &Path, drawn: u64) -> Result<(u64, bool), StorageError> {
    let (mut files, newest) = match SnapshotFiles::open(directory, FILE_PREFIX) {
        Err(error) if error.is_corruption() => (SnapshotFiles::clear(directory, FILE_PREFIX)?, None),
        opened => opened?,
    };
    let Some(bytes) = newest else {
        files.write(&drawn.to_le_bytes())?;
        return Ok((drawn, true));
    };
    // Intact, but not a number: another release wrote it. A new identity would abandon the state in the directory.
    match bytes.try_into() {
        Ok(stored) => Ok((u64::from_le_bytes(stored), false)),
        Err(_) => UnsupportedLayoutSnafu { path: directory }.fail(),
    }
}

/// Replaces the identity of the directory by `drawn`: its former state counts as lost.
///
/// # Errors
///
/// If the directory cannot be written.
pub fn renew(directory: &Path, drawn: u64) -> Result<(), StorageError> {
    SnapshotFiles::clear(directory, FILE_PREFIX)?.write(&drawn.to_le_bytes())
}
