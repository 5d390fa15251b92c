//! Durable state on disk.
//!
//! [`SnapshotFiles`] stores the newest version of a small state: a version is durable once its temporary file is synced
//! and renamed and the directory is synced. [`SegmentLog`] is an append-only log of batches: a batch is durable once its
//! segment is synced, which saves the second sync that a rename needs. [`identity`] stores the identity of a data
//! directory, [`layout`] the number of its file formats. All files have checksums; torn writes are detected and not read.
//!
//! All calls block on disk I/O and must be made from a thread that may block.

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
