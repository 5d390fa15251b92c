//! The memory that the bodies of requests and responses may take together.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A limit on the bytes that are reserved at the same time.
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
    /// A budget of `max_bytes`.
    pub fn new(max_bytes: usize) -> Arc<Self> {
        Arc::new(MemoryBudget { reserved_bytes: AtomicUsize::new(0), max_bytes })
    }

    /// The bytes that are reserved now.
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
    /// Reserves more bytes; `false` if the budget is exceeded by them. They are reserved all the same, until this
    /// is dropped.
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
