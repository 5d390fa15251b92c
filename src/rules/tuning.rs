//! The tuned values of the decisions. A `..._FACTOR` multiplies what its comment names.

use crate::time::Span;

/// How long an endpoint that failed a topic type is avoided for it, for each failure.
pub(super) const TOPIC_AVOIDANCE_PER_FAILURE: Span = Span::from_millis(10_000);

/// Signs of an outage (failures less deliveries, calls overdue) that eject an endpoint.
pub(super) const EJECTION_THRESHOLD: usize = 3;

/// A report with less than this fraction of the rate limit left is evidence of the limit.
pub(super) const NEARLY_EXHAUSTED_FRACTION: f64 = 0.2;

/// A failure between two deliveries that are closer than so many overload durations is no outage.
pub(super) const MIN_OUTAGE_FACTOR: f64 = 2.0;

/// With calls still in flight at an ejected endpoint, the next trial follows so many overload durations later.
pub(super) const TRIAL_DELAY_FACTOR: f64 = 3.0;

/// A lost call older than so many overload durations is no evidence of a limit on idle connections.
pub(super) const MAX_IDLE_EVIDENCE_AGE_FACTOR: f64 = TRIAL_DELAY_FACTOR;

/// After an outage all relays together may always send so many calls in one overload duration, each an equal part.
pub(super) const MIN_RECOVERY_CALLS: f64 = 9.0;

/// Accepted notifications count as recent load for so many warm-up durations.
pub(super) const LOAD_MEMORY_FACTOR: f64 = 2.0;

/// How long a limit on idle connections holds after it was last learned.
pub(super) const IDLE_LIMIT_MEMORY: Span = Span::from_millis(30_000);

/// A limit on idle connections is this fraction of the idle time after which a call was lost.
pub(super) const IDLE_LIMIT_FRACTION: f64 = 0.9;

/// A call is overdue after so many times the 90th percentile of latency...
pub(super) const OVERDUE_FACTOR: f64 = 2.5;
/// ...and after so many overload durations at least...
pub(super) const MIN_OVERDUE_FACTOR: f64 = 0.5;
/// ...or after so many if the percentile is unknown.
pub(super) const UNKNOWN_LATENCY_OVERDUE_FACTOR: f64 = 2.0;

/// How long a call is assumed to last, in overload durations, if the 90th percentile is unknown.
pub(super) const ASSUMED_LATENCY_FACTOR: f64 = MIN_OVERDUE_FACTOR;

/// A connection refused within so many overload durations was refused at once.
pub(super) const IMMEDIATE_REFUSAL_FACTOR: f64 = MIN_OVERDUE_FACTOR;

/// A connection idle for so many overload durations may have died unnoticed.
pub(super) const MIN_IDLE_FACTOR: f64 = MIN_OVERDUE_FACTOR;

/// A call may wait to be filled for this fraction of the latency target (or a shorter TTL)...
pub(super) const BATCHING_FRACTION: f64 = 0.5;
/// ...less so many times the 90th percentile of latency.
pub(super) const BATCHING_RESERVE_FACTOR: f64 = 2.0;

/// The first backoff after a refusal that reported no wait: at least this...
pub(super) const MIN_BACKOFF: Span = Span::from_millis(100);
/// ...and the time that the rate limit allows for so many calls.
pub(super) const MIN_BACKOFF_CALLS: f64 = 3.0;
/// Growth of a backoff with each refusal in a row.
pub(super) const BACKOFF_GROWTH: f64 = 8.0;
/// The longest backoff, in first backoffs, unless a caller allows longer.
pub(super) const MAX_BACKOFF_FACTOR: f64 = 16.0;

/// Growth of the pacing interval with a rejection above the rate limit...
pub(super) const PACING_GROWTH: f64 = 2.0;
/// ...with one that reported a wait and no limit...
pub(super) const PACING_GROWTH_WITHOUT_LIMIT: f64 = 8.0;
/// ...up to so many times this relay's equal part of the limit.
pub(super) const MAX_PACING_FACTOR: f64 = 4.0;
/// A rejection that reported a wait and no limit sets the pacing interval to so many times the wait.
pub(super) const PACING_WAIT_FACTOR: f64 = PACING_GROWTH;
/// The fraction left of the rate limit that keeps the pacing interval as it is.
pub(super) const TARGET_REMAINING_FRACTION: f64 = 0.5;
/// The fraction left of a listed rate that a delivery is taken to report, where answers report no limit.
pub(super) const ASSUMED_REMAINING_FRACTION: f64 = 0.75;

/// Factors of the concurrency window with a refusal, and with a call that timed out or broke.
pub(super) const WINDOW_REFUSAL_FACTOR: f64 = 0.6;
pub(super) const WINDOW_LOSS_FACTOR: f64 = 0.95;

/// The list is requested again after this fraction of its refresh interval...
pub(super) const LIST_RETRY_FRACTION: f64 = 0.02;
/// ...within these bounds.
pub(super) const MIN_LIST_RETRY_DELAY: Span = Span::from_millis(20);
pub(super) const MAX_LIST_RETRY_DELAY: Span = Span::from_millis(200);

/// With no slots any more, before a planned restart: the next process can push after this delay.
pub(super) const NEXT_PROCESS_DELAY: Span = Span::from_millis(2_300);

/// The minimum time left for a notification to be sent.
pub(super) const MIN_TIME_LEFT: Span = Span::from_millis(20);

/// A duplicate is sent at least this long before its deduplication window ends, to arrive in it over a connection
/// that is still to be opened.
pub(super) const DUPLICATE_ARRIVAL_MARGIN: Span = Span::from_millis(200);

/// Weight of each further notification in a call, for a destination that is warming up.
pub(super) const FURTHER_NOTIFICATION_WEIGHT: f64 = 0.25;
