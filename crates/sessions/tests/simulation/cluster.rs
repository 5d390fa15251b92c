//! The simulated cluster of stores, network and keepers, run step by step.

use std::collections::BTreeSet;
use std::sync::Arc;

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::EpochNumber;
use juniperwing_protocol::session::{SessionReply, SessionRequest};
use juniperwing_protocol::subscription::StoreMap;
use juniperwing_protocol::transfer::{TransferReply, TransferRequest};
use juniperwing_sessions::{CallerId, Chain, Command, Event, TransferCallId};

use super::TestRng;
use super::clients::Clients;
use super::keepers::Keepers;
use super::map_publication::first_map;
use super::node::Node;

/// The number of packets delivered in one step.
const PACKETS_PER_STEP: usize = 3;
/// The number of packets delivered in one fault-free step, which amounts to more than a hundred packets per 100 ms.
const PACKETS_PER_FAULT_FREE_STEP: usize = 10;
/// The number of disk syncs completed in one fault-free step, so that a sync takes a few tens of milliseconds.
const SYNCS_PER_FAULT_FREE_STEP: usize = 4;

/// A message in flight.
#[derive(Clone, Debug)]
pub(super) enum Packet {
    StoreMap {
        to: usize,
        map: Arc<StoreMap>,
    },
    SessionRequest {
        to: usize,
        operation: u64,
        request: SessionRequest,
    },
    SessionReply {
        operation: u64,
        reply: Option<SessionReply>,
    },
    TransferRequest {
        from: usize,
        incarnation: u64,
        to: usize,
        call: TransferCallId,
        request: TransferRequest,
    },
    TransferReply {
        to: usize,
        incarnation: u64,
        call: TransferCallId,
        reply: Option<TransferReply>,
    },
}

/// Who sent a request to a node; the caller id is the index.
#[derive(Clone, Debug)]
pub(super) enum Caller {
    Client(u64),
    Store { from: usize, incarnation: u64, to: usize, call: TransferCallId },
}

pub struct Cluster {
    pub clients: Clients,
    pub rng: TestRng,
    pub now: Time,
    pub nodes: Vec<Node>,
    /// The keepers with their planner; if `None`, a simple model creates the maps.
    pub keepers: Option<Keepers>,
    /// The incarnation of each node, which increases with every start. Replies to an earlier incarnation are dropped.
    pub incarnations: Vec<u64>,
    pub(super) packets: Vec<Packet>,
    pub(super) callers: Vec<Caller>,
    pub map: StoreMap,
    /// All maps published so far; a keeper that lags behind may publish any of them again.
    pub(super) published_maps: Vec<Arc<StoreMap>>,
    pub partitioned_pairs: BTreeSet<(usize, usize)>,
}

impl Cluster {
    pub fn new(seed: u64) -> Self {
        let mut rng = TestRng::new(seed);
        let nodes: Vec<Node> = (0..2 + seed as usize % 3).map(|n| Node::new(n, &mut rng)).collect();
        let mut cluster = Cluster::with_nodes(rng, nodes);
        cluster.map = first_map(&cluster.nodes);
        cluster.publish();
        cluster
    }

    /// Creates a cluster whose keepers run the planner; there is no map yet.
    pub fn planned(seed: u64, count: usize) -> Self {
        let mut rng = TestRng::new(seed);
        let nodes = (0..count).map(|n| Node::new(n, &mut rng)).collect();
        let mut cluster = Cluster::with_nodes(rng, nodes);
        cluster.keepers = Some(Keepers::new(cluster.now));
        cluster
    }

    fn with_nodes(rng: TestRng, nodes: Vec<Node>) -> Self {
        let incarnations = vec![0; nodes.len()];
        Cluster {
            clients: Clients::default(),
            rng,
            now: Time::from_nanos(1),
            nodes,
            keepers: None,
            incarnations,
            packets: Vec::new(),
            callers: Vec::new(),
            map: StoreMap::default(),
            published_maps: Vec::new(),
            partitioned_pairs: BTreeSet::new(),
        }
    }

