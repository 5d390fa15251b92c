//! Exponential backoff with jitter.

use super::tuning::{BACKOFF_GROWTH, MAX_BACKOFF_FACTOR};
use crate::outbox::Outbox;
use crate::time::Span;

/// Returns a backoff that grows exponentially from `first` with the number of consecutive `failures`, up to `longest`
/// or [`MAX_BACKOFF_FACTOR`] times `first`, whichever is longer. Jitter prevents many relays from retrying in step.
pub(super) fn backoff(first: Span, failures: i32, longest: Span, outbox: &mut Outbox) -> Span {
    let longest = longest.max(first.mul_f64(MAX_BACKOFF_FACTOR));
    let backoff = first.mul_f64(BACKOFF_GROWTH.powi(failures.min(8))).min(longest);
    backoff.mul_f64(0.5 + outbox.random_fraction())
}
