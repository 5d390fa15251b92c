//! The recording of metrics during a run.

use hdrhistogram::Histogram;
use juniperwing::interface::CallStatus;
use juniperwing::time::{Span, Time};

use super::{GroupMetrics, Metrics, QUANTILES, SecondMetrics, WorstWindow};

/// The length of the windows of which the worst is reported, in seconds.
const WORST_WINDOW_S: usize = 10;
/// The upper limit of recorded latencies: a day.
const MAX_LATENCY_US: u64 = 86_400_000_000;
/// Significant decimal digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;

/// The properties of a notification that metrics depend on.
#[derive(Clone, Copy, Debug)]
pub struct Submission {
    /// When it was submitted for the first time.
    pub at: Time,
    /// Index of its topic type.
    pub topic: usize,
    /// Index of its account.
    pub account: Option<usize>,
    /// The benefit of a delivery within the latency objective.
    pub benefit: f64,
}

/// Why a notification was never delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UndeliveredReason {
    /// The last answer was that it is throttled.
    Throttled,
    /// It expired.
    Expired,
    /// It was withdrawn, or lost with its relay.
    Abandoned,
}

/// Records the metrics of a run.
pub struct MetricsRecorder {
    /// The metrics so far.
    pub metrics: Metrics,
    /// Those of topic types, followed by those of accounts.
    latencies: Vec<Histogram<u64>>,
}

impl MetricsRecorder {
    /// A recorder for topic types and accounts with these names.
    ///
    /// # Panics
    ///
    /// Never: the bounds of the histograms are constants.
    pub fn new(topics: &[String], accounts: &[String]) -> MetricsRecorder {
        let group = |name: &String| GroupMetrics { name: name.clone(), ..GroupMetrics::default() };
        let metrics = Metrics {
            topics: topics.iter().map(group).collect(),
            accounts: accounts.iter().map(group).collect(),
            ..Metrics::default()
        };
        // Fails only for bounds out of order or too many digits.
        let histogram =
            || Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS).expect("valid bounds");
        let latencies = topics.iter().chain(accounts).map(|_| histogram()).collect();
        MetricsRecorder { metrics, latencies }
    }

    /// The metrics of the second that a time lies in.
    pub fn second_at(&mut self, at: Time) -> &mut SecondMetrics {
        let index = at.since(Time::default()).as_secs_f64() as usize;
        let seconds = &mut self.metrics.seconds;
        if seconds.len() <= index {
            seconds.resize(index + 1, SecondMetrics::default());
        }
        &mut seconds[index]
    }

    /// The metrics of a topic type and, if there is one, of an account.
    fn groups(&mut self, topic: usize, account: Option<usize>) -> impl Iterator<Item = &mut GroupMetrics> {
        let metrics = &mut self.metrics;
        let account = account.and_then(|account| metrics.accounts.get_mut(account));
        metrics.topics.get_mut(topic).into_iter().chain(account)
    }

    /// Records the first submission of a notification.
    pub fn record_submission(&mut self, submission: &Submission) {
        for group in self.groups(submission.topic, submission.account) {
            group.offered += 1;
            group.requested_benefit += submission.benefit;
        }
        let second = self.second_at(submission.at);
        second.offered += 1;
        second.requested_benefit += submission.benefit;
    }

    /// Records the delivery of a notification `latency` after its submission, which earns a fraction of its benefit.
    pub fn record_delivery(&mut self, submission: &Submission, latency: Span, benefit_fraction: f64) {
        let Submission { at, topic, account, benefit } = *submission;
        for group in self.groups(topic, account) {
            group.delivered += 1;
            group.within_objective += u64::from(benefit_fraction >= 1.0);
            group.delivered_benefit += benefit * benefit_fraction;
        }
        let topics = self.metrics.topics.len();
        let latency_us = (latency.as_nanos() / 1_000).clamp(1, MAX_LATENCY_US);
        for index in [Some(topic), account.map(|account| topics + account)].into_iter().flatten() {
            if let Some(latencies) = self.latencies.get_mut(index) {
                latencies.saturating_record(latency_us);
            }
        }
        self.second_at(at).delivered_benefit += benefit * benefit_fraction;
    }

    /// Records a notification that will never be delivered.
    pub fn record_undelivered(&mut self, topic: usize, account: Option<usize>, reason: UndeliveredReason) {
        for group in self.groups(topic, account) {
            match reason {
                UndeliveredReason::Throttled => group.throttled += 1,
                UndeliveredReason::Expired => group.expired += 1,
                UndeliveredReason::Abandoned => group.abandoned += 1,
            }
        }
    }

    /// Records the outcome of a push that a relay received.
    pub fn record_push_outcome(&mut self, at: Time, status: CallStatus) {
        let pushes = &mut self.metrics.pushes;
        let count = match status {
            CallStatus::Delivered => &mut pushes.delivered,
            CallStatus::Error => &mut pushes.error,
            CallStatus::Busy => &mut pushes.busy,
            CallStatus::TimedOut => &mut pushes.timed_out,
            CallStatus::NoConnection | CallStatus::ConnectionLimitReached => &mut pushes.no_connection,
            CallStatus::Reset => &mut pushes.reset,
            CallStatus::Cancelled => &mut pushes.cancelled,
            CallStatus::Skipped => &mut pushes.skipped,
        };
        *count += 1;
        if status == CallStatus::Busy {
            self.second_at(at).rejected_pushes += 1;
        }
    }

    /// Returns the metrics of the run, including those that are derived from others.
    pub fn finish(mut self) -> Metrics {
        let groups = self.metrics.topics.iter_mut().chain(&mut self.metrics.accounts);
        for (group, latencies) in groups.zip(&self.latencies).filter(|(_, latencies)| !latencies.is_empty()) {
            let quantile_ms = |quantile: &f64| latencies.value_at_quantile(*quantile) as f64 / 1_000.0;
            group.latency_ms = QUANTILES.iter().map(quantile_ms).collect();
        }
        let mut metrics = self.metrics;
        metrics.served = served_fraction(&metrics.seconds);
        metrics.worst_window =
            worst_window(&metrics.seconds).unwrap_or(WorstWindow { served: metrics.served, start_s: 0 });
        metrics.worst_topic = worst_group(&metrics.topics);
        metrics.worst_account = worst_group(&metrics.accounts);
        metrics
    }
}

