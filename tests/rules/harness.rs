//! Drives one relay with explicit events and records its commands as a trace.

use std::fmt::Write;
use std::sync::Arc;

use expect_test::Expect;
use juniperwing::Relay;
use juniperwing::interface::*;
use juniperwing::time::{Span, Time};

/// Endpoints as `(name, zone)`.
pub type Endpoints<'a> = &'a [(&'a str, &'a str)];

pub const ONE_ENDPOINT: Endpoints = &[("a", "z")];
pub const TWO_ENDPOINTS: Endpoints = &[("a", "z"), ("b", "z")];

/// The default TTL.
pub const TTL_MS: u64 = 16_000;

/// The longest time that [`RelayHarness::advance_until_in_flight`] waits.
const MAX_ADVANCE_MS: u64 = 60_000;

/// A push that has no outcome yet.
struct InFlightPush {
    notification: NotificationId,
    endpoint: EndpointId,
    sent_at_ms: u64,
}

/// A relay, its clock and the trace of its commands.
pub struct RelayHarness {
    relay: Relay,
    now_ms: u64,
    pub trace: String,
    in_flight: Vec<InFlightPush>,
    /// Notifications with a cancelled push, which ends in the next round.
    cancelled: Vec<u64>,
    kind: Arc<DestinationKind>,
    /// The wake-up that the relay last requested.
    next_wake_at: Time,
    /// Whether clients acknowledge each final answer at once.
    pub acknowledges_answers: bool,
    /// The rate limit that destinations report with each outcome.
    pub rate_limit: Option<RateLimitReport>,
    /// The rate of the endpoints in the list.
    pub listed_rate_per_second: f64,
}

/// Returns a topic type: `idempotent`, `deduplicated` (in one zone for 4 s) or `non-idempotent` (and ordered).
fn topic_type(name: &str) -> Arc<TopicType> {
    let zone = DeduplicationScope::Zone;
    let semantics = match name {
        "idempotent" => Semantics::Idempotent,
        "deduplicated" => Semantics::Deduplicated { scope: zone, window: Span::from_millis(4_000) },
        "non-idempotent" => Semantics::NonIdempotent,
        _ => panic!("no topic type {name}"),
    };
    Arc::new(TopicType {
        name: name.to_owned(),
        semantics,
        latency_target: Span::from_millis(2_000),
        ttl: Span::from_millis(TTL_MS),
        benefit: 1.0,
        late_benefit_fraction: 0.5,
        is_ordered: semantics == Semantics::NonIdempotent,
    })
}

