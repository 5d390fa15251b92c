//! The cluster: stores, network, keepers, and one step after the other.

use std::collections::BTreeSet;
use std::sync::Arc;

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::session::{SessionReply, SessionRequest};
use juniperwing_protocol::subscription::{Assignment, StoreMap, StoreNode};
use juniperwing_protocol::transfer::{TransferReply, TransferRequest};
use juniperwing_protocol::{DiskId, EpochNumber};
use juniperwing_sessions::{CallerId, Command, Event, TransferCallId};

use super::Chance;
use super::clients::Clients;
use super::keepers::Keepers;
use super::node::{Node, REQUIRED};

const PARTITIONS: usize = 4;
/// Packets delivered in one step.
const DELIVERED_AT_ONCE: usize = 3;
/// The same while nothing disturbs the network: some hundred packets in a tenth of a second.
const DELIVERED_UNDISTURBED: usize = 10;
/// Disks asked to end a sync in one step of such a time: a sync takes some tens of milliseconds.
const SYNCED_UNDISTURBED: usize = 4;

/// Something on its way.
#[derive(Clone, Debug)]
enum Packet {
    Map { to: usize, map: Arc<StoreMap> },
    Ask { to: usize, operation: u64, request: SessionRequest },
    Reply { operation: u64, reply: Option<SessionReply> },
    Call { from: usize, life: u64, to: usize, call: TransferCallId, request: TransferRequest },
    Answer { to: usize, life: u64, call: TransferCallId, answer: Option<TransferReply> },
}

/// Who asked a node, by the number it was given.
#[derive(Clone, Debug)]
enum Asker {
    Client(u64),
    Store { from: usize, life: u64, to: usize, call: TransferCallId },
}

pub struct Cluster {
    pub clients: Clients,
    pub chance: Chance,
    pub now: Time,
    pub nodes: Vec<Node>,
    /// The keepers with their planner; without them, a simple model decides on the map.
    pub keepers: Option<Keepers>,
    /// Rises with every start of a node: answers to an earlier life are lost.
    pub lives: Vec<u64>,
    packets: Vec<Packet>,
    askers: Vec<Asker>,
    pub map: StoreMap,
    /// All maps there ever were: a keeper that lags behind may tell any of them.
    history: Vec<Arc<StoreMap>>,
    pub cuts: BTreeSet<(usize, usize)>,
}

impl Cluster {
    pub fn new(seed: u64) -> Self {
        let mut chance = Chance::new(seed);
        let nodes: Vec<Node> = (0..2 + seed as usize % 3).map(|n| Node::new(n, &mut chance)).collect();
        let mut cluster = Cluster::with(chance, nodes);
        cluster.map = first_map(&cluster.nodes);
        cluster.publish();
        cluster
    }

    /// A cluster whose keepers run the planner; there is no map yet.
    pub fn planned(seed: u64, count: usize) -> Self {
        let mut chance = Chance::new(seed);
        let nodes = (0..count).map(|n| Node::new(n, &mut chance)).collect();
        let mut cluster = Cluster::with(chance, nodes);
        cluster.keepers = Some(Keepers::new(cluster.now));
        cluster
    }

    fn with(chance: Chance, nodes: Vec<Node>) -> Self {
        let lives = vec![0; nodes.len()];
        Cluster {
            clients: Clients::default(),
            chance,
            now: Time::from_nanos(1),
            nodes,
            keepers: None,
            lives,
            packets: Vec::new(),
            askers: Vec::new(),
            map: StoreMap::default(),
            history: Vec::new(),
            cuts: BTreeSet::new(),
        }
    }

    /// One step of a troubled time.
    pub fn step(&mut self) {
        match self.chance.below(100) {
            0..=64 => (0..DELIVERED_AT_ONCE).for_each(|_| self.deliver_one()),
            65..=82 => self.sync_one(),
            83..=87 => {
                let operation = self.clients.begin(self.now, &mut self.chance);
                self.send(operation);
            }
            88..=93 => self.pass_time(),
            94..=97 => self.keep(),
            98 => self.trouble(),
            _ => self.mend(),
        }
    }

