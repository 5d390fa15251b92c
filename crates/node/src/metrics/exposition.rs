//! Rendering of metrics in the text format of `OpenMetrics`.

use std::fmt;
use std::sync::Arc;

use juniperwing_invariants::{Invariant, violations};
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, text};
use prometheus_client::metrics::info::Info;
use prometheus_client::registry::Registry;

use super::metric::{Metric, MetricSource};
use crate::build_info;
use crate::log::panic_count;

/// Prefix of all metric names.
const PREFIX: &str = "juniperwing";

/// Adapts a source to the library that encodes the format.
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
    registry.register("build", "The build of the program", Info::new(build_info::CURRENT.labels()));
    registry.register_collector(Box::new(SourceCollector(Arc::clone(source))));
    let mut text = String::new();
    // Fails only if a metric cannot be encoded; the text is then truncated.
    let _ = text::encode(&mut text, &registry);
    text
}
