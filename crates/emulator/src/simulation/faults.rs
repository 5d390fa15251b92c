//! Applies scheduled actions: faults, their ends, and the restarts that follow.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::sync::Arc;

use super::processes::{
    TierProcess, address, control_addresses, endpoints_address, keeper_addresses, operators_address,
};
use super::{Action, Simulation, millis, time};
use crate::disk::SimulatedDisk;
use crate::history::Event;
use crate::host::SimulatedHost;
use crate::network::directions;
use crate::scenario::{Direction, Fault, FaultKind, PartitionScope, ProcessId, RELAY_COUNT, Role};

/// How long seeds and lists of keepers stay stale after a replacement (`seedLagS`), in milliseconds.
const SEED_LAG_MS: u64 = 3_000;
/// The grace period of a graceful shutdown (`graceS`), in milliseconds.
const GRACE_MS: u64 = 8_000;
/// The period of a CPU quota, in milliseconds.
const QUOTA_PERIOD_MS: u64 = 100;
/// The CPU quota: how long a throttled process runs in each period, in milliseconds.
const QUOTA_MS: u64 = 10;
/// The factor by which the syncs of a slow disk take longer.
const SLOW_DISK_FACTOR: u32 = 30;

impl Simulation {
    pub(super) fn execute(&mut self, action: Action) {
        match action {
            Action::BeginFault(index) => self.begin_fault(index),
            Action::EndFault(index) => self.end_fault(index),
            Action::StartProcess(process) => self.start_process(process),
            Action::KillStopping(process) => self.kill_stopping(process),
            Action::StartRelay(number) => self.start_relay(number),
            Action::PublishSeeds => self.publish_seeds(),
        }
    }

    fn begin_fault(&mut self, index: usize) {
        let fault = self.scenario.faults[index];
        let Fault { process, kind, .. } = fault;
        self.record_log(format!("begins: {fault}"));
        match kind {
            _ if process.role == Role::Relay => self.kill_relay(process),
            FaultKind::Partition(scope, direction) => self.partition(index, process, scope, direction),
            FaultKind::Freeze => self.freeze(process),
            FaultKind::Kill => self.kill(process),
            FaultKind::KillAll => self.all_with_role(process.role).for_each(|process| self.kill(process)),
            FaultKind::LosePower => self.lose_power(process, false),
            FaultKind::LoseAllPower => {
                self.all_with_role(process.role).for_each(|process| self.lose_power(process, false))
            }
            FaultKind::Wipe => self.lose_power(process, true),
            FaultKind::WipeAndLoseAllPower => self.lose_disks_and_power(process),
            FaultKind::Stop => self.stop(fault),
            FaultKind::SlowDisk => {
                self.change_disk(process, |disk| disk.set_slowdown_factor(SLOW_DISK_FACTOR))
            }
            FaultKind::StallDisk => self.change_disk(process, |disk| disk.stall_until(time(fault.end_ms()))),
            FaultKind::FullDisk => self.change_disk(process, |disk| disk.set_full(true)),
            FaultKind::Replace => self.remove_machine(process),
            FaultKind::Quota => drop(self.throttled.insert(process)),
            FaultKind::Retire => self.retirements.request(process),
            FaultKind::Grow => self.add_machine(process.role),
        }
    }

    fn end_fault(&mut self, index: usize) {
        let fault = self.scenario.faults[index];
        let Fault { process, kind, .. } = fault;
        self.record_log(format!("ends: {fault}"));
        match kind {
            _ if process.role == Role::Relay => self.start_relay(relay_number(process)),
            FaultKind::Partition(..) => self.heal(index),
            FaultKind::Freeze => self.thaw(process),
            FaultKind::Kill | FaultKind::Stop => self.start_process(process),
            FaultKind::KillAll => {
                self.all_with_role(process.role).for_each(|process| self.start_process(process))
            }
            FaultKind::LosePower | FaultKind::Wipe => self.power_on(process),
            FaultKind::LoseAllPower | FaultKind::WipeAndLoseAllPower => {
                self.all_with_role(process.role).for_each(|process| self.power_on(process));
            }
            FaultKind::SlowDisk => self.change_disk(process, |disk| disk.set_slowdown_factor(1)),
            FaultKind::Quota => self.end_quota(process),
            FaultKind::StallDisk | FaultKind::Retire | FaultKind::Grow => {}
            FaultKind::FullDisk => self.change_disk(process, |disk| disk.set_full(false)),
            FaultKind::Replace => self.add_replacement(process),
        }
    }

    /// All current keepers or stores.
    fn all_with_role(&mut self, role: Role) -> impl Iterator<Item = ProcessId> + use<> {
        self.members(role).clone().into_iter().map(move |number| ProcessId { role, number })
    }

    fn kill_relay(&mut self, process: ProcessId) {
        let now = self.now;
        let number = relay_number(process);
        self.relays.entry(number).and_modify(|machine| machine.kill(now));
        self.history.record(now, Event::ProcessStopped { process: ProcessId::relay(number) });
    }

