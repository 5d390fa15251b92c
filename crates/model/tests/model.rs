//! The simulation compared with queueing theory, and invariants of every run.

mod common;

use common::{Forwarding, assert_notifications_conserved, scenario};
use juniperwing::interface::{Command, Event};
use juniperwing::time::{Span, Time};
use juniperwing_model::fleet::Fleet;
use juniperwing_model::policy::{GroundTruth, Policies, Policy};
use juniperwing_model::scenario::{LimitKind, Range, Scenario, ServiceTimeDistribution};
use juniperwing_model::{Core, Metrics, simulate};
use proptest::prelude::*;

/// Simulates one destination with one endpoint and no network delay, where each notification is pushed immediately.
fn simulate_queue(rate: f64, work_ms: f64, law: ServiceTimeDistribution, cv: f64, servers: f64) -> Metrics {
    let mut plain: Scenario = scenario(3_000, "");
    plain.zones.truncate(1);
    plain.accounts.clear();
    plain.kinds.truncate(1);
    plain.topics.truncate(1);
    let (topic, kind) = (&mut plain.topics[0], &mut plain.kinds[0]);
    (topic.mean_work_ms, topic.work_distribution, topic.work_cv, topic.attempt_cv) =
        (work_ms.into(), law, cv.into(), 0.0);
    (topic.ttl_ms, topic.latency_target_ms) = (600_000.0, 600_000.0);
    kind.limit = LimitKind::None;
    kind.max_notifications_per_call = 1;
    kind.queue_per_server = Range::from(1e6);
    // Sets the headroom that yields `servers` servers, which are rounded up from those busy at full load.
    kind.capacity_headroom = Range::from((servers - 0.5) / (rate * work_ms / 1_000.0));
    (plain.destinations.count, plain.destinations.endpoints) = (1.0.into(), 1.0.into());
    (plain.traffic.rate, plain.traffic.load, plain.traffic.batched_fraction) =
        (rate.into(), 1.0.into(), 0.0.into());
    plain.relays.count = 1.0.into();
    (plain.relays.min_slots, plain.relays.min_pending_capacity, plain.relays.tick_ms) = (1e5, 1e6, 0.0);
    (plain.network.same_zone_delay_ms, plain.network.cross_zone_delay_ms) = (0.0.into(), 0.0.into());
    assert_eq!(plain.check(), []);
    simulate(&plain, 11, &Forwarding)
}

/// The mean number of calls in the system, by samples once a second.
fn mean_number(metrics: &Metrics) -> f64 {
    let steady = &metrics.seconds[100..3_000];
    steady.iter().map(|second| second.in_flight_calls as f64).sum::<f64>() / steady.len() as f64
}

/// The probability that a call has to wait with `servers` servers at offered load `a`.
fn erlang_c(servers: u32, a: f64) -> f64 {
    let (mut term, mut sum) = (1.0, 0.0);
    for n in 0..servers {
        sum += term;
        term *= a / f64::from(n + 1);
    }
    let last = term * f64::from(servers) / (f64::from(servers) - a);
    last / (sum + last)
}

/// M/M/1: the mean number in the system is rho / (1 - rho), and the median time is that of an exponential.
#[test]
fn single_server_queue_matches_theory() {
    let (rate, work) = (7.0, 0.1);
    let metrics = simulate_queue(rate, work * 1_000.0, ServiceTimeDistribution::Exponential, 1.0, 1.0);
    let (rho, number) = (rate * work, mean_number(&metrics));
    let expected = rho / (1.0 - rho);
    assert!((number / expected - 1.0).abs() < 0.10, "{number} for {expected}");
    let median = metrics.topics[0].latency_ms[0] / 1_000.0;
    let expected = std::f64::consts::LN_2 * work / (1.0 - rho);
    assert!((median / expected - 1.0).abs() < 0.10, "{median} for {expected}");
}

/// M/M/c, by the Erlang C formula.
#[test]
fn multi_server_queue_matches_theory() {
    let (rate, work, servers) = (32.0, 0.1, 4);
    let metrics =
        simulate_queue(rate, work * 1_000.0, ServiceTimeDistribution::Exponential, 1.0, f64::from(servers));
    let a = rate * work;
    let mean_wait_s = erlang_c(servers, a) * work / (f64::from(servers) - a);
    let (number, expected) = (mean_number(&metrics), rate * (mean_wait_s + work));
    assert!((number / expected - 1.0).abs() < 0.10, "{number} for {expected}");
}

/// M/G/1 with lognormal service times, by the Pollaczek-Khinchine formula.
#[test]
fn lognormal_service_queue_matches_theory() {
    let (rate, work, cv) = (6.0, 0.1, 1.5);
    let metrics = simulate_queue(rate, work * 1_000.0, ServiceTimeDistribution::Lognormal, cv, 1.0);
    let rho = rate * work;
    let mean_wait_s = rho / (1.0 - rho) * (1.0 + cv * cv) / 2.0 * work;
    let (number, expected) = (mean_number(&metrics), rate * (mean_wait_s + work));
    assert!((number / expected - 1.0).abs() < 0.15, "{number} for {expected}");
}

/// The number of notifications is that of a Poisson process with the configured rate, within a tolerance.
#[test]
fn arrivals_match_the_rate() {
    let mut plain = scenario(400, "");
    (plain.traffic.swing_amplitude, plain.traffic.batched_fraction) = (0.4.into(), 0.3.into());
    let offered: u64 = simulate(&plain, 5, &Forwarding).topics.iter().map(|topic| topic.offered).sum();
    let expected = 60.0 * 0.75 * 400.0;
    assert!((offered as f64 / expected - 1.0).abs() < 0.06, "{offered} for {expected}");
}

