//! The services of a configuration.

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
    /// The number of connections that one endpoint accepts from all callers together; `None` if that is not known.
    pub max_connections: Option<u32>,
    /// The protocol of the endpoints (`h1`), as the operator gives it.
    pub protocol: Option<Arc<str>>,
    /// Whether the endpoints use TLS.
    pub tls: bool,
    /// The engine, if these are model endpoints.
    pub engine: Option<Engine>,
}

/// The engine of model endpoints. `None` stands for what the operator did not give.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests in a batch.
    pub capacity: Option<u32>,
    /// Tokens that fit into the KV cache.
    pub kv_tokens: Option<u64>,
    /// Bytes of the KV cache for a token.
    pub kv_bytes: Option<u64>,
    /// The bandwidth of an endpoint's link, in Mbit/s.
    pub link_mbps: Option<f64>,
    /// Tokens in an event of a stream; at least 1.
    pub tokens_per_event: u32,
    /// The models served.
    pub models: Vec<ModelName>,
}
