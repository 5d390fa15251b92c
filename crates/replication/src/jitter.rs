//! Random spans from a seed.

use juniperwing_clock::Span;
use juniperwing_random::SplitMix64;

/// A small generator; its quality is enough to keep candidates apart.
#[derive(Clone, Debug)]
pub(crate) struct Jitter(SplitMix64);

impl Jitter {
    /// Starts from `seed`.
    pub(crate) fn new(seed: u64) -> Self {
        Jitter(SplitMix64::new(seed))
    }

    /// A span from nothing up to `most`.
    pub(crate) fn up_to(&mut self, most: Span) -> Span {
        Span::from_nanos(self.0.bits() % (most.as_nanos().max(1)))
    }
}
