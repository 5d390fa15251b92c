//! Random jitter of intervals, so that members do not act in lockstep.

use juniperwing_clock::Span;
use juniperwing_random::Rng;

/// `span` lengthened or shortened by up to `fraction` of itself.
pub(crate) fn jitter(rng: &mut Rng, span: Span, fraction: f64) -> Span {
    span.mul_f64(1.0 - fraction + 2.0 * fraction * rng.next_f64())
}
