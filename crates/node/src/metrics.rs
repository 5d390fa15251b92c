//! Metrics of a process in the text format of `OpenMetrics`, served on a listener of their own.
//!
//! The setting `metrics` names the port and the path; without it nothing listens. Metrics are collected when they are
//! requested.

mod exposition;
mod metric;
mod server;

pub use exposition::render;
pub use metric::{Metric, MetricKind, MetricSource};
pub use server::{MetricsEndpoint, serve, start};
