//! What a relay publishes at its metrics endpoint.

use super::state::RelayState;
use crate::metrics::{Figure, FigureSource};

impl FigureSource for RelayState {
    fn figures(&self) -> Vec<Figure> {
        let mut figures = self.cluster_gauges();
        figures.extend(self.load_gauges());
        figures.extend(self.metrics.figures());
        figures
    }
}

impl RelayState {
    fn cluster_gauges(&self) -> Vec<Figure> {
        let snapshot = self.cluster.snapshot();
        let generation = snapshot.configuration.as_ref().map_or(0, |active| active.generation);
        let flag = u64::from;
        vec![
            Figure::gauge("is_ready", "Whether connections of clients are wanted", flag(self.is_ready())),
            Figure::gauge("is_stopping", "Whether an end is near", flag(self.shutdown.is_started())),
            Figure::gauge(
                "is_out_of_touch",
                "Whether all subscriptions to keepers are lost",
                flag(self.cluster.is_disconnected()),
            ),
            Figure::gauge(
                "configuration_generation",
                "The operator's number of the configuration in force",
                generation,
            ),
            Figure::gauge("store_map_version", "The version of the store map held", snapshot.stores.version),
        ]
    }

    fn load_gauges(&self) -> Vec<Figure> {
        let count = |number: usize| number as u64;
        vec![
            Figure::gauge("client_connections", "Connections of clients", count(self.connections.count())),
            Figure::gauge(
                "open_requests",
                "Requests that have no whole answer yet",
                count(self.connections.open_requests()),
            ),
            Figure::gauge("slots_taken", "Slots taken at endpoints", count(self.dispatcher.occupied_slots())),
            Figure::gauge("body_bytes", "Bytes of bodies held", count(self.memory.reserved_bytes())),
            Figure::gauge(
                "settling",
                "Turns being settled that nobody waits for",
                count(self.sessions.background_commits()),
            ),
            Figure::counter(
                "settlements_lost",
                "Turns that could not be settled: they count at their most",
                self.sessions.lost_commits(),
            ),
        ]
    }
}
