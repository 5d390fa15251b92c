//! The identity of a data directory: a random number generated once, which distinguishes a directory that was lost and
//! created anew from its predecessor.

use std::path::Path;

use crate::error::{StorageError, UnsupportedLayoutSnafu};
use crate::snapshot_files::SnapshotFiles;

const FILE_PREFIX: &str = "identity";

/// Reads the identity of a directory; a directory without a readable identity is assigned `new_identity`. Returns the
/// identity and whether it is new.
///
/// # Errors
///
/// If the directory cannot be read or written, or the identity was written by another release.
pub fn open(directory: &Path, new_identity: u64) -> Result<(u64, bool), StorageError> {
    let (mut files, newest) = match SnapshotFiles::open(directory, FILE_PREFIX) {
        Err(error) if error.is_corruption() => (SnapshotFiles::clear(directory, FILE_PREFIX)?, None),
        opened => opened?,
    };
    let Some(bytes) = newest else {
        files.write(&new_identity.to_le_bytes())?;
        return Ok((new_identity, true));
    };
    // An intact file of another length was written by another release. A new identity would abandon the state in the
    // directory.
    match bytes.try_into() {
        Ok(stored) => Ok((u64::from_le_bytes(stored), false)),
        Err(_) => UnsupportedLayoutSnafu { path: directory }.fail(),
    }
}

/// Replaces the identity of a directory by `new_identity`: its previous state counts as lost.
///
/// # Errors
///
/// If the directory cannot be written.
pub fn renew(directory: &Path, new_identity: u64) -> Result<(), StorageError> {
    SnapshotFiles::clear(directory, FILE_PREFIX)?.write(&new_identity.to_le_bytes())
}
