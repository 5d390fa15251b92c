//! What happens to the machines on one day, drawn from a seed within what the operators' pages allow.

use std::fmt;

use juniperwing_random::Rng;

/// How long a machine that has lost its disk has for catching up before the next loss, in milliseconds.
pub const CATCH_UP_MS: u64 = 4_100;
/// When the first trouble comes.
const FIRST_TROUBLE_MS: u64 = 6_000;
/// The calm at the end of a day, in which it is read what is in force.
const CALM_MS: u64 = 11_000;
/// Of the calm, the part in which operators only read.
pub const QUIET_MS: u64 = 5_000;
/// The longest cut, as the operators ask for it.
const LONG_MS: u64 = 20_000;
/// Troubles on a day.
const MOST_TROUBLES: u64 = 5;

/// A direction that is cut, as the keeper sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// It hears nothing.
    In,
    /// It isn't heard.
    Out,
    /// Both.
    Both,
}

/// From whom a keeper is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// From the other keepers; relays, operators and endpoints reach it.
    Core,
    /// From everyone.
    All,
}

/// What happens to a keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Its links are cut.
    Cut(Scope, Direction),
    /// Its machine stands still.
    Freeze,
    /// Its process is killed.
    Kill,
    /// All keepers are killed at once.
    KillCore,
    /// Its machine loses power.
    LosePower,
    /// All keepers' machines lose power at once.
    LoseCorePower,
    /// Its machine loses power and its disk.
    Wipe,
    /// As many machines as may be lost at once, from this one on, lose their disks; at the same moment all the others
    /// lose power.
    WipeAndLoseCorePower,
    /// It is stopped in an orderly way.
    Stop,
    /// Its disk is thirty times as slow.
    SlowDisk,
    /// An empty machine at another address takes its place.
    Replace,
    /// A relay is started anew.
    RestartRelay,
}

/// Something that happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trouble {
    /// When, in milliseconds from the beginning.
    pub at_ms: u64,
    /// How long it lasts, or how long the machine is away.
    pub lasts_ms: u64,
    /// To which keeper (or relay), counted from 1 in the order of their first starts.
    pub machine: usize,
    /// What.
    pub kind: Kind,
}

/// One day.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Day {
    /// Decides all that is left open.
    pub seed: u64,
    /// Keepers at the beginning.
    pub keepers: usize,
    /// What happens, in order of time.
    pub troubles: Vec<Trouble>,
    /// How long the day is, in milliseconds.
    pub length_ms: u64,
}

impl Kind {
    /// Whether a disk is lost.
    pub fn loses_disk(self) -> bool {
        matches!(self, Kind::Wipe | Kind::WipeAndLoseCorePower | Kind::Replace)
    }
}

impl Trouble {
    /// When it is over.
    pub fn end_ms(&self) -> u64 {
        self.at_ms + self.lasts_ms
    }
}

impl Day {
    /// The day of a seed.
    pub fn draw(seed: u64) -> Day {
        let mut rng = Rng::for_purpose(seed, 3_000);
        let keepers = if rng.one_in(6) { 5 } else { 3 };
        let count = 1 + rng.below(MOST_TROUBLES);
        let mut troubles: Vec<Trouble> = Vec::new();
        let mut clear_from = FIRST_TROUBLE_MS;
        let mut all_over = FIRST_TROUBLE_MS;
        let mut machines = keepers;
        for _ in 0..count {
            let kind = draw_kind(&mut rng);
            let begin = if kind.loses_disk() || rng.one_in(2) { all_over } else { clear_from };
            let at_ms = begin + rng.below(1_500);
            let lasts_ms = draw_length(kind, &mut rng);
            let number = if kind == Kind::RestartRelay { 2 } else { machines as u64 };
            let machine = 1 + rng.below(number) as usize;
            if kind == Kind::Replace {
                machines += 1;
            }
            let trouble = Trouble { at_ms, lasts_ms, machine, kind };
            if kind.loses_disk() {
                clear_from = trouble.end_ms() + CATCH_UP_MS;
            } else {
                clear_from = clear_from.max(at_ms);
            }
            all_over = all_over.max(trouble.end_ms()).max(clear_from);
            troubles.push(trouble);
        }
        troubles.extend(restarts_in_cuts(seed, &troubles));
        troubles.sort_by_key(|trouble| trouble.at_ms);
        Day::new(seed, keepers, troubles)
    }

    /// A day with these troubles.
    pub fn new(seed: u64, keepers: usize, troubles: Vec<Trouble>) -> Day {
        let last = troubles.iter().map(Trouble::end_ms).max().unwrap_or(FIRST_TROUBLE_MS);
        Day { seed, keepers, troubles, length_ms: last + CALM_MS }
    }
}

/// Relays that start while a keeper is cut off, in every second long cut.
fn restarts_in_cuts(seed: u64, troubles: &[Trouble]) -> Vec<Trouble> {
    let mut rng = Rng::for_purpose(seed, 3_001);
    let is_long = |trouble: &&Trouble| matches!(trouble.kind, Kind::Cut(..)) && trouble.lasts_ms == LONG_MS;
    let mut restarts = Vec::new();
    for cut in troubles.iter().filter(is_long) {
        let (at_ms, lasts_ms) = (cut.at_ms + rng.below(LONG_MS), rng.between(100, 1_000));
        let machine = 1 + rng.below(2) as usize;
        if rng.one_in(2) {
            restarts.push(Trouble { at_ms, lasts_ms, machine, kind: Kind::RestartRelay });
        }
    }
    restarts
}

fn draw_kind(rng: &mut Rng) -> Kind {
    let direction =
        *rng.choose(&[Direction::In, Direction::Out, Direction::Both]).unwrap_or(&Direction::Both);
    let scope = if rng.one_in(3) { Scope::All } else { Scope::Core };
    match rng.below(16) {
        0..=4 => Kind::Cut(scope, direction),
        5 => Kind::Freeze,
        6 => Kind::Kill,
        7 => Kind::KillCore,
        8 => Kind::LosePower,
        9 => Kind::LoseCorePower,
        10 => Kind::Wipe,
        11 => Kind::Stop,
        12 => Kind::SlowDisk,
        13 => Kind::Replace,
        _ => Kind::RestartRelay,
    }
}

fn draw_length(kind: Kind, rng: &mut Rng) -> u64 {
    match kind {
        Kind::Cut(..) if rng.one_in(2) => LONG_MS,
        Kind::Cut(..) | Kind::Freeze | Kind::SlowDisk => rng.between(300, 8_000),
        Kind::Replace => 500,
        Kind::RestartRelay => rng.between(100, 1_000),
        _ => rng.between(300, 2_500),
    }
}

impl fmt::Display for Trouble {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Trouble { at_ms, lasts_ms, machine, kind } = self;
        write!(
            f,
            "Trouble {{ at_ms: {at_ms}, lasts_ms: {lasts_ms}, machine: {machine}, kind: Kind::{kind:?} }}"
        )
    }
}

impl fmt::Display for Day {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}, {} keepers, {} ms", self.seed, self.keepers, self.length_ms)?;
        self.troubles.iter().try_for_each(|trouble| writeln!(f, "    {trouble},"))
    }
}
