//! Counters of a relay, logged as one line when they have changed.

use std::sync::atomic::{AtomicU64, Ordering};

use slog::{KV, Logger, Record, Serializer, info};

use super::attempt_outcome::Rejection;
use crate::metrics::Figure;

/// How often counters are logged.
pub const LOG_INTERVAL: std::time::Duration = std::time::Duration::from_secs(10);

/// A number that only rises.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// One more.
    pub fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// The number.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// The counters.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Requests read.
    pub requests: Counter,
    /// Answers of endpoints passed on.
    pub answered: Counter,
    /// Tries beyond the first of a request.
    pub resends: Counter,
    /// Tries given up at their time-out.
    pub abandoned: Counter,
    /// Tries that endpoints declined.
    pub declined: Counter,
    /// Tries that broke.
    pub broken: Counter,
    /// Answers that were not passed on because they were not sound.
    pub unsound: Counter,
    /// Connections to endpoints opened.
    pub connections: Counter,
    /// Connections to endpoints that did not come up.
    pub connections_failed: Counter,
    /// Streams taken up at another endpoint.
    pub resumed: Counter,
    /// Streams broken off.
    pub broken_off: Counter,
    /// Refused: no route.
    pub no_route: Counter,
    /// Refused: budget spent, or turn unknown.
    pub turns_denied: Counter,
    /// Given up: too little time.
    pub too_late: Counter,
    /// Given up: no endpoint.
    pub no_endpoint: Counter,
    /// Given up: full.
    pub full: Counter,
    /// Given up: stores not reached.
    pub no_sessions: Counter,
    /// Given up: no room for connections or bodies.
    pub no_room: Counter,
    /// Given up: no configuration yet, or all keepers lost.
    pub out_of_touch: Counter,
    /// Given up: for other reasons.
    pub other: Counter,
}

impl Metrics {
    /// Counts a request that is given up.
    pub fn reject(&self, why: Rejection) {
        match why {
            Rejection::DeadlineTooClose => self.too_late.add(),
            Rejection::NoEndpoint => self.no_endpoint.add(),
            Rejection::Full => self.full.add(),
            Rejection::StoresUnreachable => self.no_sessions.add(),
            Rejection::NoCapacity => self.no_room.add(),
            Rejection::NotConfigured | Rejection::KeepersUnreachable => self.out_of_touch.add(),
            Rejection::RetriesExhausted | Rejection::Broken | Rejection::ShuttingDown => self.other.add(),
        }
    }

    /// All of them, by name.
    fn all(&self) -> [(&'static str, &'static str, &Counter); 20] {
        [
            ("requests", "Requests read", &self.requests),
            ("answered", "Answers of endpoints passed on", &self.answered),
            ("resends", "Tries beyond the first of a request", &self.resends),
            ("abandoned", "Tries given up at their time-out", &self.abandoned),
            ("declined", "Tries that endpoints declined", &self.declined),
            ("broken", "Tries that broke", &self.broken),
            ("unsound", "Answers that were not sound", &self.unsound),
            ("connections", "Connections to endpoints opened", &self.connections),
            ("connections_failed", "Connections that did not come up", &self.connections_failed),
            ("resumed", "Streams taken up at another endpoint", &self.resumed),
            ("broken_off", "Streams broken off", &self.broken_off),
            ("no_route", "Requests refused: no route", &self.no_route),
            ("turns_denied", "Turns refused: budget spent, or turn unknown", &self.turns_denied),
            ("too_late", "Requests given up: too little time", &self.too_late),
            ("no_endpoint", "Requests given up: no endpoint", &self.no_endpoint),
            ("full", "Requests given up: full", &self.full),
            ("no_sessions", "Requests given up: stores not reached", &self.no_sessions),
            ("no_room", "Requests given up: no room for connections or bodies", &self.no_room),
            ("out_of_touch", "Requests given up: keepers not reached", &self.out_of_touch),
            ("other", "Requests given up: for other reasons", &self.other),
        ]
    }

    /// The counters as figures.
    pub fn figures(&self) -> Vec<Figure> {
        self.all()
            .into_iter()
            .map(|(name, help, counter)| Figure::counter(name, help, counter.get()))
            .collect()
    }

    /// Logs the counters.
    pub fn log(&self, log: &Logger) {
        info!(log, "counters"; self);
    }
}

impl KV for Metrics {
    fn serialize(&self, _: &Record, serializer: &mut dyn Serializer) -> slog::Result {
        self.all().into_iter().try_for_each(|(name, _, counter)| serializer.emit_u64(name, counter.get()))
    }
}