    /// Runs one step with random faults.
    pub fn step(&mut self) {
        match self.rng.below(100) {
            0..=64 => (0..PACKETS_PER_STEP).for_each(|_| self.deliver_packet()),
            65..=82 => self.complete_sync(),
            83..=87 => {
                let operation = self.clients.begin(self.now, &mut self.rng);
                self.send(operation);
            }
            88..=93 => self.advance_time(),
            94..=97 => self.run_keepers(),
            98 => self.inject_fault(),
            _ => self.repair_fault(),
        }
    }

    /// Runs one step without faults other than those injected by the caller.
    pub fn step_without_faults(&mut self) {
        match self.rng.below(94) {
            0..=64 => (0..PACKETS_PER_FAULT_FREE_STEP).for_each(|_| self.deliver_packet()),
            65..=82 => (0..SYNCS_PER_FAULT_FREE_STEP).for_each(|_| self.complete_sync()),
            83..=87 if !self.map.partitions.is_empty() => {
                let operation = self.clients.begin(self.now, &mut self.rng);
                self.send(operation);
            }
            88..=93 => {
                self.advance_time();
                // The keepers run at every advance, since after a longer interval they assume that they were paused.
                self.run_keepers();
            }
            _ => {}
        }
    }

    /// Checks that all replicas hold the stored turns.
    pub fn check_replicas(&mut self) {
        for stored in self.clients.turns_that_must_be_found(self.now) {
            let partition = self.map.partition_of(&stored.program.0).expect("a map");
            for node in &self.nodes {
                let table = node.store.as_ref().and_then(|store| store.table(partition));
                let has_turn = table.is_some_and(|t| t.has_turn(&stored.program, &stored.turn.request));
                assert!(has_turn, "{} is missing at {}", stored.turn.request, node.number);
            }
        }
    }

    /// Checks that every store can continue the stored turns that it holds.
    pub fn check_chains(&self) {
        for stored in self.clients.turns_that_must_be_found(self.now) {
            let partition = self.map.partition_of(&stored.program.0).expect("a map");
            for node in &self.nodes {
                let Some(table) = node.store.as_ref().and_then(|store| store.table(partition)) else {
                    continue;
                };
                let chain = table.chain(&stored.program, &stored.turn.request);
                assert_ne!(chain, Chain::Broken, "of {} at {}", stored.turn.request, node.number);
            }
        }
    }

    /// Sends an operation to the primary, or to a random store as if an outdated map were used.
    pub fn send(&mut self, operation: u64) {
        let program = self.clients.operations[&operation].program.clone();
        let body = self.clients.operations[&operation].call.clone();
        self.clients.operations.get_mut(&operation).expect("an operation").sent_at = self.now;
        let partition = self.map.partition_of(&program.0).expect("a map");
        let assignment = &self.map.partitions[usize::from(partition.0)];
        let primary = self.nodes.iter().position(|node| node.disk == assignment.primary).unwrap_or(0);
        let is_stale = self.rng.random_bool(25);
        let to = if is_stale { self.rng.below(self.nodes.len()) } else { primary };
        let epoch = if is_stale { EpochNumber(1) } else { assignment.epoch };
        let request = SessionRequest { partition, epoch, body };
        self.packets.push(Packet::SessionRequest { to, operation, request });
    }

    pub(super) fn deliver_packet(&mut self) {
        if self.packets.is_empty() {
            return;
        }
        let index = self.rng.below(self.packets.len());
        let packet = self.packets.swap_remove(index);
        match packet {
            Packet::StoreMap { to, map } => {
                if self.nodes[to].is_reachable {
                    self.handle(to, Event::StoreMap(map));
                } else if self.keepers.is_none() && self.nodes[to].store.is_some() {
                    self.packets.push(Packet::StoreMap { to, map });
                    self.advance_time();
                }
            }
            Packet::SessionRequest { to, operation, request } => {
                self.deliver_session_request(to, operation, request);
            }
            Packet::SessionReply { operation, reply } => {
                let next = self.clients.handle_reply(operation, reply, self.now, &mut self.rng);
                if let Some(next) = next {
                    self.send(next);
                }
            }
            Packet::TransferRequest { from, incarnation, to, call, request } => {
                self.deliver_transfer_request(from, incarnation, to, call, request);
            }
            Packet::TransferReply { to, incarnation, call, reply } => {
                if self.incarnations[to] == incarnation {
                    self.handle(to, Event::CallCompleted { call, reply });
                }
            }
        }
    }

