//! The schedule of a play, drawn from a seed before the play begins.

use std::fmt;

use juniperwing_node::role::Role;

use crate::history::Millis;
use crate::troubles::{Direction, Machine, Misbehaviour, SettingsFile, TroubleKind};
use juniperwing_random::Rng;

/// Keepers of a tier.
pub const KEEPERS: usize = 3;
/// Stores of a tier.
pub const STORES: usize = 3;
/// Relays of a tier.
pub const RELAYS: usize = 2;
/// A machine that counts stays lost for so long after it is back (`catchUpS`).
pub const CATCH_UP_MS: Millis = 4_100;
/// How long a machine that is stopped is away, beside the time that its process takes to end.
const STOP_MS: Millis = 500;
/// The longest that a process takes to end (`graceS`).
const GRACE_MS: Millis = 6_000;
/// How long the emptying of a store may take.
pub const RETIRED_WITHIN_MS: Millis = 12_000;
/// Before the first trouble, so that the tier is founded and works.
const QUIET_AT_FIRST_MS: Millis = 1_500;

/// A trouble at its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trouble {
    /// When it begins, from the start of the load on.
    pub at: Millis,
    /// For how long it lasts, where it lasts.
    pub lasts: Millis,
    /// What.
    pub kind: TroubleKind,
}

/// What a play is made of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flavor {
    /// Work that the platform plans and what clients do; nothing that was read may be cut.
    Planned,
    /// No more is lost at once than the tier bears: its service is judged throughout.
    WithinTolerance,
    /// More is lost at once, though not more disks: nothing acknowledged may be lost.
    BeyondTolerance,
}

/// The troubles of one play, in the order of their times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// The seed.
    pub seed: u64,
    /// What it is made of.
    pub flavor: Flavor,
    /// The troubles.
    pub troubles: Vec<Trouble>,
    /// When the last of them is over.
    pub ends_at: Millis,
}

impl Schedule {
    /// Draws the schedule of a seed, which lasts for about `length`.
    pub fn draw(seed: u64, length: Millis) -> Schedule {
        let mut rng = Rng::for_named_purpose(seed, "schedule");
        let flavor = match rng.below(10) {
            0 | 1 => Flavor::Planned,
            2..=6 => Flavor::WithinTolerance,
            _ => Flavor::BeyondTolerance,
        };
        let mut troubles = Vec::new();
        if flavor == Flavor::Planned {
            draw_planned(&mut rng, length, &mut troubles);
        } else {
            let within_tolerance = flavor == Flavor::WithinTolerance;
            draw_counted(&mut rng, length, within_tolerance, &mut troubles);
            draw_others(&mut rng, length, within_tolerance, &mut troubles);
        }
        if flavor == Flavor::BeyondTolerance {
            draw_many(&mut rng, length, &mut troubles);
        }
        troubles.sort_by_key(|trouble| trouble.at);
        let ends_at = troubles.iter().map(|trouble| trouble.at + trouble.lasts).max().unwrap_or_default();
        Schedule { seed, flavor, troubles, ends_at }
    }

    /// Whether the tier serves throughout.
    pub fn is_within_tolerance(&self) -> bool {
        self.flavor != Flavor::BeyondTolerance
    }
}

/// Stops, reloads and replaced endpoints: of machines that count one after the other, of one relay at any time.
fn draw_planned(rng: &mut Rng, length: Millis, troubles: &mut Vec<Trouble>) {
    let stop = |rng: &mut Rng, machine| {
        if rng.percent(50) { TroubleKind::Stop(machine) } else { TroubleKind::StopAgain(machine) }
    };
    let mut at = QUIET_AT_FIRST_MS;
    while at < length {
        let machine = machine_that_counts(rng);
        troubles.push(Trouble { at, lasts: STOP_MS, kind: stop(rng, machine) });
        // A process may take its whole grace.
        at += STOP_MS + GRACE_MS + CATCH_UP_MS;
    }
    let struck = relay(rng);
    at = QUIET_AT_FIRST_MS + rng.below(1_000);
    while at < length {
        let machine = if rng.percent(50) { relay(rng) } else { machine_that_counts(rng) };
        let kind = match rng.below(8) {
            0..=3 => stop(rng, struck),
            4 | 5 => TroubleKind::Reload(machine, settings_file(rng)),
            6 => TroubleKind::ReplaceEndpoint,
            _ => TroubleKind::Burst,
        };
        let lasts = lasts(rng, kind);
        troubles.push(Trouble { at, lasts, kind });
        at += 300 + rng.below(2_500);
    }
}

