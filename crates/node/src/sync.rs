//! Synchronization between tasks: locking that ignores poisoning, and a channel of one value.
//!
//! [`lock`] is intended for state that is consistent after every statement, so that a panic of a thread that holds the
//! lock cannot leave it inconsistent.

pub mod watch;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, even if a thread panicked while it held the lock.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
