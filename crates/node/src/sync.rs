//! Synchronization between tasks: locking that ignores poisoning, and a channel of one value.
//!
//! Locking is for state that is consistent between any two statements, so that a panic of another thread while it held
//! the lock leaves nothing inconsistent.

pub mod watch;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also if a thread panicked while it held the lock.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
