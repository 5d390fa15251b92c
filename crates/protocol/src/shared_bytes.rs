//! Serialization of `Arc<[u8]>` as a byte string, for `#[serde(with = "...")]`.
//!
//! The encoding equals that of a sequence of `u8`, but is read and written faster.

use std::fmt;
use std::sync::Arc;

use serde::de::{Error, Visitor};
use serde::{Deserializer, Serializer};

/// Serializes the bytes.
///
/// # Errors
///
/// The errors of the serializer.
pub fn serialize<S: Serializer>(bytes: &Arc<[u8]>, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes)
}

/// Deserializes bytes.
///
/// # Errors
///
/// The errors of the deserializer.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Arc<[u8]>, D::Error> {
    deserializer.deserialize_bytes(SharedBytesVisitor)
}

struct SharedBytesVisitor;

impl Visitor<'_> for SharedBytesVisitor {
    type Value = Arc<[u8]>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("bytes")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Self::Value, E> {
        Ok(bytes.into())
    }
}
