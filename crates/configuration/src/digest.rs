//! The digest of an order, by which a resent order is recognized as a duplicate.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The number of bytes in an [`OrderDigest`].
pub const DIGEST_BYTES: usize = 16;

/// Identifies a configuration together with the generation that it is based on.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderDigest([u8; DIGEST_BYTES]);

impl OrderDigest {
    /// The digest with these bytes.
    pub const fn from_bytes(bytes: [u8; DIGEST_BYTES]) -> Self {
        OrderDigest(bytes)
    }

    /// The bytes of the digest.
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

/// Computes the digest of an order: SHA-256 over the base generation (`If-Match`, eight bytes, little-endian) and the
/// body as received, truncated to [`DIGEST_BYTES`]. It is the same on every machine.
pub fn digest(base: u64, body: &[u8]) -> OrderDigest {
    let hash = Sha256::new().chain_update(base.to_le_bytes()).chain_update(body).finalize();
    let mut bytes = [0; DIGEST_BYTES];
    bytes.copy_from_slice(&hash[..DIGEST_BYTES]);
    OrderDigest(bytes)
}
