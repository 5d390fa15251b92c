//! Services of a configuration.

use std::sync::Arc;

use juniperwing_protocol::identity::ServiceName;

/// The name of a model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelName(pub Arc<str>);

/// A service: a group of equivalent endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name.
    pub name: ServiceName,
    /// The path of health checks.
    pub health_check: Option<Arc<str>>,
    /// The maximum number of connections of one endpoint, over all callers; `None` if it is not known.
    pub max_connections: Option<u32>,
    /// The protocol of the endpoints (`h1`), as configured.
    pub protocol: Option<Arc<str>>,
    /// Whether the endpoints use TLS.
    pub tls: bool,
    /// The engine, if these are model endpoints.
    pub engine: Option<Engine>,
}

/// The engine of model endpoints; a value that the operator did not specify is `None`.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Maximum number of requests in a batch.
    pub capacity: Option<u32>,
    /// Capacity of the KV cache, in tokens.
    pub kv_tokens: Option<u64>,
    /// Size of a token in the KV cache, in bytes.
    pub kv_bytes: Option<u64>,
    /// The bandwidth of an endpoint's link, in Mbit/s.
    pub link_mbps: Option<f64>,
    /// Number of tokens per event of a stream; at least 1.
    pub tokens_per_event: u32,
    /// The models served.
    pub models: Vec<ModelName>,
}
