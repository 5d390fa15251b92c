//! Losses of store machines, as the fault model allows them.

use juniperwing_clock::Span;

use super::cluster::Cluster;
use super::node::{Node, REQUIRED};

/// How one machine is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// The process is killed, or the machine loses power.
    Kill,
    /// The same, and the disk is empty afterwards.
    Wipe,
    /// The machine is cut off from the keepers and the other stores; relays still reach it.
    Cut,
    /// The machine is gone for good, another one comes at another address.
    Replace,
}

impl Cluster {
    /// Lets time pass with traffic and without further trouble.
    pub fn run_for(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.step_undisturbed();
        }
    }

    /// The stores that take part.
    pub fn working(&self) -> Vec<usize> {
        self.nodes.iter().filter(|node| node.store.is_some()).map(|node| node.number).collect()
    }

    /// The store that leads most partitions.
    pub fn busiest(&self) -> usize {
        let led = |number: &usize| {
            let disk = self.nodes[*number].disk;
            self.map.partitions.iter().filter(|held| held.primary == disk).count()
        };
        self.working().into_iter().max_by_key(led).expect("a store")
    }

    /// The store whose disk has lasted longest.
    pub fn oldest(&self) -> usize {
        self.working().into_iter().min_by_key(|number| self.nodes[*number].disk).expect("a store")
    }

    pub fn lose(&mut self, number: usize, loss: Loss) {
        if loss == Loss::Cut {
            self.nodes[number].in_touch = false;
            let others = (0..self.nodes.len()).filter(|other| *other != number);
            self.cuts.extend(others.map(|other| (number.min(other), number.max(other))));
        } else {
            self.kill(number);
        }
    }

    /// The machine is back, or its successor is there.
    pub fn end_loss(&mut self, number: usize, loss: Loss) {
        match loss {
            Loss::Kill => self.start(number),
            Loss::Wipe => {
                self.nodes[number].wipe();
                self.start(number);
            }
            Loss::Cut => {
                self.cuts.clear();
                self.nodes[number].in_touch = true;
                self.subscribe(number);
            }
            Loss::Replace => self.add(),
        }
    }

    /// All stores lose power at once and are soon back with their disks; this may happen whatever is lost.
    pub fn lose_power(&mut self, down: Span) {
        let working = self.working();
        working.iter().for_each(|number| self.kill(*number));
        self.run_for(down);
        working.iter().for_each(|number| self.start(*number));
    }

    /// Another machine joins.
    pub fn add(&mut self) {
        let number = self.nodes.len();
        self.nodes.push(Node::new(number, &mut self.chance));
        self.lives.push(0);
        self.subscribe(number);
    }

    /// Has a machine emptied, and takes it away with its disk as soon as that is completed.
    pub fn retire(&mut self, number: usize, within: Span) {
        let name = self.nodes[number].name();
        let keepers = self.keepers.as_mut().expect("keepers that plan");
        assert!(keepers.retire(self.now, &name), "a proper order is taken");
        let until = self.now + within;
        while !self.keepers.as_mut().expect("keepers that plan").is_emptied(self.now, &name) {
            assert!(self.now < until, "{name:?} is not emptied: {:?}", self.map);
            self.step_undisturbed();
        }
        self.kill(number);
        self.nodes[number].wipe();
    }

    /// Checks that the loss of any one store would cost nothing: every partition has its copies, and each
    /// holder has all that was kept.
    pub fn check_copies(&mut self) {
        let wanted = REQUIRED.min(self.working().len());
        for held in &self.map.partitions {
            assert!(held.in_sync.len() >= wanted, "{held:?}");
        }
        for kept in self.clients.must_be_known(self.now) {
            let partition = self.map.partition_of(&kept.program.0).expect("a map");
            let held = self.map.assignment(partition).expect("a partition");
            for node in self.nodes.iter().filter(|node| held.in_sync.contains(&node.disk)) {
                let table = node.store.as_ref().and_then(|store| store.table(partition));
                let holds = table.is_some_and(|t| t.has_turn(&kept.program, &kept.turn.request));
                assert!(holds, "{} is missing at {}", kept.turn.request, node.number);
            }
        }
    }
}