/// Delivered over requested benefit; 1 if none was requested.
fn fraction(delivered: f64, requested: f64) -> f64 {
    if requested > 0.0 { delivered / requested } else { 1.0 }
}

fn requested_benefit(seconds: &[SecondMetrics]) -> f64 {
    seconds.iter().map(|second| second.requested_benefit).sum()
}

fn served_fraction(seconds: &[SecondMetrics]) -> f64 {
    let delivered = seconds.iter().map(|second| second.delivered_benefit).sum::<f64>();
    fraction(delivered, requested_benefit(seconds))
}

/// The served fraction of the worst window, and the second in which that begins. Windows with less benefit than the
/// busiest second are left out: the result of a window with little traffic, such as one at the end, is not significant.
fn worst_window(seconds: &[SecondMetrics]) -> Option<WorstWindow> {
    let busiest = seconds.iter().map(|second| second.requested_benefit).fold(0.0, f64::max);
    let windows = seconds.windows(WORST_WINDOW_S.min(seconds.len().max(1))).enumerate();
    let busy = windows.filter(|(_, window)| requested_benefit(window) >= busiest);
    let worst = busy.map(|(start_s, window)| WorstWindow { served: served_fraction(window), start_s });
    worst.min_by(|a, b| a.served.total_cmp(&b.served))
}

fn worst_group(groups: &[GroupMetrics]) -> f64 {
    let served = groups.iter().map(|group| fraction(group.delivered_benefit, group.requested_benefit));
    served.fold(1.0, f64::min)
}
