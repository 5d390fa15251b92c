//! Scenarios: the faults of a simulation, generated from a seed within the fault model of the operators' pages.

use std::fmt;

use juniperwing_random::Rng;

/// How long a machine that lost its disk has to catch up before the next fault, in milliseconds.
pub const CATCH_UP_MS: u64 = 4_100;
/// The earliest start of a fault, in milliseconds from the start of the scenario.
const FIRST_FAULT_MS: u64 = 6_000;
/// The time without faults at the end of a scenario, in milliseconds.
const FAULT_FREE_TAIL_MS: u64 = 11_000;
/// The time at the end of a scenario in which operators only read, in milliseconds.
pub const READ_ONLY_TAIL_MS: u64 = 5_000;
/// The duration of long partitions, the longest that the operators' pages name, in milliseconds.
const LONG_PARTITION_MS: u64 = 20_000;
/// The maximum number of faults of a scenario, without the relay restarts added to long partitions.
const MAX_FAULTS: u64 = 5;

/// The directions that a partition blocks, from the point of view of the keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Messages to the keeper.
    Inbound,
    /// Messages from the keeper.
    Outbound,
    /// Both directions.
    Both,
}

/// The machines that a partition separates a keeper from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionScope {
    /// The other keepers; relays, operators and endpoints still reach it.
    Core,
    /// All other machines.
    All,
}

/// The kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// A network partition separates the keeper from others.
    Partition(PartitionScope, Direction),
    /// The keeper's machine does not run.
    Freeze,
    /// The keeper's process is killed.
    Kill,
    /// The processes of all keepers are killed at once.
    KillCore,
    /// The keeper's machine loses power.
    LosePower,
    /// All keepers' machines lose power at once.
    LoseCorePower,
    /// The keeper's machine loses power and the contents of its disk.
    Wipe,
    /// The tolerated number of machines, from this one on, lose their disks; at the same moment all the others lose
    /// power.
    WipeAndLoseCorePower,
    /// The keeper is asked to shut down.
    Stop,
    /// The keeper's disk is slow.
    SlowDisk,
    /// The keeper's machine is replaced by an empty one with another address.
    Replace,
    /// A relay is killed and started again.
    RestartRelay,
}

/// A fault of a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// When it starts, in milliseconds from the start of the scenario.
    pub start_ms: u64,
    /// How long it lasts, or how long the machine is down, in milliseconds.
    pub duration_ms: u64,
    /// The number of the affected keeper (or relay), from 1 in the order of their first starts.
    pub machine: usize,
    /// What happens.
    pub kind: FaultKind,
}

/// The seed and the faults of a simulation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scenario {
    /// The seed of all random decisions.
    pub seed: u64,
    /// The number of keepers.
    pub keepers: usize,
    /// The faults in order of their start.
    pub faults: Vec<Fault>,
    /// The duration of the scenario, in milliseconds.
    pub duration_ms: u64,
}

impl FaultKind {
    /// Whether a machine loses its disk.
    pub fn loses_disk(self) -> bool {
        matches!(self, FaultKind::Wipe | FaultKind::WipeAndLoseCorePower | FaultKind::Replace)
    }
}

impl Fault {
    /// When it ends, in milliseconds from the start of the scenario.
    pub fn end_ms(&self) -> u64 {
        self.start_ms + self.duration_ms
    }
}

