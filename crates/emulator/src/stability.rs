//! The periods in which the core, or the whole tier, is stable, as the operators' documentation defines it. They are
//! computed from the scenario and from the exits of processes that were asked to shut down, since the scenario does not
//! determine how long a shutdown takes.

use std::collections::{BTreeMap, BTreeSet};

use juniperwing_clock::Time;

use crate::history::{Event, RecordedEvent};
use crate::scenario::{CATCH_UP_MS, Fault, FaultKind, ProcessId, Role, Scenario};

/// How long the core must have been unchanged to be stable (`contactMs`), in milliseconds.
const CONTACT_MS: u64 = 3_000;
/// The interval at which stability is sampled, in milliseconds.
const SAMPLE_INTERVAL_MS: u64 = 50;

/// What must be stable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// The keepers: more than half of them are available.
    Core,
    /// Keepers and stores: no more of them are lost than tolerated.
    Tier,
}

impl Scope {
    fn contains(self, role: Role) -> bool {
        match self {
            Scope::Core => role == Role::Keeper,
            Scope::Tier => role != Role::Relay,
        }
    }

    /// Whether a fault makes a machine of this scope unavailable.
    fn is_affected_by(self, fault: &Fault) -> bool {
        self.contains(fault.process.role) && fault.kind.makes_unavailable()
    }

    /// How long the scope must have been unchanged to be stable, in milliseconds.
    fn stabilization_ms(self) -> u64 {
        match self {
            Scope::Core => CONTACT_MS,
            Scope::Tier => CATCH_UP_MS,
        }
    }
}

/// The periods in which a scope is stable.
#[derive(Clone, Debug)]
pub struct Stability {
    /// One sample per [`SAMPLE_INTERVAL_MS`].
    samples: Vec<bool>,
}

impl Stability {
    /// Computes the stability of a scenario that was run.
    pub fn compute(scenario: &Scenario, history: &[RecordedEvent], scope: Scope) -> Stability {
        let sample_count = scenario.duration_ms / SAMPLE_INTERVAL_MS + 1;
        let downtimes = downtimes(history, scope);
        let mut is_beyond_tolerance = false;
        let samples = (0..sample_count).map(|sample| {
            let now_ms = sample * SAMPLE_INTERVAL_MS;
            if scope == Scope::Tier {
                // After the loss of more machines than tolerated, the tier has recovered only when none is lost.
                let lost_count = count_lost_machines(scenario, &downtimes, now_ms);
                is_beyond_tolerance |= lost_count > scenario.tolerated_failures();
                is_beyond_tolerance &= lost_count > 0;
            }
            !is_beyond_tolerance && is_stable(scenario, scope, &downtimes, now_ms)
        });
        Stability { samples: samples.collect() }
    }

    /// Whether the scope is stable throughout a period, in milliseconds from the start of the scenario.
    pub fn is_stable_throughout(&self, from_ms: u64, until_ms: u64) -> bool {
        let (first, last) =
            ((from_ms / SAMPLE_INTERVAL_MS) as usize, (until_ms / SAMPLE_INTERVAL_MS) as usize);
        self.samples.get(first..=last).is_some_and(|samples| samples.iter().all(|stable| *stable))
    }
}

/// Converts a time to milliseconds from the start of the scenario.
pub fn millis(time: Time) -> u64 {
    time.since(Time::default()).as_millis()
}

/// A period in which a process that was asked to shut down was not running.
struct Downtime {
    process: ProcessId,
    from_ms: u64,
    until_ms: u64,
}

fn downtimes(history: &[RecordedEvent], scope: Scope) -> Vec<Downtime> {
    let mut stopped = BTreeMap::new();
    let mut downtimes = Vec::new();
    for RecordedEvent { at, event } in history {
        match event {
            Event::ProcessStopped { process } if scope.contains(process.role) => {
                stopped.insert(*process, millis(*at));
            }
            Event::ProcessStarted { process } => {
                let from = stopped.remove(process);
                downtimes.extend(from.map(|from_ms| Downtime {
                    process: *process,
                    from_ms,
                    until_ms: millis(*at),
                }));
            }
            _ => {}
        }
    }
    let not_restarted = stopped.into_iter();
    downtimes.extend(not_restarted.map(|(process, from_ms)| Downtime {
        process,
        from_ms,
        until_ms: u64::MAX,
    }));
    downtimes
}

/// The number of keepers and stores that are lost at a moment, including those that have not caught up since.
fn count_lost_machines(scenario: &Scenario, downtimes: &[Downtime], now_ms: u64) -> usize {
    let is_lost =
        |from_ms: u64, until_ms: u64| from_ms <= now_ms && now_ms < until_ms.saturating_add(CATCH_UP_MS);
    let faults = scenario.faults.iter().filter(|fault| Scope::Tier.is_affected_by(fault));
    let mut lost: BTreeSet<ProcessId> = BTreeSet::new();
    for fault in faults.filter(|fault| is_lost(fault.start_ms, fault.end_ms())) {
        match fault.kind {
            FaultKind::KillAll | FaultKind::LoseAllPower | FaultKind::WipeAndLoseAllPower => {
                return usize::MAX;
            }
            _ => lost.insert(fault.process),
        };
    }
    let restarts = downtimes.iter().filter(|downtime| is_lost(downtime.from_ms, downtime.until_ms));
    lost.extend(restarts.map(|downtime| downtime.process));
    lost.len()
}

/// Whether a scope is stable at a moment.
fn is_stable(scenario: &Scenario, scope: Scope, downtimes: &[Downtime], now_ms: u64) -> bool {
    let period_ms = scope.stabilization_ms();
    let faults: Vec<&Fault> = scenario.faults.iter().filter(|fault| scope.is_affected_by(fault)).collect();
    let is_recent = |moment: u64, span: u64| moment <= now_ms && now_ms < moment.saturating_add(span);
    let is_recent_fault = |fault: &&Fault| {
        // A fault that affects most of the scope needs twice the period.
        let span = match fault.kind {
            FaultKind::KillAll | FaultKind::LoseAllPower | FaultKind::WipeAndLoseAllPower => 2 * period_ms,
            _ => period_ms,
        };
        is_recent(fault.start_ms, span) || is_recent(fault.end_ms(), span)
    };
    let is_active = |fault: &&&Fault| fault.start_ms <= now_ms && now_ms < fault.end_ms();
    let exits_and_starts = downtimes.iter().flat_map(|downtime| [downtime.from_ms, downtime.until_ms]);
    let has_recent_restart = exits_and_starts.into_iter().any(|moment| is_recent(moment, period_ms));
    if faults.iter().any(is_recent_fault) || has_recent_restart || now_ms < period_ms {
        return false;
    }
    let is_down = |downtime: &&Downtime| downtime.from_ms <= now_ms && now_ms < downtime.until_ms;
    let mut unavailable: Vec<ProcessId> =
        downtimes.iter().filter(is_down).map(|downtime| downtime.process).collect();
    for fault in faults.iter().filter(is_active) {
        match fault.kind {
            FaultKind::KillAll
            | FaultKind::LoseAllPower
            | FaultKind::WipeAndLoseAllPower
            | FaultKind::SlowDisk
            | FaultKind::StallDisk
            | FaultKind::FullDisk => {
                return false;
            }
            _ => unavailable.push(fault.process),
        }
    }
    unavailable.sort_unstable();
    unavailable.dedup();
    match scope {
        Scope::Core => 2 * (scenario.keepers - unavailable.len().min(scenario.keepers)) > scenario.keepers,
        Scope::Tier => unavailable.len() <= scenario.tolerated_failures(),
    }
}
