//! How many bytes requests may hold together.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A bound on bytes held at the same time.
#[derive(Debug)]
pub struct Memory {
    held: AtomicUsize,
    most: usize,
}

/// Bytes that are held until this is dropped.
#[derive(Debug)]
pub struct Held {
    memory: Arc<Memory>,
    bytes: usize,
}

impl Memory {
    /// Room for so many bytes.
    pub fn new(most: usize) -> Arc<Self> {
        Arc::new(Memory { held: AtomicUsize::new(0), most })
    }

    /// Bytes held now.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Takes room; `None` if there is too little.
    pub fn take(self: &Arc<Self>, bytes: usize) -> Option<Held> {
        let mut held = Held { memory: Arc::clone(self), bytes: 0 };
        held.grow(bytes).then_some(held)
    }
}

impl Held {
    /// Takes more room; `false` if there is too little.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let before = self.memory.held.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        before + bytes <= self.memory.most
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.memory.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
