//! Applies scheduled actions: faults, their ends, and the restarts that follow.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::sync::Arc;

use super::processes::{Keeper, control_address};
use super::{Action, RELAY_COUNT, Simulation, address, millis};
use crate::history::Event;
use crate::host::SimulatedHost;
use crate::network::directions;
use crate::scenario::{Direction, Fault, FaultKind, PartitionScope};

/// How long seeds and keeper lists stay stale after a replacement (`seedLagS`), in milliseconds.
const SEED_LAG_MS: u64 = 3_000;
/// The grace period of a graceful shutdown (`graceS`), in milliseconds.
const GRACE_MS: u64 = 8_000;
/// How many times slower a slow disk syncs.
const SLOW_DISK_FACTOR: u32 = 30;

impl Simulation {
    pub(super) fn perform(&mut self, action: Action) {
        match action {
            Action::BeginFault(index) => self.begin_fault(index),
            Action::EndFault(index) => self.end_fault(index),
            Action::StartKeeper(number) => self.start_keeper(number),
            Action::KillKeeper(number) => self.kill_stopping_keeper(number),
            Action::StartRelay(number) => self.start_relay(number),
            Action::PublishSeeds => self.publish_seeds(),
        }
    }

    fn begin_fault(&mut self, index: usize) {
        let fault = self.scenario.faults[index];
        self.record_log(format!("begins: {fault}"));
        match fault.kind {
            FaultKind::Partition(scope, direction) => self.partition(index, fault.machine, scope, direction),
            FaultKind::Freeze => self.freeze(fault.machine),
            FaultKind::Kill => self.kill(fault.machine),
            FaultKind::KillCore => self.members.clone().into_iter().for_each(|number| self.kill(number)),
            FaultKind::LosePower => self.lose_power(fault.machine, false),
            FaultKind::LoseCorePower => {
                self.members.clone().into_iter().for_each(|number| self.lose_power(number, false));
            }
            FaultKind::Wipe => self.lose_power(fault.machine, true),
            FaultKind::WipeAndLoseCorePower => self.lose_disks_and_power(fault.machine),
            FaultKind::Stop => self.stop(fault),
            FaultKind::SlowDisk => self.slow_disk(fault.machine, SLOW_DISK_FACTOR),
            FaultKind::Replace => self.remove(fault.machine),
            FaultKind::RestartRelay => {
                let now = self.now;
                let relay = 1 + (fault.machine - 1) % RELAY_COUNT;
                self.relays.entry(relay).and_modify(|machine| machine.kill(now));
                self.history.record(now, Event::RelayStopped { relay });
            }
        }
    }

    fn end_fault(&mut self, index: usize) {
        let fault = self.scenario.faults[index];
        self.record_log(format!("ends: {fault}"));
        match fault.kind {
            FaultKind::Partition(..) => self.heal(index),
            FaultKind::Freeze => self.thaw(fault.machine),
            FaultKind::Kill | FaultKind::Stop => self.start_keeper(fault.machine),
            FaultKind::KillCore => {
                self.members.clone().into_iter().for_each(|number| self.start_keeper(number));
            }
            FaultKind::LosePower | FaultKind::Wipe => self.power_on(fault.machine),
            FaultKind::LoseCorePower | FaultKind::WipeAndLoseCorePower => {
                self.members.clone().into_iter().for_each(|number| self.power_on(number));
            }
            FaultKind::SlowDisk => self.slow_disk(fault.machine, 1),
            FaultKind::Replace => self.add_replacement(fault.machine),
            FaultKind::RestartRelay => self.start_relay(1 + (fault.machine - 1) % RELAY_COUNT),
        }
    }

    /// Blocks the directions of a partition, adding to other partitions.
    fn partition(&mut self, index: usize, number: usize, scope: PartitionScope, direction: Direction) {
        let keeper = BTreeSet::from([address(0, number)]);
        let mut others: BTreeSet<IpAddr> = self.keepers.keys().map(|other| address(0, *other)).collect();
        if scope == PartitionScope::All {
            others.extend((1..=RELAY_COUNT).map(|relay| address(1, relay)));
            others.extend([address(2, 1), address(3, 1)]);
        }
        others.remove(&address(0, number));
        let mut blocked = Vec::new();
        if direction != Direction::Outbound {
            blocked.extend(directions(&others, &keeper));
        }
        if direction != Direction::Inbound {
            blocked.extend(directions(&keeper, &others));
        }
        blocked.iter().for_each(|(from, to)| self.network.block(self.now, *from, *to));
        self.partitions.insert(index, blocked);
    }

