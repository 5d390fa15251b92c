//! The metrics that a relay exposes.

use super::state::RelayState;
use crate::metrics::{Metric, MetricSource};

impl MetricSource for RelayState {
    fn metrics(&self) -> Vec<Metric> {
        let mut metrics = self.cluster_gauges();
        metrics.extend(self.load_gauges());
        metrics.extend(self.metrics.export());
        metrics
    }
}

impl RelayState {
    fn cluster_gauges(&self) -> Vec<Metric> {
        let snapshot = self.cluster.snapshot();
        let generation = snapshot.configuration.as_ref().map_or(0, |active| active.generation);
        let flag = u64::from;
        vec![
            Metric::gauge("is_ready", "Whether connections of clients are wanted", flag(self.is_ready())),
            Metric::gauge("is_stopping", "Whether an end is near", flag(self.shutdown.is_started())),
            Metric::gauge(
                "is_out_of_touch",
                "Whether all subscriptions to keepers are lost",
                flag(self.cluster.is_disconnected()),
            ),
            Metric::gauge(
                "configuration_generation",
                "The operator's number of the configuration in force",
                generation,
            ),
            Metric::gauge("store_map_version", "The version of the store map held", snapshot.stores.version),
        ]
    }

    fn load_gauges(&self) -> Vec<Metric> {
        let count = |number: usize| number as u64;
        vec![
            Metric::gauge("client_connections", "Connections of clients", count(self.connections.count())),
            Metric::gauge(
                "open_requests",
                "Requests that have no whole answer yet",
                count(self.connections.open_requests()),
            ),
            Metric::gauge("slots_taken", "Slots taken at endpoints", count(self.dispatcher.occupied_slots())),
            Metric::gauge(
                "longest_median_ms",
                "The longest fitted median latency of any destination, in milliseconds",
                self.dispatcher.longest_median().as_millis(),
            ),
            Metric::gauge("body_bytes", "Bytes of bodies held", count(self.memory.reserved_bytes())),
            Metric::gauge(
                "settling",
                "Turns being settled that nobody waits for",
                count(self.sessions.background_commits()),
            ),
            Metric::counter(
                "settlements_lost",
                "Turns that could not be settled: they count at their most",
                self.sessions.failed_commits(),
            ),
            Metric::counter(
                "renewals_failed",
                "Renewals of leases of long turns that the stores did not confirm in time",
                self.sessions.failed_renewals(),
            ),
        ]
    }
}
