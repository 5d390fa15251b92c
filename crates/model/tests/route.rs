//! Outages of a route and its recovery.

use juniperwing::time::{Span, Time};
use juniperwing_model::fleet::{RoutePlan, WarmUp};
use juniperwing_model::limit::Limit;
use juniperwing_model::route::{OutageTransition, OverloadThreshold, Route};

fn at(ms: u64) -> Time {
    Time::from_nanos(ms * 1_000_000)
}

fn route() -> Route {
    let warm_up = WarmUp { initial_fraction: 0.2, duration: Span::from_millis(10_000) };
    Route::new(RoutePlan { limit: Limit::None, capacity: 10.0, warm_up, listed_rate: 10.0 })
}

#[test]
fn route_warms_up_after_an_outage_that_is_not_brief() {
    let mut route = route();
    let min_outage = Span::from_millis(1_000);
    assert_eq!(route.set_outage(true, at(0), min_outage), Some(OutageTransition::Began));
    assert_eq!(route.set_outage(true, at(100), min_outage), None);
    assert_eq!(route.set_outage(false, at(900), min_outage), Some(OutageTransition::Brief));
    assert!(route.capacity_fraction(at(900)) >= 1.0);
    route.set_outage(true, at(1_000), min_outage);
    assert_eq!(route.set_outage(false, at(5_000), min_outage), Some(OutageTransition::Ended));
    let percentages =
        [5_000, 10_000, 15_000, 90_000].map(|ms| (route.capacity_fraction(at(ms)) * 100.0).round());
    assert_eq!(percentages, [20.0, 60.0, 100.0, 100.0]);
}

#[test]
fn cold_route_is_overloaded_only_by_sustained_load() {
    let threshold = OverloadThreshold { factor: 2.0, duration: Span::from_millis(1_500), slack: 2.0 };
    let min_outage = Span::from_millis(1_000);
    for (gap_ms, is_too_much) in [(500, false), (100, true)] {
        let mut route = route();
        route.set_outage(true, at(0), min_outage);
        route.set_outage(false, at(5_000), min_outage);
        let overloaded = (0..40).any(|n| route.record_load(at(5_000 + n * gap_ms), 1.0, &threshold));
        assert_eq!((overloaded, route.is_out()), (is_too_much, is_too_much));
    }
}
