//! Virtual time: scheduled events, executed in order.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::replication::ReplicationMessage;
use juniperwing_replication::{Event, PersistToken};

use super::log::Log;
use super::simulation::Simulation;

/// The number of steps without an advance of virtual time above which a keeper counts as busy-looping.
const MAX_STEPS_PER_INSTANT: u32 = 10_000;

/// An event that is scheduled for a certain time.
#[derive(Clone, Debug)]
pub(super) enum ScheduledEvent {
    Deliver { to: SocketAddr, message: ReplicationMessage },
    CompleteDiskWrite { machine: usize, incarnation: u64, token: PersistToken },
    Tick { machine: usize, incarnation: u64 },
    StartProcess { machine: usize },
    HandleEvent { machine: usize, event: Event<Log> },
    GenerateLoad,
}

/// Events ordered by time; events of the same time in the order in which they were scheduled.
#[derive(Default)]
pub(super) struct EventQueue {
    times: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, ScheduledEvent>,
    last_id: u64,
    steps_at_instant: u32,
}

impl EventQueue {
    fn push(&mut self, time: Time, event: ScheduledEvent) {
        self.last_id += 1;
        self.times.push(Reverse((time, self.last_id)));
        self.events.insert(self.last_id, event);
    }

    fn next_time(&self) -> Option<Time> {
        self.times.peek().map(|Reverse((time, _))| *time)
    }

    fn pop(&mut self) -> Option<(Time, ScheduledEvent)> {
        let Reverse((time, id)) = self.times.pop()?;
        Some((time, self.events.remove(&id).expect("scheduled")))
    }
}

impl Simulation {
    pub(super) fn schedule_after(&mut self, delay: Span, event: ScheduledEvent) {
        self.schedule_at(self.now + delay, event);
    }

    pub(super) fn schedule_at(&mut self, time: Time, event: ScheduledEvent) {
        self.queue.push(time, event);
    }

    /// Passes an event to a keeper as soon as the keeper is not frozen.
    pub fn schedule_event(&mut self, machine: usize, event: Event<Log>) {
        self.schedule_at(self.now, ScheduledEvent::HandleEvent { machine, event });
    }

    /// Runs the simulation for `span`.
    pub fn run_for(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(time) = self.queue.next_time()
            && time <= end
        {
            self.step();
        }
        self.now = end;
    }

    /// Runs until `condition` is true, but no longer than `limit`. Returns whether it is true.
    pub fn run_until(&mut self, limit: Span, condition: impl Fn(&Simulation) -> bool) -> bool {
        let end = self.now + limit;
        while !condition(self) {
            let Some(time) = self.queue.next_time() else { return false };
            if time > end {
                self.now = end;
                return false;
            }
            self.step();
        }
        true
    }

    fn step(&mut self) {
        let Some((time, event)) = self.queue.pop() else { return };
        let steps = &mut self.queue.steps_at_instant;
        *steps = if time > self.now { 0 } else { *steps + 1 };
        let has_progress = *steps < MAX_STEPS_PER_INSTANT;
        self.now = self.now.max(time);
        assert!(has_progress, "busy loop at {event:?}\n{}", self.describe());
        if let Some(machine) = self.target_machine(&event)
            && self.is_frozen(machine)
        {
            let thaw_at = self.machines[machine].frozen_until;
            self.schedule_at(thaw_at, event);
            return;
        }
        self.execute(event);
    }

    /// The machine whose freeze delays the event.
    fn target_machine(&self, event: &ScheduledEvent) -> Option<usize> {
        match event {
            ScheduledEvent::Deliver { to, .. } => self.machine_at(*to),
            ScheduledEvent::CompleteDiskWrite { machine, .. }
            | ScheduledEvent::Tick { machine, .. }
            | ScheduledEvent::HandleEvent { machine, .. } => Some(*machine),
            ScheduledEvent::StartProcess { .. } | ScheduledEvent::GenerateLoad => None,
        }
    }

    fn execute(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Deliver { to, message } => {
                if let Some(machine) = self.machine_at(to) {
                    self.handle_event(machine, Event::Message(message));
                }
            }
            ScheduledEvent::CompleteDiskWrite { machine, incarnation, token } => {
                self.complete_disk_write(machine, incarnation, token);
            }
            ScheduledEvent::Tick { machine, incarnation } => {
                if self.machines[machine].incarnation == incarnation {
                    self.handle_event(machine, Event::Tick);
                }
            }
            ScheduledEvent::StartProcess { machine } => self.start_process(machine),
            ScheduledEvent::HandleEvent { machine, event } => self.handle_event(machine, event),
            ScheduledEvent::GenerateLoad => self.generate_load(),
        }
    }
}
