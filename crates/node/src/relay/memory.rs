//! Limits the total memory for the bodies of requests and responses.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A limit on the number of bytes that are reserved at the same time.
#[derive(Debug)]
pub struct MemoryBudget {
    reserved_bytes: AtomicUsize,
    max_bytes: usize,
}

/// Bytes of a [`MemoryBudget`], reserved until this is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

impl MemoryBudget {
    /// Creates a budget of `max_bytes`.
    pub fn new(max_bytes: usize) -> Arc<Self> {
        Arc::new(MemoryBudget { reserved_bytes: AtomicUsize::new(0), max_bytes })
    }

    /// The number of bytes currently reserved.
    pub fn reserved_bytes(&self) -> usize {
        self.reserved_bytes.load(Ordering::Relaxed)
    }

    /// Reserves bytes; `None` if too few are left.
    pub fn reserve(self: &Arc<Self>, bytes: usize) -> Option<MemoryReservation> {
        let mut reservation = MemoryReservation { budget: Arc::clone(self), bytes: 0 };
        reservation.grow(bytes).then_some(reservation)
    }
}

impl MemoryReservation {
    /// Reserves more bytes; returns `false` if that exceeds the budget. They are counted as reserved even then, until
    /// this is dropped.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let before = self.budget.reserved_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        before + bytes <= self.budget.max_bytes
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.reserved_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