    fn deliver_session_request(&mut self, to: usize, operation: u64, request: SessionRequest) {
        if self.nodes[to].store.is_none() || self.rng.random_bool(2) {
            return self.packets.push(Packet::SessionReply { operation, reply: None });
        }
        if self.rng.random_bool(3) {
            // The relay times out and retries, but the first request still arrives.
            self.packets.push(Packet::SessionRequest { to, operation: 0, request: request.clone() });
        }
        let caller = self.add_caller(Caller::Client(operation));
        self.handle(to, Event::SessionRequest { caller, request });
    }

    fn deliver_transfer_request(
        &mut self, from: usize, incarnation: u64, to: usize, call: TransferCallId, request: TransferRequest,
    ) {
        let is_partitioned = self.partitioned_pairs.contains(&(from.min(to), from.max(to)));
        if is_partitioned || self.nodes[to].store.is_none() {
            let reply = None;
            return self.packets.push(Packet::TransferReply { to: from, incarnation, call, reply });
        }
        if self.rng.random_bool(3) {
            // The call times out, but its request arrives later when no caller waits for a reply.
            self.packets.push(Packet::TransferReply { to: from, incarnation, call, reply: None });
            return self.packets.push(Packet::TransferRequest { from, incarnation: 0, to, call, request });
        }
        let caller = self.add_caller(Caller::Store { from, incarnation, to, call });
        self.handle(to, Event::TransferRequest { caller, request });
    }

    fn add_caller(&mut self, caller: Caller) -> CallerId {
        self.callers.push(caller);
        CallerId(self.callers.len() as u64 - 1)
    }

    fn handle(&mut self, to: usize, event: Event) {
        let commands = self.nodes[to].handle(self.now, event);
        self.execute(to, commands);
    }

    pub(super) fn execute(&mut self, from: usize, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::SendSessionReply { caller, reply } => self.reply(caller, reply),
                Command::SendTransferReply { caller, reply } => {
                    if let Caller::Store { from, incarnation, call, .. } =
                        self.callers[caller.0 as usize].clone()
                    {
                        let reply = Some(reply);
                        self.packets.push(Packet::TransferReply { to: from, incarnation, call, reply });
                    }
                }
                Command::Call { call, to, request } => {
                    let to = self.nodes.iter().position(|node| node.address() == to).expect("a store");
                    let incarnation = self.incarnations[from];
                    self.packets.push(Packet::TransferRequest { from, incarnation, to, call, request });
                }
                Command::ReportCaughtUp
                | Command::WriteBatch { .. }
                | Command::RemoveSegment { .. }
                | Command::WriteMapVersion { .. } => {}
            }
        }
    }

    fn reply(&mut self, caller: CallerId, reply: SessionReply) {
        if let Caller::Client(operation) = self.callers[caller.0 as usize].clone() {
            let is_lost = self.rng.random_bool(3);
            self.packets.push(Packet::SessionReply { operation, reply: (!is_lost).then_some(reply) });
        }
    }

    pub(super) fn complete_sync(&mut self) {
        let number = self.rng.below(self.nodes.len());
        let commands = self.nodes[number].complete_sync(self.now, &mut self.rng);
        self.execute(number, commands);
    }

    pub(super) fn advance_time(&mut self) {
        self.now = self.now + Span::from_millis(self.rng.below(150) as u64);
        for operation in self.clients.take_timed_out(self.now) {
            self.packets.push(Packet::SessionReply { operation, reply: None });
        }
        for operation in self.clients.take_due(self.now, &mut self.rng) {
            self.send(operation);
        }
        for number in 0..self.nodes.len() {
            let wake_at =
                self.nodes[number].store.as_ref().and_then(juniperwing_sessions::Store::next_wake_at);
            if wake_at.is_some_and(|at| at <= self.now) {
                self.handle(number, Event::Tick);
            }
        }
    }
}
