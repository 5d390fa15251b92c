//! The accounting of a run: benefit by topic type, account and window, latencies, outcomes of pushes, connections, and
//! what reached a few destinations beside what they could do. It owns these counts; it must never judge a rule or
//! influence what happens.

use hdrhistogram::Histogram;
use juniperwing::interface::Status;
use juniperwing::time::{Span, Time};
use serde::Serialize;

use crate::judge::Violation;
use crate::scenario::{Decay, Topic};

/// Seconds of the windows of which the worst is named.
const WINDOW: usize = 10;
/// The longest latency that is told apart, in microseconds: a day.
const LONGEST_US: u64 = 86_400_000_000;

/// What is counted for one part of the traffic.
#[derive(Clone, Debug, Default, Serialize)]
pub struct GroupMetrics {
    /// Its name.
    pub name: String,
    /// Notifications handed in for the first time.
    pub offered: u64,
    /// Delivered before their time was up.
    pub delivered: u64,
    /// Delivered within the latency objective.
    #[serde(rename = "in_objective")]
    pub within_objective: u64,
    /// Never delivered: the last answer was a throttling.
    pub throttled: u64,
    /// Never delivered: expired.
    pub expired: u64,
    /// Never delivered: taken back, or lost with a relay.
    #[serde(rename = "gone")]
    pub abandoned: u64,
    /// The benefit asked for.
    #[serde(rename = "asked")]
    pub requested_benefit: f64,
    /// The benefit delivered.
    #[serde(rename = "benefit")]
    pub delivered_benefit: f64,
    /// Latencies of what was delivered, in milliseconds, at the quantiles of [`QUANTILES`].
    pub latency_ms: Vec<f64>,
}

/// The quantiles that figures name.
pub const QUANTILES: [f64; 5] = [0.5, 0.9, 0.99, 0.999, 1.0];

/// How pushes ended.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct PushMetrics {
    /// All of them.
    pub sent: u64,
    /// Calls that carried them.
    pub calls: u64,
    /// Delivered.
    pub delivered: u64,
    /// Answered with an error.
    pub error: u64,
    /// Turned away.
    pub busy: u64,
    /// No answer in time.
    pub timed_out: u64,
    /// No connection.
    pub no_connection: u64,
    /// The connection broke.
    pub reset: u64,
    /// Called off.
    pub cancelled: u64,
    /// Not sent.
    pub skipped: u64,
    /// Runs that delivered nothing new.
    pub wasted: u64,
}

/// One second of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SecondMetrics {
    /// Handed in for the first time.
    pub offered: u64,
    /// The benefit asked for by these.
    #[serde(rename = "asked")]
    pub requested_benefit: f64,
    /// The benefit that these were delivered for, whenever that was.
    #[serde(rename = "benefit")]
    pub delivered_benefit: f64,
    /// Pushes sent.
    pub pushes: u64,
    /// Pushes turned away.
    #[serde(rename = "refused")]
    pub rejected_pushes: u64,
    /// Calls out at its end.
    #[serde(rename = "out")]
    pub in_flight_calls: usize,
    /// Notifications held at its end.
    #[serde(rename = "held")]
    pub pending_notifications: usize,
}

/// What reached a destination, second by second, beside what it could do.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DestinationSeries {
    /// The destination, by place.
    pub destination: usize,
    /// Notifications that reached it.
    pub reached: Vec<f64>,
    /// Notifications that it delivered.
    pub delivered: Vec<f64>,
    /// What it could do; 0 in an outage.
    pub capacity: Vec<f64>,
}

/// All figures of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Metrics {
    /// The scenario's name, the policy's, and the seed.
    pub scenario: String,
    /// Whose decisions they were.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Relays, destinations and endpoints at the start.
    pub size: (usize, usize, usize),
    /// Benefit delivered over benefit asked for.
    pub served: f64,
    /// The same in the worst window of 10 s, and when that begins.
    pub worst_window: (f64, usize),
    /// The same of the worst topic type.
    pub worst_topic: f64,
    /// The same of the worst account.
    pub worst_account: f64,
    /// By topic type.
    pub topics: Vec<GroupMetrics>,
    /// By account.
    pub accounts: Vec<GroupMetrics>,
    /// How pushes ended.
    pub pushes: PushMetrics,
    /// Turned away because a relay held all that it may.
    #[serde(rename = "hold_full")]
    pub rejected_at_capacity: u64,
    /// Handed in again after a throttling.
    #[serde(rename = "again")]
    pub resubmissions: u64,
    /// Connections opened.
    pub connections: u64,
    /// Probes sent.
    pub probes: u64,
    /// Requests for the list.
    pub list_requests: u64,
    /// Lanes that came back from an outage, and those that were pushed over.
    #[serde(rename = "returns")]
    pub recoveries: (usize, usize),
    /// Commands that nobody could carry out: a push to an endpoint of another destination and the like.
    #[serde(rename = "faults")]
    pub invalid_commands: u64,
    /// Broken rules; the first are described.
    #[serde(rename = "broken")]
    pub violation_count: usize,
    /// The first of them.
    #[serde(rename = "breaks")]
    pub violations: Vec<Violation>,
    /// Second by second.
    pub seconds: Vec<SecondMetrics>,
    /// A few destinations.
    #[serde(rename = "watched")]
    pub destination_series: Vec<DestinationSeries>,
    /// Events that the model took, and turns of relays.
    pub events: u64,
    /// Turns of relays.
    pub turns: u64,
    /// It was broken off: more events than a run of that size can have.
    #[serde(rename = "cut")]
    pub is_truncated: bool,
}

