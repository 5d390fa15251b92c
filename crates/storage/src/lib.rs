//! State on disk.
//!
//! [`VersionFiles`] keeps the newest version of a small state: each version is written aside, synced, renamed,
//! and the folder synced, before it counts. [`BatchFiles`] keeps a sequence of batches, one file each: a batch
//! counts when its own file is synced, which saves the second sync that a rename needs. [`identity`] keeps the
//! identity of the folder. Every file carries a checksum; what is torn is not read.
//!
//! All calls block on the disk; call them from a thread that may wait.

mod batch;
mod error;
mod file;
pub mod identity;
mod version;

pub use batch::{Batch, BatchFiles, BatchNumber};
pub use error::StorageError;
pub use version::VersionFiles;
