//! The counters of a relay.

use std::sync::atomic::{AtomicU64, Ordering};

use slog::{KV, Logger, Record, Serializer, info};

use super::rejection::Rejection;
use crate::metrics::Metric;

/// A counter that only increases.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds one.
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// The current value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// The counters of a relay. [`Metrics::entries`] maps them to their names in metrics and logs.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Requests whose head was read.
    pub requests: Counter,
    /// Responses of endpoints that were forwarded.
    pub forwarded: Counter,
    /// Attempts beyond the first of a request.
    pub retries: Counter,
    /// Attempts abandoned at their timeout.
    pub timed_out: Counter,
    /// Attempts that endpoints declined, or that reached another instance.
    pub declined: Counter,
    /// Attempts whose connection broke or whose response was a server error.
    pub failed: Counter,
    /// Responses that were not forwarded because they were invalid.
    pub invalid_responses: Counter,
    /// Attempts to connect to endpoints.
    pub connects: Counter,
    /// Connections to endpoints that could not be established.
    pub connect_failures: Counter,
    /// Streams resumed at another endpoint.
    pub resumed_streams: Counter,
    /// Turns of which an endpoint generates again what the client has, because the stores do not know it.
    pub regenerated_turns: Counter,
    /// Streams that were aborted.
    pub aborted_streams: Counter,
    /// Requests refused because no route matched.
    pub no_route: Counter,
    /// Turns refused because the budget is exhausted or the previous turn is unknown.
    pub refused_turns: Counter,
    /// Requests rejected because too little time was left.
    pub deadline_too_close: Counter,
    /// Requests rejected because no endpoint was ready.
    pub no_endpoint: Counter,
    /// Requests rejected because the endpoints were full and the queue was full or too slow.
    pub overloaded: Counter,
    /// Requests rejected because the stores were unreachable.
    pub stores_unreachable: Counter,
    /// Requests rejected for lack of connections or memory.
    pub no_capacity: Counter,
    /// Requests rejected because there was no configuration, or all keepers were unreachable.
    pub keepers_unreachable: Counter,
    /// Requests rejected for other reasons.
    pub other_rejections: Counter,
}

impl Metrics {
    /// Counts a rejected request.
    pub fn count_rejection(&self, rejection: Rejection) {
        match rejection {
            Rejection::DeadlineTooClose => self.deadline_too_close.increment(),
            Rejection::NoEndpoint => self.no_endpoint.increment(),
            Rejection::Overloaded => self.overloaded.increment(),
            Rejection::StoresUnreachable => self.stores_unreachable.increment(),
            Rejection::NoCapacity => self.no_capacity.increment(),
            Rejection::NotConfigured | Rejection::KeepersUnreachable => self.keepers_unreachable.increment(),
            Rejection::RetriesExhausted | Rejection::ConnectionBroken | Rejection::ShuttingDown => {
                self.other_rejections.increment();
            }
        }
    }

    /// All counters, each with its name in metrics and logs and its help text.
    fn entries(&self) -> [(&'static str, &'static str, &Counter); 21] {
        [
            ("requests", "Requests read", &self.requests),
            ("answered", "Answers of endpoints passed on", &self.forwarded),
            ("resends", "Tries beyond the first of a request", &self.retries),
            ("abandoned", "Tries given up at their time-out", &self.timed_out),
            ("declined", "Tries that endpoints declined", &self.declined),
            ("broken", "Tries that broke", &self.failed),
            ("unsound", "Answers that were not sound", &self.invalid_responses),
            ("connections", "Connections to endpoints opened", &self.connects),
            ("connections_failed", "Connections that did not come up", &self.connect_failures),
            ("resumed", "Streams taken up at another endpoint", &self.resumed_streams),
            (
                "regenerated",
                "Turns of which events that the client has are generated again",
                &self.regenerated_turns,
            ),
            ("broken_off", "Streams broken off", &self.aborted_streams),
            ("no_route", "Requests refused: no route", &self.no_route),
            ("turns_denied", "Turns refused: budget spent, or turn unknown", &self.refused_turns),
            ("too_late", "Requests given up: too little time", &self.deadline_too_close),
            ("no_endpoint", "Requests given up: no endpoint", &self.no_endpoint),
            ("full", "Requests given up: full", &self.overloaded),
            ("no_sessions", "Requests given up: stores not reached", &self.stores_unreachable),
            ("no_room", "Requests given up: no room for connections or bodies", &self.no_capacity),
            ("out_of_touch", "Requests given up: keepers not reached", &self.keepers_unreachable),
            ("other", "Requests given up: for other reasons", &self.other_rejections),
        ]
    }

    /// The counters for the metrics endpoint.
    pub fn export(&self) -> Vec<Metric> {
        self.entries()
            .into_iter()
            .map(|(name, help, counter)| Metric::counter(name, help, counter.get()))
            .collect()
    }

    /// Logs the counters.
    pub fn log(&self, log: &Logger) {
        info!(log, "counters"; self);
    }
}

impl KV for Metrics {
    fn serialize(&self, _: &Record, serializer: &mut dyn Serializer) -> slog::Result {
        let mut entries = self.entries().into_iter();
        entries.try_for_each(|(name, _, counter)| serializer.emit_u64(name, counter.get()))
    }
}