/// The configuration of one of `relay_count` relays.
pub fn config(relay_count: usize, slots: usize) -> RelayConfig {
    let ms = Span::from_millis;
    RelayConfig {
        fleet: Fleet { relay_count, is_list_on_request: true, tick: ms(5), ..Fleet::default() },
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

/// The time `ms` milliseconds after the start.
fn time(ms: u64) -> Time {
    Time::from_nanos(ms * 1_000_000)
}

impl RelayHarness {
    /// Creates one of two relays, with up to eight pushes for each notification. The endpoints belong to destination 1,
    /// whose calls carry up to `per_call` notifications.
    pub fn new(slots: usize, per_call: usize, endpoints: Endpoints) -> Self {
        Self::with_config(config(2, slots), per_call, endpoints)
    }

    /// Creates a relay like [`RelayHarness::new`], with another configuration.
    pub fn with_config(config: RelayConfig, per_call: usize, endpoints: Endpoints) -> Self {
        let mut relay = RelayHarness {
            relay: Relay::new(time(0), 7, config),
            now_ms: 0,
            trace: String::new(),
            in_flight: Vec::new(),
            cancelled: Vec::new(),
            kind: Arc::new(DestinationKind {
                name: "plain".to_owned(),
                has_separate_routes: false,
                max_notifications_per_call: per_call,
            }),
            next_wake_at: Time::NEVER,
            acknowledges_answers: true,
            rate_limit: None,
            listed_rate_per_second: 1.0,
        };
        let entries = relay.serving_entries(endpoints);
        relay.update_list(EndpointListUpdate::Snapshot(entries));
        relay
    }

    /// Creates one of `relay_count` relays, with eight slots and an enforced listed rate for each endpoint.
    pub fn with_listed_rate(relay_count: usize, rate_per_second: f64, endpoints: Endpoints) -> Self {
        let mut config = config(relay_count, 8);
        config.fleet.has_listed_rates = true;
        let mut relay = Self::with_config(config, 1, endpoints);
        relay.listed_rate_per_second = rate_per_second;
        let entries = relay.serving_entries(endpoints);
        relay.update_list(EndpointListUpdate::Changes(entries));
        relay
    }

    /// Delivers `count` notifications, numbered from 1, each after `latency_ms`.
    pub fn warmed_up(mut self, count: u64, latency_ms: u64) -> Self {
        self.deliver_in_turn(1, count, latency_ms);
        self
    }

    /// Delivers `count` notifications sequentially, numbered from `first`, each after `latency_ms`, then clears the
    /// trace.
    pub fn deliver_in_turn(&mut self, first: u64, count: u64, latency_ms: u64) {
        for id in first..first + count {
            self.accept(id, "idempotent", None, TTL_MS);
            self.advance(if self.kind.max_notifications_per_call > 1 { 1_000 } else { 0 });
            self.advance(latency_ms);
            self.end_push(id, CallStatus::Delivered);
        }
        self.trace.clear();
    }

    /// Compares the trace with the expected one.
    pub fn assert_trace(&self, expected: Expect) {
        expected.assert_eq(&self.trace);
    }

    /// Passes one event to the relay and records the resulting commands.
    pub fn handle(&mut self, event: Event) {
        let mut answered = Vec::new();
        for command in self.relay.handle(time(self.now_ms), vec![event]) {
            if let Command::Throttle { notification, .. } | Command::Expire(notification) = command {
                answered.push(notification);
            }
            if let Some(line) = self.execute(command) {
                writeln!(self.trace, "{:<6} {line}", self.now_ms).expect("writing to a string succeeds");
            }
        }
        if self.acknowledges_answers {
            answered.into_iter().for_each(|id| self.handle(Event::FinalAnswerAcknowledged(id)));
        }
    }

    /// Executes a command. Returns its line in the trace, if it has one.
    fn execute(&mut self, command: Command) -> Option<String> {
        Some(match command {
            Command::Push { notification, endpoint, timeout, .. } => {
                let timeout_ms = timeout.as_nanos() / 1_000_000;
                let line = format!("push {} to {} for {timeout_ms} ms", notification.0, endpoint.0);
                self.in_flight.push(InFlightPush { notification, endpoint, sent_at_ms: self.now_ms });
                line
            }
            Command::Throttle { notification, .. } => format!("throttle {}", notification.0),
            Command::Expire(notification) => format!("expire {}", notification.0),
            Command::SubscribeToEndpointList => "subscribe".to_owned(),
            Command::Cancel { notification, push_index } => {
                self.cancelled.push(notification.0);
                format!("cancel push {push_index} of {}", notification.0)
            }
            Command::Probe(endpoint) => format!("probe {}", endpoint.0),
            Command::CloseIdleConnections(endpoint) => format!("close idle connections to {}", endpoint.0),
            Command::CancelUnsent(endpoint) => format!("cancel unsent pushes to {}", endpoint.0),
            Command::Log(line) => line,
            Command::WakeAfter(delay) => {
                self.next_wake_at = time(self.now_ms) + delay;
                return None;
            }
        })
    }

    /// Submits a new notification.
    pub fn accept(&mut self, id: u64, topic: &str, key: Option<&str>, ttl_ms: u64) {
        self.submit(id, topic, key, ttl_ms, NotificationHistory::default());
    }

    /// Submits new notifications without a key.
    pub fn accept_all(&mut self, ids: impl IntoIterator<Item = u64>, topic: &str, ttl_ms: u64) {
        ids.into_iter().for_each(|id| self.accept(id, topic, None, ttl_ms));
    }

    /// Submits a notification that an earlier process accepted.
    pub fn accept_recovered(
        &mut self, id: u64, topic: &str, key: Option<&str>, history: NotificationHistory,
    ) {
        self.submit(id, topic, key, TTL_MS, history);
    }

    fn submit(&mut self, id: u64, topic: &str, key: Option<&str>, ttl_ms: u64, history: NotificationHistory) {
        self.handle(Event::Accepted(Notification {
            id: NotificationId(id),
            destination: DestinationId(1),
            topic: topic_type(topic),
            account: None,
            key: key.map(str::to_owned),
            valid_until: time(self.now_ms + ttl_ms),
            history,
        }));
    }

    /// A push sent to zone `z` `age_ms` milliseconds ago.
    pub fn possible_execution(&self, age_ms: u64) -> PossibleExecution {
        PossibleExecution { sent_at: time(self.now_ms - age_ms), zone: Arc::from("z") }
    }

    /// Ends the push of `id` that is in flight.
    pub fn end_push(&mut self, id: u64, status: CallStatus) {
        self.end_push_with_retry_after(id, status, None);
    }

    /// Ends all pushes in flight.
    pub fn end_all_pushes(&mut self, status: CallStatus) {
        self.in_flight().into_iter().for_each(|id| self.end_push(id, status));
    }

    /// Rejects the push of `id` that is in flight and requests a delay.
    pub fn reject_push(&mut self, id: u64, retry_after_ms: u64) {
        self.end_push_with_retry_after(id, CallStatus::Busy, Some(retry_after_ms));
    }

    /// Ends the push of `id` that is in flight; the response may request a delay.
    pub fn end_push_with_retry_after(&mut self, id: u64, status: CallStatus, retry_after_ms: Option<u64>) {
        let is_push = |push: &InFlightPush| push.notification == NotificationId(id);
        let index = self.in_flight.iter().position(is_push).expect("a push of it is in flight");
        let push = self.in_flight.remove(index);
        self.handle(Event::PushEnded(PushOutcome {
            notification: push.notification,
            push_index: 0,
            endpoint: push.endpoint,
            status,
            elapsed: Span::from_millis(self.now_ms - push.sent_at_ms),
            has_final_answer: status == CallStatus::Delivered,
            retry_after: retry_after_ms.map(Span::from_millis),
            rate_limit: self.rate_limit,
        }));
    }

    /// The notifications with a push in flight, in order of sending.
    pub fn in_flight(&self) -> Vec<u64> {
        self.in_flight.iter().map(|push| push.notification.0).collect()
    }

    /// The notification whose push has been in flight longest.
    pub fn oldest_in_flight(&self) -> u64 {
        self.in_flight.first().expect("a push is in flight").notification.0
    }

    /// Advances the time in steps of 10 ms and wakes the relay at each.
    pub fn advance(&mut self, ms: u64) {
        let until = self.now_ms + ms;
        while self.now_ms < until {
            self.now_ms = (self.now_ms + 10).min(until);
            for id in std::mem::take(&mut self.cancelled) {
                self.end_push(id, CallStatus::Cancelled);
            }
            self.handle(Event::WakeUp);
        }
    }

    /// Advances the time until a push of a notification is in flight, by at most [`MAX_ADVANCE_MS`].
    pub fn advance_until_in_flight(&mut self, id: u64) {
        let until = self.now_ms + MAX_ADVANCE_MS;
        while self.now_ms < until && !self.in_flight().contains(&id) {
            self.advance(10);
        }
    }

    /// Advances the time and wakes the relay only when it requested that. Returns the number of wake-ups.
    pub fn advance_by_wake_ups(&mut self, ms: u64) -> usize {
        let (until, mut wake_ups) = (self.now_ms + ms, 0);
        while self.next_wake_at <= time(until) {
            let due_ms = self.next_wake_at.since(Time::default()).as_nanos().div_ceil(1_000_000);
            self.now_ms = due_ms.max(self.now_ms);
            self.next_wake_at = Time::NEVER;
            self.handle(Event::WakeUp);
            wake_ups += 1;
        }
        self.now_ms = until;
        wake_ups
    }

    /// Passes an update of the endpoint list to the relay.
    pub fn update_list(&mut self, update: EndpointListUpdate) {
        self.handle(Event::EndpointListUpdated(update));
    }

    fn serving_entries(&self, endpoints: Endpoints) -> Vec<EndpointEntry> {
        endpoints.iter().map(|(name, zone)| self.entry(name, zone, Readiness::Serving)).collect()
    }

    /// A list entry of destination 1.
    pub fn entry(&self, name: &str, zone: &str, readiness: Readiness) -> EndpointEntry {
        EndpointEntry {
            endpoint: EndpointId(Arc::from(name)),
            destination: DestinationId(1),
            kind: self.kind.clone(),
            zone: Arc::from(zone),
            readiness,
            rate_per_second: self.listed_rate_per_second,
        }
    }
}
