//! The accounting of a run: benefit by topic type, account and window, latencies, outcomes of pushes, connections, and
//! what reached a few destinations beside what they could do. It owns these counts; it must never judge a rule or
//! influence what happens.

use hdrhistogram::Histogram;
use juniperwing::interface::CallStatus;
use juniperwing::time::{Span, Time};
use serde::Serialize;

use crate::judge::Break;
use crate::scenario::{Decay, Topic};

/// Seconds of the windows of which the worst is named.
const WINDOW: usize = 10;
/// The longest latency that is told apart, in microseconds: a day.
const LONGEST_US: u64 = 86_400_000_000;

/// What is counted for one part of the traffic.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Part {
    /// Its name.
    pub name: String,
    /// Notifications handed in for the first time.
    pub offered: u64,
    /// Delivered before their time was up.
    pub delivered: u64,
    /// Delivered within the latency objective.
    pub in_objective: u64,
    /// Never delivered: the last answer was a throttling.
    pub throttled: u64,
    /// Never delivered: expired.
    pub expired: u64,
    /// Never delivered: taken back, or lost with a relay.
    pub gone: u64,
    /// The benefit asked for.
    pub asked: f64,
    /// The benefit delivered.
    pub benefit: f64,
    /// Latencies of what was delivered, in milliseconds, at the quantiles of [`QUANTILES`].
    pub latency_ms: Vec<f64>,
}

/// The quantiles that figures name.
pub const QUANTILES: [f64; 5] = [0.5, 0.9, 0.99, 0.999, 1.0];

/// How pushes ended.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Pushes {
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
pub struct Second {
    /// Handed in for the first time.
    pub offered: u64,
    /// The benefit asked for by these.
    pub asked: f64,
    /// The benefit that these were delivered for, whenever that was.
    pub benefit: f64,
    /// Pushes sent.
    pub pushes: u64,
    /// Pushes turned away.
    pub refused: u64,
    /// Calls out at its end.
    pub out: usize,
    /// Notifications held at its end.
    pub held: usize,
}

/// What reached a destination, second by second, beside what it could do.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Watched {
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
pub struct Figures {
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
    pub topics: Vec<Part>,
    /// By account.
    pub accounts: Vec<Part>,
    /// How pushes ended.
    pub pushes: Pushes,
    /// Turned away because a relay held all that it may.
    pub hold_full: u64,
    /// Handed in again after a throttling.
    pub again: u64,
    /// Connections opened.
    pub connections: u64,
    /// Probes sent.
    pub probes: u64,
    /// Requests for the list.
    pub list_requests: u64,
    /// Lanes that came back from an outage, and those that were pushed over.
    pub returns: (usize, usize),
    /// Commands that nobody could carry out: a push to an endpoint of another destination and the like.
    pub faults: u64,
    /// Broken rules; the first are described.
    pub broken: usize,
    /// The first of them.
    pub breaks: Vec<Break>,
    /// Second by second.
    pub seconds: Vec<Second>,
    /// A few destinations.
    pub watched: Vec<Watched>,
    /// Events that the model took, and turns of relays.
    pub events: u64,
    /// Turns of relays.
    pub turns: u64,
    /// It was broken off: more events than a run of that size can have.
    pub cut: bool,
}

