//! State on disk.
//!
//! [`VersionFiles`] keeps the newest version of a small state: each version is written aside, synced, renamed,
//! and the folder synced, before it counts. [`SegmentFiles`] keeps a sequence of batches, appended to segments: a
//! batch counts when its segment is synced, which saves the second sync that a rename needs. [`identity`] keeps
//! the identity of the folder. Everything carries a checksum; what is torn is not read.
//!
//! All calls block on the disk; call them from a thread that may wait.

mod error;
pub mod file_system;
mod frame;
pub mod identity;
pub mod layout;
mod segment_log;
mod snapshot_files;

pub use error::StorageError;
pub use segment_log::{Batch, SegmentLog, SegmentNumber};
pub use snapshot_files::SnapshotFiles;
