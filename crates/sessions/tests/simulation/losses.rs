//! Losses of store machines within the limits of the fault model.

use juniperwing_clock::Span;

use super::cluster::Cluster;
use super::node::{Node, REQUIRED_REPLICAS};

/// How one machine is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// The process is killed, or the machine loses power.
    Kill,
    /// As [`Loss::Kill`], and the disk is empty afterwards.
    Wipe,
    /// The machine is partitioned from the keepers and the other stores; relays still reach it.
    Partition,
    /// The machine never returns; a new one joins at another address.
    Replace,
}

impl Cluster {
    /// Runs with traffic and without further faults.
    pub fn run_for(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.step_without_faults();
        }
    }

    /// The nodes whose process is running.
    pub fn running_nodes(&self) -> Vec<usize> {
        self.nodes.iter().filter(|node| node.store.is_some()).map(|node| node.number).collect()
    }

    /// The running node that leads the most partitions.
    pub fn most_loaded_node(&self) -> usize {
        let led = |number: &usize| {
            let disk = self.nodes[*number].disk;
            self.map.partitions.iter().filter(|assignment| assignment.primary == disk).count()
        };
        self.running_nodes().into_iter().max_by_key(led).expect("a store")
    }

    /// The running node with the oldest disk.
    pub fn oldest_node(&self) -> usize {
        self.running_nodes().into_iter().min_by_key(|number| self.nodes[*number].disk).expect("a store")
    }

    pub fn start_loss(&mut self, number: usize, loss: Loss) {
        if loss == Loss::Partition {
            self.nodes[number].is_reachable = false;
            let others = (0..self.nodes.len()).filter(|other| *other != number);
            self.partitioned_pairs.extend(others.map(|other| (number.min(other), number.max(other))));
        } else {
            self.kill(number);
        }
    }

    /// The machine returns, or its replacement joins.
    pub fn end_loss(&mut self, number: usize, loss: Loss) {
        match loss {
            Loss::Kill => self.start(number),
            Loss::Wipe => {
                self.nodes[number].wipe();
                self.start(number);
            }
            Loss::Partition => {
                self.partitioned_pairs.clear();
                self.nodes[number].is_reachable = true;
                self.subscribe(number);
            }
            Loss::Replace => self.add_node(),
        }
    }

    /// Simulates a power loss of all running stores, which restart with their disks after `duration`. The fault model
    /// allows this in addition to any loss.
    pub fn lose_power(&mut self, duration: Span) {
        let running_nodes = self.running_nodes();
        running_nodes.iter().for_each(|number| self.kill(*number));
        self.run_for(duration);
        running_nodes.iter().for_each(|number| self.start(*number));
    }

    /// Adds a machine to the cluster.
    pub fn add_node(&mut self) {
        let number = self.nodes.len();
        self.nodes.push(Node::new(number, &mut self.rng));
        self.incarnations.push(0);
        self.subscribe(number);
    }

    /// Retires a machine, and removes it with its disk when the retirement is completed.
    pub fn retire(&mut self, number: usize, within: Span) {
        let name = self.nodes[number].name();
        let keepers = self.keepers.as_mut().expect("keepers that plan");
        assert!(keepers.retire(self.now, &name), "a valid retirement is accepted");
        let until = self.now + within;
        while !self.keepers.as_mut().expect("keepers that plan").is_retired(self.now, &name) {
            assert!(self.now < until, "{name:?} is not retired: {:?}", self.map);
            self.step_without_faults();
        }
        self.kill(number);
        self.nodes[number].wipe();
    }

    /// Checks that the loss of any single store would lose no stored turn: every partition has its required replicas,
    /// and each of them has all stored turns.
    pub fn check_loss_tolerance(&mut self) {
        let required = REQUIRED_REPLICAS.min(self.running_nodes().len());
        for assignment in &self.map.partitions {
            assert!(assignment.in_sync.len() >= required, "{assignment:?}");
        }
        for stored in self.clients.turns_that_must_be_found(self.now) {
            let partition = self.map.partition_of(&stored.program.0).expect("a map");
            let assignment = self.map.assignment(partition).expect("a partition");
            for node in self.nodes.iter().filter(|node| assignment.in_sync.contains(&node.disk)) {
                let table = node.store.as_ref().and_then(|store| store.table(partition));
                let has_turn = table.is_some_and(|t| t.has_turn(&stored.program, &stored.turn.request));
                assert!(has_turn, "{} is missing at {}", stored.turn.request, node.number);
            }
        }
    }
}
