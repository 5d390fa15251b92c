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
    /// Starts the graceful shutdown: the relay reports that it is not ready, and responses close their connections.
    pub fn start(&self) {
        self.is_started.store(true, Ordering::Relaxed);
    }

    /// Whether the graceful shutdown has started.
    pub fn is_started(&self) -> bool {
        self.is_started.load(Ordering::Relaxed)
    }

    /// Ends the graceful shutdown: requests that are still open get an immediate response.
    pub fn terminate(&self) {
        self.is_terminating.send_replace(true);
    }

    /// Waits for [`Shutdown::terminate`].
    pub async fn terminating(&self) {
        // Cannot fail, because `self` owns the sender.
        let _ = self.is_terminating.subscribe().wait_for(|is_terminating| *is_terminating).await;
    }
}
