//! The layout number of a directory, which identifies its file formats.
//!
//! It is read before anything else, so that a release with other formats, newer or older, rejects the directory instead
//! of treating files that it cannot read as absent. A directory without a layout number has the first layout.

use std::path::Path;

use crate::error::{StorageError, UnsupportedLayoutSnafu};
use crate::snapshot_files::SnapshotFiles;

/// The layout of directories without a layout number.
const FIRST_LAYOUT: u32 = 1;

/// Checks that the files of `name` in a directory have this layout, and records the layout number if there is none.
///
/// # Errors
///
/// [`StorageError::UnsupportedLayout`] if they have another layout; also if the directory cannot be read or written.
pub fn check(directory: &Path, name: &str, layout: u32) -> Result<(), StorageError> {
    let (mut files, newest) = SnapshotFiles::open(directory, &format!("layout-{name}"))?;
    let found = match newest {
        Some(bytes) => bytes.try_into().ok().map(u32::from_le_bytes),
        None => Some(FIRST_LAYOUT),
    };
    if found != Some(layout) {
        return UnsupportedLayoutSnafu { path: directory }.fail();
    }
    if files.newest_number() == 0 { files.write(&layout.to_le_bytes()) } else { Ok(()) }
}
