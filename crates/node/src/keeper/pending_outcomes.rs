//! Those that wait for an outcome of the replica.

use std::collections::HashMap;

use tokio::sync::oneshot;

/// Who waits for which outcome, by token. Bounded by what the replica lets wait: it tells every outcome.
#[derive(Debug)]
pub(super) struct PendingOutcomes<T> {
    next_token: u64,
    senders: HashMap<u64, oneshot::Sender<T>>,
}

impl<T> Default for PendingOutcomes<T> {
    fn default() -> Self {
        PendingOutcomes { next_token: 0, senders: HashMap::new() }
    }
}

impl<T> PendingOutcomes<T> {
    /// Draws a token, and gives the end at which its outcome comes in.
    pub(super) fn register(&mut self) -> (u64, oneshot::Receiver<T>) {
        self.next_token += 1;
        let (sender, receiver) = oneshot::channel();
        self.senders.insert(self.next_token, sender);
        (self.next_token, receiver)
    }

    /// Tells an outcome to the one that waits for it.
    pub(super) fn complete(&mut self, token: u64, outcome: T) {
        if let Some(waiting) = self.senders.remove(&token) {
            // One that no longer waits has dropped its end.
            let _ = waiting.send(outcome);
        }
    }
}
