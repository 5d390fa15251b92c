//! The schedule of faults of a play, which is drawn from a seed before the play begins.

use std::fmt;

use juniperwing_node::role::Role;

use crate::faults::{Direction, FaultKind, Machine, Misbehaviour, SettingsFile};
use crate::history::Millis;
use juniperwing_random::Rng;

/// Number of keepers of a tier.
pub const KEEPER_COUNT: usize = 3;
/// Number of stores of a tier.
pub const STORE_COUNT: usize = 3;
/// Number of relays of a tier.
pub const RELAY_COUNT: usize = 2;
/// Time that a stateful machine needs to catch up after a restart (`catchUpS`).
pub const CATCH_UP_MS: Millis = 4_100;
/// Downtime of a stopped machine, in addition to the time that its process takes to exit.
const STOP_DOWNTIME_MS: Millis = 500;
/// Maximum time that a process takes to exit (`graceS`).
const GRACE_PERIOD_MS: Millis = 6_000;
/// Maximum time that the retirement of a store takes.
pub const RETIRE_TIMEOUT_MS: Millis = 12_000;
/// Time before the first fault, in which the tier completes its bootstrap and begins to serve.
const INITIAL_QUIET_MS: Millis = 1_500;

/// A scheduled fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// When it begins, in milliseconds since the start of the load.
    pub starts_at: Millis,
    /// How long it lasts, or how long its machine is down; 0 for an instantaneous fault.
    pub duration_ms: Millis,
    /// The kind of fault.
    pub kind: FaultKind,
}

/// The class of faults that a play injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flavor {
    /// Planned maintenance and client behaviour: no request that was read may be interrupted.
    Planned,
    /// At no time are more machines down than the tier tolerates: availability is checked throughout.
    WithinTolerance,
    /// More machines are down at once than the tier tolerates, but no more disks are lost than it tolerates: no
    /// acknowledged state may be lost.
    BeyondTolerance,
}

/// The faults of one play, in the order of their start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// The seed.
    pub seed: u64,
    /// The class of its faults.
    pub flavor: Flavor,
    /// The faults.
    pub faults: Vec<Fault>,
    /// When the last fault is over.
    pub ends_at: Millis,
}

impl Schedule {
    /// Draws the schedule of a seed, with faults that begin within about `length_ms`.
    pub fn draw(seed: u64, length_ms: Millis) -> Schedule {
        let mut rng = Rng::for_named_purpose(seed, "schedule");
        let flavor = match rng.below(10) {
            0 | 1 => Flavor::Planned,
            2..=6 => Flavor::WithinTolerance,
            _ => Flavor::BeyondTolerance,
        };
        let mut faults = Vec::new();
        if flavor == Flavor::Planned {
            draw_planned(&mut rng, length_ms, &mut faults);
        } else {
            let within_tolerance = flavor == Flavor::WithinTolerance;
            draw_stateful_faults(&mut rng, length_ms, within_tolerance, &mut faults);
            draw_tolerated_faults(&mut rng, length_ms, within_tolerance, &mut faults);
        }
        if flavor == Flavor::BeyondTolerance {
            draw_beyond_tolerance(&mut rng, length_ms, &mut faults);
        }
        faults.sort_by_key(|fault| fault.starts_at);
        let ends_at =
            faults.iter().map(|fault| fault.starts_at + fault.duration_ms).max().unwrap_or_default();
        Schedule { seed, flavor, faults, ends_at }
    }

    /// Whether the tier must stay available during the whole play.
    pub fn is_within_tolerance(&self) -> bool {
        self.flavor != Flavor::BeyondTolerance
    }
}

/// Draws planned faults: stops of stateful machines in sequence, and at any time stops of one relay, reloads, replaced
/// endpoints and bursts.
fn draw_planned(rng: &mut Rng, length_ms: Millis, faults: &mut Vec<Fault>) {
    let stop = |rng: &mut Rng, machine| {
        if rng.percent(50) { FaultKind::Stop(machine) } else { FaultKind::StopRepeatedly(machine) }
    };
    let mut at = INITIAL_QUIET_MS;
    while at < length_ms {
        let machine = draw_stateful_machine(rng);
        faults.push(Fault { starts_at: at, duration_ms: STOP_DOWNTIME_MS, kind: stop(rng, machine) });
        // A process may use the whole grace period.
        at += STOP_DOWNTIME_MS + GRACE_PERIOD_MS + CATCH_UP_MS;
    }
    let affected_relay = draw_relay(rng);
    at = INITIAL_QUIET_MS + rng.below(1_000);
    while at < length_ms {
        let machine = if rng.percent(50) { draw_relay(rng) } else { draw_stateful_machine(rng) };
        let kind = match rng.below(8) {
            0..=3 => stop(rng, affected_relay),
            4 | 5 => FaultKind::Reload(machine, draw_settings_file(rng)),
            6 => FaultKind::ReplaceEndpoint,
            _ => FaultKind::Burst,
        };
        let duration_ms = draw_duration_ms(rng, kind);
        faults.push(Fault { starts_at: at, duration_ms, kind });
        at += 300 + rng.below(2_500);
    }
}

