//! Overlapping faults, and the ramps of faults.

use juniperwing::time::{Span, Time};
use juniperwing_model::faults::{FaultSet, FaultWindow};
use juniperwing_model::scenario::FaultKind;
use proptest::prelude::*;

fn window(kind: FaultKind, from: u64, to: u64, size: f64) -> FaultWindow {
    let (from, to) = (Time::from_nanos(from), Time::from_nanos(to));
    FaultWindow { kind, from, to, ramp: Span::ZERO, size, extent: 1.0, topic: None, account: None }
}

proptest! {
    /// The effect of overlapping faults on one endpoint depends only on which are active, not on the order in which
    /// they were written, began or ended.
    #[test]
    fn effect_does_not_depend_on_the_order_of_faults(
        spans in prop::collection::vec((0u64..50, 1u64..50, 1u32..9), 1..8), now in 0u64..120,
    ) {
        let now = Time::from_nanos(now);
        let fault_windows: Vec<FaultWindow> =
            spans.iter().map(|(from, span, size)| window(FaultKind::Slow, *from, from + span, f64::from(*size))).collect();
        let factor = |order: &mut dyn Iterator<Item = usize>| {
            let mut faults = FaultSet::default();
            order.for_each(|index| faults.insert(index));
            faults.factor(&fault_windows, FaultKind::Slow, now)
        };
        let forwards = factor(&mut (0..fault_windows.len()));
        prop_assert_eq!(forwards, factor(&mut (0..fault_windows.len()).rev()));
        let expected: f64 = fault_windows.iter().filter(|s| s.from <= now && now < s.to).map(|s| s.size).product();
        prop_assert!((forwards - expected).abs() < 1e-9 * expected);
    }
}

#[test]
fn overlapping_outages_end_independently() {
    let fault_windows = [
        window(FaultKind::Silent, 0, 10, 1.0),
        window(FaultKind::Silent, 5, 20, 1.0),
        window(FaultKind::Down, 30, 40, 1.0),
    ];
    let mut faults = FaultSet::default();
    (0..3).for_each(|index| faults.insert(index));
    let out: Vec<u64> = (0..50).filter(|t| faults.is_outage(&fault_windows, Time::from_nanos(*t))).collect();
    let expected: Vec<u64> = (0..20).chain(30..40).collect();
    assert_eq!(out, expected);
}

#[test]
fn ramp_rises_from_one_to_the_size() {
    let mut ramped = window(FaultKind::Slow, 100, 1_000, 5.0);
    ramped.ramp = Span::from_nanos(200);
    let factors = [100, 150, 200, 300, 900].map(|t| ramped.factor(Time::from_nanos(t)));
    assert_eq!(factors, [1.0, 2.0, 3.0, 5.0, 5.0]);
}
