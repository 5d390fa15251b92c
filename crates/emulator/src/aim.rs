//! Days whose first trouble strikes just when an order is decided.
//!
//! What goes wrong between a write, its confirmation and the answer lasts some milliseconds, and a trouble at a random
//! time rarely hits it. Since a day runs the same until its first trouble, it is played once without any, and the first
//! trouble is moved to a moment shortly before or at an acknowledgement.

use crate::day::{Day, Trouble};
use crate::history::Seen;
use crate::stability::millis;
use crate::world::play;
use juniperwing_random::Rng;

/// One seed in so many is aimed.
const AIMED: u64 = 3;
/// How long before the acknowledgement the trouble comes, at the most, in milliseconds.
const BEFORE_MS: u64 = 45;

/// The day of a seed, aimed for every third one.
pub fn day_of(seed: u64) -> Day {
    let day = Day::draw(seed);
    if seed.is_multiple_of(AIMED) { aim(&day) } else { day }
}

/// Moves all troubles by as much as brings the first to an acknowledgement.
fn aim(day: &Day) -> Day {
    let mut rng = Rng::for_purpose(day.seed, 3_002);
    let Some(first) = day.troubles.first() else { return day.clone() };
    let calm = Day { troubles: Vec::new(), ..day.clone() };
    let acknowledged: Vec<u64> = play(&calm, false)
        .iter()
        .filter(|(_, seen)| matches!(seen, Seen::OrderAnswered { status: 200, .. }))
        .map(|(at, _)| millis(*at))
        .filter(|at_ms| *at_ms > first.at_ms + BEFORE_MS)
        .collect();
    // The next few; a later one would make the day longer than it is.
    let near = &acknowledged[..acknowledged.len().min(8)];
    let Some(aimed_at) = rng.choose(near) else { return day.clone() };
    let later_ms = aimed_at - rng.below(BEFORE_MS) - first.at_ms;
    let moved = |trouble: &Trouble| Trouble { at_ms: trouble.at_ms + later_ms, ..*trouble };
    let troubles = day.troubles.iter().map(moved).collect();
    // The calm at the end stays as long; operators read only later, so nothing before the trouble changes.
    Day { troubles, length_ms: day.length_ms + later_ms, ..day.clone() }
}
