//! Recognises an order that is sent again.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Bytes in an [`OrderDigest`].
pub const DIGEST_BYTES: usize = 16;

/// Identifies a configuration together with the version that it builds on.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderDigest([u8; DIGEST_BYTES]);

impl OrderDigest {
    /// The digest with these bytes.
    pub const fn from_bytes(bytes: [u8; DIGEST_BYTES]) -> Self {
        OrderDigest(bytes)
    }

    /// Its bytes.
    pub const fn to_bytes(self) -> [u8; DIGEST_BYTES] {
        self.0
    }
}

impl fmt::Display for OrderDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for OrderDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "OrderDigest({self})")
    }
}

/// The digest of an order: the version that it builds on (`If-Match`) and its body, byte for byte. It is a
/// part of SHA-256, and the same on every machine.
pub fn digest(base: u64, body: &[u8]) -> OrderDigest {
    let whole = Sha256::new().chain_update(base.to_le_bytes()).chain_update(body).finalize();
    let mut part = [0; DIGEST_BYTES];
    part.copy_from_slice(&whole[..DIGEST_BYTES]);
    OrderDigest(part)
}
