//! What a relay tells of itself in figures.

use std::sync::atomic::Ordering;

use super::RelayState;
use crate::metrics::{Figure, FigureSource};

impl FigureSource for RelayState {
    fn figures(&self) -> Vec<Figure> {
        let snapshot = self.world.snapshot();
        let active = snapshot.configuration.as_ref();
        let flag = u64::from;
        let mut figures = vec![
            Figure::gauge("is_ready", "Whether connections of clients are wanted", flag(self.is_ready())),
            Figure::gauge(
                "is_stopping",
                "Whether an end is near",
                flag(self.stopping.load(Ordering::Relaxed)),
            ),
            Figure::gauge(
                "is_out_of_touch",
                "Whether all subscriptions to keepers are lost",
                flag(self.world.is_out_of_touch()),
            ),
            Figure::gauge(
                "configuration_generation",
                "The operator's number of the configuration in force",
                active.map_or(0, |active| active.generation),
            ),
            Figure::gauge("store_map_version", "The version of the store map held", snapshot.stores.version),
            Figure::gauge("client_connections", "Connections of clients", self.connections.count() as u64),
            Figure::gauge(
                "open_requests",
                "Requests that have no whole answer yet",
                self.connections.busy() as u64,
            ),
            Figure::gauge("slots_taken", "Slots taken at endpoints", self.dispatcher.taken() as u64),
            Figure::gauge("body_bytes", "Bytes of bodies held", self.memory.held() as u64),
            Figure::gauge(
                "settling",
                "Turns being settled that nobody waits for",
                self.sessions.settling() as u64,
            ),
            Figure::counter(
                "settlements_lost",
                "Turns that could not be settled: they count at their most",
                self.sessions.settlements_lost(),
            ),
        ];
        figures.extend(self.metrics.figures());
        figures
    }
}
