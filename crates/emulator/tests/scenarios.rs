//! Scenarios of fixed seeds violate no property.

use juniperwing_emulator::checker::{Violation, check};
use juniperwing_emulator::history::{Event, RecordedEvent};
use juniperwing_emulator::scenario::{Fault, FaultKind, ProcessId, Scenario};
use juniperwing_emulator::shrink::run_and_check;
use juniperwing_emulator::simulation::run;
use juniperwing_emulator::stability;
use juniperwing_emulator::targeting::{Suite, scenario_for_seed};

/// Runs the scenarios of consecutive seeds on several threads and returns those with violations.
fn violations_by_seed(suite: Suite, first_seed: u64, count: u64) -> Vec<(u64, Vec<Violation>)> {
    const THREADS: u64 = 3;
    let mut found = Vec::new();
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|thread| {
                let seeds = (first_seed..first_seed + count).filter(move |seed| seed % THREADS == thread);
                scope.spawn(|| {
                    seeds
                        .map(|seed| (seed, run_and_check(&scenario_for_seed(suite, seed))))
                        .collect::<Vec<_>>()
                })
            })
            .collect();
        for thread in threads {
            found.extend(thread.join().unwrap());
        }
    });
    found.retain(|(_, violations)| !violations.is_empty());
    found
}

#[test]
fn fixed_seeds_violate_no_property() {
    let found = violations_by_seed(Suite::Keepers, 1, 24);
    assert!(found.is_empty(), "{found:#?}");
}

#[test]
fn fixed_seeds_with_stores_violate_no_property() {
    let found = violations_by_seed(Suite::Tier, 1, 15);
    assert!(found.is_empty(), "{found:#?}");
}

/// Throttled processes are suspended for 90 ms of each 100 ms. They must not be considered lost: no primary changes, no
/// member is declared dead, no link is closed, and all orders and turns are served.
#[test]
fn throttled_processes_are_not_considered_lost() {
    let all = (1..=3).flat_map(|number| [ProcessId::keeper(number), ProcessId::store(number)]);
    let throttled = |process| Fault { start_ms: 6_000, duration_ms: 20_000, process, kind: FaultKind::Quota };
    for seed in 9_200..9_203 {
        let faults = all.clone().map(throttled).collect();
        let scenario = Scenario { stores: 3, ..Scenario::new(seed, 3, faults) };
        let history = run(&scenario, true);
        assert_eq!(check(&scenario, &history), [], "{scenario}");
        let losses = ["role changed", "not responding", "declared dead", "link closed"];
        let logged = history.iter().filter(|recorded| stability::millis(recorded.at) > 6_000);
        for RecordedEvent { at, event } in logged {
            let Event::Log(line) = event else { continue };
            assert!(!losses.iter().any(|loss| line.contains(loss)), "seed {seed} at {at:?}: {line}");
        }
    }
}

/// All stores lose power at once and some lose their disks. An in-sync set once shrank to a store that came back empty;
/// `Planner::remove_lost_replicas` therefore removes no replica while no other in-sync replica is seen.
#[test]
fn turns_survive_disk_loss_while_all_stores_lose_power() {
    for first in 1..=2 {
        for moment in 0..4 {
            let process = ProcessId::store(first);
            let start_ms = 9_000 + 137 * moment + 61 * first as u64;
            let fault = Fault { start_ms, duration_ms: 1_400, process, kind: FaultKind::WipeAndLoseAllPower };
            let scenario = Scenario { stores: 2, ..Scenario::new(9_100 + moment, 3, vec![fault]) };
            assert_eq!(run_and_check(&scenario), [], "{scenario}");
        }
    }
}

#[test]
fn same_seed_gives_same_history() {
    for seed in [7, 8] {
        let scenario = scenario_for_seed(Suite::Keepers, seed);
        let (first, second) = (run(&scenario, true), run(&scenario, true));
        let difference = first.iter().zip(&second).find(|(one, other)| one != other);
        assert_eq!(difference, None, "seed {seed}");
        assert_eq!(first.len(), second.len(), "seed {seed}");
    }
}

/// A keeper takes some time to shut down while another one is partitioned. The core is not stable around its actual exit
/// and start, which differ from the times in the scenario.
#[test]
fn shutdown_time_of_keeper_counts_as_unstable() {
    for seed in [30_635, 32_832] {
        assert_eq!(run_and_check(&scenario_for_seed(Suite::Keepers, seed)), [], "seed {seed}");
    }
}

/// In these seeds, a keeper that had just lost contact told relays that live endpoints had expired. Prevented by
/// `Registry::refutation_of`, and by `Contact::confirmed_until` in the keeper's `expire_instances`.
#[test]
fn endpoints_stay_known_while_keeper_loses_contact() {
    for seed in [124, 233] {
        assert_eq!(run_and_check(&scenario_for_seed(Suite::Keepers, seed)), [], "seed {seed}");
    }
}

/// The tolerated number of disks is lost while all other keepers lose power. Operators then read the configuration
/// repeatedly, which must be the complete, newest acknowledged one.
#[test]
fn acknowledged_orders_survive_disk_loss_with_power_loss() {
    for (seed, keepers) in (1_u64..).zip([3, 3, 3, 5, 5, 5]) {
        for first in 1..=keepers {
            // At various moments of the orders in progress.
            let start_ms = 9_000 + 137 * seed + 61 * first as u64;
            let kind = FaultKind::WipeAndLoseAllPower;
            let fault =
                Fault { start_ms, duration_ms: 900 + 100 * seed, process: ProcessId::keeper(first), kind };
            let scenario = Scenario::new(9_000 + seed, keepers, vec![fault]);
            assert_eq!(run_and_check(&scenario), [], "{scenario}");
        }
    }
}
