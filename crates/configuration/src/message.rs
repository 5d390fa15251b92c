//! The configuration as sent, before validation.
//!
//! Most numbers are doubles, so that a negative or fractional one does not end the parsing, but is reported by the
//! validation with its location. Unknown fields are ignored.

use serde::Deserialize;

use crate::json::{object, objects, objects_or_null};

/// The body of `PUT /config`.
#[derive(Clone, PartialEq, prost::Message, Deserialize)]
pub struct ConfigurationMessage {
    /// The generation number that the operator assigned.
    #[prost(uint64, optional, tag = "1")]
    #[serde(default)]
    pub generation: Option<u64>,
    /// The routes; the list is required, but may be empty.
    #[prost(message, repeated, tag = "2")]
    #[serde(deserialize_with = "objects")]
    pub routes: Vec<RouteMessage>,
    /// The services; the list is required, but may be empty.
    #[prost(message, repeated, tag = "3")]
    #[serde(deserialize_with = "objects")]
    pub backends: Vec<BackendMessage>,
    /// The limits for clients.
    #[prost(message, optional, tag = "4")]
    #[serde(default, deserialize_with = "object")]
    pub limits: Option<LimitsMessage>,
}

/// A route.
#[derive(Clone, PartialEq, prost::Message, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct RouteMessage {
    /// The name.
    #[prost(string, optional, tag = "1")]
    pub name: Option<String>,
    /// The host in the requests of clients.
    #[prost(string, optional, tag = "2")]
    pub hostname: Option<String>,
    /// The prefix of the path.
    #[prost(string, optional, tag = "3")]
    pub path_prefix: Option<String>,
    /// `streaming`, `idempotent` or `non_idempotent`.
    #[prost(string, optional, tag = "4")]
    pub route_type: Option<String>,
    /// The timeout of a request, in milliseconds.
    #[prost(double, optional, tag = "5")]
    pub timeout_ms: Option<f64>,
    /// The latency objective of a response, in milliseconds.
    #[prost(double, optional, tag = "6")]
    pub target_latency_ms: Option<f64>,
    /// The priority; 0 is the highest.
    #[prost(double, optional, tag = "7")]
    pub priority: Option<f64>,
    /// The service, if there is only one.
    #[prost(string, optional, tag = "8")]
    pub backend: Option<String>,
    /// Services with their weights; they take precedence over `backend`.
    #[prost(message, repeated, tag = "9")]
    #[serde(deserialize_with = "objects_or_null")]
    pub weighted_backends: Vec<WeightedBackendMessage>,
    /// The maximum number of endpoints to which a request is sent.
    #[prost(double, optional, tag = "10")]
    pub max_retries: Option<f64>,
    /// Whether turns are stored.
    #[prost(bool, optional, tag = "11")]
    pub kept: Option<bool>,
    /// How long turns are stored, in seconds.
    #[prost(double, optional, tag = "12")]
    pub retention_s: Option<f64>,
    /// Whether requests share sections of their prompts.
    #[prost(bool, optional, tag = "13")]
    pub session_affinity: Option<bool>,
    /// Whether a stream may be resumed from another endpoint.
    #[prost(bool, optional, tag = "14")]
    pub resumable: Option<bool>,
    /// The objective for the gap between events of a stream, in milliseconds.
    #[prost(double, optional, tag = "15")]
    #[serde(rename = "gap_aim_ms", alias = "gapAimMs")]
    pub gap_aim_ms: Option<f64>,
}

/// A service of a route with its weight.
#[derive(Clone, PartialEq, prost::Message, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct WeightedBackendMessage {
    /// The service.
    #[prost(string, optional, tag = "1")]
    pub backend: Option<String>,
    /// The weight; the share of the requests is the weight divided by the sum of all weights.
    #[prost(double, optional, tag = "2")]
    pub weight: Option<f64>,
}

/// A service.
#[derive(Clone, PartialEq, prost::Message, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct BackendMessage {
    /// The name.
    #[prost(string, optional, tag = "1")]
    pub name: Option<String>,
    /// The path of health checks.
    #[prost(string, optional, tag = "2")]
    pub health_check: Option<String>,
    /// The maximum number of connections of one endpoint, over all callers.
    #[prost(double, optional, tag = "3")]
    pub max_connections: Option<f64>,
    /// The protocol of the endpoints (`h1`).
    #[prost(string, optional, tag = "4")]
    pub protocol: Option<String>,
    /// Whether the endpoints use TLS.
    #[prost(bool, optional, tag = "5")]
    pub tls: Option<bool>,
    /// The engine of model endpoints.
    #[prost(message, optional, tag = "6")]
    #[serde(deserialize_with = "object")]
    pub engine: Option<EngineMessage>,
}

/// The engine of a service's model endpoints.
#[derive(Clone, PartialEq, prost::Message, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct EngineMessage {
    /// Maximum number of requests in a batch.
    #[prost(double, optional, tag = "1")]
    pub capacity: Option<f64>,
    /// Capacity of the KV cache, in tokens.
    #[prost(double, optional, tag = "2")]
    pub kv_tokens: Option<f64>,
    /// Size of a token in the KV cache, in bytes.
    #[prost(double, optional, tag = "3")]
    pub kv_bytes: Option<f64>,
    /// The bandwidth of an endpoint's link, in Mbit/s.
    #[prost(double, optional, tag = "4")]
    pub link_mbps: Option<f64>,
    /// Number of tokens per event of a stream.
    #[prost(double, optional, tag = "5")]
    pub stride: Option<f64>,
    /// The models served.
    #[prost(message, repeated, tag = "6")]
    #[serde(deserialize_with = "objects_or_null")]
    pub models: Vec<ModelMessage>,
}

/// A model.
#[derive(Clone, PartialEq, prost::Message, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct ModelMessage {
    /// The name.
    #[prost(string, optional, tag = "1")]
    pub name: Option<String>,
}

/// The limits for clients.
#[derive(Clone, PartialEq, prost::Message, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct LimitsMessage {
    /// Maximum size of the header of a request, in bytes.
    #[prost(double, optional, tag = "1")]
    pub max_header_bytes: Option<f64>,
    /// Maximum size of the body of a request, in bytes.
    #[prost(double, optional, tag = "2")]
    pub max_body_bytes: Option<f64>,
    /// Timeout for receiving the header of a request, in milliseconds.
    #[prost(double, optional, tag = "3")]
    pub header_timeout_ms: Option<f64>,
    /// Timeout of idle connections, in milliseconds.
    #[prost(double, optional, tag = "4")]
    pub idle_timeout_ms: Option<f64>,
}
