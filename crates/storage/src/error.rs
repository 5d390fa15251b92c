//! Storage errors.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

/// Why an operation on stored state failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// An operation of the file system failed.
    #[snafu(display("{action} {}: {source}", path.display()))]
    Io {
        /// The operation.
        action: &'static str,
        /// The file or directory.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A file's contents differ from what was written. A power loss cannot cause this, so acknowledged state may be
    /// missing and the directory counts as lost.
    #[snafu(display("{} is corrupt: it contains {found}", path.display()))]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// Description of what the file contains instead.
        found: &'static str,
    },
    /// A file or directory is intact but has the layout of another release.
    #[snafu(display("{} has the layout of another release", path.display()))]
    UnsupportedLayout {
        /// The file.
        path: PathBuf,
    },
}

impl StorageError {
    /// Whether the state has to be considered lost.
    pub fn is_corruption(&self) -> bool {
        matches!(self, StorageError::Corrupt { .. })
    }
}
