//! A channel that holds a single value, for whose changes receivers can wait.
//!
//! It corresponds to `tokio::sync::watch`, but wakes waiting receivers in the order in which they began to wait. The
//! channel of tokio wakes them in a random order, from a generator that the caller cannot seed, so that simulations with
//! two waiting receivers are not reproducible.

use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard};

use tokio::sync::Notify;

/// The error of a closed channel: the sender was dropped, so the value does not change any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed;

/// State shared by the sender and the receivers.
#[derive(Debug)]
struct Shared<T> {
    state: RwLock<State<T>>,
    changed: Notify,
}

#[derive(Debug)]
struct State<T> {
    value: T,
    /// Increases with each change.
    version: u64,
    is_closed: bool,
}

/// A borrow of the value. It blocks changes of the value, so it must not be held across an `await`.
#[derive(Debug)]
pub struct Ref<'a, T>(RwLockReadGuard<'a, State<T>>);

impl<T> std::ops::Deref for Ref<'_, T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.0.value
    }
}

/// The sending half. The channel is closed when it is dropped.
#[derive(Debug)]
pub struct Sender<T>(Arc<Shared<T>>);

/// The receiving half. A clone has seen the same version as the original.
#[derive(Debug)]
pub struct Receiver<T> {
    shared: Arc<Shared<T>>,
    seen_version: u64,
}

/// Creates a channel. Its receiver has seen `value`.
pub fn channel<T>(value: T) -> (Sender<T>, Receiver<T>) {
    let sender = Sender::new(value);
    let receiver = sender.subscribe();
    (sender, receiver)
}

impl<T> Shared<T> {
    fn read(&self) -> RwLockReadGuard<'_, State<T>> {
        self.state.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the state and wakes all waiting receivers, in the order in which they began to wait.
    fn update<R>(&self, change: impl FnOnce(&mut State<T>) -> R) -> R {
        let result = change(&mut self.state.write().unwrap_or_else(PoisonError::into_inner));
        self.changed.notify_waiters();
        result
    }
}

impl<T> Sender<T> {
    /// Creates a channel without receivers.
    pub fn new(value: T) -> Sender<T> {
        let state = RwLock::new(State { value, version: 0, is_closed: false });
        Sender(Arc::new(Shared { state, changed: Notify::new() }))
    }

    /// Creates a receiver that has seen the current value.
    pub fn subscribe(&self) -> Receiver<T> {
        let seen_version = self.0.read().version;
        Receiver { shared: Arc::clone(&self.0), seen_version }
    }

    /// Changes the value and returns the previous one.
    pub fn send_replace(&self, value: T) -> T {
        self.0.update(|state| {
            state.version += 1;
            std::mem::replace(&mut state.value, value)
        })
    }

    /// Borrows the current value.
    pub fn borrow(&self) -> Ref<'_, T> {
        Ref(self.0.read())
    }
}

impl<T: Default> Default for Sender<T> {
    fn default() -> Sender<T> {
        Sender::new(T::default())
    }
}

impl<T> Drop for Sender<T> {
    fn drop(&mut self) {
        self.0.update(|state| state.is_closed = true);
    }
}

impl<T> Clone for Receiver<T> {
    fn clone(&self) -> Receiver<T> {
        Receiver { shared: Arc::clone(&self.shared), seen_version: self.seen_version }
    }
}

impl<T> Receiver<T> {
    /// Borrows the current value without marking it as seen.
    pub fn borrow(&self) -> Ref<'_, T> {
        Ref(self.shared.read())
    }

    /// Borrows the current value and marks it as seen.
    pub fn borrow_and_update(&mut self) -> Ref<'_, T> {
        let state = self.shared.read();
        self.seen_version = state.version;
        Ref(state)
    }

    /// Waits for a value that was not seen, and marks it as seen.
    ///
    /// # Errors
    ///
    /// [`Closed`] if the sender was dropped and the newest value was seen.
    pub async fn changed(&mut self) -> Result<(), Closed> {
        loop {
            // Created before the check, so that a change after the check is not missed.
            let notified = self.shared.changed.notified();
            {
                let state = self.shared.read();
                if state.version != self.seen_version {
                    self.seen_version = state.version;
                    return Ok(());
                }
                if state.is_closed {
                    return Err(Closed);
                }
            }
            notified.await;
        }
    }

    /// Waits until the value satisfies a condition, and marks it as seen.
    ///
    /// # Errors
    ///
    /// [`Closed`] if the sender was dropped and the value does not satisfy the condition.
    pub async fn wait_for(&mut self, condition: impl Fn(&T) -> bool) -> Result<(), Closed> {
        while !condition(&self.borrow_and_update()) {
            self.changed().await?;
        }
        Ok(())
    }
}
