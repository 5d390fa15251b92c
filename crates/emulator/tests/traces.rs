//! Days that once broke a property, with the troubles that were left after shrinking.

use juniperwing_emulator::day::{Day, Direction, Kind, Scope, Trouble};
use juniperwing_emulator::oracle::Property;
use juniperwing_emulator::shrink::findings;

const CUT_OFF: Kind = Kind::Cut(Scope::Core, Direction::Both);

fn trouble(at_ms: u64, lasts_ms: u64, machine: usize, kind: Kind) -> Trouble {
    Trouble { at_ms, lasts_ms, machine, kind }
}

fn assert_kept(day: &Day, property: Property) {
    let broken: Vec<_> = findings(day).into_iter().filter(|finding| finding.property == property).collect();
    assert!(broken.is_empty(), "{broken:#?}");
}

// Guard: `is_current` in keeper/confirmation.rs; seen to fail without it.
#[test]
fn a_relay_that_starts_is_not_told_what_a_keeper_that_is_cut_off_holds() {
    let troubles = vec![
        trouble(6_117, 862, 2, Kind::KillCore),
        trouble(13_231, 20_000, 2, CUT_OFF),
        trouble(33_315, 234, 2, Kind::RestartRelay),
    ];
    let day = Day { seed: 199, keepers: 3, troubles, length_ms: 44_549 };
    assert_kept(&day, Property::RelayStartsWithOlder);
}