    /// One step of a time in which nothing goes wrong but what the caller does.
    pub fn step_undisturbed(&mut self) {
        match self.chance.below(94) {
            0..=64 => (0..DELIVERED_UNDISTURBED).for_each(|_| self.deliver_one()),
            65..=82 => (0..SYNCED_UNDISTURBED).for_each(|_| self.sync_one()),
            83..=87 if !self.map.partitions.is_empty() => {
                let operation = self.clients.begin(self.now, &mut self.chance);
                self.send(operation);
            }
            88..=93 => {
                self.pass_time();
                // Keepers that looked less often would think that they had been paused.
                self.keep();
            }
            _ => {}
        }
    }

    /// Ends all trouble and lets everything under way come to its end.
    pub fn heal(&mut self) {
        self.cuts.clear();
        for number in 0..self.nodes.len() {
            self.nodes[number].in_touch = true;
            if self.nodes[number].store.is_none() {
                self.start(number);
            }
        }
        self.calm_down();
    }

    /// Goes on without trouble until nothing is under way.
    pub fn calm_down(&mut self) {
        for _ in 0..200 {
            self.keep();
            while !self.packets.is_empty() || self.nodes.iter().any(Node::is_writing) {
                self.deliver_one();
                self.sync_one();
            }
            self.pass_time();
            if self.clients.operations.is_empty() && self.is_whole() {
                return;
            }
        }
        panic!("the cluster does not come to rest: {:?} {:?}", self.map, self.clients.operations);
    }

    fn is_whole(&self) -> bool {
        let count = self.nodes.len();
        self.map.partitions.iter().all(|held| held.in_sync.len() == count && held.joining.is_empty())
    }

    /// Checks that all replicas hold the same, and that what was kept is there.
    pub fn check_level(&mut self) {
        for kept in self.clients.must_be_known(self.now) {
            let partition = self.map.partition_of(&kept.program.0).expect("a map");
            for node in &self.nodes {
                let table = node.store.as_ref().and_then(|store| store.table(partition));
                let held = table.is_some_and(|t| t.has_turn(&kept.program, &kept.turn.request));
                assert!(held, "{} is missing at {}", kept.turn.request, node.number);
            }
        }
    }

    /// Sends an operation to the primary, or to another store as by an old map.
    pub fn send(&mut self, operation: u64) {
        let program = self.clients.operations[&operation].program.clone();
        let body = self.clients.operations[&operation].call.clone();
        self.clients.operations.get_mut(&operation).expect("an operation").sent_at = self.now;
        let partition = self.map.partition_of(&program.0).expect("a map");
        let held = &self.map.partitions[usize::from(partition.0)];
        let primary = self.nodes.iter().position(|node| node.disk == held.primary).unwrap_or(0);
        let stale = self.chance.percent(25);
        let to = if stale { self.chance.below(self.nodes.len()) } else { primary };
        let epoch = if stale { EpochNumber(1) } else { held.epoch };
        let request = SessionRequest { partition, epoch, body };
        self.packets.push(Packet::Ask { to, operation, request });
    }

    fn deliver_one(&mut self) {
        if self.packets.is_empty() {
            return;
        }
        let chosen = self.chance.below(self.packets.len());
        let packet = self.packets.swap_remove(chosen);
        match packet {
            Packet::Map { to, map } => {
                if self.nodes[to].in_touch {
                    self.handle(to, Event::StoreMap(map));
                } else if self.keepers.is_none() && self.nodes[to].store.is_some() {
                    self.packets.push(Packet::Map { to, map });
                    self.pass_time();
                }
            }
            Packet::Ask { to, operation, request } => self.ask(to, operation, request),
            Packet::Reply { operation, reply } => {
                let next = self.clients.answered(operation, reply, self.now, &mut self.chance);
                if let Some(next) = next {
                    self.send(next);
                }
            }
            Packet::Call { from, life, to, call, request } => self.call(from, life, to, call, request),
            Packet::Answer { to, life, call, answer } => {
                if self.lives[to] == life {
                    self.handle(to, Event::CallCompleted { call, reply: answer });
                }
            }
        }
    }

