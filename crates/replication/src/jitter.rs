//! Random spans that keep candidates from acting at the same time.

use juniperwing_clock::Span;
use juniperwing_random::Rng;

/// A source of random spans.
#[derive(Clone, Debug)]
pub(crate) struct Jitter(Rng);

impl Jitter {
    /// Starts from `seed`.
    pub(crate) fn new(seed: u64) -> Self {
        Jitter(Rng::new(seed))
    }

    /// A span from zero up to and without `limit`.
    pub(crate) fn below(&mut self, limit: Span) -> Span {
        Span::from_nanos(self.0.below(limit.as_nanos()))
    }
}
