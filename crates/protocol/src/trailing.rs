//! Deserialization of a last field that earlier releases do not send, for `#[serde(deserialize_with = "...")]`.

use serde::{Deserialize, Deserializer};

/// Deserializes the last field of a message; the default if the message ends before it.
///
/// # Errors
///
/// None; a field that cannot be read counts as missing.
pub fn deserialize_or_default<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de> + Default,
{
    Ok(T::deserialize(deserializer).unwrap_or_default())
}
