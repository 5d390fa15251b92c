//! Scenarios: the faults of a simulation, generated from a seed within the fault model of the operators' documentation.

mod tier;

use std::fmt;

use juniperwing_random::Rng;

/// How long a machine that lost its disk has to catch up, before another fault may start, in milliseconds.
pub const CATCH_UP_MS: u64 = 4_100;
/// The earliest start of a fault, in milliseconds from the start of the scenario.
const FIRST_FAULT_MS: u64 = 6_000;
/// The time without faults at the end of a scenario, in milliseconds.
const FAULT_FREE_TAIL_MS: u64 = 11_000;
/// The time at the end of a scenario in which operators only read, in milliseconds.
pub const READ_ONLY_TAIL_MS: u64 = 5_000;
/// The duration of long partitions, which is the longest in the operators' documentation, in milliseconds.
const LONG_PARTITION_MS: u64 = 20_000;
/// The number of relays.
pub const RELAY_COUNT: usize = 2;
/// The maximum number of faults of a scenario, without the relay restarts added to long partitions.
const MAX_FAULTS: u64 = 5;

/// The role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Holds the control state.
    Keeper,
    /// Serves clients.
    Relay,
    /// Holds turns and budgets.
    Store,
}

/// Identifies a process, and the machine that it runs on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProcessId {
    /// Its role.
    pub role: Role,
    /// Its number among the processes of its role, from 1 in the order of their first starts.
    pub number: usize,
}

impl ProcessId {
    /// A keeper.
    pub const fn keeper(number: usize) -> ProcessId {
        ProcessId { role: Role::Keeper, number }
    }

    /// A relay.
    pub const fn relay(number: usize) -> ProcessId {
        ProcessId { role: Role::Relay, number }
    }

    /// A store.
    pub const fn store(number: usize) -> ProcessId {
        ProcessId { role: Role::Store, number }
    }
}

impl fmt::Display for ProcessId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let class = match self.role {
            Role::Keeper => "core",
            Role::Relay => "edge",
            Role::Store => "storage",
        };
        write!(f, "{class}-{}", self.number)
    }
}

/// The directions that a partition blocks, from the point of view of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Messages to it.
    Inbound,
    /// Messages from it.
    Outbound,
    /// Both directions.
    Both,
}

/// The machines that a partition separates a process from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionScope {
    /// The other keepers and stores; relays, operators and endpoints still reach it.
    Core,
    /// All other machines.
    All,
}

/// The kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// A network partition separates the process from others.
    Partition(PartitionScope, Direction),
    /// The machine is suspended.
    Freeze,
    /// The process is killed.
    Kill,
    /// All processes of the role are killed at once.
    KillAll,
    /// The machine loses power.
    LosePower,
    /// All machines of the role lose power at once.
    LoseAllPower,
    /// The machine loses power and the contents of its disk.
    Wipe,
    /// The tolerated number of machines of the role, from this one on, lose their disks; at the same moment all the
    /// others lose power.
    WipeAndLoseAllPower,
    /// The process is asked to shut down.
    Stop,
    /// The disk is slow.
    SlowDisk,
    /// Syncs of the disk do not complete until the end of the fault.
    StallDisk,
    /// The disk has no space left.
    FullDisk,
    /// The process has a CPU quota: it runs only at the beginning of each period of 100 ms.
    Quota,
    /// The operator retires the store machine, which is removed when the retirement is completed.
    Retire,
    /// A store machine is added.
    Grow,
    /// The machine is replaced with an empty one that has another address.
    Replace,
}

/// A fault of a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// When it starts, in milliseconds from the start of the scenario.
    pub start_ms: u64,
    /// How long it lasts, or how long the machine is down, in milliseconds.
    pub duration_ms: u64,
    /// The affected process.
    pub process: ProcessId,
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
    /// The number of stores; without any, no programs run.
    pub stores: usize,
    /// The faults in order of their start.
    pub faults: Vec<Fault>,
    /// The duration of the scenario, in milliseconds.
    pub duration_ms: u64,
}

impl FaultKind {
    /// Whether the machine counts as unavailable during the fault. A throttled process runs again before failure detection
    /// can consider it lost.
    pub fn makes_unavailable(self) -> bool {
        self != FaultKind::Quota
    }