/// Troubles of machines that count: one after the other with the time to catch up between them, or overlapping.
fn draw_counted(rng: &mut Rng, length: Millis, within_tolerance: bool, troubles: &mut Vec<Trouble>) {
    let mut at = QUIET_AT_FIRST_MS + rng.below(500);
    let mut disk_lost = false;
    while at < length {
        let mut trouble = Trouble { at, lasts: 0, kind: counted(rng) };
        if trouble.kind.loses_disk() && !within_tolerance {
            // A second disk may be lost only when the first one's copies are made again.
            if disk_lost {
                continue;
            }
            disk_lost = true;
        }
        trouble.lasts = lasts(rng, trouble.kind);
        troubles.push(trouble);
        let pause = if within_tolerance { CATCH_UP_MS + rng.below(600) } else { rng.below(1_500) };
        let end = at + trouble.lasts;
        at = if within_tolerance { end + pause } else { at + 300 + pause };
    }
}

/// Troubles of relays, endpoints, clients, and such that lose nothing: at any time. Within the tolerance one relay is
/// left alone, so that somebody serves.
fn draw_others(rng: &mut Rng, length: Millis, within_tolerance: bool, troubles: &mut Vec<Trouble>) {
    let mut at = QUIET_AT_FIRST_MS / 2 + rng.below(1_000);
    let struck = relay(rng);
    while at < length {
        let relay = if within_tolerance { struck } else { relay(rng) };
        let kind = other(rng, relay);
        let lasts = lasts(rng, kind);
        troubles.push(Trouble { at, lasts, kind });
        at += 200 + rng.below(1_800);
    }
}

/// More than the tier bears, once or twice.
fn draw_many(rng: &mut Rng, length: Millis, troubles: &mut Vec<Trouble>) {
    let has_lost_disk = troubles.iter().any(|trouble| trouble.kind.loses_disk());
    for _ in 0..=rng.below(2) {
        let at = QUIET_AT_FIRST_MS + rng.below(length);
        let kind = match rng.below(4) {
            0 => TroubleKind::KillAll,
            1 if !has_lost_disk => TroubleKind::KillAllWipeOne(machine_that_counts(rng)),
            _ => TroubleKind::KillAllThatCount,
        };
        let lost = troubles.iter().any(|trouble| trouble.kind.loses_disk());
        let kind = if kind.loses_disk() && lost { TroubleKind::KillAll } else { kind };
        troubles.push(Trouble { at, lasts: 200 + rng.below(1_500), kind });
    }
}

fn counted(rng: &mut Rng) -> TroubleKind {
    let machine = machine_that_counts(rng);
    match rng.below(16) {
        0 | 1 => TroubleKind::Kill(machine),
        2 => TroubleKind::KillInStart(machine),
        3 => TroubleKind::Wipe(machine),
        4 => TroubleKind::Freeze(machine),
        5 => TroubleKind::Stop(machine),
        6 => TroubleKind::StopAgain(machine),
        7 => TroubleKind::StopInStart(machine),
        8 | 9 => TroubleKind::Cut(
            machine,
            rng.pick(&[Direction::Out, Direction::In, Direction::Both, Direction::Both]),
        ),
        10 => TroubleKind::DiskStall(machine),
        11 => TroubleKind::DiskFull(machine),
        12 => TroubleKind::DiskSlow(machine),
        13 => TroubleKind::DiskPanic(machine),
        14 => {
            let number = rng.below(STORES as u64) as usize;
            TroubleKind::Retire(Machine { role: Role::Store, number })
        }
        _ => TroubleKind::SlowLinks(machine),
    }
}

