//! The two stages of a relay's shutdown.

use std::sync::atomic::{AtomicBool, Ordering};

use crate::sync::watch;

/// The stage of a relay's shutdown. It only advances.
#[derive(Debug, Default)]
pub struct Shutdown {
    is_started: AtomicBool,
    is_terminating: watch::Sender<bool>,
}

impl Shutdown {
    /// Starts the graceful shutdown: the relay is not ready any more, and responses close their connections.
    pub fn start(&self) {
        self.is_started.store(true, Ordering::Relaxed);
    }

    /// Whether the graceful shutdown has started.
    pub fn is_started(&self) -> bool {
        self.is_started.load(Ordering::Relaxed)
    }

    /// Ends the graceful shutdown: requests that are still open are answered at once.
    pub fn terminate(&self) {
        self.is_terminating.send_replace(true);
    }

    /// Waits until the graceful shutdown is over.
    pub async fn terminating(&self) {
        // The sender lives as long as this does.
        let _ = self.is_terminating.subscribe().wait_for(|is_terminating| *is_terminating).await;
    }
}
