//! What can go wrong with a folder.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

/// Why a folder cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// A failed access to the disk.
    #[snafu(display("{action} {}: {source}", path.display()))]
    Io {
        /// What was tried.
        action: &'static str,
        /// On what.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// A file does not hold what was written to it. No loss of power brings this about, so what was confirmed
    /// may be missing: the folder counts as lost.
    #[snafu(display("{} holds {found}", path.display()))]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// What is found in it.
        found: &'static str,
    },
    /// A file is whole, or a folder is, but of another release's layout.
    #[snafu(display("{} has the layout of another release", path.display()))]
    UnsupportedLayout {
        /// The file.
        path: PathBuf,
    },
}

impl StorageError {
    /// Whether what the folder held has to be given up.
    pub fn is_corruption(&self) -> bool {
        matches!(self, StorageError::Corrupt { .. })
    }
}
