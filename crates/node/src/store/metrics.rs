//! The metrics of a store. Names, labels and help texts are kept stable across releases.

use juniperwing_sessions::StoreStatistics;

use super::driver::StoreDriver;
use crate::metrics::{Metric, MetricSource};

impl MetricSource for StoreDriver {
    fn metrics(&self) -> Vec<Metric> {
        let state = self.lock();
        let statistics = state.store.statistics();
        let mut metrics = vec![Metric::gauge(
            "store_map_version",
            "The version of the map held",
            state.store.map_version(),
        )];
        metrics.extend(partition_metrics(&statistics));
        metrics.extend(record_metrics(&statistics));
        metrics.extend(turn_metrics(&statistics));
        metrics.extend([
            Metric::gauge(
                "questions_waiting",
                "Questions that wait for an answer",
                state.callers.len() as u64,
            ),
            Metric::gauge(
                "disk_is_lost",
                "Whether the disk counts as lost",
                u64::from(state.disk_health.is_lost()),
            ),
            Metric::counters(
                "unavailable_answers",
                "Questions of relays that could not be decided, by reason",
                "reason",
                statistics.unavailable_replies,
            ),
        ]);
        metrics
    }
}

fn partition_metrics(statistics: &StoreStatistics) -> [Metric; 2] {
    [
        Metric::gauge("partitions_led", "Partitions that this store leads", statistics.partitions_led),
        Metric::gauge(
            "partitions_not_level",
            "Partitions led of which some replica is not level",
            statistics.partitions_out_of_sync,
        ),
    ]
}

fn turn_metrics(statistics: &StoreStatistics) -> [Metric; 3] {
    [
        Metric::counter(
            "programs_expired",
            "Programs dropped after their retention",
            statistics.expired_programs,
        ),
        Metric::counter(
            "reservations_expired",
            "Turns reserved and never settled that were dropped with their programs",
            statistics.expired_reservations,
        ),
        Metric::counter(
            "turns_without_previous",
            "Turns to be stored whose previous turn is no longer stored, of partitions led",
            statistics.turns_without_previous,
        ),
    ]
}

fn record_metrics(statistics: &StoreStatistics) -> [Metric; 6] {
    [
        Metric::gauge("records", "Records held", statistics.records),
        Metric::gauge("record_bytes", "Bytes of the records held, roughly", statistics.record_bytes),
        Metric::gauge(
            "output_bytes",
            "Bytes of output held for clients that resume a stream, roughly",
            statistics.output_log_bytes,
        ),
        Metric::gauge("disk_bytes", "Bytes of all batches on disk", statistics.disk_bytes),
        Metric::gauge(
            "reservations",
            "Turns that are reserved and not settled, of partitions led",
            statistics.reservations,
        ),
        Metric::gauge(
            "writes_under_way",
            "Writes that some replica has not confirmed",
            statistics.pending_writes,
        ),
    ]
}