/// Draws faults of stateful machines. Within the tolerance they come in sequence, with time to catch up in between;
/// otherwise they may overlap.
fn draw_stateful_faults(rng: &mut Rng, length_ms: Millis, within_tolerance: bool, faults: &mut Vec<Fault>) {
    let mut at = INITIAL_QUIET_MS + rng.below(500);
    let mut disk_lost = false;
    while at < length_ms {
        let mut fault = Fault { starts_at: at, duration_ms: 0, kind: draw_stateful_fault(rng) };
        if fault.kind.loses_disk() && !within_tolerance {
            // A second disk may be lost only after the replicas of the first one have been restored.
            if disk_lost {
                continue;
            }
            disk_lost = true;
        }
        fault.duration_ms = draw_duration_ms(rng, fault.kind);
        faults.push(fault);
        let pause = if within_tolerance { CATCH_UP_MS + rng.below(600) } else { rng.below(1_500) };
        let end = at + fault.duration_ms;
        at = if within_tolerance { end + pause } else { at + 300 + pause };
    }
}

/// Draws faults of relays, endpoints and clients, and harmless faults of all machines, at any time. Within the
/// tolerance only one relay is affected, so that the other one serves.
fn draw_tolerated_faults(rng: &mut Rng, length_ms: Millis, within_tolerance: bool, faults: &mut Vec<Fault>) {
    let mut at = INITIAL_QUIET_MS / 2 + rng.below(1_000);
    let affected_relay = draw_relay(rng);
    while at < length_ms {
        let relay = if within_tolerance { affected_relay } else { draw_relay(rng) };
        let kind = draw_tolerated_fault(rng, relay);
        let duration_ms = draw_duration_ms(rng, kind);
        faults.push(Fault { starts_at: at, duration_ms, kind });
        at += 200 + rng.below(1_800);
    }
}

/// Draws one or two faults that exceed the tolerance.
fn draw_beyond_tolerance(rng: &mut Rng, length_ms: Millis, faults: &mut Vec<Fault>) {
    let has_lost_disk = faults.iter().any(|fault| fault.kind.loses_disk());
    for _ in 0..=rng.below(2) {
        let at = INITIAL_QUIET_MS + rng.below(length_ms);
        let kind = match rng.below(4) {
            0 => FaultKind::KillAll,
            1 if !has_lost_disk => FaultKind::KillAllWipeOne(draw_stateful_machine(rng)),
            _ => FaultKind::KillAllStateful,
        };
        let lost = faults.iter().any(|fault| fault.kind.loses_disk());
        let kind = if kind.loses_disk() && lost { FaultKind::KillAll } else { kind };
        faults.push(Fault { starts_at: at, duration_ms: 200 + rng.below(1_500), kind });
    }
}

fn draw_stateful_fault(rng: &mut Rng) -> FaultKind {
    let machine = draw_stateful_machine(rng);
    match rng.below(16) {
        0 | 1 => FaultKind::Kill(machine),
        2 => FaultKind::KillDuringStart(machine),
        3 => FaultKind::Wipe(machine),
        4 => FaultKind::Freeze(machine),
        5 => FaultKind::Stop(machine),
        6 => FaultKind::StopRepeatedly(machine),
        7 => FaultKind::StopDuringStart(machine),
        8 | 9 => FaultKind::Partition(
            machine,
            rng.choose_copied(&[Direction::Out, Direction::In, Direction::Both, Direction::Both]),
        ),
        10 => FaultKind::DiskStall(machine),
        11 => FaultKind::DiskFull(machine),
        12 => FaultKind::DiskSlow(machine),
        13 => FaultKind::DiskPanic(machine),
        14 => {
            let number = rng.below(STORE_COUNT as u64) as usize;
            FaultKind::Retire(Machine { role: Role::Store, number })
        }
        _ => FaultKind::SlowLinks(machine),
    }
}

