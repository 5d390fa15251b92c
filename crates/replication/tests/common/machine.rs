//! Simulated machines: their processes, disks and clocks, and faults of these.

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::DiskId;
use juniperwing_protocol::replication::Voter;
use juniperwing_replication::{Event, PersistToken, Record, Replica, Settings};

use super::event_queue::ScheduledEvent;
use super::log::Log;
use super::network::address;
use super::random_span;
use super::simulation::Simulation;

/// A machine with at most one keeper process.
pub struct Machine {
    pub voter: Voter,
    /// The running process.
    pub replica: Option<Replica<Log>>,
    /// The contents of the disk.
    pub record: Option<Record>,
    /// Whether the machine has been permanently removed.
    pub is_removed: bool,
    pub(super) pending_write: Option<(PersistToken, Record)>,
    /// Incremented at every kill, so that events of an earlier process are recognized.
    pub(super) incarnation: u64,
    pub(super) frozen_until: Time,
    /// Whether its clock is stopped while it is frozen.
    is_clock_stopped: bool,
    /// The time by which its clock lags because of such freezes.
    pub(super) clock_lag: Span,
    bootstrap: bool,
}

impl Simulation {
    /// Adds a machine with an empty disk at a new address; its keeper starts within 0.3 s.
    pub fn add_machine(&mut self, node: &str, bootstrap: bool) -> usize {
        let index = self.machines.len();
        let disk = DiskId(self.rng.next_u64());
        let voter = Voter { disk, node: node.into(), address: address(index) };
        self.machines.push(Machine {
            voter,
            replica: None,
            record: None,
            is_removed: false,
            pending_write: None,
            incarnation: 0,
            frozen_until: Time::default(),
            is_clock_stopped: false,
            clock_lag: Span::ZERO,
            bootstrap,
        });
        let delay = random_span(&mut self.rng, 0, 300);
        self.start_after(index, delay);
        index
    }

    /// Starts the keeper of a machine after `delay`, unless it is running by then.
    pub fn start_after(&mut self, machine: usize, delay: Span) {
        self.schedule_after(delay, ScheduledEvent::StartProcess { machine });
    }

    pub(super) fn start_process(&mut self, index: usize) {
        let seed = self.rng.next_u64();
        let settings = Settings {
            local_voter: self.machines[index].voter.clone(),
            seeds: self.seeds_of(index),
            bootstrap: self.machines[index].bootstrap,
            min_in_sync_replicas: self.min_in_sync_replicas,
            timings: self.timings,
        };
        let machine = &mut self.machines[index];
        if machine.is_removed || machine.replica.is_some() {
            return;
        }
        let record = machine.record.clone();
        let replica = Replica::new(self.now - machine.clock_lag, settings, record, Log::default(), seed)
            .expect("a readable disk");
        machine.replica = Some(replica);
        self.checker.process_started(index);
        self.handle_event(index, Event::Tick);
    }

    /// The seeds for a machine: those of the first start if it bootstraps, otherwise machines that are not
    /// removed.
    fn seeds_of(&self, index: usize) -> Vec<std::net::SocketAddr> {
        if self.machines[index].bootstrap {
            return self.seeds.clone();
        }
        let present = self.machines.iter().filter(|machine| !machine.is_removed);
        present.map(|machine| machine.voter.address).take(self.seeds.len()).collect()
    }

    /// Kills a keeper's process; a write in progress may or may not reach the disk.
    pub fn kill(&mut self, index: usize) {
        let reaches_disk = self.rng.one_in(2);
        let machine = &mut self.machines[index];
        machine.incarnation += 1;
        machine.replica = None;
        machine.frozen_until = Time::default();
        machine.is_clock_stopped = false;
        let pending_write = machine.pending_write.take();
        if let Some((_, record)) = pending_write.filter(|_| reaches_disk) {
            machine.record = Some(record);
        }
        machine.bootstrap &= self.rng.one_in(2);
        self.checker.process_ended(index);
    }

    /// Kills a keeper and replaces its disk by an empty one, which has another identity.
    pub fn replace_disk(&mut self, index: usize) {
        self.kill(index);
        let disk = DiskId(self.rng.next_u64());
        let machine = &mut self.machines[index];
        machine.record = None;
        machine.bootstrap = false;
        machine.voter.disk = disk;
    }

    /// Permanently removes a machine.
    pub fn remove(&mut self, index: usize) {
        self.kill(index);
        self.machines[index].is_removed = true;
    }

    /// Prepares a keeper for shutdown and waits until it can shut down, but no longer than `limit`. The
    /// process continues to run.
    pub fn prepare_shutdown(&mut self, index: usize, limit: Span) -> bool {
        self.handle_event(index, Event::PrepareShutdown);
        self.run_until(limit, |simulation| {
            let replica = simulation.machines[index].replica.as_ref();
            replica.is_none_or(Replica::can_shut_down)
        })
    }

    /// Freezes a machine; its clock continues to run.
    pub fn freeze(&mut self, index: usize, span: Span) {
        if !self.is_frozen(index) {
            self.machines[index].frozen_until = self.now + span;
            self.machines[index].is_clock_stopped = false;
        }
    }

    /// Freezes a machine and stops its clock, so that the machine observes no passage of time.
    pub fn freeze_with_clock(&mut self, index: usize, span: Span) {
        if !self.is_frozen(index) {
            self.freeze(index, span);
            self.machines[index].is_clock_stopped = true;
            self.machines[index].clock_lag = self.machines[index].clock_lag + span;
        }
    }

    pub(super) fn is_frozen(&self, index: usize) -> bool {
        self.machines[index].frozen_until > self.now
    }

    pub(super) fn thaw(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        let rest = machine.frozen_until.since(self.now);
        if machine.is_clock_stopped {
            machine.clock_lag = machine.clock_lag - rest;
        }
        machine.frozen_until = self.now;
        machine.is_clock_stopped = false;
    }
}
