//! Drives one relay by hand and writes down what it decides.

use std::fmt::Write;
use std::sync::Arc;

use juniperwing::Relay;
use juniperwing::interface::*;
use juniperwing::time::{Span, Time};

pub struct Rig {
    relay: Relay,
    ms: u64,
    pub trace: String,
    out: Vec<(NotificationId, EndpointId, u64)>,
    /// Pushes called off; each ends with the next round.
    cancelled: Vec<u64>,
    kind: Arc<DestinationKind>,
    /// When the relay last asked to be woken.
    wake: Time,
    /// Whether clients hear at once how a notification ended.
    pub hears: bool,
    /// What destinations tell of their limit.
    pub limit: Option<RateLimitReport>,
    /// The rate that the list gives for destinations.
    pub rate: f64,
}

/// Topic types: `safe` (repeatable), `mark` (collapsible in its zone for 4 s), `once` (once-only, in order).
fn topics() -> Vec<Arc<TopicType>> {
    let topic = |name: &str, effect, ordered| {
        let (objective, ttl) = (Span::from_millis(2_000), Span::from_millis(16_000));
        let name = name.to_owned();
        Arc::new(TopicType {
            name,
            semantics: effect,
            latency_target: objective,
            ttl,
            benefit: 1.0,
            late_benefit_fraction: 0.5,
            is_ordered: ordered,
        })
    };
    let mark = Semantics::Deduplicated { scope: DeduplicationScope::Zone, window: Span::from_millis(4_000) };
    vec![
        topic("safe", Semantics::Idempotent, false),
        topic("mark", mark, false),
        topic("once", Semantics::NonIdempotent, true),
    ]
}

/// One of so many relays, with so many slots.
pub fn terms(relays: usize, slots: usize) -> RelayConfig {
    let ms = Span::from_millis;
    RelayConfig {
        fleet: Fleet { relay_count: relays, is_list_on_request: true, tick: ms(5), ..Fleet::default() },
        limits: RelayLimits {
            slots,
            max_pushes: 8,
            max_pending: 100,
            max_retry_after: ms(3_000),
            can_cancel: true,
            idle_timeout: ms(u64::MAX),
            ..RelayLimits::default()
        },
        rules: RuleParameters {
            list_refresh_interval: ms(10_000),
            warm_up_initial_fraction: 0.2,
            warm_up_duration: ms(10_000),
            overload_factor: 2.0,
            overload_duration: ms(1_500),
            key_cooldown: ms(300),
        },
    }
}

impl Rig {
    /// A relay, one of two, with eight pushes for each notification and a list of endpoints (`name zone`) of
    /// destination 1, whose calls carry up to `per_call` notifications.
    pub fn new(slots: usize, per_call: usize, endpoints: &[(&str, &str)]) -> Rig {
        Rig::one_of(2, slots, per_call, endpoints)
    }

    /// The same, one of so many relays.
    pub fn one_of(relays: usize, slots: usize, per_call: usize, endpoints: &[(&str, &str)]) -> Rig {
        Rig::with(terms(relays, slots), per_call, endpoints)
    }

    /// The same, told these terms.
    pub fn with(terms: RelayConfig, per_call: usize, endpoints: &[(&str, &str)]) -> Rig {
        let relay = Relay::new(Time::from_nanos(0), 7, terms);
        let kind = Arc::new(DestinationKind {
            name: "plain".to_owned(),
            has_separate_routes: false,
            max_notifications_per_call: per_call,
        });
        let mut rig = Rig {
            relay,
            ms: 0,
            trace: String::new(),
            out: Vec::new(),
            cancelled: Vec::new(),
            kind,
            wake: Time::NEVER,
            hears: true,
            limit: None,
            rate: 1.0,
        };
        let entries =
            endpoints.iter().map(|(name, zone)| rig.entry(name, zone, Readiness::Serving)).collect();
        rig.give(Event::EndpointListUpdated(EndpointListUpdate::Snapshot(entries)));
        rig
    }

    /// One of so many relays, with eight slots, whose list gives this rate for each endpoint of zone `z`.
    pub fn listed(relays: usize, rate: f64, endpoints: &[&str]) -> Rig {
        let mut terms = terms(relays, 8);
        terms.fleet.has_listed_rates = true;
        let mut rig = Rig::with(terms, 1, &endpoints.iter().map(|name| (*name, "z")).collect::<Vec<_>>());
        rig.rate = rate;
        let entries = endpoints.iter().map(|name| rig.entry(name, "z", Readiness::Serving)).collect();
        rig.give(Event::EndpointListUpdated(EndpointListUpdate::Changes(entries)));
        rig
    }