fn draw_relay(rng: &mut Rng) -> Machine {
    Machine { role: Role::Relay, number: rng.below(RELAY_COUNT as u64) as usize }
}

fn draw_tolerated_fault(rng: &mut Rng, relay: Machine) -> FaultKind {
    let any = if rng.percent(50) { draw_relay(rng) } else { draw_stateful_machine(rng) };
    match rng.below(20) {
        0 => FaultKind::Kill(relay),
        1 => FaultKind::KillDuringStart(relay),
        2 => FaultKind::Freeze(relay),
        3 | 4 => FaultKind::Stop(relay),
        5 => FaultKind::StopRepeatedly(relay),
        6 => {
            FaultKind::Partition(relay, rng.choose_copied(&[Direction::Out, Direction::In, Direction::Both]))
        }
        7..=9 => FaultKind::Reload(any, draw_settings_file(rng)),
        10 => FaultKind::Reset(any),
        11 => FaultKind::ClockStep(any),
        12 | 13 => FaultKind::Endpoints(draw_misbehaviour(rng)),
        14 | 15 => FaultKind::ReplaceEndpoint,
        16 => FaultKind::EndpointCrash,
        17 => FaultKind::Burst,
        18 => FaultKind::ClientsDisconnect,
        _ => FaultKind::SlowLinks(relay),
    }
}

fn draw_settings_file(rng: &mut Rng) -> SettingsFile {
    rng.choose_copied(&[
        SettingsFile::OtherSeeds,
        SettingsFile::Empty,
        SettingsFile::Broken,
        SettingsFile::Moved,
    ])
}

fn draw_misbehaviour(rng: &mut Rng) -> Misbehaviour {
    rng.choose_copied(&[
        Misbehaviour::LoseAnswers,
        Misbehaviour::AnswerTwice,
        Misbehaviour::BreakOff,
        Misbehaviour::OtherId,
        Misbehaviour::Hang,
        Misbehaviour::Decline,
    ])
}

fn draw_stateful_machine(rng: &mut Rng) -> Machine {
    let number = rng.below((KEEPER_COUNT + STORE_COUNT) as u64) as usize;
    match number.checked_sub(KEEPER_COUNT) {
        None => Machine { role: Role::Keeper, number },
        Some(number) => Machine { role: Role::Store, number },
    }
}

/// Draws how long a fault lasts, or how long its machine is down, in milliseconds.
fn draw_duration_ms(rng: &mut Rng, kind: FaultKind) -> Millis {
    match kind {
        FaultKind::Kill(_) | FaultKind::Wipe(_) => 200 + rng.below(2_500),
        FaultKind::KillDuringStart(_) => 600 + rng.below(600),
        FaultKind::Stop(_) | FaultKind::StopRepeatedly(_) | FaultKind::StopDuringStart(_) => STOP_DOWNTIME_MS,
        FaultKind::Freeze(_) => rng.choose_copied(&[300, 900, 1_800, 4_000, 7_000]),
        FaultKind::Partition(..) => rng.choose_copied(&[300, 900, 2_000, 5_000, 9_000]),
        FaultKind::DiskStall(_) => rng.choose_copied(&[800, 2_500, 9_500]),
        FaultKind::DiskFull(_) => rng.choose_copied(&[500, 1_500, 5_000]),
        FaultKind::DiskSlow(_) | FaultKind::SlowLinks(_) => rng.choose_copied(&[1_500, 4_000]),
        FaultKind::ClockStep(_) => 3_000,
        FaultKind::Reload(..) => 300,
        FaultKind::Endpoints(_) | FaultKind::Burst | FaultKind::ClientsDisconnect => 1_000 + rng.below(3_000),
        FaultKind::KillAllStateful | FaultKind::KillAll | FaultKind::KillAllWipeOne(_) => 500,
        FaultKind::DiskPanic(_) => 600,
        FaultKind::Retire(_) => RETIRE_TIMEOUT_MS,
        FaultKind::Reset(_) | FaultKind::ReplaceEndpoint | FaultKind::EndpointCrash => 0,
    }
}

impl fmt::Display for Schedule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "seed {}, {:?}", self.seed, self.flavor)?;
        for Fault { starts_at, duration_ms, kind } in &self.faults {
            writeln!(formatter, "  {starts_at:>6} ms  {duration_ms:>5} ms  {kind}")?;
        }
        Ok(())
    }
}
