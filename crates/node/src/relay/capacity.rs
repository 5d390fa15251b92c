//! Derives the numbers of connections and bytes that a relay may use from the limits of its process.

use crate::settings::Settings;

/// File descriptors that are reserved for uses other than connections to clients and endpoints.
const RESERVED_DESCRIPTORS: usize = 264;
/// The minimum number of descriptors assumed for connections.
const MIN_DESCRIPTORS: usize = 16;
/// The fraction of these descriptors for clients; the rest is for endpoints.
const CLIENT_DESCRIPTOR_FRACTION: f64 = 0.5;
/// The minimum number of connections allowed to clients, and to endpoints.
const MIN_CONNECTIONS: usize = 8;
/// The memory that the process uses before it serves requests, in bytes.
const BASE_MEMORY_BYTES: usize = 24 << 20;
/// The memory used by a connection, in bytes.
const CONNECTION_BYTES: usize = 32 << 10;
/// The fraction of the memory for bodies; the rest is for connections.
const BODY_MEMORY_FRACTION: f64 = 0.5;

/// The maximum numbers of connections and bytes that a relay uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayCapacity {
    /// Connections of clients.
    pub client_connections: usize,
    /// Connections to endpoints.
    pub upstream_connections: usize,
    /// Bytes of request and response bodies.
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