    fn ask(&mut self, to: usize, operation: u64, request: SessionRequest) {
        if self.nodes[to].store.is_none() || self.chance.percent(2) {
            return self.packets.push(Packet::Reply { operation, reply: None });
        }
        if self.chance.percent(3) {
            // The relay has no answer in time and asks again; this one still arrives.
            self.packets.push(Packet::Ask { to, operation: 0, request: request.clone() });
        }
        let asker = self.asker(Asker::Client(operation));
        self.handle(to, Event::SessionRequest { caller: asker, request });
    }

    fn call(&mut self, from: usize, life: u64, to: usize, call: TransferCallId, request: TransferRequest) {
        let cut = self.cuts.contains(&(from.min(to), from.max(to)));
        if cut || self.nodes[to].store.is_none() {
            let answer = None;
            return self.packets.push(Packet::Answer { to: from, life, call, answer });
        }
        if self.chance.percent(3) {
            // No answer in time, but the call arrives, later and without anybody waiting.
            self.packets.push(Packet::Answer { to: from, life, call, answer: None });
            return self.packets.push(Packet::Call { from, life: 0, to, call, request });
        }
        let asker = self.asker(Asker::Store { from, life, to, call });
        self.handle(to, Event::TransferRequest { caller: asker, request });
    }

    fn asker(&mut self, asker: Asker) -> CallerId {
        self.askers.push(asker);
        CallerId(self.askers.len() as u64 - 1)
    }

    fn handle(&mut self, to: usize, event: Event) {
        let commands = self.nodes[to].handle(self.now, event);
        self.execute(to, commands);
    }

