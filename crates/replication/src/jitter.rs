//! Random delays that prevent keepers from starting elections at the same time.

use juniperwing_clock::Span;
use juniperwing_random::Rng;

/// A source of random spans, determined by its seed.
#[derive(Clone, Debug)]
pub(crate) struct Jitter(Rng);

impl Jitter {
    /// A source that starts from `seed`.
    pub(crate) fn new(seed: u64) -> Self {
        Jitter(Rng::new(seed))
    }

    /// A span of at least zero and less than `limit`.
    pub(crate) fn below(&mut self, limit: Span) -> Span {
        Span::from_nanos(self.0.below(limit.as_nanos()))
    }
}