/// The benefit of a delivery after `spent`, as a share of its full benefit.
pub fn value_fraction(topic: &Topic, spent: Span) -> f64 {
    let (spent, objective, ttl) = (spent.as_secs_f64() * 1_000.0, topic.objective_ms, topic.ttl_ms);
    if spent <= objective {
        return 1.0;
    }
    if spent > ttl {
        return 0.0;
    }
    match topic.decay {
        Decay::Even => 1.0 - (1.0 - topic.late_share) * (spent - objective) / (ttl - objective).max(1e-9),
        Decay::Halves => 0.5f64.powf((spent - objective) / objective).max(topic.late_share),
    }
}

/// Counts as things happen.
pub(crate) struct MetricsRecorder {
    pub(crate) metrics: Metrics,
    latencies: Vec<Histogram<u64>>,
}

impl MetricsRecorder {
    pub(crate) fn new(topics: &[String], accounts: &[String]) -> MetricsRecorder {
        let part = |name: &String| GroupMetrics { name: name.clone(), ..GroupMetrics::default() };
        let metrics = Metrics {
            topics: topics.iter().map(part).collect(),
            accounts: accounts.iter().map(part).collect(),
            ..Metrics::default()
        };
        // Fails only for bounds that make no sense, which these do.
        let histogram = || Histogram::new_with_bounds(1, LONGEST_US, 3).expect("sound bounds");
        let latencies = topics.iter().chain(accounts).map(|_| histogram()).collect();
        MetricsRecorder { metrics, latencies }
    }

    pub(crate) fn second_at(&mut self, at: Time) -> &mut SecondMetrics {
        let index = at.since(Time::default()).as_secs_f64() as usize;
        let seconds = &mut self.metrics.seconds;
        if seconds.len() <= index {
            seconds.resize(index + 1, SecondMetrics::default());
        }
        &mut seconds[index]
    }

    fn parts(&mut self, topic: usize, account: Option<usize>) -> impl Iterator<Item = &mut GroupMetrics> {
        let metrics = &mut self.metrics;
        let account = account.and_then(|account| metrics.accounts.get_mut(account));
        metrics.topics.get_mut(topic).into_iter().chain(account)
    }

    pub(crate) fn record_offered(&mut self, at: Time, topic: usize, account: Option<usize>, benefit: f64) {
        self.parts(topic, account).for_each(|part| {
            part.offered += 1;
            part.requested_benefit += benefit;
        });
        let second = self.second_at(at);
        second.offered += 1;
        second.requested_benefit += benefit;
    }

    pub(crate) fn record_delivery(
        &mut self, submitted_at: Time, spent: Span, topic: usize, account: Option<usize>, benefit: f64,
        share: f64,
    ) {
        self.parts(topic, account).for_each(|part| {
            part.delivered += 1;
            part.within_objective += u64::from(share >= 1.0);
            part.delivered_benefit += benefit * share;
        });
        let topics = self.metrics.topics.len();
        let us = (spent.as_nanos() / 1_000).clamp(1, LONGEST_US);
        for index in [Some(topic), account.map(|account| topics + account)].into_iter().flatten() {
            if let Some(latencies) = self.latencies.get_mut(index) {
                latencies.saturating_record(us);
            }
        }
        self.second_at(submitted_at).delivered_benefit += benefit * share;
    }

    pub(crate) fn record_undelivered(
        &mut self, topic: usize, account: Option<usize>, reason: UndeliveredReason,
    ) {
        self.parts(topic, account).for_each(|part| match reason {
            UndeliveredReason::Throttled => part.throttled += 1,
            UndeliveredReason::Expired => part.expired += 1,
            UndeliveredReason::Abandoned => part.abandoned += 1,
        });
    }

