//! Default values of optional keys of a scenario. Functions are named after the keys.

use super::range::Range;

pub(super) fn tick_ms() -> f64 {
    5.0
}

pub(super) fn pushes() -> u32 {
    8
}

pub(super) fn notice_ms() -> Range {
    Range::from(10.0)
}

pub(super) fn swing_s() -> Range {
    Range::from(30.0)
}

pub(super) fn clump_s() -> Range {
    Range::from(2.0)
}

pub(super) fn keys() -> Range {
    Range::from(2.0)
}

pub(super) fn key_life_s() -> Range {
    Range::from(10.0)
}

pub(super) fn work_cv() -> Range {
    Range::from(1.0)
}

pub(super) fn try_cv() -> f64 {
    0.2
}

pub(super) fn benefit() -> f64 {
    1.0
}

pub(super) fn late_share() -> f64 {
    0.5
}

pub(super) fn speed() -> Range {
    Range::from(1.0)
}

pub(super) fn spare() -> Range {
    Range { min: 1.2, max: 1.6 }
}

pub(super) fn headroom() -> Range {
    spare()
}

pub(super) fn least_rate() -> Range {
    Range::from(2.0)
}

pub(super) fn depth_s() -> Range {
    Range { min: 0.3, max: 1.0 }
}

pub(super) fn window_ms() -> Range {
    Range { min: 1_000.0, max: 2_000.0 }
}

pub(super) fn reports() -> bool {
    true
}

pub(super) fn report_ms() -> Range {
    Range { min: 150.0, max: 600.0 }
}

pub(super) fn report_late_ms() -> Range {
    Range { min: 20.0, max: 250.0 }
}

pub(super) fn per_call() -> usize {
    1
}

pub(super) fn item_cost() -> Range {
    Range { min: 0.1, max: 0.2 }
}

pub(super) fn queue() -> Range {
    Range { min: 2.0, max: 6.0 }
}

pub(super) fn least_connections() -> f64 {
    8.0
}

pub(super) fn quota() -> f64 {
    1.0
}

pub(super) fn over_share() -> f64 {
    0.1
}

pub(super) fn size() -> Range {
    Range::from(1.0)
}

pub(super) fn extent() -> Range {
    Range::from(1.0)
}

pub(super) fn whole() -> bool {
    true
}

pub(super) fn zones() -> Vec<String> {
    vec!["a".to_owned()]
}
