//! The maps of the cluster, which are created by the keepers' planner or a simple model and published to the stores.

use std::sync::Arc;

use juniperwing_protocol::subscription::{Assignment, StoreMap, StoreNode};
use juniperwing_protocol::{DiskId, EpochNumber};

use super::cluster::{Cluster, Packet};
use super::node::{Node, REQUIRED_REPLICAS};

const PARTITIONS: usize = 4;

impl Cluster {
    /// Runs the keepers: they detect the reachable stores and reassign partitions.
    pub(super) fn run_keepers(&mut self) {
        if self.keepers.is_some() {
            return self.run_planner();
        }
        let reachable: Vec<DiskId> = self.reachable_nodes().map(|node| node.disk).collect();
        let before = self.map.partitions.clone();
        self.apply_reports();
        for (partition, old) in before.iter().enumerate() {
            let current = &self.map.partitions[partition];
            let mut next = current.clone();
            next.in_sync.retain(|disk| reachable.contains(disk));
            if next.in_sync.is_empty() {
                continue;
            }
            next.joining = reachable.iter().filter(|disk| !next.in_sync.contains(disk)).copied().collect();
            next.lost_replicas = if next.joining.is_empty() { lost_replicas(next.in_sync.len()) } else { 0 };
            if !next.in_sync.contains(&next.primary) || self.rng.random_bool(5) {
                next.primary = next.in_sync[self.rng.below(next.in_sync.len())];
            }
            if next != *current {
                next.epoch.0 = old.epoch.0 + 1;
                self.map.partitions[partition] = next;
            }
        }
        if self.map.partitions != before {
            self.publish();
        }
    }

    fn run_planner(&mut self) {
        let reachable: Vec<StoreNode> = self.reachable_nodes().map(store_node).collect();
        let reports: Vec<_> = self.reachable_nodes().flat_map(Node::caught_up).collect();
        let Some(keepers) = &mut self.keepers else { return };
        if let Some(map) = keepers.run(self.now, reachable, &reports) {
            self.map = StoreMap::clone(&map);
            self.broadcast(map);
        }
    }

    fn reachable_nodes(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| node.is_reachable && node.store.is_some())
    }

    /// Adds replicas that were reported to have caught up to the in-sync replicas.
    fn apply_reports(&mut self) {
        let reports: Vec<_> = self.reachable_nodes().flat_map(Node::caught_up).collect();
        for report in reports {
            let assignment = &mut self.map.partitions[usize::from(report.partition.0)];
            if assignment.epoch == report.epoch && assignment.joining.contains(&report.replica) {
                assignment.joining.retain(|disk| *disk != report.replica);
                assignment.in_sync.push(report.replica);
                assignment.epoch.0 += 1;
            }
        }
    }

    pub(super) fn publish(&mut self) {
        self.map.version += 1;
        self.map.stores = self.nodes.iter().map(store_node).collect();
        self.broadcast(Arc::new(self.map.clone()));
    }

    fn broadcast(&mut self, map: Arc<StoreMap>) {
        self.published_maps.push(map.clone());
        for to in 0..self.nodes.len() {
            self.packets.push(Packet::StoreMap { to, map: map.clone() });
        }
    }

    /// Subscribes a store again. A keeper that lags behind may also send it an older map.
    pub fn subscribe(&mut self, number: usize) {
        let map = Arc::new(self.map.clone());
        self.packets.push(Packet::StoreMap { to: number, map });
        if !self.published_maps.is_empty() && self.rng.random_bool(40) {
            let map = self.published_maps[self.rng.below(self.published_maps.len())].clone();
            self.packets.push(Packet::StoreMap { to: number, map });
        }
    }
}

pub(super) fn first_map(nodes: &[Node]) -> StoreMap {
    let disks: Vec<DiskId> = nodes.iter().map(|node| node.disk).collect();
    let partitions = (0..PARTITIONS).map(|partition| Assignment {
        epoch: EpochNumber(1),
        primary: disks[partition % disks.len()],
        in_sync: disks.clone(),
        joining: Vec::new(),
        lost_replicas: 0,
    });
    StoreMap { version: 0, stores: Vec::new(), partitions: partitions.collect() }
}

fn store_node(node: &Node) -> StoreNode {
    StoreNode { disk: node.disk, node: node.name(), zone: "zone".into(), address: node.address() }
}

/// The number of lost replicas in a map with this number of in-sync replicas.
fn lost_replicas(in_sync: usize) -> u16 {
    REQUIRED_REPLICAS.saturating_sub(in_sync) as u16
}
