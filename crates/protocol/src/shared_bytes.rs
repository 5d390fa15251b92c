//! Serialization of `Arc<[u8]>` as one run of bytes, for `#[serde(with = "...")]`.
//!
//! The encoding equals that of a sequence of bytes; reading and writing it is faster.

use std::fmt;
use std::sync::Arc;

use serde::de::{Error, Visitor};
use serde::{Deserializer, Serializer};

/// Serializes the bytes.
///
/// # Errors
///
/// Those of the serializer.
pub fn serialize<S: Serializer>(bytes: &Arc<[u8]>, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes)
}

/// Deserializes bytes.
///
/// # Errors
///
/// Those of the deserializer.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Arc<[u8]>, D::Error> {
    deserializer.deserialize_bytes(SharedBytes)
}

struct SharedBytes;

impl Visitor<'_> for SharedBytes {
    type Value = Arc<[u8]>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("bytes")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Self::Value, E> {
        Ok(bytes.into())
    }
}
