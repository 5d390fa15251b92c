//! Signals of the platform.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that a process heeds, caught from the moment this is made.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

/// What the platform wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownOrReload {
    /// End, after what is under way (SIGTERM, SIGINT).
    Shutdown,
    /// Read the settings again (SIGHUP).
    Reload,
}

impl Signals {
    /// Begins to catch signals.
    ///
    /// # Errors
    ///
    /// If the system refuses.
    pub fn new() -> io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits until the end is wanted. Nothing is read again meanwhile.
    pub async fn wait_for_shutdown(&mut self) {
        while self.next().await != ShutdownOrReload::Shutdown {}
    }

    /// Waits for the next one.
    pub async fn next(&mut self) -> ShutdownOrReload {
        tokio::select! {
            _ = self.terminate.recv() => ShutdownOrReload::Shutdown,
            _ = self.interrupt.recv() => ShutdownOrReload::Shutdown,
            _ = self.hangup.recv() => ShutdownOrReload::Reload,
        }
    }
}
