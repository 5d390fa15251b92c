//! The log of a process: one JSON object a line, written by a thread of its own.
//!
//! Logging puts a record into a bounded queue and does not wait for the output. A blocked output (a full pipe, a hanging
//! disk) therefore delays nothing: records that find the queue full are dropped, and their number is logged once the queue
//! has capacity again.

mod line_buffered;

use std::fmt;
use std::io::Write;
use std::sync::{Mutex, mpsc};
use std::thread;
use std::time::Duration;

use slog::{Drain, Level, Logger, OwnedKV, SendSyncRefUnwindSafeKV};
use slog_async::{Async, AsyncGuard, OverflowStrategy};

use crate::line_buffered::LineBuffered;

/// The most records that may wait to be written; more are dropped and counted.
const QUEUE_LENGTH: usize = 4_096;
/// The longest that writing the queued records may take when the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// A logger that writes to `output` the records from `level` upward, each with `values`; and the guard that flushes the
/// queued records at the end of the process.
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

/// Flushes the log and ends the thread that writes it.
#[must_use = "records that are still queued at the end of the process are lost without a flush"]
pub struct FlushGuard {
    writer: AsyncGuard,
}

impl FlushGuard {
    /// Waits until the records logged so far are written, for a bounded time, since the output may be blocked. Records
    /// logged afterwards are dropped.
    pub fn flush(self) {
        let (done, written) = mpsc::channel();
        thread::spawn(move || {
            // Joins the thread that writes.
            drop(self.writer);
            // After the timeout nobody receives this.
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
