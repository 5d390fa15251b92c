//! Regression tests: shrunk scenarios that once violated a property.

use juniperwing_emulator::checker::Property;
use juniperwing_emulator::scenario::{Direction, Fault, FaultKind, PartitionScope, ProcessId, Scenario};
use juniperwing_emulator::shrink::run_and_check;

const PARTITION_FROM_KEEPERS: FaultKind = FaultKind::Partition(PartitionScope::Core, Direction::Both);

fn fault(start_ms: u64, duration_ms: u64, machine: usize, kind: FaultKind) -> Fault {
    Fault { start_ms, duration_ms, process: ProcessId::keeper(machine), kind }
}

/// Asserts that a scenario does not violate the property.
fn assert_holds(scenario: &Scenario, property: Property) {
    let violations: Vec<_> =
        run_and_check(scenario).into_iter().filter(|violation| violation.property == property).collect();
    assert!(violations.is_empty(), "{violations:#?}");
}

// Failed without the check `is_current` in keeper/confirmation.rs.
#[test]
fn starting_relay_gets_no_stale_configuration_from_partitioned_keeper() {
    let faults = vec![
        fault(6_117, 862, 2, FaultKind::KillAll),
        fault(13_231, 20_000, 2, PARTITION_FROM_KEEPERS),
        Fault { start_ms: 33_315, duration_ms: 234, process: ProcessId::relay(2), kind: FaultKind::Kill },
    ];
    let scenario = Scenario { seed: 199, keepers: 3, stores: 0, faults, duration_ms: 44_549 };
    assert_holds(&scenario, Property::RelayStartsWithOlder);
}