    /// Ends a partition.
    fn heal(&mut self, index: usize) {
        for (from, to) in self.partitions.remove(&index).unwrap_or_default() {
            self.network.unblock(self.now, from, to);
        }
    }

    fn freeze(&mut self, number: usize) {
        let Some(keeper) = self.keepers.get_mut(&number) else { return };
        keeper.machine.freeze();
        self.network.set_frozen(address(0, number), true);
    }

    fn thaw(&mut self, number: usize) {
        self.network.set_frozen(address(0, number), false);
        let now = self.now;
        self.keepers.entry(number).and_modify(|keeper| keeper.machine.thaw(now));
    }

    fn kill(&mut self, number: usize) {
        let now = self.now;
        self.keepers.entry(number).and_modify(|keeper| keeper.machine.kill(now));
    }

    fn kill_stopping_keeper(&mut self, number: usize) {
        let now = self.now;
        let stopping = self.keepers.get_mut(&number).filter(|keeper| keeper.is_stopping);
        if let Some(keeper) = stopping {
            keeper.machine.kill(now);
            self.history.record(now, Event::KeeperStopped { keeper: number });
            self.start_keeper(number);
        }
    }

    fn stop(&mut self, fault: Fault) {
        let Some(keeper) = self.keepers.get_mut(&fault.machine) else { return };
        keeper.is_stopping = true;
        keeper.restart_not_before_ms = fault.end_ms();
        keeper.machine.stop();
        self.schedule(fault.start_ms + GRACE_MS, Action::KillKeeper(fault.machine));
    }

    fn lose_power(&mut self, number: usize, with_disk: bool) {
        let now = self.now;
        self.network.power_off(address(0, number));
        let Some(keeper) = self.keepers.get_mut(&number) else { return };
        keeper.machine.kill(now);
        keeper.machine.host.disk.lose_power(now);
        if with_disk {
            keeper.machine.host.disk.wipe();
        }
    }

    /// The tolerated number of machines, from `first` on, lose their disks; the others lose power.
    fn lose_disks_and_power(&mut self, first: usize) {
        let members = self.members.clone();
        for position in 0..members.len() {
            let number = members[(first - 1 + position) % members.len()];
            self.lose_power(number, position < self.tolerated_failures());
        }
    }

    fn power_on(&mut self, number: usize) {
        if !self.members.contains(&number) {
            return;
        }
        self.network.power_on(self.now, address(0, number));
        self.start_keeper(number);
    }

    fn slow_disk(&mut self, number: usize, factor: u32) {
        if let Some(keeper) = self.keepers.get(&number) {
            keeper.machine.host.disk.set_slowdown_factor(factor);
        }
    }

    /// Removes a machine for good.
    fn remove(&mut self, number: usize) {
        if !self.members.contains(&number) {
            return;
        }
        self.lose_power(number, true);
    }

    fn add_replacement(&mut self, number: usize) {
        let Some(position) = self.members.iter().position(|member| *member == number) else { return };
        let new = 1 + self.keepers.keys().max().copied().unwrap_or(0);
        self.members[position] = new;
        let (network, simulation_time) = (Arc::clone(&self.network), self.simulation_time.clone());
        let purpose = 10_000 + new as u64;
        let host = SimulatedHost::new(address(0, new), network, simulation_time, self.scenario.seed, purpose);
        self.keepers.insert(new, Keeper::new(host, new));
        self.keepers.remove(&number);
        self.start_keeper(new);
        let publish_ms = millis(self.now) + SEED_LAG_MS;
        self.schedule(publish_ms, Action::PublishSeeds);
    }

    fn publish_seeds(&mut self) {
        let members = self.members.clone();
        let tolerated_failures = self.tolerated_failures();
        self.keepers.values().for_each(|keeper| keeper.reload(&members, tolerated_failures));
        self.relay_seeds.send_replace(Simulation::keeper_addresses(&members));
        self.control.send_replace(members.iter().map(|number| control_address(*number)).collect());
        self.seeds.send_replace(members);
    }
}
