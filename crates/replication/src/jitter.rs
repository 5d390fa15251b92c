//! Random spans from a seed (splitmix64).

use juniperwing_clock::Span;

/// A small generator; its quality is enough to keep candidates apart.
#[derive(Clone, Debug)]
pub(crate) struct Jitter(u64);

impl Jitter {
    /// Starts from `seed`.
    pub(crate) fn new(seed: u64) -> Self {
        Jitter(seed)
    }

    /// A span from nothing up to `most`.
    pub(crate) fn up_to(&mut self, most: Span) -> Span {
        Span::from_nanos(self.next() % (most.nanos().max(1)))
    }

    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