    pub(crate) fn record_push_outcome(&mut self, at: Time, status: Status) {
        let pushes = &mut self.metrics.pushes;
        let count = match status {
            Status::Delivered => &mut pushes.delivered,
            Status::Error => &mut pushes.error,
            Status::Busy => &mut pushes.busy,
            Status::TimedOut => &mut pushes.timed_out,
            Status::NoConnection | Status::Crowded => &mut pushes.no_connection,
            Status::Reset => &mut pushes.reset,
            Status::Cancelled => &mut pushes.cancelled,
            Status::Skipped => &mut pushes.skipped,
        };
        *count += 1;
        if status == Status::Busy {
            self.second_at(at).rejected_pushes += 1;
        }
    }

    pub(crate) fn finish(mut self) -> Metrics {
        for (index, latencies) in self.latencies.iter().enumerate() {
            let topics = self.metrics.topics.len();
            let part = match self.metrics.topics.get_mut(index) {
                Some(part) => part,
                None => &mut self.metrics.accounts[index - topics],
            };
            if !latencies.is_empty() {
                part.latency_ms =
                    QUANTILES.iter().map(|q| latencies.value_at_quantile(*q) as f64 / 1_000.0).collect();
            }
        }
        let mut metrics = self.metrics;
        let share = |benefit: f64, asked: f64| if asked > 0.0 { benefit / asked } else { 1.0 };
        let all = |part: fn(&SecondMetrics) -> f64, seconds: &[SecondMetrics]| {
            seconds.iter().map(part).sum::<f64>()
        };
        let of = |seconds: &[SecondMetrics]| {
            share(all(|s| s.delivered_benefit, seconds), all(|s| s.requested_benefit, seconds))
        };
        metrics.served = of(&metrics.seconds);
        let busiest = metrics.seconds.iter().map(|s| s.requested_benefit).fold(0.0, f64::max);
        // A window at the end with hardly any traffic says nothing.
        let windows = metrics.seconds.windows(WINDOW.min(metrics.seconds.len().max(1))).enumerate();
        let full = windows.filter(|(_, w)| all(|s| s.requested_benefit, w) >= busiest);
        let worst = full.map(|(at, w)| (of(w), at)).min_by(|a, b| a.0.total_cmp(&b.0));
        metrics.worst_window = worst.unwrap_or((metrics.served, 0));
        let least = |parts: &[GroupMetrics]| {
            parts.iter().map(|p| share(p.delivered_benefit, p.requested_benefit)).fold(1.0, f64::min)
        };
        (metrics.worst_topic, metrics.worst_account) = (least(&metrics.topics), least(&metrics.accounts));
        metrics
    }
}

/// How something that was never delivered ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UndeliveredReason {
    Throttled,
    Expired,
    Abandoned,
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::Effect;

    fn topic(decay: Decay) -> Topic {
        Topic {
            name: "t".to_owned(),
            share: 1.0.into(),
            effect: Effect::Repeatable,
            window_ms: 0.0,
            ordered: false,
            work_ms: 10.0.into(),
            work_cv: 1.0.into(),
            work_law: crate::scenario::LatencyDistribution::Lognormal,
            try_cv: 0.2,
            objective_ms: 2_000.0,
            ttl_ms: 16_000.0,
            benefit: 1.0,
            late_share: 0.2,
            decay,
            kinds: Vec::new(),
        }
    }

    #[test]
    fn benefit_falls_after_the_objective_as_the_topic_type_says() {
        let at =
            |decay, ms| (value_fraction(&topic(decay), Span::from_millis(ms)) * 1_000.0).round() / 1_000.0;
        assert_eq!(
            [0, 2_000, 9_000, 16_000, 16_001].map(|ms| at(Decay::Even, ms)),
            [1.0, 1.0, 0.6, 0.2, 0.0]
        );
        assert_eq!([2_000, 4_000, 6_000, 12_000].map(|ms| at(Decay::Halves, ms)), [1.0, 0.5, 0.25, 0.2]);
    }

    #[test]
    fn the_worst_window_is_found_and_an_empty_run_serves_all() {
        assert_eq!(MetricsRecorder::new(&[], &[]).finish().served, 1.0);
        let mut recorder = MetricsRecorder::new(&["t".to_owned()], &[]);
        for second in 0..40u64 {
            let submitted_at = Time::from_nanos(second * 1_000_000_000);
            recorder.record_offered(submitted_at, 0, None, 1.0);
            if !(12..17).contains(&second) {
                recorder.record_delivery(submitted_at, Span::from_millis(100), 0, None, 1.0, 1.0);
            }
        }
        let metrics = recorder.finish();
        assert_eq!((metrics.served, metrics.worst_window), (35.0 / 40.0, (0.5, 7)));
        assert_eq!(metrics.topics[0].latency_ms[0].round(), 100.0);
    }
}
