//! The on-disk encoding of a batch.

use juniperwing_protocol::PartitionId;
use juniperwing_protocol::transfer::Record;
use serde::{Deserialize, Serialize};

/// A record with its partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// The partition.
    pub partition: PartitionId,
    /// The record.
    pub record: Record,
}

/// Encodes a batch for the disk.
///
/// # Errors
///
/// If the encoder fails, which is not expected for records.
pub fn encode_batch(records: &[StoredRecord]) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(records)
}

/// Decodes the records of a batch.
///
/// # Errors
///
/// If the bytes are not a valid batch.
pub fn decode_batch(bytes: &[u8]) -> Result<Vec<StoredRecord>, postcard::Error> {
    postcard::from_bytes(bytes)
}
