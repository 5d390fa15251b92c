//! The role of a relay.

use std::io;

use slog::info;

use crate::command::Process;
use crate::signals::Wish;

/// Runs until the platform ends the process.
///
/// # Errors
///
/// If a listener or the disk cannot be used.
pub async fn run(mut process: Process) -> io::Result<()> {
    info!(process.log, "starting");
    while process.signals.next().await != Wish::Stop {}
    Ok(())
}
