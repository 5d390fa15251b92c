//! Scenarios of the whole tier: faults of keepers, stores and relays.

use juniperwing_random::Rng;

use super::{
    CATCH_UP_MS, Direction, FIRST_FAULT_MS, Fault, FaultKind, LONG_PARTITION_MS, PartitionScope, ProcessId,
    RELAY_COUNT, Role, Scenario,
};

/// In scenarios of seeds that are a multiple of this, all stores lose power in the first fault and some of them lose their
/// disks. These scenarios are also targeted, so the fault starts while a write is on one disk and not on the others.
const LOST_DISK_INTERVAL: u64 = 6;
/// The maximum number of faults.
const MAX_FAULTS: u64 = 6;

/// Generates faults. Tracks how many machines there are and when the next fault may start.
struct FaultGenerator {
    rng: Rng,
    keepers: usize,
    stores: usize,
    faults: Vec<Fault>,
    /// The earliest start of a fault that loses no disk.
    next_start_ms: u64,
    /// When all machines have caught up after all faults so far.
    all_recovered_ms: u64,
}

impl Scenario {
    /// Generates the scenario of a seed, with stores and programs.
    pub fn generate_tier(seed: u64) -> Scenario {
        let mut rng = Rng::for_purpose(seed, 3_010);
        let keepers = if rng.one_in(8) { 5 } else { 3 };
        let tolerated_failures = (keepers - 1) / 2;
        let stores = tolerated_failures + 1 + rng.index(3);
        let count = 1 + rng.below(MAX_FAULTS);
        let mut generator = FaultGenerator {
            rng,
            keepers,
            stores,
            faults: Vec::new(),
            next_start_ms: FIRST_FAULT_MS,
            all_recovered_ms: FIRST_FAULT_MS,
        };
        if seed.is_multiple_of(LOST_DISK_INTERVAL) {
            generator.add(Role::Store, FaultKind::WipeAndLoseAllPower);
        }
        for _ in 0..count {
            generator.add_random();
        }
        let mut faults = generator.faults;
        faults.sort_by_key(|fault| fault.start_ms);
        Scenario { stores, ..Scenario::new(seed, keepers, faults) }
    }
}

impl FaultGenerator {
    fn add_random(&mut self) {
        let role = self.random_role();
        let kind = match role {
            Role::Relay => FaultKind::Kill,
            Role::Store if self.rng.one_in(8) => self.random_store_change(),
            Role::Store | Role::Keeper => self.random_kind(),
        };
        self.add(role, kind);
    }

    /// Adds a fault. A fault that loses a disk starts only when all machines have caught up after the earlier faults, and
    /// no other fault starts until they have caught up again.
    fn add(&mut self, role: Role, kind: FaultKind) {
        let is_isolated = kind.loses_disk() || self.rng.one_in(2);
        let earliest_ms = if is_isolated { self.all_recovered_ms } else { self.next_start_ms };
        let start_ms = earliest_ms + self.rng.below(1_500);
        let duration_ms = self.random_duration_ms(kind);
        let fault = Fault { start_ms, duration_ms, process: self.random_process(role), kind };
        if kind.loses_disk() {
            self.next_start_ms = fault.end_ms() + CATCH_UP_MS;
        } else {
            self.next_start_ms = self.next_start_ms.max(start_ms);
        }
        self.all_recovered_ms = self.all_recovered_ms.max(fault.end_ms() + CATCH_UP_MS);
        if matches!(kind, FaultKind::Replace | FaultKind::Grow) {
            *self.machine_count_mut(role) += 1;
        }
        self.faults.push(fault);
    }

    fn random_role(&mut self) -> Role {
        match self.rng.below(8) {
            0 => Role::Relay,
            1 | 2 => Role::Keeper,
            _ => Role::Store,
        }
    }

    fn machine_count_mut(&mut self, role: Role) -> &mut usize {
        if role == Role::Store { &mut self.stores } else { &mut self.keepers }
    }

    fn random_process(&mut self, role: Role) -> ProcessId {
        let count = if role == Role::Relay { RELAY_COUNT } else { *self.machine_count_mut(role) };
        ProcessId { role, number: 1 + self.rng.index(count) }
    }

    fn random_kind(&mut self) -> FaultKind {
        let direction = self.rng.choose_copied(&[Direction::Inbound, Direction::Outbound, Direction::Both]);
        let scope = if self.rng.one_in(2) { PartitionScope::All } else { PartitionScope::Core };
        match self.rng.below(20) {
            0..=3 => FaultKind::Partition(scope, direction),
            4 | 5 => FaultKind::Freeze,
            6 => FaultKind::Kill,
            7 => FaultKind::KillAll,
            8 => FaultKind::LosePower,
            9 => FaultKind::LoseAllPower,
            10 | 11 => FaultKind::Wipe,
            12 => FaultKind::WipeAndLoseAllPower,
            13 => FaultKind::Stop,
            14 => FaultKind::SlowDisk,
            15 => FaultKind::StallDisk,
            16 => FaultKind::FullDisk,
            17 | 18 => FaultKind::Quota,
            _ => FaultKind::Replace,
        }
    }

    /// A planned change of the set of stores.
    fn random_store_change(&mut self) -> FaultKind {
        if self.rng.one_in(2) { FaultKind::Grow } else { FaultKind::Retire }
    }

    fn random_duration_ms(&mut self, kind: FaultKind) -> u64 {
        match kind {
            FaultKind::Partition(..) if self.rng.one_in(4) => LONG_PARTITION_MS,
            FaultKind::Quota => LONG_PARTITION_MS,
            FaultKind::Partition(..)
            | FaultKind::Freeze
            | FaultKind::SlowDisk
            | FaultKind::StallDisk
            | FaultKind::FullDisk => self.rng.between(300, 8_000),
            FaultKind::Replace => 500,
            _ => self.rng.between(100, 2_500),
        }
    }
}
