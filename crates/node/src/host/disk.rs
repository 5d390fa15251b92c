//! Execution of blocking disk operations off the thread of the process.

use std::time::Duration;

use slog::{Logger, warn};
use tokio::task::JoinError;
use tokio::time::Instant;

use super::simulation::simulated_host;

/// Disk writes that take at least this long are logged.
const SLOW_WRITE_THRESHOLD: Duration = Duration::from_millis(300);

/// Runs a disk write without blocking the process. Slow writes are logged, since their callers may have timed out.
///
/// # Errors
///
/// If `work` panicked.
pub(crate) async fn run_disk_write<T: Send + 'static>(
    log: &Logger, work: impl FnOnce() -> T + Send + 'static,
) -> Result<T, JoinError> {
    let started_at = Instant::now();
    let result = run_disk_work(work).await;
    let elapsed = started_at.elapsed();
    if elapsed >= SLOW_WRITE_THRESHOLD {
        warn!(log, "disk write slow"; "duration_ms" => elapsed.as_millis() as u64);
    }
    result
}

/// Runs blocking disk operations without blocking the process.
///
/// # Errors
///
/// If `work` panicked.
pub(crate) async fn run_disk_work<T: Send + 'static>(
    work: impl FnOnce() -> T + Send + 'static,
) -> Result<T, JoinError> {
    let Some(host) = simulated_host() else { return tokio::task::spawn_blocking(work).await };
    if host.uses_disk_thread() {
        let disk = host.disk();
        let simulated_work = move || {
            let _guard = juniperwing_storage::file_system::simulate(disk);
            work()
        };
        return tokio::task::spawn_blocking(simulated_work).await;
    }
    let result = work();
    tokio::time::sleep(host.take_disk_time()).await;
    Ok(result)
}
