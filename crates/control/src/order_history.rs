//! A bounded history of order digests.

use std::collections::VecDeque;
use std::fmt;

use juniperwing_configuration::{DIGEST_BYTES, OrderDigest};
use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Digests of orders, oldest first. Serialized as one byte string, so that encoding thousands is a plain copy.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OrderHistory {
    digests: VecDeque<OrderDigest>,
}

impl OrderHistory {
    /// Whether the order is in the history.
    pub fn contains(&self, digest: OrderDigest) -> bool {
        // Resent orders are mostly recent ones.
        self.digests.iter().rev().any(|known| *known == digest)
    }

    /// Appends an order and removes the oldest ones beyond `limit`.
    pub fn insert(&mut self, digest: OrderDigest, limit: usize) {
        self.digests.push_back(digest);
        while self.digests.len() > limit {
            self.digests.pop_front();
        }
    }

    /// The number of orders in the history.
    pub fn len(&self) -> usize {
        self.digests.len()
    }

    /// Whether the history is empty.
    pub fn is_empty(&self) -> bool {
        self.digests.is_empty()
    }
}

impl Serialize for OrderHistory {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut bytes = Vec::with_capacity(self.digests.len() * DIGEST_BYTES);
        for digest in &self.digests {
            bytes.extend_from_slice(&digest.to_bytes());
        }
        serializer.serialize_bytes(&bytes)
    }
}

impl<'de> Deserialize<'de> for OrderHistory {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_bytes(HistoryVisitor)
    }
}

/// Splits the byte string into digests.
struct HistoryVisitor;

impl Visitor<'_> for HistoryVisitor {
    type Value = OrderHistory;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "digests of {DIGEST_BYTES} bytes each")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<OrderHistory, E> {
        let (digests, rest) = bytes.as_chunks::<DIGEST_BYTES>();
        if !rest.is_empty() {
            return Err(E::invalid_length(bytes.len(), &self));
        }
        let digests = digests.iter().copied().map(OrderDigest::from_bytes).collect();
        Ok(OrderHistory { digests })
    }
}