    /// Blocks the directions of a partition, in addition to those of other partitions.
    fn partition(&mut self, index: usize, process: ProcessId, scope: PartitionScope, direction: Direction) {
        let isolated = BTreeSet::from([address(process)]);
        let mut others: BTreeSet<IpAddr> = self.processes.keys().copied().map(address).collect();
        if scope == PartitionScope::All {
            others.extend((1..=RELAY_COUNT).map(|relay| address(ProcessId::relay(relay))));
            others.extend([operators_address(), endpoints_address()]);
        }
        others.remove(&address(process));
        let mut blocked = Vec::new();
        if direction != Direction::Outbound {
            blocked.extend(directions(&others, &isolated));
        }
        if direction != Direction::Inbound {
            blocked.extend(directions(&isolated, &others));
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

    fn freeze(&mut self, process: ProcessId) {
        let Some(running) = self.processes.get_mut(&process) else { return };
        running.machine.freeze();
        self.network.set_frozen(address(process), true);
    }

    fn thaw(&mut self, process: ProcessId) {
        self.network.set_frozen(address(process), false);
        let now = self.now;
        self.processes.entry(process).and_modify(|running| running.machine.thaw(now));
    }

    fn end_quota(&mut self, process: ProcessId) {
        self.throttled.remove(&process);
        let now = self.now;
        self.processes.entry(process).and_modify(|running| running.machine.thaw(now));
    }

    /// Suspends the throttled processes that have used up their quota of the current period, and resumes the others.
    pub(super) fn enforce_quotas(&mut self) {
        let now = self.now;
        let has_quota = millis(now) % QUOTA_PERIOD_MS < QUOTA_MS;
        for process in &self.throttled {
            let Some(running) = self.processes.get_mut(process) else { continue };
            if !has_quota {
                running.machine.freeze();
            } else if running.machine.is_frozen() {
                running.machine.thaw(now);
            }
        }
    }

    fn kill(&mut self, process: ProcessId) {
        let now = self.now;
        self.processes.entry(process).and_modify(|running| running.machine.kill(now));
    }

    fn kill_stopping(&mut self, process: ProcessId) {
        let now = self.now;
        let stopping = self.processes.get_mut(&process).filter(|running| running.is_stopping);
        if let Some(running) = stopping {
            running.machine.kill(now);
            self.history.record(now, Event::ProcessStopped { process });
            self.start_process(process);
        }
    }

    fn stop(&mut self, fault: Fault) {
        let Some(running) = self.processes.get_mut(&fault.process) else { return };
        running.is_stopping = true;
        running.restart_not_before_ms = fault.end_ms();
        running.machine.stop();
        self.schedule(fault.start_ms + GRACE_MS, Action::KillStopping(fault.process));
    }

    fn lose_power(&mut self, process: ProcessId, with_disk: bool) {
        let now = self.now;
        self.network.power_off(address(process));
        let Some(running) = self.processes.get_mut(&process) else { return };
        running.machine.kill(now);
        running.machine.host.disk.lose_power(now);
        if with_disk {
            running.machine.host.disk.wipe();
        }
    }

    /// The tolerated number of machines of the role, starting with `first`, lose their disks; the others lose power.
    fn lose_disks_and_power(&mut self, first: ProcessId) {
        let members = self.members(first.role).clone();
        for position in 0..members.len() {
            let number = members[(first.number - 1 + position) % members.len()];
            let process = ProcessId { role: first.role, number };
            self.lose_power(process, position < self.scenario.tolerated_failures());
        }
    }

    fn power_on(&mut self, process: ProcessId) {
        if !self.members(process.role).contains(&process.number) {
            return;
        }
        self.network.power_on(self.now, address(process));
        self.start_process(process);
    }

    fn change_disk(&mut self, process: ProcessId, change: impl FnOnce(&SimulatedDisk)) {
        if let Some(running) = self.processes.get(&process) {
            change(&running.machine.host.disk);
        }
    }

    /// Removes a machine permanently.
    fn remove_machine(&mut self, process: ProcessId) {
        if self.members(process.role).contains(&process.number) {
            self.lose_power(process, true);
        }
    }

    fn add_replacement(&mut self, process: ProcessId) {
        let ProcessId { role, number } = process;
        let Some(position) = self.members(role).iter().position(|member| *member == number) else { return };
        let new = self.new_process(role);
        self.members(role)[position] = new.number;
        self.add_process(new);
        self.processes.remove(&process);
        self.start_process(new);
        if role == Role::Keeper {
            let publish_ms = millis(self.now) + SEED_LAG_MS;
            self.schedule(publish_ms, Action::PublishSeeds);
        }
    }

    /// Adds a machine of a role and starts its process.
    fn add_machine(&mut self, role: Role) {
        let new = self.new_process(role);
        self.members(role).push(new.number);
        self.add_process(new);
        self.start_process(new);
    }

    /// Removes the machines whose retirement is completed.
    pub(super) fn remove_retired(&mut self) {
        for process in self.retirements.take_completed() {
            self.remove_machine(process);
            self.members(process.role).retain(|number| *number != process.number);
            self.processes.remove(&process);
        }
    }

    /// The identifier of the next new process of a role.
    fn new_process(&self, role: Role) -> ProcessId {
        let numbers = self.processes.keys().filter(|known| known.role == role).map(|known| known.number);
        ProcessId { role, number: 1 + numbers.max().unwrap_or(0) }
    }

    /// Adds a machine with an empty disk.
    fn add_process(&mut self, process: ProcessId) {
        let (network, simulation_time) = (Arc::clone(&self.network), self.simulation_time.clone());
        let host = SimulatedHost::new(address(process), network, simulation_time, self.scenario.seed);
        self.processes.insert(process, TierProcess::new(host));
    }

    fn publish_seeds(&mut self) {
        self.reload_keepers();
        self.relay_seeds.send_replace(keeper_addresses(&self.keepers));
        self.control.send_replace(control_addresses(&self.keepers));
        self.seeds.send_replace(self.keepers.clone());
    }
}

/// The number of a relay, wrapped around to those that exist.
fn relay_number(process: ProcessId) -> usize {
    1 + (process.number - 1) % RELAY_COUNT
}
