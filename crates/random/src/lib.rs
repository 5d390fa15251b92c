//! A deterministic pseudo-random number generator, seeded by the caller.
//!
//! State machines and simulations use it, so that the same seed gives the same run. It is good enough to
//! decorrelate processes and to generate test cases, but not cryptographically secure.

use rand_xoshiro::SplitMix64;
use rand_xoshiro::rand_core::{RngCore, SeedableRng};

/// The increment of `SplitMix64`. It is odd and has no pattern in its bits, so multiplication by it spreads small numbers
/// over all 64 bits.
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;

/// A stream of pseudo-random numbers (`SplitMix64`).
#[derive(Clone, Debug)]
pub struct Rng(SplitMix64);

impl Rng {
    /// The stream that belongs to `seed`.
    pub fn new(seed: u64) -> Self {
        Rng(SplitMix64::from_seed(seed.to_le_bytes()))
    }

    /// The stream that belongs to a seed and a numbered purpose; streams of other purposes are independent of it.
    pub fn for_purpose(seed: u64, purpose: u64) -> Self {
        let mut mixer = Rng::new(seed ^ purpose.wrapping_mul(GOLDEN_RATIO));
        Rng::new(mixer.next_u64())
    }

    /// The stream that belongs to a seed and a named purpose; streams of other purposes are independent of it.
    pub fn for_named_purpose(seed: u64, purpose: &str) -> Self {
        let mixed = purpose.bytes().fold(seed, |mixed, byte| {
            Rng::new(mixed ^ u64::from(byte).wrapping_mul(GOLDEN_RATIO)).next_u64()
        });
        Rng::new(mixed)
    }

    /// The next 64 random bits.
    pub fn next_u64(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// A number in `[0, 1)`, in steps of 2^-53.
    pub fn next_f64(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A number below `limit`; 0 if `limit` is 0.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.next_u64() % limit.max(1)
    }

    /// A number in `[least, limit)`; `least` if that range is empty.
    pub fn between(&mut self, least: u64, limit: u64) -> u64 {
        least + self.below(limit.saturating_sub(least))
    }

    /// True with a probability of 1 in `count`.
    pub fn one_in(&mut self, count: u64) -> bool {
        self.below(count) == 0
    }

    /// True with a probability of `percent` percent.
    pub fn percent(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    /// A uniformly distributed index below `length`; 0 if `length` is 0. Uses the high bits of a random number, whereas
    /// [`Rng::below`] uses the remainder.
    pub fn index(&mut self, length: usize) -> usize {
        let wide = u128::from(self.next_u64()) * length as u128;
        (wide >> 64) as usize
    }

    /// Shuffles `items` into a random order.
    pub fn shuffle<T>(&mut self, items: &mut [T]) {
        for end in (1..items.len()).rev() {
            items.swap(end, self.index(end + 1));
        }
    }

    /// One of the items.
    ///
    /// # Panics
    ///
    /// If there is none.
    pub fn choose_copied<T: Copy>(&mut self, items: &[T]) -> T {
        *self.choose(items).expect("something to pick from")
    }

    /// One of the items; `None` if there is none.
    pub fn choose<'items, T>(&mut self, items: &'items [T]) -> Option<&'items T> {
        items.get(self.below(items.len() as u64) as usize)
    }
}
