//! Those that wait for an outcome of the replica.

use std::collections::HashMap;

use tokio::sync::oneshot;

/// Who waits for which outcome, by token. Bounded by what the replica lets wait: it tells every outcome.
#[derive(Debug)]
pub(super) struct Waiters<T> {
    next_token: u64,
    waiting: HashMap<u64, oneshot::Sender<T>>,
}

impl<T> Default for Waiters<T> {
    fn default() -> Self {
        Waiters { next_token: 0, waiting: HashMap::new() }
    }
}

impl<T> Waiters<T> {
    /// Draws a token, and gives the end at which its outcome comes in.
    pub(super) fn draw(&mut self) -> (u64, oneshot::Receiver<T>) {
        self.next_token += 1;
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert(self.next_token, sender);
        (self.next_token, receiver)
    }

    /// Tells an outcome to the one that waits for it.
    pub(super) fn tell(&mut self, token: u64, outcome: T) {
        if let Some(waiting) = self.waiting.remove(&token) {
            // One that no longer waits has dropped its end.
            let _ = waiting.send(outcome);
        }
    }
}