    fn execute(&mut self, from: usize, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::SendSessionReply { caller, reply } => self.reply(caller, reply),
                Command::SendTransferReply { caller, reply } => {
                    if let Asker::Store { from, life, call, .. } = self.askers[caller.0 as usize].clone() {
                        let answer = Some(reply);
                        self.packets.push(Packet::Answer { to: from, life, call, answer });
                    }
                }
                Command::Call { call, to, request } => {
                    let to = self.nodes.iter().position(|node| node.address() == to).expect("a store");
                    let life = self.lives[from];
                    self.packets.push(Packet::Call { from, life, to, call, request });
                }
                Command::ReportCaughtUp
                | Command::WriteBatch { .. }
                | Command::RemoveSegment { .. }
                | Command::WriteMapVersion { .. } => {}
            }
        }
    }

    fn reply(&mut self, asker: CallerId, reply: SessionReply) {
        if let Asker::Client(operation) = self.askers[asker.0 as usize].clone() {
            let lost = self.chance.percent(3);
            self.packets.push(Packet::Reply { operation, reply: (!lost).then_some(reply) });
        }
    }

    fn sync_one(&mut self) {
        let number = self.chance.below(self.nodes.len());
        let commands = self.nodes[number].sync_ends(self.now, &mut self.chance);
        self.execute(number, commands);
    }

    fn pass_time(&mut self) {
        self.now = self.now + Span::from_millis(self.chance.below(150) as u64);
        for operation in self.clients.overdue(self.now) {
            self.packets.push(Packet::Reply { operation, reply: None });
        }
        for number in 0..self.nodes.len() {
            let wake = self.nodes[number].store.as_ref().and_then(|store| store.next_wake_at());
            if wake.is_some_and(|wake| wake <= self.now) {
                self.handle(number, Event::Tick);
            }
        }
    }

    /// The keepers look at who is there, and move partitions.
    fn keep(&mut self) {
        if self.keepers.is_some() {
            return self.keep_planned();
        }
        let present: Vec<DiskId> = self.present().map(|node| node.disk).collect();
        let before = self.map.partitions.clone();
        self.admit_joined();
        for (partition, old) in before.iter().enumerate() {
            let held = &self.map.partitions[partition];
            let mut next = held.clone();
            next.in_sync.retain(|disk| present.contains(disk));
            if next.in_sync.is_empty() {
                continue;
            }
            next.joining = present.iter().filter(|disk| !next.in_sync.contains(disk)).copied().collect();
            next.lost_replicas = if next.joining.is_empty() { lost_copies(next.in_sync.len()) } else { 0 };
            if !next.in_sync.contains(&next.primary) || self.chance.percent(5) {
                next.primary = next.in_sync[self.chance.below(next.in_sync.len())];
            }
            if next != *held {
                next.epoch.0 = old.epoch.0 + 1;
                self.map.partitions[partition] = next;
            }
        }
        if self.map.partitions != before {
            self.publish();
        }
    }

    fn keep_planned(&mut self) {
        let present: Vec<StoreNode> = self.present().map(store_node).collect();
        let reports: Vec<_> = self.present().flat_map(Node::caught_up).collect();
        let Some(keepers) = &mut self.keepers else { return };
        if let Some(map) = keepers.look(self.now, present, &reports) {
            self.map = StoreMap::clone(&map);
            self.broadcast(map);
        }
    }

    fn present(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| node.in_touch && node.store.is_some())
    }

    /// Takes in the replicas that were reported to have caught up.
    fn admit_joined(&mut self) {
        let reports: Vec<_> = self.present().flat_map(Node::caught_up).collect();
        for report in reports {
            let held = &mut self.map.partitions[usize::from(report.partition.0)];
            if held.epoch == report.epoch && held.joining.contains(&report.replica) {
                held.joining.retain(|disk| *disk != report.replica);
                held.in_sync.push(report.replica);
                held.epoch.0 += 1;
            }
        }
    }

    fn publish(&mut self) {
        self.map.version += 1;
        self.map.stores = self.nodes.iter().map(store_node).collect();
        self.broadcast(Arc::new(self.map.clone()));
    }

    fn broadcast(&mut self, map: Arc<StoreMap>) {
        self.history.push(map.clone());
        for to in 0..self.nodes.len() {
            self.packets.push(Packet::Map { to, map: map.clone() });
        }
    }

    /// A store subscribes anew. A keeper that lags behind may tell it an older map, too.
    pub fn subscribe(&mut self, number: usize) {
        let map = Arc::new(self.map.clone());
        self.packets.push(Packet::Map { to: number, map });
        if !self.history.is_empty() && self.chance.percent(40) {
            let map = self.history[self.chance.below(self.history.len())].clone();
            self.packets.push(Packet::Map { to: number, map });
        }
    }

    fn trouble(&mut self) {
        let number = self.chance.below(self.nodes.len());
        let other = self.chance.below(self.nodes.len());
        match self.chance.below(8) {
            0 | 1 if self.nodes[number].store.is_some() => self.kill(number),
            0..=2 if self.nodes[number].store.is_none() => {
                if self.chance.percent(40) && self.may_lose(number) {
                    self.nodes[number].wipe();
                }
                self.start(number);
            }
            3 => self.nodes[number].in_touch = !self.nodes[number].in_touch,
            4 if number != other => drop(self.cuts.insert((number.min(other), number.max(other)))),
            5 => self.cuts.clear(),
            6 => self.nodes[number].step_clock(&mut self.chance),
            _ => self.nodes.iter_mut().for_each(|node| node.in_touch = true),
        }
    }

    /// Kills a store. Those who wait for it get no answer.
    pub fn kill(&mut self, number: usize) {
        self.nodes[number].kill(&mut self.chance);
        for asker in &self.askers {
            if let Asker::Store { from, life, to, call } = *asker
                && to == number
                && self.lives[from] == life
            {
                self.packets.push(Packet::Answer { to: from, life, call, answer: None });
            }
        }
    }

    /// Ends one trouble.
    fn mend(&mut self) {
        self.cuts.clear();
        let number = self.chance.below(self.nodes.len());
        self.nodes[number].in_touch = true;
        if self.nodes[number].store.is_none() {
            self.start(number);
        }
    }

    /// Whether others hold all that the disk of this node holds.
    fn may_lose(&self, number: usize) -> bool {
        let disk = self.nodes[number].disk;
        let there = |other: &DiskId| *other != disk && self.nodes.iter().any(|node| node.disk == *other);
        self.map.partitions.iter().all(|held| held.in_sync.iter().any(there))
    }

    pub fn start(&mut self, number: usize) {
        self.lives[number] += 1;
        let commands = self.nodes[number].start(self.now);
        self.execute(number, commands);
        self.subscribe(number);
    }
}

fn first_map(nodes: &[Node]) -> StoreMap {
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

/// The copies that may be missing while only so many stores are there.
fn lost_copies(in_sync: usize) -> u16 {
    REQUIRED.saturating_sub(in_sync) as u16
}
