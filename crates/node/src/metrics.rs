//! Metrics of a process in the text format of OpenMetrics, served on a listener of their own.
//!
//! The setting `metrics` names the port and the path; without it nothing listens. Metrics are collected when they are
//! requested.

mod server;

pub use server::{MetricsEndpoint, serve, start};

use std::fmt;
use std::sync::Arc;

use juniperwing_invariants::{Invariant, violations};
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric, text};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;

use crate::log::panic_count;

/// Prefix of all metric names.
const PREFIX: &str = "juniperwing";

/// The kind of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// A value that only increases while the process runs; its name is written with the suffix `_total`.
    Counter,
    /// A value that may increase and decrease.
    Gauge,
}

/// A metric with a single value, or one value per label value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Metric {
    name: &'static str,
    help: &'static str,
    kind: MetricKind,
    values: MetricValues,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum MetricValues {
    One(u64),
    ByLabel { label: &'static str, values: Vec<(&'static str, u64)> },
}

impl Metric {
    /// A counter.
    pub fn counter(name: &'static str, help: &'static str, value: u64) -> Metric {
        Metric { name, help, kind: MetricKind::Counter, values: MetricValues::One(value) }
    }

    /// A gauge.
    pub fn gauge(name: &'static str, help: &'static str, value: u64) -> Metric {
        Metric { name, help, kind: MetricKind::Gauge, values: MetricValues::One(value) }
    }

    /// A counter per value of a label.
    pub fn counters(
        name: &'static str, help: &'static str, label: &'static str, values: Vec<(&'static str, u64)>,
    ) -> Metric {
        Metric { name, help, kind: MetricKind::Counter, values: MetricValues::ByLabel { label, values } }
    }

    fn encode(&self, encoder: &mut DescriptorEncoder) -> Result<(), fmt::Error> {
        let metric_type = match self.kind {
            MetricKind::Counter => MetricType::Counter,
            MetricKind::Gauge => MetricType::Gauge,
        };
        let mut family = encoder.encode_descriptor(self.name, self.help, None, metric_type)?;
        match &self.values {
            MetricValues::One(value) => self.encodable(*value).encode(family),
            MetricValues::ByLabel { label, values } => {
                for (name, value) in values {
                    self.encodable(*value).encode(family.encode_family(&[(*label, *name)])?)?;
                }
                Ok(())
            }
        }
    }

    fn encodable(&self, value: u64) -> Box<dyn EncodeMetric> {
        match self.kind {
            MetricKind::Counter => Box::new(ConstCounter::new(value)),
            MetricKind::Gauge => Box::new(ConstGauge::new(i64::try_from(value).unwrap_or(i64::MAX))),
        }
    }
}

/// A source of metrics.
pub trait MetricSource: Send + Sync + 'static {
    /// The present metrics.
    fn metrics(&self) -> Vec<Metric>;
}

/// Adapter of a source to the library that encodes the format.
struct SourceCollector(Arc<dyn MetricSource>);

impl fmt::Debug for SourceCollector {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SourceCollector")
    }
}

impl Collector for SourceCollector {
    fn encode(&self, mut encoder: DescriptorEncoder) -> Result<(), fmt::Error> {
        let metrics = self.0.metrics().into_iter().chain(process_metrics());
        for metric in metrics {
            metric.encode(&mut encoder)?;
        }
        Ok(())
    }
}

/// Metrics that every role exposes.
fn process_metrics() -> [Metric; 2] {
    let by_invariant = Invariant::ALL.map(|invariant| (invariant.name(), violations(invariant)));
    [
        Metric::counters(
            "invariant_violations",
            "Conditions that must always hold and did not",
            "invariant",
            by_invariant.to_vec(),
        ),
        Metric::counter("panics", "Panics in any task", panic_count()),
    ]
}

/// Renders all metrics as text.
pub fn render(source: &Arc<dyn MetricSource>) -> String {
    let mut registry = Registry::with_prefix(PREFIX);
    registry.register_collector(Box::new(SourceCollector(Arc::clone(source))));
    let mut text = String::new();
    // Writing to a string fails only if a metric cannot be encoded; the text then ends there.
    let _ = text::encode(&mut text, &registry);
    text
}
