//! The log of a process: one JSON object per line, written by a background thread.
//!
//! Logging adds a record to a bounded queue and does not wait for the output, so a blocked output (a full pipe, a hanging
//! disk) does not delay the process. While the queue is full, records are dropped, and their number is logged once the
//! queue has capacity again.

mod line_buffered;

use std::fmt;
use std::io::Write;
use std::sync::{Mutex, mpsc};
use std::thread;
use std::time::Duration;

use slog::{Drain, Level, Logger, OwnedKV, SendSyncRefUnwindSafeKV};
use slog_async::{Async, AsyncGuard, OverflowStrategy};

use crate::line_buffered::LineBuffered;

/// The maximum number of records that wait to be written; more are dropped and counted.
const QUEUE_LENGTH: usize = 4_096;
/// The maximum time for writing the queued records when the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Creates a logger that writes records of at least `level` to `output`, each with `values`, and the guard that flushes the
/// queued records when the process exits.
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

/// Flushes the log and stops the thread that writes it.
#[must_use = "records that are still queued at the end of the process are lost without a flush"]
pub struct FlushGuard {
    writer: AsyncGuard,
}

impl FlushGuard {
    /// Waits until the records logged so far are written, or until a timeout, since the output may be blocked. Records
    /// logged afterwards are dropped.
    pub fn flush(self) {
        let (done, written) = mpsc::channel();
        thread::spawn(move || {
            // Joins the writing thread.
            drop(self.writer);
            // The receiver is gone after the timeout.
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
