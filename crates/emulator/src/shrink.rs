//! Removes what a finding does not need.

use crate::day::{Day, Trouble};
use crate::oracle::{Finding, Property, judge};
use crate::world::play;

/// Plays a day and judges it.
pub fn findings(day: &Day) -> Vec<Finding> {
    judge(day, &play(day, false))
}

/// A day with as few and as short troubles as this finds that still breaks the property.
pub fn shrink(day: &Day, property: Property) -> Day {
    let breaks = |day: &Day| findings(day).iter().any(|finding| finding.property == property);
    let mut least = day.clone();
    loop {
        let smaller = candidates(&least).into_iter().find(|candidate| breaks(candidate));
        match smaller {
            Some(smaller) => least = smaller,
            None => return least,
        }
    }
}

/// Days with one trouble less.
fn candidates(day: &Day) -> Vec<Day> {
    let without = |index: usize| {
        let mut troubles: Vec<Trouble> = day.troubles.clone();
        troubles.remove(index);
        // The length stays, so that callers draw as before.
        Day { troubles, ..day.clone() }
    };
    (0..day.troubles.len()).map(without).collect()
}
