//! The layout of what a role keeps in a folder: a number that says how the rest is to be read.
//!
//! It is read before anything else, so that a release that lays out its files in another way refuses them, in both
//! directions, in place of taking what it cannot read for nothing. A folder without the number is of the first layout.

use std::path::Path;

use crate::error::{StorageError, UnsupportedLayoutSnafu};
use crate::snapshot_files::SnapshotFiles;

/// The layout of folders that do not say theirs.
const FIRST: u32 = 1;

/// Makes sure that the files of `name` in a folder have this layout; a folder that does not say so yet is given it.
///
/// # Errors
///
/// [`StorageError::OtherLayout`] if they have another one, or if the folder cannot be read or written.
pub fn check(folder: &Path, name: &str, layout: u32) -> Result<(), StorageError> {
    let (mut files, newest) = SnapshotFiles::open(folder, &format!("layout-{name}"))?;
    let found = match newest {
        Some(bytes) => bytes.try_into().ok().map(u32::from_le_bytes),
        None => Some(FIRST),
    };
    if found != Some(layout) {
        return UnsupportedLayoutSnafu { path: folder }.fail();
    }
    if files.newest() == 0 { files.write(&layout.to_le_bytes()) } else { Ok(()) }
}
