//! What a key of a scenario stands at where it is not written.

use super::range::Range;

pub(super) fn five() -> f64 {
    5.0
}

pub(super) fn eight() -> u32 {
    8
}

pub(super) fn ten() -> Range {
    Range::from(10.0)
}

pub(super) fn half_a_minute() -> Range {
    Range::from(30.0)
}

pub(super) fn two() -> Range {
    Range::from(2.0)
}

pub(super) fn one() -> f64 {
    1.0
}

pub(super) fn fifth() -> f64 {
    0.2
}

pub(super) fn half() -> f64 {
    0.5
}

pub(super) fn usual() -> Range {
    Range::from(1.0)
}

pub(super) fn spare() -> Range {
    Range { least: 1.2, most: 1.6 }
}

pub(super) fn depth() -> Range {
    Range { least: 0.3, most: 1.0 }
}

pub(super) fn window() -> Range {
    Range { least: 1_000.0, most: 2_000.0 }
}

pub(super) fn yes() -> bool {
    true
}

pub(super) fn report() -> Range {
    Range { least: 150.0, most: 600.0 }
}

pub(super) fn report_late() -> Range {
    Range { least: 20.0, most: 250.0 }
}

pub(super) fn one_each() -> usize {
    1
}

pub(super) fn item_cost() -> Range {
    Range { least: 0.1, most: 0.2 }
}

pub(super) fn queue() -> Range {
    Range { least: 2.0, most: 6.0 }
}

pub(super) fn eight_connections() -> f64 {
    8.0
}

pub(super) fn tenth() -> f64 {
    0.1
}

pub(super) fn whole() -> Range {
    Range::from(1.0)
}

pub(super) fn one_zone() -> Vec<String> {
    vec!["a".to_owned()]
}
