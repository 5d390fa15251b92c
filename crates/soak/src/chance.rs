//! Random draws that follow from a seed.

use juniperwing_random::SplitMix64;

/// A sequence of draws.
#[derive(Clone, Debug)]
pub struct Chance(SplitMix64);

impl Chance {
    /// The sequence that belongs to a seed and a purpose; those of other purposes are independent of it.
    pub fn new(seed: u64, purpose: &str) -> Chance {
        let mixed = purpose.bytes().fold(seed, |mixed, byte| {
            SplitMix64::new(mixed ^ u64::from(byte).wrapping_mul(0x9e37_79b9_7f4a_7c15)).bits()
        });
        Chance(SplitMix64::new(mixed))
    }

    /// A number below `limit`; 0 if that is 0.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0.bits() % limit.max(1)
    }

    /// A number from `least` up to and without `limit`.
    pub fn between(&mut self, least: u64, limit: u64) -> u64 {
        least + self.below(limit.saturating_sub(least))
    }

    /// Whether something that happens so many times in a hundred happens.
    pub fn percent(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    /// One of the items.
    ///
    /// # Panics
    ///
    /// If there is none.
    pub fn choose<T: Copy>(&mut self, items: &[T]) -> T {
        items[self.below(items.len() as u64) as usize]
    }
}
