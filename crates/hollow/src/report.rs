//! What a load counted: JSON lines and a summary in text on standard output.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use hdrhistogram::Histogram;
use juniperwing_node::sync::lock;
use serde::Serialize;

/// The longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Counts and latencies of one kind of call. Shared by all participants.
pub struct Tally {
    name: &'static str,
    counts: Mutex<Counts>,
}

struct Counts {
    latencies: Histogram<u64>,
    failed: u64,
    bytes: u64,
}

/// A tally in figures.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Figures {
    /// What was counted.
    pub name: &'static str,
    /// Calls that succeeded.
    pub done: u64,
    /// Calls that failed or were not answered.
    pub failed: u64,
    /// Bytes counted with them.
    pub bytes: u64,
    /// The median latency in milliseconds.
    pub p50_ms: f64,
    /// 99 in 100 were faster, in milliseconds.
    pub p99_ms: f64,
    /// The longest, in milliseconds.
    pub longest_ms: f64,
}

impl Tally {
    /// An empty one.
    ///
    /// # Panics
    ///
    /// Never: the bounds of the histogram are constants that it takes.
    pub fn new(name: &'static str) -> Tally {
        let latencies = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("constant bounds are valid");
        Tally { name, counts: Mutex::new(Counts { latencies, failed: 0, bytes: 0 }) }
    }

    /// A call that succeeded.
    pub fn done(&self, took: Duration, bytes: usize) {
        let micros = u64::try_from(took.as_micros()).unwrap_or(MAX_LATENCY_US);
        let mut counts = self.lock();
        counts.latencies.saturating_record(micros.max(1));
        counts.bytes += bytes as u64;
    }

    /// A call that failed.
    pub fn failed(&self) {
        self.lock().failed += 1;
    }

    /// The figures so far.
    pub fn figures(&self) -> Figures {
        let counts = self.lock();
        let millis = |micros: u64| micros as f64 / 1_000.0;
        Figures {
            name: self.name,
            done: counts.latencies.len(),
            failed: counts.failed,
            bytes: counts.bytes,
            p50_ms: millis(counts.latencies.value_at_quantile(0.5)),
            p99_ms: millis(counts.latencies.value_at_quantile(0.99)),
            longest_ms: millis(counts.latencies.max()),
        }
    }

    /// Prints the figures as a line of JSON and a line of text.
    pub fn print(&self) {
        let figures = self.figures();
        if let Ok(line) = serde_json::to_string(&figures) {
            println!("{line}");
        }
        println!("{}", figures.summary());
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        lock(&self.counts)
    }
}

impl Figures {
    /// One line of text.
    pub fn summary(&self) -> String {
        format!(
            "{}: {} done, {} failed, {} bytes, {:.1} ms in the middle, {:.1} ms for 99 in 100, {:.1} ms at most",
            self.name, self.done, self.failed, self.bytes, self.p50_ms, self.p99_ms, self.longest_ms
        )
    }
}