impl Scenario {
    /// Generates the scenario of a seed.
    pub fn generate(seed: u64) -> Scenario {
        let mut rng = Rng::for_purpose(seed, 3_000);
        let keepers = if rng.one_in(6) { 5 } else { 3 };
        let count = 1 + rng.below(MAX_FAULTS);
        let mut faults: Vec<Fault> = Vec::new();
        let mut next_start_ms = FIRST_FAULT_MS;
        let mut all_ended_ms = FIRST_FAULT_MS;
        let mut machines = keepers;
        for _ in 0..count {
            let kind = random_fault_kind(&mut rng);
            let base_ms = if kind.loses_disk() || rng.one_in(2) { all_ended_ms } else { next_start_ms };
            let start_ms = base_ms + rng.below(1_500);
            let duration_ms = random_duration_ms(kind, &mut rng);
            let machine_count = if kind == FaultKind::RestartRelay { 2 } else { machines as u64 };
            let machine = 1 + rng.below(machine_count) as usize;
            if kind == FaultKind::Replace {
                machines += 1;
            }
            let fault = Fault { start_ms, duration_ms, machine, kind };
            if kind.loses_disk() {
                next_start_ms = fault.end_ms() + CATCH_UP_MS;
            } else {
                next_start_ms = next_start_ms.max(start_ms);
            }
            all_ended_ms = all_ended_ms.max(fault.end_ms()).max(next_start_ms);
            faults.push(fault);
        }
        faults.extend(relay_restarts_in_partitions(seed, &faults));
        faults.sort_by_key(|fault| fault.start_ms);
        Scenario::new(seed, keepers, faults)
    }

    /// Creates a scenario that ends some time after the last of these faults.
    pub fn new(seed: u64, keepers: usize, faults: Vec<Fault>) -> Scenario {
        let last_end_ms = faults.iter().map(Fault::end_ms).max().unwrap_or(FIRST_FAULT_MS);
        Scenario { seed, keepers, faults, duration_ms: last_end_ms + FAULT_FREE_TAIL_MS }
    }
}

/// Restarts of relays while a keeper is partitioned, in every second long partition.
fn relay_restarts_in_partitions(seed: u64, faults: &[Fault]) -> Vec<Fault> {
    let mut rng = Rng::for_purpose(seed, 3_001);
    let is_long = |fault: &&Fault| {
        matches!(fault.kind, FaultKind::Partition(..)) && fault.duration_ms == LONG_PARTITION_MS
    };
    let mut restarts = Vec::new();
    for partition in faults.iter().filter(is_long) {
        let (start_ms, duration_ms) =
            (partition.start_ms + rng.below(LONG_PARTITION_MS), rng.between(100, 1_000));
        let machine = 1 + rng.below(2) as usize;
        if rng.one_in(2) {
            restarts.push(Fault { start_ms, duration_ms, machine, kind: FaultKind::RestartRelay });
        }
    }
    restarts
}

fn random_fault_kind(rng: &mut Rng) -> FaultKind {
    let direction =
        *rng.choose(&[Direction::Inbound, Direction::Outbound, Direction::Both]).unwrap_or(&Direction::Both);
    let scope = if rng.one_in(3) { PartitionScope::All } else { PartitionScope::Core };
    match rng.below(16) {
        0..=4 => FaultKind::Partition(scope, direction),
        5 => FaultKind::Freeze,
        6 => FaultKind::Kill,
        7 => FaultKind::KillCore,
        8 => FaultKind::LosePower,
        9 => FaultKind::LoseCorePower,
        10 => FaultKind::Wipe,
        11 => FaultKind::Stop,
        12 => FaultKind::SlowDisk,
        13 => FaultKind::Replace,
        _ => FaultKind::RestartRelay,
    }
}

fn random_duration_ms(kind: FaultKind, rng: &mut Rng) -> u64 {
    match kind {
        FaultKind::Partition(..) if rng.one_in(2) => LONG_PARTITION_MS,
        FaultKind::Partition(..) | FaultKind::Freeze | FaultKind::SlowDisk => rng.between(300, 8_000),
        FaultKind::Replace => 500,
        FaultKind::RestartRelay => rng.between(100, 1_000),
        _ => rng.between(300, 2_500),
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault { start_ms, duration_ms, machine, kind } = self;
        write!(
            f,
            "Fault {{ start_ms: {start_ms}, duration_ms: {duration_ms}, machine: {machine}, kind: FaultKind::{kind:?} }}"
        )
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}, {} keepers, {} ms", self.seed, self.keepers, self.duration_ms)?;
        self.faults.iter().try_for_each(|fault| writeln!(f, "    {fault},"))
    }
}
