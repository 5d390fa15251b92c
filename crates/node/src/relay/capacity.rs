//! How many connections and bytes a relay may use, from the limits of its process.

use crate::settings::Settings;

/// Descriptors that are for connections of neither clients nor endpoints.
const RESERVED_DESCRIPTORS: usize = 264;
/// The fewest descriptors that are counted on.
const MIN_DESCRIPTORS: usize = 16;
/// The fraction of descriptors for clients; the rest is for endpoints.
const CLIENT_DESCRIPTOR_FRACTION: f64 = 0.5;
/// The fewest connections of clients, and of endpoints, that are allowed.
const MIN_CONNECTIONS: usize = 8;
/// What the process takes before it serves, in bytes.
const BASE_MEMORY_BYTES: usize = 24 << 20;
/// What a connection takes, in bytes.
const CONNECTION_BYTES: usize = 32 << 10;
/// The fraction of the memory for bodies; the rest is for connections.
const BODY_MEMORY_FRACTION: f64 = 0.5;

/// How many connections and bytes a relay may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayCapacity {
    /// Connections of clients.
    pub client_connections: usize,
    /// Connections to endpoints.
    pub upstream_connections: usize,
    /// Bytes of bodies.
    pub body_bytes: usize,
}

impl RelayCapacity {
    /// The capacity within the limits of the settings.
    pub fn from_settings(settings: &Settings) -> RelayCapacity {
        let max_descriptors = settings.limits.max_fds as usize;
        let descriptors = max_descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_DESCRIPTORS);
        let memory = ((settings.limits.memory_mb as usize) << 20).saturating_sub(BASE_MEMORY_BYTES);
        let body_bytes = (memory as f64 * BODY_MEMORY_FRACTION) as usize;
        let by_memory = (memory - body_bytes) / CONNECTION_BYTES / 2;
        let by_descriptors = (descriptors as f64 * CLIENT_DESCRIPTOR_FRACTION) as usize;
        RelayCapacity {
            client_connections: by_descriptors.min(by_memory).max(MIN_CONNECTIONS),
            upstream_connections: (descriptors - by_descriptors).min(by_memory).max(MIN_CONNECTIONS),
            body_bytes,
        }
    }
}
