//! Durable state on disk.
//!
//! [`SnapshotFiles`] keeps the newest version of a small state: each version is written to a temporary file, synced,
//! renamed, and the directory synced, before it counts as written. [`SegmentLog`] is an append-only log of batches: a batch
//! counts as written when its segment is synced, which saves the second sync that a rename needs. [`identity`] keeps the
//! identity of a data directory, [`layout`] the number of its file formats. Everything carries a checksum; torn writes are
//! detected and not read.
//!
//! All calls block on the disk: call them from a thread that may block.

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