    /// Whether a machine loses the contents of its disk.
    pub fn loses_disk(self) -> bool {
        matches!(self, FaultKind::Wipe | FaultKind::WipeAndLoseAllPower | FaultKind::Replace)
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
            let (role, kind) = random_fault_kind(&mut rng);
            let base_ms = if kind.loses_disk() || rng.one_in(2) { all_ended_ms } else { next_start_ms };
            let start_ms = base_ms + rng.below(1_500);
            let duration_ms = random_duration_ms(role, kind, &mut rng);
            let count = if role == Role::Relay { RELAY_COUNT } else { machines };
            let process = ProcessId { role, number: 1 + rng.index(count) };
            if kind == FaultKind::Replace {
                machines += 1;
            }
            let fault = Fault { start_ms, duration_ms, process, kind };
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

    /// The number of machines that may be lost at once.
    pub fn tolerated_failures(&self) -> usize {
        (self.keepers - 1) / 2
    }

    /// Creates a scenario that ends a fault-free period after the last of these faults.
    pub fn new(seed: u64, keepers: usize, faults: Vec<Fault>) -> Scenario {
        let last_end_ms = faults.iter().map(Fault::end_ms).max().unwrap_or(FIRST_FAULT_MS);
        Scenario { seed, keepers, stores: 0, faults, duration_ms: last_end_ms + FAULT_FREE_TAIL_MS }
    }
}

/// Restarts of relays during long partitions of a keeper, in about half of these partitions.
fn relay_restarts_in_partitions(seed: u64, faults: &[Fault]) -> Vec<Fault> {
    let mut rng = Rng::for_purpose(seed, 3_001);
    let is_long = |fault: &&Fault| {
        matches!(fault.kind, FaultKind::Partition(..)) && fault.duration_ms == LONG_PARTITION_MS
    };
    let mut restarts = Vec::new();
    for partition in faults.iter().filter(is_long) {
        let (start_ms, duration_ms) =
            (partition.start_ms + rng.below(LONG_PARTITION_MS), rng.between(100, 1_000));
        let process = ProcessId::relay(1 + rng.index(RELAY_COUNT));
        if rng.one_in(2) {
            restarts.push(Fault { start_ms, duration_ms, process, kind: FaultKind::Kill });
        }
    }
    restarts
}

fn random_fault_kind(rng: &mut Rng) -> (Role, FaultKind) {
    let direction =
        *rng.choose(&[Direction::Inbound, Direction::Outbound, Direction::Both]).unwrap_or(&Direction::Both);
    let scope = if rng.one_in(3) { PartitionScope::All } else { PartitionScope::Core };
    let kind = match rng.below(16) {
        0..=4 => FaultKind::Partition(scope, direction),
        5 => FaultKind::Freeze,
        6 => FaultKind::Kill,
        7 => FaultKind::KillAll,
        8 => FaultKind::LosePower,
        9 => FaultKind::LoseAllPower,
        10 => FaultKind::Wipe,
        11 => FaultKind::Stop,
        12 => FaultKind::SlowDisk,
        13 => FaultKind::Replace,
        _ => return (Role::Relay, FaultKind::Kill),
    };
    (Role::Keeper, kind)
}

fn random_duration_ms(role: Role, kind: FaultKind, rng: &mut Rng) -> u64 {
    match kind {
        FaultKind::Partition(..) if rng.one_in(2) => LONG_PARTITION_MS,
        FaultKind::Partition(..) | FaultKind::Freeze | FaultKind::SlowDisk => rng.between(300, 8_000),
        FaultKind::Replace => 500,
        _ if role == Role::Relay => rng.between(100, 1_000),
        _ => rng.between(300, 2_500),
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault { start_ms, duration_ms, process, kind } = self;
        let role = match process.role {
            Role::Keeper => "keeper",
            Role::Relay => "relay",
            Role::Store => "store",
        };
        let number = process.number;
        write!(
            f,
            "Fault {{ start_ms: {start_ms}, duration_ms: {duration_ms}, process: ProcessId::{role}({number}), kind: FaultKind::{kind:?} }}"
        )
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Scenario { seed, keepers, stores, duration_ms, .. } = self;
        writeln!(f, "seed {seed}, {keepers} keepers, {stores} stores, {duration_ms} ms")?;
        self.faults.iter().try_for_each(|fault| writeln!(f, "    {fault},"))
    }
}
