//! Simulated disks: writes succeed, fail, are slow or never complete.

use juniperwing_clock::Span;
use juniperwing_replication::{Event, PersistToken, Record};

use super::event_queue::ScheduledEvent;
use super::random_span;
use super::simulation::Simulation;

impl Simulation {
    /// Starts the write of a record.
    pub(super) fn start_disk_write(&mut self, machine: usize, token: PersistToken, record: Record) {
        assert!(self.machines[machine].pending_write.is_none(), "one write at a time");
        self.machines[machine].pending_write = Some((token, record));
        if self.stalled_disks.contains(&machine) {
            return;
        }
        let is_slow = self.has_slow_disks && self.rng.one_in(4);
        let max_ms = if is_slow { 300 } else { 14 };
        let min_ms = if is_slow { 14 } else { 2 };
        let delay = random_span(&mut self.rng, min_ms, max_ms);
        self.schedule_write_completion(machine, token, delay);
    }

    fn schedule_write_completion(&mut self, machine: usize, token: PersistToken, delay: Span) {
        let incarnation = self.machines[machine].incarnation;
        self.schedule_after(delay, ScheduledEvent::CompleteDiskWrite { machine, incarnation, token });
    }

    pub(super) fn complete_disk_write(&mut self, machine: usize, incarnation: u64, token: PersistToken) {
        if self.machines[machine].incarnation != incarnation || self.stalled_disks.contains(&machine) {
            return;
        }
        let Some((_, record)) = self.machines[machine].pending_write.take() else { return };
        if self.has_failing_disks && self.rng.one_in(20) {
            self.handle_event(machine, Event::PersistFailed(token));
            return;
        }
        self.machines[machine].record = Some(record);
        self.handle_event(machine, Event::Persisted(token));
    }

    /// Stalls the disk of a machine: it completes no write until [`Simulation::release_disk`].
    pub fn stall_disk(&mut self, machine: usize) {
        self.stalled_disks.insert(machine);
    }

    /// Ends the stall of a disk, which then completes the pending write.
    pub fn release_disk(&mut self, machine: usize) {
        self.stalled_disks.remove(&machine);
        if let Some((token, _)) = self.machines[machine].pending_write {
            let delay = random_span(&mut self.rng, 2, 14);
            self.schedule_write_completion(machine, token, delay);
        }
    }
}
