//! The model against theory where there is one, and what must hold for every run.

mod common;

use common::{PassesOn, conserves, scenario};
use juniperwing::interface::{Command, Event};
use juniperwing::time::{Span, Time};
use juniperwing_model::fleet::Fleet;
use juniperwing_model::policy::{Policies, Policy, Truth};
use juniperwing_model::scenario::{LatencyDistribution, LimitForm, Range, Scenario};
use juniperwing_model::{Core, Metrics, simulate};
use proptest::prelude::*;

/// One destination with one endpoint and no network, at which whatever comes is passed on at once.
fn queue(rate: f64, work_ms: f64, law: LatencyDistribution, cv: f64, servers: f64) -> Metrics {
    let mut plain: Scenario = scenario(3_000, "");
    plain.zones.truncate(1);
    plain.account.clear();
    plain.kind.truncate(1);
    plain.topic.truncate(1);
    let (topic, kind) = (&mut plain.topic[0], &mut plain.kind[0]);
    (topic.work_ms, topic.work_law, topic.work_cv, topic.try_cv) = (work_ms.into(), law, cv.into(), 0.0);
    (topic.ttl_ms, topic.objective_ms) = (600_000.0, 600_000.0);
    kind.limit = LimitForm::None;
    kind.per_call = 1;
    kind.queue = Range::from(1e6);
    // As many servers as are asked for: what is busy at full load, and room.
    kind.spare = Range::from((servers - 0.5) / (rate * work_ms / 1_000.0));
    (plain.destinations.count, plain.destinations.endpoints) = (1.0.into(), 1.0.into());
    (plain.traffic.rate, plain.traffic.load, plain.traffic.clumps) = (rate.into(), 1.0.into(), 0.0.into());
    plain.relays.count = 1.0.into();
    (plain.relays.least_slots, plain.relays.least_held, plain.relays.tick_ms) = (1e5, 1e6, 0.0);
    (plain.network.near_ms, plain.network.far_ms) = (0.0.into(), 0.0.into());
    assert_eq!(plain.check(), []);
    simulate(&plain, 11, &PassesOn)
}

/// Mean time in the system, in seconds, from the mean number in it: Little's law, by samples once a second.
fn mean_number(metrics: &Metrics) -> f64 {
    let steady = &metrics.seconds[100..3_000];
    steady.iter().map(|second| second.in_flight_calls as f64).sum::<f64>() / steady.len() as f64
}

/// The chance to wait with `servers` servers at offered load `a`.
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
fn one_server_waits_as_theory_says() {
    let (rate, work) = (7.0, 0.1);
    let metrics = queue(rate, work * 1_000.0, LatencyDistribution::Exponential, 1.0, 1.0);
    let (rho, number) = (rate * work, mean_number(&metrics));
    let expected = rho / (1.0 - rho);
    assert!((number / expected - 1.0).abs() < 0.10, "{number} for {expected}");
    let median = metrics.topics[0].latency_ms[0] / 1_000.0;
    let expected = std::f64::consts::LN_2 * work / (1.0 - rho);
    assert!((median / expected - 1.0).abs() < 0.10, "{median} for {expected}");
}

/// M/M/c, by Erlang's formula.
#[test]
fn several_servers_wait_as_theory_says() {
    let (rate, work, servers) = (32.0, 0.1, 4);
    let metrics = queue(rate, work * 1_000.0, LatencyDistribution::Exponential, 1.0, f64::from(servers));
    let a = rate * work;
    let waits = erlang_c(servers, a) * work / (f64::from(servers) - a);
    let (number, expected) = (mean_number(&metrics), rate * (waits + work));
    assert!((number / expected - 1.0).abs() < 0.10, "{number} for {expected}");
}

/// M/G/1 with lognormal work, by Pollaczek and Khinchine.
#[test]
fn heavy_tailed_work_waits_as_theory_says() {
    let (rate, work, cv) = (6.0, 0.1, 1.5);
    let metrics = queue(rate, work * 1_000.0, LatencyDistribution::Lognormal, cv, 1.0);
    let rho = rate * work;
    let waits = rho / (1.0 - rho) * (1.0 + cv * cv) / 2.0 * work;
    let (number, expected) = (mean_number(&metrics), rate * (waits + work));
    assert!((number / expected - 1.0).abs() < 0.15, "{number} for {expected}");
}

/// As many notifications as a Poisson process of that rate brings, give or take.
#[test]
fn arrivals_come_at_the_rate_asked_for() {
    let mut plain = scenario(400, "");
    (plain.traffic.swing, plain.traffic.clumps) = (0.4.into(), 0.3.into());
    let offered: u64 = simulate(&plain, 5, &PassesOn).topics.iter().map(|topic| topic.offered).sum();
    let expected = 60.0 * 0.75 * 400.0;
    assert!((offered as f64 / expected - 1.0).abs() < 0.06, "{offered} for {expected}");
}

