//! The metrics of a keeper.

use std::sync::atomic::{AtomicU64, Ordering};

use super::controller::{Controller, State};
use crate::metrics::{Metric, MetricSource};

/// Counters of replies to operators, by status.
#[derive(Debug, Default)]
pub(super) struct OrderReplyCounters {
    accepted: AtomicU64,
    rejected: AtomicU64,
    unavailable: AtomicU64,
}

impl OrderReplyCounters {
    /// Counts a reply.
    pub(super) fn count(&self, status: u16) {
        let counter = match status {
            200..300 => &self.accepted,
            400..500 => &self.rejected,
            _ => &self.unavailable,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    fn metric(&self) -> Metric {
        let values =
            [("accepted", &self.accepted), ("refused", &self.rejected), ("unclear", &self.unavailable)];
        let values = values.map(|(name, counter)| (name, counter.load(Ordering::Relaxed)));
        Metric::counters("order_answers", "Answers to operators", "answer", values.to_vec())
    }
}

impl MetricSource for Controller {
    fn metrics(&self) -> Vec<Metric> {
        let state = self.lock();
        let mut metrics = self.replication_metrics(&state);
        metrics.extend(committed_metrics(&state));
        metrics.extend(registry_metrics(&state));
        metrics.push(self.order_replies.metric());
        metrics
    }
}

impl Controller {
    fn replication_metrics(&self, state: &State) -> Vec<Metric> {
        let replica = &state.consensus.replica;
        let as_gauge = u64::from;
        vec![
            Metric::gauge("epoch", "The highest epoch known", replica.epoch().number.0),
            Metric::gauge("is_primary", "Whether this keeper is primary", as_gauge(replica.is_primary())),
            Metric::gauge("is_voter", "Whether this keeper is a voter", as_gauge(self.is_voter(state))),
            Metric::gauge(
                "is_in_contact",
                "Whether a majority has answered a short while ago",
                as_gauge(self.has_majority_contact(state)),
            ),
            Metric::gauge("voters", "Voters of the highest epoch", replica.epoch().voters.len() as u64),
            Metric::gauge(
                "in_sync_replicas",
                "In-sync replicas of the highest epoch",
                replica.epoch().in_sync.len() as u64,
            ),
        ]
    }
}

fn committed_metrics(state: &State) -> [Metric; 3] {
    let committed = state.consensus.committed().map(|committed| &committed.state);
    let configuration = committed.map_or(0, |state| state.configuration_version().sequence);
    let store_map = committed.map(|state| &state.store_map);
    let version = store_map.map_or(0, |map| map.version);
    let min_in_sync = store_map.map_or(0, |map| map.min_in_sync_replicas());
    [
        Metric::gauge("configuration_sequence", "The number of the committed configuration", configuration),
        Metric::gauge("store_map_version", "The version of the committed store map", version),
        Metric::gauge(
            "min_in_sync_stores",
            "In-sync stores of the partition that has the fewest",
            min_in_sync as u64,
        ),
    ]
}

fn registry_metrics(state: &State) -> [Metric; 3] {
    [
        Metric::gauge("subscriptions", "Relays and stores subscribed", state.subscribers.count() as u64),
        Metric::gauge(
            "instances",
            "Endpoints known, those that are gone included",
            state.registry.instances().count() as u64,
        ),
        Metric::gauge(
            "partitions_without_copy",
            "Partitions of which no copy is left",
            state.unrecoverable_partitions as u64,
        ),
    ]
}
