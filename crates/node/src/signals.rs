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
pub enum Wish {
    /// End, after what is under way (SIGTERM, SIGINT).
    Stop,
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
    pub async fn stop(&mut self) {
        while self.next().await != Wish::Stop {}
    }

    /// Waits for the next one.
    pub async fn next(&mut self) -> Wish {
        tokio::select! {
            _ = self.terminate.recv() => Wish::Stop,
            _ = self.interrupt.recv() => Wish::Stop,
            _ = self.hangup.recv() => Wish::Reload,
        }
    }
}
