//! The simulated network: conditions, blocked links, delays.

use std::net::SocketAddr;

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::replication::{ReplicationBody, ReplicationMessage};

use super::event_queue::ScheduledEvent;
use super::random_span;
use super::simulation::Simulation;

/// How reliable the network is.
#[derive(Clone, Copy, Debug)]
pub struct NetworkConditions {
    /// One in this number of messages is lost; 0 for none.
    pub loss_one_in: u64,
    /// One in this number of messages arrives twice; 0 for none.
    pub duplicate_one_in: u64,
    /// One in this number of messages takes up to 400 ms; 0 for none.
    pub late_one_in: u64,
}

pub const RELIABLE_NETWORK: NetworkConditions =
    NetworkConditions { loss_one_in: 0, duplicate_one_in: 0, late_one_in: 0 };
pub const UNRELIABLE_NETWORK: NetworkConditions =
    NetworkConditions { loss_one_in: 30, duplicate_one_in: 20, late_one_in: 20 };

/// Messages to a machine, or messages from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    Inbound,
    Outbound,
}

/// The address of a machine.
pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8 + 1], 7400))
}

impl Simulation {
    /// Blocks all messages from one machine to another.
    pub fn block_link(&mut self, from: usize, to: usize) {
        self.blocked_links.insert((self.machines[from].voter.address, self.machines[to].voter.address));
    }

    /// Blocks all messages between `machine` and the others in one direction.
    pub fn block_direction(&mut self, machine: usize, direction: Direction) {
        for other in (0..self.machines.len()).filter(|other| *other != machine) {
            match direction {
                Direction::Outbound => self.block_link(machine, other),
                Direction::Inbound => self.block_link(other, machine),
            }
        }
    }

    /// Blocks all messages between `machine` and the others.
    pub fn isolate(&mut self, machine: usize) {
        self.block_direction(machine, Direction::Outbound);
        self.block_direction(machine, Direction::Inbound);
    }

    /// The machine with that address.
    pub(super) fn machine_at(&self, address: SocketAddr) -> Option<usize> {
        self.machines.iter().position(|machine| machine.voter.address == address)
    }

    /// Schedules the delivery of a message, unless it is lost.
    pub(super) fn send_message(&mut self, from: usize, to: SocketAddr, message: ReplicationMessage) {
        let NetworkConditions { loss_one_in, duplicate_one_in, late_one_in } = self.network;
        let is_blocked = self.blocked_links.contains(&(self.machines[from].voter.address, to));
        if is_blocked || (loss_one_in > 0 && self.rng.one_in(loss_one_in)) {
            return;
        }
        if duplicate_one_in > 0 && self.rng.one_in(duplicate_one_in) {
            let delay = random_span(&mut self.rng, 1, 400);
            self.schedule_after(delay, ScheduledEvent::Deliver { to, message: message.clone() });
        }
        let is_late = late_one_in > 0 && self.rng.one_in(late_one_in);
        let delay = random_span(&mut self.rng, 1, if is_late { 400 } else { 4 });
        let delay = delay + self.extra_latency(Some(from)) + self.extra_latency(self.machine_at(to));
        let sent_at = self.transmission_end(from, to, &message);
        self.schedule_at(sent_at + delay, ScheduledEvent::Deliver { to, message });
    }

    fn extra_latency(&self, machine: Option<usize>) -> Span {
        machine.and_then(|machine| self.extra_latencies.get(&machine).copied()).unwrap_or_default()
    }

    /// The time at which a slow link has transmitted a message with changes or a state, after those queued
    /// before it.
    fn transmission_end(&mut self, from: usize, to: SocketAddr, message: &ReplicationMessage) -> Time {
        let bytes = match &message.body {
            ReplicationBody::Write { change, .. } => change.len(),
            ReplicationBody::Changes { changes, .. } => {
                changes.iter().map(|numbered| numbered.change.len()).sum()
            }
            ReplicationBody::Snapshot { state, .. } => state.len(),
            _ => return self.now,
        };
        self.bytes_sent += bytes as u64;
        let Some(bytes_per_ms) = self.link_bytes_per_ms else { return self.now };
        let link_free_at = self.links_free_at.entry((from, to)).or_default();
        *link_free_at = self.now.max(*link_free_at) + Span::from_millis(bytes as u64 / bytes_per_ms);
        *link_free_at
    }
}
