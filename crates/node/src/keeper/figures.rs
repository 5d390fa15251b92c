//! What a keeper tells of itself in figures.

use std::sync::atomic::{AtomicU64, Ordering};

use super::Keeper;
use crate::metrics::{Figure, FigureSource};

/// Answers to orders and questions of operators, by what their status says.
#[derive(Debug, Default)]
pub(super) struct OrderAnswers {
    accepted: AtomicU64,
    refused: AtomicU64,
    unclear: AtomicU64,
}

impl OrderAnswers {
    /// Counts an answer.
    pub(super) fn count(&self, status: u16) {
        let counter = match status {
            200..300 => &self.accepted,
            400..500 => &self.refused,
            _ => &self.unclear,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    fn figure(&self) -> Figure {
        let values = [("accepted", &self.accepted), ("refused", &self.refused), ("unclear", &self.unclear)];
        let values = values.map(|(name, counter)| (name, counter.load(Ordering::Relaxed)));
        Figure::counters("order_answers", "Answers to operators", "answer", values.to_vec())
    }
}

impl FigureSource for Keeper {
    fn figures(&self) -> Vec<Figure> {
        let state = self.lock();
        let replica = &state.consensus.replica;
        let committed = state.consensus.committed();
        let configuration = committed.map(|held| held.state.configuration_version().sequence);
        let flag = u64::from;
        vec![
            Figure::gauge("epoch", "The highest epoch known", replica.epoch().number.0),
            Figure::gauge("is_primary", "Whether this keeper is primary", flag(replica.is_primary())),
            Figure::gauge("is_voter", "Whether this keeper is a voter", flag(self.is_voter(&state))),
            Figure::gauge(
                "is_in_contact",
                "Whether a majority has answered a short while ago",
                flag(self.is_in_contact(&state)),
            ),
            Figure::gauge("voters", "Voters of the highest epoch", replica.epoch().voters.len() as u64),
            Figure::gauge(
                "in_sync_replicas",
                "In-sync replicas of the highest epoch",
                replica.epoch().in_sync.len() as u64,
            ),
            Figure::gauge(
                "configuration_sequence",
                "The number of the committed configuration",
                configuration.unwrap_or_default(),
            ),
            Figure::gauge(
                "store_map_version",
                "The version of the committed store map",
                committed.map_or(0, |held| held.state.store_map.version),
            ),
            Figure::gauge("subscriptions", "Relays and stores subscribed", state.subscribers.count() as u64),
            Figure::gauge(
                "instances",
                "Endpoints known, those that are gone included",
                state.registry.instances().count() as u64,
            ),
            Figure::gauge(
                "partitions_without_copy",
                "Partitions of which no copy is left",
                state.unrecoverable as u64,
            ),
            self.order_answers.figure(),
        ]
    }
}