fn relay(rng: &mut Rng) -> Machine {
    Machine { role: Role::Relay, number: rng.below(RELAYS as u64) as usize }
}

fn other(rng: &mut Rng, relay: Machine) -> TroubleKind {
    let any = if rng.percent(50) { self::relay(rng) } else { machine_that_counts(rng) };
    match rng.below(20) {
        0 => TroubleKind::Kill(relay),
        1 => TroubleKind::KillInStart(relay),
        2 => TroubleKind::Freeze(relay),
        3 | 4 => TroubleKind::Stop(relay),
        5 => TroubleKind::StopAgain(relay),
        6 => TroubleKind::Cut(relay, rng.pick(&[Direction::Out, Direction::In, Direction::Both])),
        7..=9 => TroubleKind::Reload(any, settings_file(rng)),
        10 => TroubleKind::Reset(any),
        11 => TroubleKind::ClockStep(any),
        12 | 13 => TroubleKind::Endpoints(misbehaviour(rng)),
        14 | 15 => TroubleKind::ReplaceEndpoint,
        16 => TroubleKind::EndpointGone,
        17 => TroubleKind::Burst,
        18 => TroubleKind::ClientsLeave,
        _ => TroubleKind::SlowLinks(relay),
    }
}

fn settings_file(rng: &mut Rng) -> SettingsFile {
    rng.pick(&[SettingsFile::OtherSeeds, SettingsFile::Empty, SettingsFile::Broken, SettingsFile::Moved])
}

fn misbehaviour(rng: &mut Rng) -> Misbehaviour {
    rng.pick(&[
        Misbehaviour::LoseAnswers,
        Misbehaviour::AnswerTwice,
        Misbehaviour::BreakOff,
        Misbehaviour::OtherId,
        Misbehaviour::Hang,
        Misbehaviour::Decline,
    ])
}

fn machine_that_counts(rng: &mut Rng) -> Machine {
    let number = rng.below((KEEPERS + STORES) as u64) as usize;
    match number.checked_sub(KEEPERS) {
        None => Machine { role: Role::Keeper, number },
        Some(number) => Machine { role: Role::Store, number },
    }
}

/// For how long a trouble lasts, in milliseconds; how long its machine is down, where it goes down.
fn lasts(rng: &mut Rng, kind: TroubleKind) -> Millis {
    match kind {
        TroubleKind::Kill(_) | TroubleKind::Wipe(_) => 200 + rng.below(2_500),
        TroubleKind::KillInStart(_) => 600 + rng.below(600),
        TroubleKind::Stop(_) | TroubleKind::StopAgain(_) | TroubleKind::StopInStart(_) => STOP_MS,
        TroubleKind::Freeze(_) => rng.pick(&[300, 900, 1_800, 4_000, 7_000]),
        TroubleKind::Cut(..) => rng.pick(&[300, 900, 2_000, 5_000, 9_000]),
        TroubleKind::DiskStall(_) => rng.pick(&[800, 2_500, 9_500]),
        TroubleKind::DiskFull(_) => rng.pick(&[500, 1_500, 5_000]),
        TroubleKind::DiskSlow(_) | TroubleKind::SlowLinks(_) => rng.pick(&[1_500, 4_000]),
        TroubleKind::ClockStep(_) => 3_000,
        TroubleKind::Reload(..) => 300,
        TroubleKind::Endpoints(_) | TroubleKind::Burst | TroubleKind::ClientsLeave => {
            1_000 + rng.below(3_000)
        }
        TroubleKind::KillAllThatCount | TroubleKind::KillAll | TroubleKind::KillAllWipeOne(_) => 500,
        TroubleKind::DiskPanic(_) => 600,
        TroubleKind::Retire(_) => RETIRED_WITHIN_MS,
        TroubleKind::Reset(_) | TroubleKind::ReplaceEndpoint | TroubleKind::EndpointGone => 0,
    }
}

impl fmt::Display for Schedule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "seed {}, {:?}", self.seed, self.flavor)?;
        for Trouble { at, lasts, kind } in &self.troubles {
            writeln!(formatter, "  {at:>6} ms  {lasts:>5} ms  {kind}")?;
        }
        Ok(())
    }
}
