//! Tasks that wait for the outcome of a proposal or read.

use std::collections::BTreeMap;

use tokio::sync::oneshot;

/// The waiting tasks, by token. Bounded by the replica, which limits its pending work and completes every token.
#[derive(Debug)]
pub(super) struct PendingOutcomes<T> {
    next_token: u64,
    senders: BTreeMap<u64, oneshot::Sender<T>>,
}

impl<T> Default for PendingOutcomes<T> {
    fn default() -> Self {
        PendingOutcomes { next_token: 0, senders: BTreeMap::new() }
    }
}

impl<T> PendingOutcomes<T> {
    /// Registers a waiting task. Returns its token and the receiver of the outcome.
    pub(super) fn register(&mut self) -> (u64, oneshot::Receiver<T>) {
        self.next_token += 1;
        let (sender, receiver) = oneshot::channel();
        self.senders.insert(self.next_token, sender);
        (self.next_token, receiver)
    }

    /// Sends an outcome to the task that waits for it, if any.
    pub(super) fn complete(&mut self, token: u64, outcome: T) {
        if let Some(sender) = self.senders.remove(&token) {
            // A task that no longer waits has dropped the receiver.
            let _ = sender.send(outcome);
        }
    }
}
