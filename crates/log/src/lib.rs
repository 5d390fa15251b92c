//! The log of a process: one JSON object a line, written by a thread of its own.
//!
//! Who logs hands a record to a bounded queue and goes on. A reader of the log that stands still (a full pipe, a hanging
//! disk) therefore holds nothing up: records that find the queue full are dropped, and their number is logged once there
//! is room.

mod line_buffered;

use std::fmt;
use std::io::Write;
use std::sync::{Mutex, mpsc};
use std::thread;
use std::time::Duration;

use slog::{Drain, Level, Logger, OwnedKV, SendSyncRefUnwindSafeKV};
use slog_async::{Async, AsyncGuard, OverflowStrategy};

use crate::line_buffered::LineBuffered;

/// Records that may wait to be written; more are dropped and counted.
const QUEUE_LENGTH: usize = 4_096;
/// How long the records still queued may take when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// A logger that writes to `output` the records from `level` upward, each with `values`; and the guard that flushes what
/// is still queued at the end of the process.
pub fn background<W, V>(output: W, level: Level, values: OwnedKV<V>) -> (Logger, FlushGuard)
where
    W: Write + Send + 'static,
    V: SendSyncRefUnwindSafeKV + 'static,
{
    let lines = slog_json::Json::new(LineBuffered::new(output)).add_default_keys().build();
    let (queue, writer) = Async::new(Mutex::new(lines).ignore_res())
        .chan_size(QUEUE_LENGTH)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .thread_name("log".to_owned())
        .build_with_guard();
    let logger = Logger::root(queue.filter_level(level).ignore_res(), values);
    (logger, FlushGuard { writer })
}

/// Ends the thread that writes the log.
#[must_use = "records that are still queued at the end of the process are lost without a flush"]
pub struct FlushGuard {
    writer: AsyncGuard,
}

impl FlushGuard {
    /// Waits until the records logged so far are written, for a bounded time: perhaps nobody reads them. Records logged
    /// afterwards are dropped.
    pub fn flush(self) {
        let (done, written) = mpsc::channel();
        thread::spawn(move || {
            // Joins the thread that writes.
            drop(self.writer);
            // Nobody waits any more if this took too long.
            let _ = done.send(());
        });
        let _ = written.recv_timeout(FLUSH_TIMEOUT);
    }
}

impl fmt::Debug for FlushGuard {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("FlushGuard").finish_non_exhaustive()
    }
}
