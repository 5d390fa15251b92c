//! Random faults of the simulated cluster, and their repair.

use juniperwing_protocol::DiskId;

use super::cluster::{Caller, Cluster, Packet};
use super::node::Node;

impl Cluster {
    /// Repairs all faults and runs until the cluster is idle.
    pub fn repair_all_faults(&mut self) {
        self.partitioned_pairs.clear();
        for number in 0..self.nodes.len() {
            self.nodes[number].is_reachable = true;
            if self.nodes[number].store.is_none() {
                self.start(number);
            }
        }
        self.run_until_idle();
    }

    /// Runs without faults until no operation is in flight and every partition is fully replicated.
    pub fn run_until_idle(&mut self) {
        for _ in 0..200 {
            self.run_keepers();
            while !self.packets.is_empty() || self.nodes.iter().any(Node::is_syncing) {
                self.deliver_packet();
                self.complete_sync();
            }
            self.advance_time();
            if self.clients.operations.is_empty() && self.is_fully_replicated() {
                return;
            }
        }
        panic!("the cluster does not become idle: {:?} {:?}", self.map, self.clients.operations);
    }

    fn is_fully_replicated(&self) -> bool {
        let count = self.nodes.len();
        self.map
            .partitions
            .iter()
            .all(|assignment| assignment.in_sync.len() == count && assignment.joining.is_empty())
    }

    pub(super) fn inject_fault(&mut self) {
        let number = self.rng.below(self.nodes.len());
        let other = self.rng.below(self.nodes.len());
        match self.rng.below(8) {
            0 | 1 if self.nodes[number].store.is_some() => self.kill(number),
            0..=2 if self.nodes[number].store.is_none() => {
                if self.rng.random_bool(40) && self.has_other_replicas(number) {
                    self.nodes[number].wipe();
                }
                self.start(number);
            }
            3 => self.nodes[number].is_reachable = !self.nodes[number].is_reachable,
            4 if number != other => {
                self.partitioned_pairs.insert((number.min(other), number.max(other)));
            }
            5 => self.partitioned_pairs.clear(),
            6 => self.nodes[number].step_clock(&mut self.rng),
            _ => self.nodes.iter_mut().for_each(|node| node.is_reachable = true),
        }
    }

    /// Kills a store. Pending calls to it get no reply.
    pub fn kill(&mut self, number: usize) {
        self.nodes[number].kill(&mut self.rng);
        for caller in &self.callers {
            if let Caller::Store { from, incarnation, to, call } = *caller
                && to == number
                && self.incarnations[from] == incarnation
            {
                self.packets.push(Packet::TransferReply { to: from, incarnation, call, reply: None });
            }
        }
    }

    /// Ends the network partitions and repairs one node.
    pub(super) fn repair_fault(&mut self) {
        self.partitioned_pairs.clear();
        let number = self.rng.below(self.nodes.len());
        self.nodes[number].is_reachable = true;
        if self.nodes[number].store.is_none() {
            self.start(number);
        }
    }

    /// Whether every partition has an in-sync replica on another node.
    fn has_other_replicas(&self, number: usize) -> bool {
        let disk = self.nodes[number].disk;
        let is_present = |other: &DiskId| *other != disk && self.nodes.iter().any(|node| node.disk == *other);
        self.map.partitions.iter().all(|assignment| assignment.in_sync.iter().any(is_present))
    }

    pub fn start(&mut self, number: usize) {
        self.incarnations[number] += 1;
        let commands = self.nodes[number].start(self.now);
        self.execute(number, commands);
        self.subscribe(number);
    }
}
