//! Counters of a relay, logged as one line when they have changed.

use std::sync::atomic::{AtomicU64, Ordering};

use slog::{Logger, info};

use super::fate::GivenUp;

/// How often counters are logged.
pub const LOG_EVERY: std::time::Duration = std::time::Duration::from_secs(10);

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
    /// Given up: for other reasons.
    pub other: Counter,
}

impl Metrics {
    /// Counts a request that is given up.
    pub fn given_up(&self, why: GivenUp) {
        match why {
            GivenUp::TooLate => self.too_late.add(),
            GivenUp::NoEndpoint => self.no_endpoint.add(),
            GivenUp::Full => self.full.add(),
            GivenUp::NoSessions => self.no_sessions.add(),
            GivenUp::NoTriesLeft
            | GivenUp::Broken
            | GivenUp::NotConfigured
            | GivenUp::OutOfTouch
            | GivenUp::NoRoom => self.other.add(),
        }
    }

    /// Logs the counters.
    pub fn log(&self, log: &Logger) {
        info!(log, "counters";
            "requests" => self.requests.get(), "answered" => self.answered.get(),
            "resends" => self.resends.get(), "abandoned" => self.abandoned.get(),
            "declined" => self.declined.get(), "broken" => self.broken.get(),
            "unsound" => self.unsound.get(), "connections" => self.connections.get(),
            "connections_failed" => self.connections_failed.get(), "resumed" => self.resumed.get(),
            "broken_off" => self.broken_off.get(), "no_route" => self.no_route.get(),
            "turns_denied" => self.turns_denied.get(), "too_late" => self.too_late.get(),
            "no_endpoint" => self.no_endpoint.get(), "full" => self.full.get(),
            "no_sessions" => self.no_sessions.get(), "other" => self.other.get());
    }
}
