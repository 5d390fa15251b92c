//! Metrics of a process in the text format of `OpenMetrics`, served by a separate listener.
//!
//! The setting `metrics` specifies the port and the path; without it there is no listener. Metrics are collected on
//! request.

mod exposition;
mod metric;
mod server;

pub use exposition::render;
pub use metric::{Metric, MetricKind, MetricSource};
pub use server::{MetricsEndpoint, serve, start};