/// The benefit of a delivery after `spent`, as a share of its full benefit.
pub fn worth(topic: &Topic, spent: Span) -> f64 {
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
pub(crate) struct Ledger {
    pub(crate) figures: Figures,
    latencies: Vec<Histogram<u64>>,
}

impl Ledger {
    pub(crate) fn new(topics: &[String], accounts: &[String]) -> Ledger {
        let part = |name: &String| Part { name: name.clone(), ..Part::default() };
        let figures = Figures {
            topics: topics.iter().map(part).collect(),
            accounts: accounts.iter().map(part).collect(),
            ..Figures::default()
        };
        // Fails only for bounds that make no sense, which these do.
        let histogram = || Histogram::new_with_bounds(1, LONGEST_US, 3).expect("sound bounds");
        let latencies = topics.iter().chain(accounts).map(|_| histogram()).collect();
        Ledger { figures, latencies }
    }

    pub(crate) fn second(&mut self, at: Time) -> &mut Second {
        let place = at.since(Time::default()).as_secs_f64() as usize;
        let seconds = &mut self.figures.seconds;
        if seconds.len() <= place {
            seconds.resize(place + 1, Second::default());
        }
        &mut seconds[place]
    }

    fn parts(&mut self, topic: usize, account: Option<usize>) -> impl Iterator<Item = &mut Part> {
        let figures = &mut self.figures;
        let account = account.and_then(|account| figures.accounts.get_mut(account));
        figures.topics.get_mut(topic).into_iter().chain(account)
    }

    pub(crate) fn offered(&mut self, at: Time, topic: usize, account: Option<usize>, benefit: f64) {
        self.parts(topic, account).for_each(|part| {
            part.offered += 1;
            part.asked += benefit;
        });
        let second = self.second(at);
        second.offered += 1;
        second.asked += benefit;
    }

    pub(crate) fn delivered(
        &mut self, born: Time, spent: Span, topic: usize, account: Option<usize>, benefit: f64, share: f64,
    ) {
        self.parts(topic, account).for_each(|part| {
            part.delivered += 1;
            part.in_objective += u64::from(share >= 1.0);
            part.benefit += benefit * share;
        });
        let topics = self.figures.topics.len();
        let us = (spent.as_nanos() / 1_000).clamp(1, LONGEST_US);
        for place in [Some(topic), account.map(|account| topics + account)].into_iter().flatten() {
            if let Some(latencies) = self.latencies.get_mut(place) {
                latencies.saturating_record(us);
            }
        }
        self.second(born).benefit += benefit * share;
    }

    pub(crate) fn undelivered(&mut self, topic: usize, account: Option<usize>, why: Undelivered) {
        self.parts(topic, account).for_each(|part| match why {
            Undelivered::Throttled => part.throttled += 1,
            Undelivered::Expired => part.expired += 1,
            Undelivered::Gone => part.gone += 1,
        });
    }

    pub(crate) fn ended(&mut self, at: Time, status: CallStatus) {
        let pushes = &mut self.figures.pushes;
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
            self.second(at).refused += 1;
        }
    }

    pub(crate) fn finish(mut self) -> Figures {
        for (place, latencies) in self.latencies.iter().enumerate() {
            let topics = self.figures.topics.len();
            let part = match self.figures.topics.get_mut(place) {
                Some(part) => part,
                None => &mut self.figures.accounts[place - topics],
            };
            if !latencies.is_empty() {
                part.latency_ms =
                    QUANTILES.iter().map(|q| latencies.value_at_quantile(*q) as f64 / 1_000.0).collect();
            }
        }
        let mut figures = self.figures;
        let share = |benefit: f64, asked: f64| if asked > 0.0 { benefit / asked } else { 1.0 };
        let all = |part: fn(&Second) -> f64, seconds: &[Second]| seconds.iter().map(part).sum::<f64>();
        let of = |seconds: &[Second]| share(all(|s| s.benefit, seconds), all(|s| s.asked, seconds));
        figures.served = of(&figures.seconds);
        let busiest = figures.seconds.iter().map(|s| s.asked).fold(0.0, f64::max);
        // A window at the end with hardly any traffic says nothing.
        let windows = figures.seconds.windows(WINDOW.min(figures.seconds.len().max(1))).enumerate();
        let full = windows.filter(|(_, w)| all(|s| s.asked, w) >= busiest);
        let worst = full.map(|(at, w)| (of(w), at)).min_by(|a, b| a.0.total_cmp(&b.0));
        figures.worst_window = worst.unwrap_or((figures.served, 0));
        let least = |parts: &[Part]| parts.iter().map(|p| share(p.benefit, p.asked)).fold(1.0, f64::min);
        (figures.worst_topic, figures.worst_account) = (least(&figures.topics), least(&figures.accounts));
        figures
    }
}

/// How something that was never delivered ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Undelivered {
    Throttled,
    Expired,
    Gone,
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
            work_law: crate::scenario::Law::Lognormal,
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
        let at = |decay, ms| (worth(&topic(decay), Span::from_millis(ms)) * 1_000.0).round() / 1_000.0;
        assert_eq!(
            [0, 2_000, 9_000, 16_000, 16_001].map(|ms| at(Decay::Even, ms)),
            [1.0, 1.0, 0.6, 0.2, 0.0]
        );
        assert_eq!([2_000, 4_000, 6_000, 12_000].map(|ms| at(Decay::Halves, ms)), [1.0, 0.5, 0.25, 0.2]);
    }

    #[test]
    fn the_worst_window_is_found_and_an_empty_run_serves_all() {
        assert_eq!(Ledger::new(&[], &[]).finish().served, 1.0);
        let mut ledger = Ledger::new(&["t".to_owned()], &[]);
        for second in 0..40u64 {
            let born = Time::from_nanos(second * 1_000_000_000);
            ledger.offered(born, 0, None, 1.0);
            if !(12..17).contains(&second) {
                ledger.delivered(born, Span::from_millis(100), 0, None, 1.0, 1.0);
            }
        }
        let figures = ledger.finish();
        assert_eq!((figures.served, figures.worst_window), (35.0 / 40.0, (0.5, 7)));
        assert_eq!(figures.topics[0].latency_ms[0].round(), 100.0);
    }
}
