//! Tuned values of the relay's decisions; those of the restart timer stand with it.

use crate::time::Span;

/// How long an endpoint that failed a topic type is left out for it, for each loss.
pub(super) const LEFT_OUT: Span = Span::from_millis(10_000);
/// Signs of trouble (failures less deliveries, calls overdue) that set an endpoint aside.
pub(super) const SUSPECT: usize = 3;
/// A report with less of the limit left speaks of the limit.
pub(super) const LOW: f64 = 0.2;
/// Trouble with less than so many `tip_after` between two deliveries is no outage.
pub(super) const BRIEF: f64 = 2.0;
/// With calls still out at an endpoint set aside, the next follows so many `tip_after` later.
pub(super) const PATIENCE: f64 = 3.0;
/// After an outage all relays together may always send so many calls in `tip_after`, each an equal part.
pub(super) const LEAST: f64 = 9.0;
/// What was handed in counts for so many times the cold time.
pub(super) const MEMORY: f64 = 2.0;
/// What was seen of idle connections holds for so long.
pub(super) const STALE_MEMORY: Span = Span::from_millis(30_000);
/// Overdue: so many times what nine in ten stay under, this share of `tip_after` at least (or if few known).
pub(super) const OVERDUE: f64 = 2.5;
pub(super) const OVERDUE_FLOOR: f64 = 0.5;
pub(super) const OVERDUE_UNKNOWN: f64 = 2.0;
/// Share of the objective or a shorter TTL, less so many usual calls, for which a call may wait to be filled.
pub(super) const FILL: f64 = 0.5;
pub(super) const USUAL_CALLS: f64 = 2.0;
/// First pause after a refusal that told no wait: at the least, in calls of the told limit, and its growth.
pub(super) const PAUSE: Span = Span::from_millis(100);
pub(super) const REFUSED: f64 = 3.0;
pub(super) const GROWTH: f64 = 16.0;
/// Pace: growth with a refusal, with one that told a wait, the most in equal parts, and what left keeps it.
pub(super) const BACK_OFF: f64 = 2.0;
pub(super) const TOLD_BACK_OFF: f64 = 8.0;
pub(super) const MOST: f64 = 4.0;
pub(super) const HALF_LEFT: f64 = 0.5;
/// What a delivery says is left of a listed rate, where no limit is told in answers.
pub(super) const LEFT_UNTOLD: f64 = 0.75;
/// The list is asked for again after this share of `ask_every`.
pub(super) const FIRST_ASK: f64 = 0.02;
/// With no slots any more, before a planned restart, the next process can push so much later.
pub(super) const NEXT_LIFE: Span = Span::from_millis(2_300);
/// Below this much time left nothing is worth sending.
pub(super) const LEAST_LEFT: Span = Span::from_millis(20);
/// A copy goes so long before its window ends, to arrive in it over a connection that is still to be opened.
pub(super) const ARRIVAL: Span = Span::from_millis(200);
/// Weight of each further notification in a call, for a cold endpoint.
pub(super) const FURTHER: f64 = 0.25;
