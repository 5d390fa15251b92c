//! Network partitions between machines of a tier.

use std::collections::BTreeSet;
use std::net::IpAddr;

use juniperwing_node::sync::lock;

use super::Tier;
use crate::faults::{Direction, Machine};

/// The link between two machines in one direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct DirectedLink {
    from: IpAddr,
    to: IpAddr,
}

/// Guard that keeps a machine partitioned until it is dropped.
#[derive(Debug)]
pub struct Partition<'tier> {
    tier: &'tier Tier,
    links: Vec<DirectedLink>,
}

impl Tier {
    /// Partitions a machine from others until the guard is dropped. Partitions may overlap: a link that two of them
    /// block stays blocked until both are over.
    pub fn partition(&self, machine: Machine, others: &[Machine], direction: Direction) -> Partition<'_> {
        let address = self.address(machine);
        let mut links = Vec::new();
        for other in others.iter().map(|other| self.address(*other)).filter(|other| *other != address) {
            if direction != Direction::In {
                links.push(DirectedLink { from: address, to: other });
            }
            if direction != Direction::Out {
                links.push(DirectedLink { from: other, to: address });
            }
        }
        lock(&self.blocked_links).extend(&links);
        self.apply_blocked_links();
        Partition { tier: self, links }
    }

    /// Writes the blocked links into the fault rules of all machines.
    fn apply_blocked_links(&self) {
        let blocked_links = lock(&self.blocked_links).clone();
        for node in &self.nodes {
            let address = self.address(node.machine);
            let blocked_destinations: BTreeSet<IpAddr> =
                blocked_links.iter().filter(|link| link.from == address).map(|link| link.to).collect();
            let blocked_sources =
                blocked_links.iter().filter(|link| link.to == address).map(|link| link.from).collect();
            self.change_rules(node.machine, |rules| {
                rules.blocked_destinations = blocked_destinations;
                rules.blocked_sources = blocked_sources;
            });
        }
    }
}

impl Drop for Partition<'_> {
    fn drop(&mut self) {
        {
            let mut blocked_links = lock(&self.tier.blocked_links);
            for link in &self.links {
                if let Some(index) = blocked_links.iter().position(|blocked| blocked == link) {
                    blocked_links.swap_remove(index);
                }
            }
        }
        self.tier.apply_blocked_links();
    }
}
