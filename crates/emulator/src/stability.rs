//! When the core is stable, as the operators' pages define it; computed from the day, and from when the processes
//! ended that were told to: how long each takes is its own decision.

use std::collections::BTreeMap;

use juniperwing_clock::Time;

use crate::day::{Day, Kind, Trouble};
use crate::history::Seen;

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
    /// Of a day that was played.
    pub fn of(day: &Day, history: &[(Time, Seen)]) -> Stability {
        let cells = day.length_ms / GRID_MS + 1;
        let absences = absences(history);
        Stability { stable: (0..cells).map(|cell| is_stable(day, &absences, cell * GRID_MS)).collect() }
    }

    /// Whether it is stable all the time between two moments.
    pub fn through(&self, from_ms: u64, until_ms: u64) -> bool {
        let (first, last) = ((from_ms / GRID_MS) as usize, (until_ms / GRID_MS) as usize);
        self.stable.get(first..=last).is_some_and(|cells| cells.iter().all(|stable| *stable))
    }
}

/// Milliseconds from the beginning of the day.
pub fn millis(time: Time) -> u64 {
    time.since(Time::default()).as_nanos() / 1_000_000
}

/// A process that was told to end was away.
struct Absence {
    machine: usize,
    from_ms: u64,
    until_ms: u64,
}

fn absences(history: &[(Time, Seen)]) -> Vec<Absence> {
    let mut stopped = BTreeMap::new();
    let mut absences = Vec::new();
    for (at, seen) in history {
        match seen {
            Seen::KeeperStopped { keeper } => drop(stopped.insert(*keeper, millis(*at))),
            Seen::KeeperStarted { keeper } => {
                let from = stopped.remove(keeper);
                absences.extend(from.map(|from_ms| Absence {
                    machine: *keeper,
                    from_ms,
                    until_ms: millis(*at),
                }));
            }
            _ => {}
        }
    }
    let left = stopped.into_iter();
    absences.extend(left.map(|(machine, from_ms)| Absence { machine, from_ms, until_ms: u64::MAX }));
    absences
}

fn is_stable(day: &Day, absences: &[Absence], now_ms: u64) -> bool {
    let core: Vec<&Trouble> =
        day.troubles.iter().filter(|trouble| trouble.kind != Kind::RestartRelay).collect();
    let recent = |moment: u64, span: u64| moment <= now_ms && now_ms < moment.saturating_add(span);
    let disturbed = |trouble: &&Trouble| {
        // Twice the span after a blow to most of the core.
        let span = match trouble.kind {
            Kind::KillCore | Kind::LoseCorePower | Kind::WipeAndLoseCorePower => 2 * CONTACT_MS,
            _ => CONTACT_MS,
        };
        recent(trouble.at_ms, span) || recent(trouble.end_ms(), span)
    };
    let active = |trouble: &&&Trouble| trouble.at_ms <= now_ms && now_ms < trouble.end_ms();
    let ends_and_starts = absences.iter().flat_map(|absence| [absence.from_ms, absence.until_ms]);
    let disturbed_by_ends = ends_and_starts.into_iter().any(|moment| recent(moment, CONTACT_MS));
    if core.iter().any(disturbed) || disturbed_by_ends || now_ms < CONTACT_MS {
        return false;
    }
    let is_away = |absence: &&Absence| absence.from_ms <= now_ms && now_ms < absence.until_ms;
    let mut away: Vec<usize> = absences.iter().filter(is_away).map(|absence| absence.machine).collect();
    for trouble in core.iter().filter(active) {
        match trouble.kind {
            Kind::KillCore | Kind::LoseCorePower | Kind::WipeAndLoseCorePower | Kind::SlowDisk => {
                return false;
            }
            _ => away.push(trouble.machine),
        }
    }
    away.sort_unstable();
    away.dedup();
    2 * (day.keepers - away.len().min(day.keepers)) > day.keepers
}
