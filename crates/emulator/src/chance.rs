//! Random draws that follow from a seed.

use juniperwing_random::SplitMix64;

/// A sequence of draws.
#[derive(Clone, Debug)]
pub struct Chance(SplitMix64);

impl Chance {
    /// The sequence that belongs to a seed and a purpose; those of other purposes are independent of it.
    pub fn new(seed: u64, purpose: u64) -> Chance {
        let mut mixer = SplitMix64::new(seed ^ purpose.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        Chance(SplitMix64::new(mixer.bits()))
    }

    /// 64 random bits.
    pub fn bits(&mut self) -> u64 {
        self.0.bits()
    }

    /// A number below `limit`.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0.bits() % limit.max(1)
    }

    /// A number from `least` up to and without `limit`.
    pub fn between(&mut self, least: u64, limit: u64) -> u64 {
        least + self.below(limit - least)
    }

    /// Whether one of `count` equally probable cases has come.
    pub fn one_in(&mut self, count: u64) -> bool {
        self.below(count) == 0
    }

    /// One of the items.
    pub fn choose<'items, T>(&mut self, items: &'items [T]) -> Option<&'items T> {
        items.get(self.below(items.len() as u64) as usize)
    }
}
