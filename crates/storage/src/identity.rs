//! The identity of a data folder: a number drawn once, so that a folder that was lost and made anew is told
//! from the one before.

use std::path::Path;

use crate::error::StorageError;
use crate::version::VersionFiles;

const NAME: &str = "identity";

/// The identity that the folder has, or else `drawn`, which it has from now on. The second value tells
/// whether the folder is new, or its identity was not to be read and is another one now.
///
/// # Errors
///
/// If the folder cannot be read or written.
pub fn open(folder: &Path, drawn: u64) -> Result<(u64, bool), StorageError> {
    let (mut files, newest) = match VersionFiles::open(folder, NAME) {
        Err(error) if error.is_damage() => (VersionFiles::clear(folder, NAME)?, None),
        opened => opened?,
    };
    let known = newest.and_then(|bytes| bytes.try_into().ok()).map(u64::from_le_bytes);
    match known {
        Some(identity) => Ok((identity, false)),
        None => {
            files.write(&drawn.to_le_bytes())?;
            Ok((drawn, true))
        }
    }
}

/// Gives the folder the identity `drawn`, whatever it was before: what it held is lost.
///
/// # Errors
///
/// If the folder cannot be written.
pub fn renew(folder: &Path, drawn: u64) -> Result<(), StorageError> {
    VersionFiles::clear(folder, NAME)?.write(&drawn.to_le_bytes())
}
