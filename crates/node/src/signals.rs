//! Process signals: shutdown and reload.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Receiver of SIGTERM, SIGINT and SIGHUP. The signals are handled from its creation on.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

/// The request that a signal represents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalRequest {
    /// Shut down gracefully (SIGTERM, SIGINT).
    Shutdown,
    /// Reload the settings (SIGHUP).
    Reload,
}

impl Signals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// If the operating system refuses.
    pub fn new() -> io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for a shutdown signal; reload signals are ignored meanwhile.
    pub async fn wait_for_shutdown(&mut self) {
        while self.next().await != SignalRequest::Shutdown {}
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> SignalRequest {
        tokio::select! {
            biased;
            _ = self.terminate.recv() => SignalRequest::Shutdown,
            _ = self.interrupt.recv() => SignalRequest::Shutdown,
            _ = self.hangup.recv() => SignalRequest::Reload,
        }
    }
}