    /// Hands in one event and writes down what follows.
    pub fn give(&mut self, event: Event) {
        let commands = self.relay.handle(Time::from_nanos(self.ms * 1_000_000), vec![event]);
        let mut heard = Vec::new();
        for command in commands {
            let ms = self.ms;
            if let Command::Throttle { notification, .. } | Command::Expire(notification) = command {
                heard.push(notification);
            }
            let line = match command {
                Command::Push { notification, endpoint, timeout, .. } => {
                    let line = format!(
                        "push {} to {} for {} ms",
                        notification.0,
                        endpoint.0,
                        timeout.as_nanos() / 1_000_000
                    );
                    self.out.push((notification, endpoint, ms));
                    line
                }
                Command::Throttle { notification, .. } => format!("throttle {}", notification.0),
                Command::Expire(ntf) => format!("expire {}", ntf.0),
                Command::SubscribeToEndpointList => "subscribe".to_owned(),
                Command::Cancel { notification, push_index } => {
                    self.cancelled.push(notification.0);
                    format!("cancel push {push_index} of {}", notification.0)
                }
                Command::Probe(endpoint) => format!("probe {}", endpoint.0),
                Command::CloseIdleConnections(endpoint) => {
                    format!("close idle connections to {}", endpoint.0)
                }
                Command::CancelUnsent(endpoint) => format!("recall what is not out to {}", endpoint.0),
                Command::Log(line) => line,
                Command::WakeAfter(after) => {
                    self.wake = Time::from_nanos(self.ms * 1_000_000) + after;
                    continue;
                }
            };
            writeln!(self.trace, "{ms:<6} {line}").expect("a string takes any text");
        }
        if self.hears {
            heard.into_iter().for_each(|ntf| self.give(Event::FinalAnswerAcknowledged(ntf)));
        }
    }

    pub fn accept(&mut self, id: u64, topic: &str, key: Option<&str>, ttl_ms: u64) {
        self.hand_in(id, topic, key, ttl_ms, NotificationHistory::default());
    }

    /// Hands in what an earlier life took on.
    pub fn resume(&mut self, id: u64, topic: &str, key: Option<&str>, past: NotificationHistory) {
        self.hand_in(id, topic, key, 16_000, past);
    }

    /// So many milliseconds before now, in zone `z`.
    pub fn ago(&self, ms: u64) -> PossibleRun {
        PossibleRun { sent_at: Time::from_nanos((self.ms - ms) * 1_000_000), zone: Arc::from("z") }
    }

    fn hand_in(&mut self, id: u64, topic: &str, key: Option<&str>, ttl_ms: u64, past: NotificationHistory) {
        self.give(Event::Accepted(Notification {
            id: NotificationId(id),
            destination: DestinationId(1),
            topic: topics().into_iter().find(|t| t.name == topic).expect("a known topic type"),
            account: None,
            key: key.map(str::to_owned),
            valid_until: Time::from_nanos((self.ms + ttl_ms) * 1_000_000),
            history: past,
        }));
    }

    /// The push of `id` that is out ends.
    pub fn end(&mut self, id: u64, status: CallStatus) {
        self.ends(id, status, None);
    }

    /// The push of `id` that is out is turned away, with a time to wait.
    pub fn refuse(&mut self, id: u64, wait: Span) {
        self.ends(id, CallStatus::Busy, Some(wait));
    }

    pub fn ends(&mut self, id: u64, status: CallStatus, wait: Option<Span>) {
        let place = self.out.iter().position(|o| o.0 == NotificationId(id)).expect("a push of it is out");
        let (ntf, endpoint, sent) = self.out.remove(place);
        let (spent, settled) = (Span::from_millis(self.ms - sent), status == CallStatus::Delivered);
        let limit = self.limit;
        self.give(Event::PushEnded(PushOutcome {
            notification: ntf,
            push_index: 0,
            endpoint,
            status,
            elapsed: spent,
            has_final_answer: settled,
            retry_after: wait,
            rate_limit: limit,
        }));
    }

    /// The notification whose push has been out longest.
    pub fn oldest(&self) -> u64 {
        self.out.first().expect("a push is out").0.0
    }

    /// Lets time pass, waking the relay all along.
    pub fn pass(&mut self, ms: u64) {
        let until = self.ms + ms;
        while self.ms < until {
            self.ms = (self.ms + 10).min(until);
            for id in std::mem::take(&mut self.cancelled) {
                self.end(id, CallStatus::Cancelled);
            }
            self.give(Event::WakeUp);
        }
    }

    /// The notifications pushed and not answered.
    pub fn out_now(&self) -> Vec<u64> {
        self.out.iter().map(|o| o.0.0).collect()
    }

    /// Lets time pass until a push of a notification is out, a minute at the most.
    pub fn pass_until_out(&mut self, id: u64) {
        let until = self.ms + 60_000;
        while self.ms < until && !self.out.iter().any(|o| o.0 == NotificationId(id)) {
            self.pass(10);
        }
    }

    /// Lets time pass, waking the relay only when it asks for it. Says how often it did.
    pub fn pass_woken(&mut self, ms: u64) -> usize {
        let (until, mut wakes) = (self.ms + ms, 0);
        while self.wake <= Time::from_nanos(until * 1_000_000) {
            self.ms = self.wake.since(Time::default()).as_nanos().div_ceil(1_000_000).max(self.ms);
            self.wake = Time::NEVER;
            self.give(Event::WakeUp);
            wakes += 1;
        }
        self.ms = until;
        wakes
    }

    /// Delivers `count` notifications, numbered from `first`, one after the other in `ms` each.
    pub fn warm(&mut self, first: u64, count: u64, ms: u64) {
        for id in first..first + count {
            self.accept(id, "safe", None, 16_000);
            self.pass(if self.kind.max_notifications_per_call > 1 { 1_000 } else { 0 });
            self.pass(ms);
            self.end(id, CallStatus::Delivered);
        }
        self.trace.clear();
    }

    pub fn entry(&self, name: &str, zone: &str, readiness: Readiness) -> EndpointEntry {
        EndpointEntry {
            endpoint: EndpointId(Arc::from(name)),
            destination: DestinationId(1),
            kind: self.kind.clone(),
            zone: Arc::from(zone),
            readiness,
            rate_per_second: self.rate,
        }
    }
}
