//! How many bytes requests may hold together.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A bound on bytes held at the same time.
#[derive(Debug)]
pub struct MemoryBudget {
    held: AtomicUsize,
    most: usize,
}

/// Bytes that are held until this is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    memory: Arc<MemoryBudget>,
    bytes: usize,
}

impl MemoryBudget {
    /// Room for so many bytes.
    pub fn new(most: usize) -> Arc<Self> {
        Arc::new(MemoryBudget { held: AtomicUsize::new(0), most })
    }

    /// Bytes held now.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Takes room; `None` if there is too little.
    pub fn take(self: &Arc<Self>, bytes: usize) -> Option<MemoryReservation> {
        let mut held = MemoryReservation { memory: Arc::clone(self), bytes: 0 };
        held.grow(bytes).then_some(held)
    }
}

impl MemoryReservation {
    /// Takes more room; `false` if there is too little.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let before = self.memory.held.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        before + bytes <= self.memory.most
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.memory.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