#[test]
fn runs_are_reproducible_and_differ_between_seeds() {
    let faults_toml = "[[trouble]]\nwhat = \"kill\"\nstart_s = 5\nextent = 0.4\nsize = 2\n";
    let text =
        |seed| serde_json::to_string(&simulate(&scenario(15, faults_toml), seed, &Core)).expect("JSON");
    assert_eq!(text(3), text(3));
    assert_ne!(text(3), text(4));
}

#[test]
fn resolved_scenario_resolves_to_itself_and_runs_the_same() {
    let mut ranged =
        scenario(10, "[[trouble]]\nwhat = \"slow\"\nstart_s = [2, 5]\nspan_s = [3, 4]\nsize = [3, 9]\n");
    ranged.traffic.load = Range { min: 0.5, max: 0.9 };
    let resolved = ranged.resolve(9);
    let text = |scenario: &Scenario| toml::to_string(scenario).expect("TOML");
    assert_eq!(text(&resolved), text(&resolved.resolve(9)));
    let read: Scenario = toml::from_str(&text(&resolved)).expect("a scenario");
    let metrics = |scenario: &Scenario| serde_json::to_string(&simulate(scenario, 9, &Core)).expect("JSON");
    assert_eq!(metrics(&ranged), metrics(&read));
}

/// Adding a fault changes no submission.
#[test]
fn added_fault_changes_no_other_draw() {
    let slow = "[[trouble]]\nwhat = \"slow\"\nstart_s = 4\nspan_s = 4\nsize = 5\nextent = 0.5\n";
    let offered = |faults_toml| {
        let metrics = simulate(&scenario(12, faults_toml), 2, &Core);
        metrics.seconds.iter().map(|second| second.offered).collect::<Vec<_>>()
    };
    let (calm, faulty) = (offered(""), offered(slow));
    assert_eq!(calm[..12], faulty[..12]);
}

#[test]
fn run_without_traffic_ends_and_serves_all() {
    let mut idle = scenario(86_400, "");
    idle.traffic.rate = 0.0.into();
    let metrics = simulate(&idle, 1, &Core);
    assert_eq!(
        (metrics.served, metrics.pushes.sent, metrics.is_truncated, metrics.violation_count),
        (1.0, 0, false, 0)
    );
}

#[test]
fn killed_relays_lose_no_stored_notifications() {
    let kill = "[[trouble]]\nwhat = \"kill\"\nstart_s = 5\nextent = 1\nsize = 1.5\n";
    let metrics = simulate(&scenario(15, kill), 1, &Core);
    assert_notifications_conserved(&metrics);
    assert_eq!(metrics.violation_count, 0, "{:#?}", metrics.violations);
    let lost = kill.replace("kill", "lose");
    let metrics = simulate(&scenario(15, &lost), 1, &Core);
    assert_notifications_conserved(&metrics);
    assert_eq!(metrics.violation_count, 0, "{:#?}", metrics.violations);
}

const FAULT_KINDS: [&str; 17] = [
    "slow",
    "silent",
    "errors",
    "refuses",
    "down",
    "pauses",
    "limit",
    "handshakes",
    "burst",
    "hot",
    "release",
    "hot-relays",
    "list-down",
    "list-stale",
    "deploy",
    "resets",
    "cut-there",
];

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// With any overlapping faults, each notification has one outcome, and the run is not truncated.
    #[test]
    fn notifications_are_conserved(
        faults in prop::collection::vec((0..FAULT_KINDS.len(), 0.0f64..6.0, 0.1f64..6.0, 0.05f64..0.9), 0..4), seed in 0u64..1_000,
    ) {
        let mut faults_toml = String::new();
        for (kind, start, span, extent) in &faults {
            let size = if ["resets", "limit", "hot-relays"].contains(&FAULT_KINDS[*kind]) { 0.3 } else { 2.0 };
            faults_toml += &format!(
                "[[trouble]]\nwhat = \"{}\"\nstart_s = {start}\nspan_s = {span}\nextent = {extent}\nsize = {size}\n",
                FAULT_KINDS[*kind]
            );
        }
        let metrics = simulate(&scenario(8, &faults_toml), seed, &Core);
        assert_notifications_conserved(&metrics);
        prop_assert!(!metrics.is_truncated && metrics.invalid_commands == 0);
        let violations: Vec<_> = metrics.violations.iter().filter(|b| b.rule != juniperwing_model::Rule::Recovery).collect();
        prop_assert!(violations.is_empty(), "{:#?}", violations);
    }
}

/// Requests an immediate wake-up in each turn.
struct BusyLoopPolicy;

impl Policies for BusyLoopPolicy {
    fn name(&self) -> &str {
        "restless"
    }

    fn start(&self, _: Time, _: usize, _: u64, _: &Fleet) -> Box<dyn Policy> {
        Box::new(BusyLoopPolicy)
    }
}

impl Policy for BusyLoopPolicy {
    fn handle(&mut self, _: Time, _: Vec<Event>, _: &dyn GroundTruth) -> Vec<Command> {
        vec![Command::WakeAfter(Span::ZERO)]
    }
}

/// Such a policy has one turn each tick. Without a tick, its run is truncated and marked as such in the metrics.
#[test]
fn busy_loop_policy_does_not_stop_the_clock() {
    let mut idle = scenario(10, "");
    (idle.traffic.rate, idle.relays.count) = (0.0.into(), 1.0.into());
    let metrics = simulate(&idle, 1, &BusyLoopPolicy);
    assert!(!metrics.is_truncated && (1_990..=2_010).contains(&metrics.turns), "{}", metrics.turns);
    idle.relays.tick_ms = 0.0;
    assert!(simulate(&idle, 1, &BusyLoopPolicy).is_truncated);
}
