//! When the core is stable, as the operators' pages define it; computed from the day, not from what was seen.

use juniperwing_clock::Time;

use crate::day::{Day, Kind, Trouble};

/// How long the core must have been left alone (`contactMs`).
const CONTACT_MS: u64 = 3_000;
/// The grid on which stability is computed.
const GRID_MS: u64 = 50;

/// When the core is stable.
#[derive(Clone, Debug)]
pub struct Stability {
    stable: Vec<bool>,
}

impl Stability {
    /// Of a day.
    pub fn of(day: &Day) -> Stability {
        let cells = day.length_ms / GRID_MS + 1;
        Stability { stable: (0..cells).map(|cell| is_stable(day, cell * GRID_MS)).collect() }
    }

    /// Whether it is stable all the time between two moments.
    pub fn through(&self, from_ms: u64, until_ms: u64) -> bool {
        let (first, last) = ((from_ms / GRID_MS) as usize, (until_ms / GRID_MS) as usize);
        self.stable.get(first..=last).is_some_and(|cells| cells.iter().all(|stable| *stable))
    }
}

/// Milliseconds from the beginning of the day.
pub fn millis(time: Time) -> u64 {
    time.since(Time::default()).nanos() / 1_000_000
}

fn is_stable(day: &Day, now_ms: u64) -> bool {
    let core: Vec<&Trouble> =
        day.troubles.iter().filter(|trouble| trouble.kind != Kind::RestartRelay).collect();
    let recent = |moment: u64, span: u64| moment <= now_ms && now_ms < moment + span;
    let disturbed = |trouble: &&Trouble| {
        // Twice the span after a blow to most of the core, and while a machine stops it may take its grace.
        let span = match trouble.kind {
            Kind::KillCore | Kind::LoseCorePower => 2 * CONTACT_MS,
            _ => CONTACT_MS,
        };
        recent(trouble.at_ms, span) || recent(trouble.end_ms(), span)
    };
    let active = |trouble: &&&Trouble| trouble.at_ms <= now_ms && now_ms < trouble.end_ms();
    if core.iter().any(disturbed) || now_ms < CONTACT_MS {
        return false;
    }
    let mut away: Vec<usize> = Vec::new();
    for trouble in core.iter().filter(active) {
        match trouble.kind {
            Kind::KillCore | Kind::LoseCorePower | Kind::SlowDisk => return false,
            _ => away.push(trouble.machine),
        }
    }
    away.sort_unstable();
    away.dedup();
    2 * (day.keepers - away.len().min(day.keepers)) > day.keepers
}
