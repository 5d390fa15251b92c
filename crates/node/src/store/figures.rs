//! What a store tells of itself in figures.

use super::core::Core;
use crate::metrics::{Metric, MetricSource};

impl MetricSource for Core {
    fn metrics(&self) -> Vec<Metric> {
        let state = self.lock();
        let store = &state.store;
        let counts = store.statistics();
        vec![
            Metric::gauge("store_map_version", "The version of the map held", store.map_version()),
            Metric::gauge("partitions_led", "Partitions that this store leads", counts.partitions_led),
            Metric::gauge(
                "partitions_not_level",
                "Partitions led of which some replica is not level",
                counts.partitions_out_of_sync,
            ),
            Metric::gauge("records", "Records held", counts.records),
            Metric::gauge("record_bytes", "Bytes of the records held, roughly", counts.record_bytes),
            Metric::gauge("disk_bytes", "Bytes of all batches on disk", counts.disk_bytes),
            Metric::gauge(
                "reservations",
                "Turns that are reserved and not settled, of partitions led",
                counts.reservations,
            ),
            Metric::gauge(
                "writes_under_way",
                "Writes that some replica has not confirmed",
                counts.pending_writes,
            ),
            Metric::gauge(
                "questions_waiting",
                "Questions that wait for an answer",
                state.callers.len() as u64,
            ),
            Metric::gauge("disk_is_lost", "Whether the disk counts as lost", u64::from(state.suspended)),
            Metric::counters(
                "unavailable_answers",
                "Questions of relays that could not be decided, by reason",
                "reason",
                counts.unavailable_replies,
            ),
        ]
    }
}