#[test]
fn the_same_scenario_and_seed_give_the_same_figures_and_another_seed_others() {
    let troubles = "[[trouble]]\nwhat = \"kill\"\nstart_s = 5\nextent = 0.4\nsize = 2\n";
    let text = |seed| serde_json::to_string(&simulate(&scenario(15, troubles), seed, &Core)).expect("JSON");
    assert_eq!(text(3), text(3));
    assert_ne!(text(3), text(4));
}

#[test]
fn a_resolved_scenario_resolves_to_itself_and_plays_the_same() {
    let mut ranged =
        scenario(10, "[[trouble]]\nwhat = \"slow\"\nstart_s = [2, 5]\nspan_s = [3, 4]\nsize = [3, 9]\n");
    ranged.traffic.load = Range { least: 0.5, most: 0.9 };
    let resolved = ranged.resolve(9);
    let text = |scenario: &Scenario| toml::to_string(scenario).expect("TOML");
    assert_eq!(text(&resolved), text(&resolved.resolve(9)));
    let read: Scenario = toml::from_str(&text(&resolved)).expect("a scenario");
    let metrics = |scenario: &Scenario| serde_json::to_string(&simulate(scenario, 9, &Core)).expect("JSON");
    assert_eq!(metrics(&ranged), metrics(&read));
}

/// A trouble that is added leaves what is handed in as it was.
#[test]
fn a_trouble_shifts_no_other_draw() {
    let slow = "[[trouble]]\nwhat = \"slow\"\nstart_s = 4\nspan_s = 4\nsize = 5\nextent = 0.5\n";
    let offered = |troubles| {
        let metrics = simulate(&scenario(12, troubles), 2, &Core);
        metrics.seconds.iter().map(|second| second.offered).collect::<Vec<_>>()
    };
    let (calm, troubled) = (offered(""), offered(slow));
    assert_eq!(calm[..12], troubled[..12]);
}

#[test]
fn a_day_of_no_traffic_ends_and_serves_all() {
    let mut idle = scenario(86_400, "");
    idle.traffic.rate = 0.0.into();
    let metrics = simulate(&idle, 1, &Core);
    assert_eq!(
        (metrics.served, metrics.pushes.sent, metrics.is_truncated, metrics.violation_count),
        (1.0, 0, false, 0)
    );
}

#[test]
fn relays_that_are_killed_lose_nothing_that_their_folders_keep() {
    let kill = "[[trouble]]\nwhat = \"kill\"\nstart_s = 5\nextent = 1\nsize = 1.5\n";
    let metrics = simulate(&scenario(15, kill), 1, &Core);
    conserves(&metrics);
    assert_eq!(metrics.violation_count, 0, "{:#?}", metrics.violations);
    let lost = kill.replace("kill", "lose");
    let metrics = simulate(&scenario(15, &lost), 1, &Core);
    conserves(&metrics);
    assert_eq!(metrics.violation_count, 0, "{:#?}", metrics.violations);
}

const WOES: [&str; 17] = [
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

    /// Whatever overlaps: every notification has one end or is counted as gone, and the run is not cut off.
    #[test]
    fn notifications_are_conserved(
        woes in prop::collection::vec((0..WOES.len(), 0.0f64..6.0, 0.1f64..6.0, 0.05f64..0.9), 0..4), seed in 0u64..1_000,
    ) {
        let mut troubles = String::new();
        for (woe, start, span, extent) in &woes {
            let size = if ["resets", "limit", "hot-relays"].contains(&WOES[*woe]) { 0.3 } else { 2.0 };
            troubles += &format!(
                "[[trouble]]\nwhat = \"{}\"\nstart_s = {start}\nspan_s = {span}\nextent = {extent}\nsize = {size}\n",
                WOES[*woe]
            );
        }
        let metrics = simulate(&scenario(8, &troubles), seed, &Core);
        conserves(&metrics);
        prop_assert!(!metrics.is_truncated && metrics.invalid_commands == 0);
        let bad: Vec<_> = metrics.violations.iter().filter(|b| b.rule != juniperwing_model::Rule::Return).collect();
        prop_assert!(bad.is_empty(), "{:#?}", bad);
    }
}

/// Asks to be woken at once, whenever it is asked anything.
struct Restless;

impl Policies for Restless {
    fn name(&self) -> &str {
        "restless"
    }

    fn start(&self, _: Time, _: usize, _: u64, _: &Fleet) -> Box<dyn Policy> {
        Box::new(Restless)
    }
}

impl Policy for Restless {
    fn handle(&mut self, _: Time, _: Vec<Event>, _: &dyn Truth) -> Vec<Command> {
        vec![Command::WakeAfter(Span::ZERO)]
    }
}

/// It has a turn each tick and no more; where there is no tick the run is broken off, and says so.
#[test]
fn a_relay_that_never_rests_does_not_stop_the_clock() {
    let mut idle = scenario(10, "");
    (idle.traffic.rate, idle.relays.count) = (0.0.into(), 1.0.into());
    let metrics = simulate(&idle, 1, &Restless);
    assert!(!metrics.is_truncated && (1_990..=2_010).contains(&metrics.turns), "{}", metrics.turns);
    idle.relays.tick_ms = 0.0;
    assert!(simulate(&idle, 1, &Restless).is_truncated);
}
