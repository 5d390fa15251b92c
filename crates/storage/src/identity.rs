//! The identity of a data folder: a number drawn once, so that a folder that was lost and made anew is told
//! from the one before.

use std::path::Path;

use crate::error::{StorageError, UnsupportedLayoutSnafu};
use crate::snapshot_files::SnapshotFiles;

const NAME: &str = "identity";

/// The identity that the folder has, or else `drawn`, which it has from now on. The second value tells
/// whether the folder is new, or its identity was not to be read and is another one now.
///
/// # Errors
///
/// If the folder cannot be read or written, or holds what another release wrote.
pub fn open(folder: &Path, drawn: u64) -> Result<(u64, bool), StorageError> {
    let (mut files, newest) = match SnapshotFiles::open(folder, NAME) {
        Err(error) if error.is_corruption() => (SnapshotFiles::clear(folder, NAME)?, None),
        opened => opened?,
    };
    let Some(bytes) = newest else {
        files.write(&drawn.to_le_bytes())?;
        return Ok((drawn, true));
    };
    // Whole, and not a number: another release wrote it. A new one in its place would give up what the folder holds.
    match bytes.try_into() {
        Ok(known) => Ok((u64::from_le_bytes(known), false)),
        Err(_) => UnsupportedLayoutSnafu { path: folder }.fail(),
    }
}

/// Gives the folder the identity `drawn`, whatever it was before: what it held is lost.
///
/// # Errors
///
/// If the folder cannot be written.
pub fn renew(folder: &Path, drawn: u64) -> Result<(), StorageError> {
    SnapshotFiles::clear(folder, NAME)?.write(&drawn.to_le_bytes())
}
