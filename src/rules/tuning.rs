//! Tuning constants of the decision logic. A `..._FACTOR` multiplies the quantity named in its comment.

use crate::time::Span;

/// How long an endpoint is avoided for a topic type, per consecutive failure of that type.
pub(super) const TOPIC_AVOIDANCE_PER_FAILURE: Span = Span::from_millis(10_000);

/// The number of signs of an outage (failures minus deliveries, plus overdue calls) that ejects an endpoint.
pub(super) const EJECTION_THRESHOLD: usize = 3;

/// A rejection is attributed to the rate limit if less than this fraction of the limit remains.
pub(super) const NEARLY_EXHAUSTED_FRACTION: f64 = 0.2;

/// A failure between two deliveries less than this many overload durations apart is not an outage.
pub(super) const MIN_OUTAGE_FACTOR: f64 = 2.0;

/// With calls still in flight to an ejected endpoint, the next trial call is this many overload durations later.
pub(super) const TRIAL_DELAY_FACTOR: f64 = 3.0;

/// A lost call older than this many overload durations is not evidence of a limit on idle connections.
pub(super) const MAX_IDLE_EVIDENCE_AGE_FACTOR: f64 = TRIAL_DELAY_FACTOR;

/// After an outage, all relays together may always send this many calls per overload duration, in equal shares.
pub(super) const MIN_RECOVERY_CALLS: f64 = 9.0;

/// Accepted notifications count as recent load for this many warm-up durations.
pub(super) const LOAD_MEMORY_FACTOR: f64 = 2.0;

/// How long a limit on idle connections applies after it was last observed.
pub(super) const IDLE_LIMIT_MEMORY: Span = Span::from_millis(30_000);

/// The limit on idle connections, as a fraction of the idle time after which a call was lost.
pub(super) const IDLE_LIMIT_FRACTION: f64 = 0.9;

/// A call is overdue after this multiple of the 90th percentile of latency...
pub(super) const OVERDUE_FACTOR: f64 = 2.5;
/// ...but no earlier than this many overload durations...
pub(super) const MIN_OVERDUE_FACTOR: f64 = 0.5;
/// ...or this many if the percentile is unknown.
pub(super) const UNKNOWN_LATENCY_OVERDUE_FACTOR: f64 = 2.0;

/// The assumed duration of a call, in overload durations, if the 90th percentile is unknown.
pub(super) const ASSUMED_LATENCY_FACTOR: f64 = MIN_OVERDUE_FACTOR;

/// A connection refused within this many overload durations counts as refused immediately.
pub(super) const IMMEDIATE_REFUSAL_FACTOR: f64 = MIN_OVERDUE_FACTOR;

/// A connection idle for this many overload durations may have broken unnoticed.
pub(super) const MIN_IDLE_FACTOR: f64 = MIN_OVERDUE_FACTOR;

/// A call may wait to fill up for this fraction of the latency target (or of a shorter TTL)...
pub(super) const BATCHING_FRACTION: f64 = 0.5;
/// ...after subtracting this multiple of the 90th percentile of latency.
pub(super) const BATCHING_RESERVE_FACTOR: f64 = 2.0;

/// The first backoff after a refusal without a requested delay: at least this...
pub(super) const MIN_BACKOFF: Span = Span::from_millis(100);
/// ...and at least the time that this many calls take at the rate limit.
pub(super) const MIN_BACKOFF_CALLS: f64 = 3.0;
/// The growth of a backoff per consecutive refusal.
pub(super) const BACKOFF_GROWTH: f64 = 8.0;
/// The longest backoff, as a multiple of the first, unless the caller allows a longer one.
pub(super) const MAX_BACKOFF_FACTOR: f64 = 16.0;

/// The growth of the pacing interval on a rejection above the rate limit...
pub(super) const PACING_GROWTH: f64 = 2.0;
/// ...on a rejection with a requested delay but no reported limit...
pub(super) const PACING_GROWTH_WITHOUT_LIMIT: f64 = 8.0;
/// ...up to this multiple of the interval at this relay's equal share of the limit.
pub(super) const MAX_PACING_FACTOR: f64 = 4.0;
/// A rejection with a requested delay but no reported limit sets the pacing interval to at least this multiple of the
/// delay.
pub(super) const PACING_WAIT_FACTOR: f64 = PACING_GROWTH;
/// The remaining fraction of the rate limit at which the pacing interval stays the same.
pub(super) const TARGET_REMAINING_FRACTION: f64 = 0.5;
/// The remaining fraction of a listed rate that is assumed after a delivery if responses report no limit.
pub(super) const ASSUMED_REMAINING_FRACTION: f64 = 0.75;

/// The concurrency window is multiplied by these on a refusal, and on a call that timed out or was reset.
pub(super) const WINDOW_REFUSAL_FACTOR: f64 = 0.6;
pub(super) const WINDOW_LOSS_FACTOR: f64 = 0.95;

/// The list is requested again after this fraction of its refresh interval...
pub(super) const LIST_RETRY_FRACTION: f64 = 0.02;
/// ...within these bounds.
pub(super) const MIN_LIST_RETRY_DELAY: Span = Span::from_millis(20);
pub(super) const MAX_LIST_RETRY_DELAY: Span = Span::from_millis(200);

/// Before a planned restart, when no slots are left: the delay until the next process can push.
pub(super) const NEXT_PROCESS_DELAY: Span = Span::from_millis(2_300);

/// A notification with less time left than this is not sent.
pub(super) const MIN_TIME_LEFT: Span = Span::from_millis(20);

/// A duplicate is sent at least this long before its deduplication window ends, so that it arrives in time even if a
/// connection has to be opened first.
pub(super) const DUPLICATE_ARRIVAL_MARGIN: Span = Span::from_millis(200);

/// The weight of each notification after the first in a call to a warming-up destination, relative to the first.
pub(super) const FURTHER_NOTIFICATION_WEIGHT: f64 = 0.25;
