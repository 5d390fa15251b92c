//! Metrics and their sources.

use std::fmt;

use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;

/// The kind of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// A value that only increases while the process runs; its exposed name has the suffix `_total`.
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
    /// Creates a counter.
    pub fn counter(name: &'static str, help: &'static str, value: u64) -> Metric {
        Metric { name, help, kind: MetricKind::Counter, values: MetricValues::One(value) }
    }

    /// Creates a gauge.
    pub fn gauge(name: &'static str, help: &'static str, value: u64) -> Metric {
        Metric { name, help, kind: MetricKind::Gauge, values: MetricValues::One(value) }
    }

    /// Creates a family of counters, one per value of a label.
    pub fn counters(
        name: &'static str, help: &'static str, label: &'static str, values: Vec<(&'static str, u64)>,
    ) -> Metric {
        Metric { name, help, kind: MetricKind::Counter, values: MetricValues::ByLabel { label, values } }
    }

    pub(super) fn encode(&self, encoder: &mut DescriptorEncoder) -> Result<(), fmt::Error> {
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
    /// The current metrics.
    fn metrics(&self) -> Vec<Metric>;
}
