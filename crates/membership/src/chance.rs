//! What is drawn by chance, from a seed that the caller gives.

use juniperwing_clock::Span;
use juniperwing_random::SplitMix64;

/// A stream of pseudo-random numbers.
#[derive(Clone, Debug)]
pub struct Chance(SplitMix64);

impl Chance {
    /// The stream that belongs to `seed`.
    pub fn new(seed: u64) -> Self {
        Chance(SplitMix64::new(seed))
    }

    /// The next 64 bits.
    pub fn bits(&mut self) -> u64 {
        self.0.bits()
    }

    /// A number below `bound`; 0 if `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        let wide = u128::from(self.bits()) * bound as u128;
        (wide >> 64) as usize
    }

    /// `span` lengthened or shortened by up to `share` of itself.
    pub fn jitter(&mut self, span: Span, share: f64) -> Span {
        let unit = (self.bits() >> 11) as f64 / (1u64 << 53) as f64;
        span.mul_f64(1.0 - share + 2.0 * share * unit)
    }

    /// Puts `items` in a random order.
    pub fn shuffle<T>(&mut self, items: &mut [T]) {
        for end in (1..items.len()).rev() {
            items.swap(end, self.below(end + 1));
        }
    }
}
