//! What can go wrong with a folder.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

/// A failed access to the disk, with the file.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)), display("{action} {}: {source}", path.display()))]
pub struct StorageError {
    /// What was tried.
    action: &'static str,
    /// On what.
    path: PathBuf,
    /// What the system says.
    source: io::Error,
}
