//! The configuration as it is sent, before any check.
//!
//! Numbers that JSON may carry as fractions or below zero are doubles, so that each is reported at its place
//! instead of ending the reading. Fields that are not known here are passed over.

use std::fmt;
use std::marker::PhantomData;

use serde::de::value::MapAccessDeserializer;
use serde::de::{MapAccess, Visitor};
use serde::{Deserialize, Deserializer};

/// The body of `PUT /config`.
#[derive(Clone, PartialEq, prost::Message, Deserialize)]
pub struct ConfigurationMessage {
    /// The number of the configuration.
    #[prost(uint64, optional, tag = "1")]
    #[serde(default)]
    pub generation: Option<u64>,
    /// The routes; the list has to be there, if only empty.
    #[prost(message, repeated, tag = "2")]
    #[serde(deserialize_with = "objects")]
    pub routes: Vec<RouteMessage>,
    /// The services; the list has to be there, if only empty.
    #[prost(message, repeated, tag = "3")]
    #[serde(deserialize_with = "objects")]
    pub backends: Vec<BackendMessage>,
    /// What clients may send, and how slowly.
    #[prost(message, optional, tag = "4")]
    #[serde(default, deserialize_with = "object")]
    pub limits: Option<LimitsMessage>,
}

/// A route.
#[derive(Clone, PartialEq, prost::Message, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct RouteMessage {
    /// Its name.
    #[prost(string, optional, tag = "1")]
    pub name: Option<String>,
    /// The host that clients name.
    #[prost(string, optional, tag = "2")]
    pub hostname: Option<String>,
    /// What the path begins with.
    #[prost(string, optional, tag = "3")]
    pub path_prefix: Option<String>,
    /// `streaming`, `idempotent` or `non_idempotent`.
    #[prost(string, optional, tag = "4")]
    pub route_type: Option<String>,
    /// The longest that a request may be held, in milliseconds.
    #[prost(double, optional, tag = "5")]
    pub timeout_ms: Option<f64>,
    /// The time within which an answer earns its full worth, in milliseconds.
    #[prost(double, optional, tag = "6")]
    pub target_latency_ms: Option<f64>,
    /// The rank, 0 first.
    #[prost(double, optional, tag = "7")]
    pub priority: Option<f64>,
    /// The only service.
    #[prost(string, optional, tag = "8")]
    pub backend: Option<String>,
    /// Several services with their shares; these go before `backend`.
    #[prost(message, repeated, tag = "9")]
    #[serde(deserialize_with = "objects_or_null")]
    pub weighted_backends: Vec<WeightedBackendMessage>,
    /// The greatest number of endpoints for one try.
    #[prost(double, optional, tag = "10")]
    pub max_retries: Option<f64>,
    /// Whether turns are kept.
    #[prost(bool, optional, tag = "11")]
    pub kept: Option<bool>,
    /// How long they are kept, in seconds.
    #[prost(double, optional, tag = "12")]
    pub retention_s: Option<f64>,
    /// Whether requests share parts of their prompts.
    #[prost(bool, optional, tag = "13")]
    pub session_affinity: Option<bool>,
    /// Whether a stream may be taken up at another endpoint.
    #[prost(bool, optional, tag = "14")]
    pub resumable: Option<bool>,
    /// The longest pause between events of an answer in time, in milliseconds.
    #[prost(double, optional, tag = "15")]
    #[serde(rename = "gap_aim_ms", alias = "gapAimMs")]
    pub gap_aim_ms: Option<f64>,
}

/// A service's share of a route.
#[derive(Clone, PartialEq, prost::Message, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct WeightedBackendMessage {
    /// The service.
    #[prost(string, optional, tag = "1")]
    pub backend: Option<String>,
    /// Its share, against the sum of all.
    #[prost(double, optional, tag = "2")]
    pub weight: Option<f64>,
}

/// A service.
#[derive(Clone, PartialEq, prost::Message, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct BackendMessage {
    /// Its name.
    #[prost(string, optional, tag = "1")]
    pub name: Option<String>,
    /// The path of health checks.
    #[prost(string, optional, tag = "2")]
    pub health_check: Option<String>,
    /// Connections that one endpoint accepts from all callers together.
    #[prost(double, optional, tag = "3")]
    pub max_connections: Option<f64>,
    /// What its endpoints speak (`h1`).
    #[prost(string, optional, tag = "4")]
    pub protocol: Option<String>,
    /// Whether its endpoints speak it over TLS.
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
    /// Requests in a batch.
    #[prost(double, optional, tag = "1")]
    pub capacity: Option<f64>,
    /// Tokens that the memory holds.
    #[prost(double, optional, tag = "2")]
    pub kv_tokens: Option<f64>,
    /// Bytes of memory for a token.
    #[prost(double, optional, tag = "3")]
    pub kv_bytes: Option<f64>,
    /// The speed of an endpoint's link, in Mbit/s.
    #[prost(double, optional, tag = "4")]
    pub link_mbps: Option<f64>,
    /// Tokens in an event of a stream.
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
    /// Its name.
    #[prost(string, optional, tag = "1")]
    pub name: Option<String>,
}

/// What clients may send, and how slowly.
#[derive(Clone, PartialEq, prost::Message, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct LimitsMessage {
    /// The largest head of a request, in bytes.
    #[prost(double, optional, tag = "1")]
    pub max_header_bytes: Option<f64>,
    /// The largest body of a request, in bytes.
    #[prost(double, optional, tag = "2")]
    pub max_body_bytes: Option<f64>,
    /// The longest that a head may take, in milliseconds.
    #[prost(double, optional, tag = "3")]
    pub header_timeout_ms: Option<f64>,
    /// The longest that a connection may rest, in milliseconds.
    #[prost(double, optional, tag = "4")]
    pub idle_timeout_ms: Option<f64>,
}

/// A message that stands in JSON as an object and as nothing else; left to itself, `serde` would take an array
/// of its fields as well.
pub(crate) struct Object<T>(pub(crate) T);

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Object<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(ObjectVisitor(PhantomData))
    }
}

/// Takes the fields of an [`Object`].
struct ObjectVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for ObjectVisitor<T> {
    type Value = Object<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Object<T>, A::Error> {
        T::deserialize(MapAccessDeserializer::new(map)).map(Object)
    }
}

/// Reads an object, or `null` for none.
fn object<'de, D, T>(deserializer: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    let object: Option<Object<T>> = Option::deserialize(deserializer)?;
    Ok(object.map(|object| object.0))
}

/// Reads a list of objects.
fn objects<'de, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    let objects: Vec<Object<T>> = Vec::deserialize(deserializer)?;
    Ok(objects.into_iter().map(|object| object.0).collect())
}

/// Reads a list of objects, or `null` for none.
fn objects_or_null<'de, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    let objects: Option<Vec<Object<T>>> = Option::deserialize(deserializer)?;
    Ok(objects.unwrap_or_default().into_iter().map(|object| object.0).collect())
}
