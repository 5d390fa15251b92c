//! Locks of tables that are valid between any two statements, so that a panic of another thread while it held the
//! lock leaves nothing half done.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a table, also if a thread panicked while it held the lock.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
