//! A small deterministic generator (SplitMix64), seeded by the caller.

use juniperwing_clock::Span;

/// A stream of pseudo-random numbers.
#[derive(Clone, Debug)]
pub struct Chance(u64);

impl Chance {
    /// The stream that belongs to `seed`.
    pub fn new(seed: u64) -> Self {
        Chance(seed)
    }

    /// The next 64 bits.
    pub fn bits(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number below `bound`; 0 if `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        let wide = u128::from(self.bits()) * bound as u128;
        (wide >> 64) as usize
    }

    /// `span` lengthened or shortened by up to `share` of itself.
    pub fn jitter(&mut self, span: Span, share: f64) -> Span {
        let unit = (self.bits() >> 11) as f64 / (1u64 << 53) as f64;
        span.times(1.0 - share + 2.0 * share * unit)
    }

    /// Puts `items` in a random order.
    pub fn shuffle<T>(&mut self, items: &mut [T]) {
        for end in (1..items.len()).rev() {
            items.swap(end, self.below(end + 1));
        }
    }
}
