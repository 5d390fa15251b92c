//! A simulated store with its disk.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use juniperwing_clock::Time;
use juniperwing_protocol::subscription::CaughtUp;
use juniperwing_protocol::{DiskId, NodeName};
use juniperwing_sessions::{ClockReading, Command, Event, Limits, Store, StoredRecord};

use super::TestRng;

/// The number of replicas required to tolerate the loss of one store.
pub const REQUIRED_REPLICAS: usize = 2;
const LIMITS: Limits =
    Limits { required_replicas: REQUIRED_REPLICAS, memory_bytes: 1 << 30, disk_bytes: 1 << 30 };
const BATCH_FILE_BYTES: u64 = 100;

pub struct Node {
    pub number: usize,
    pub disk: DiskId,
    /// `None` while the process is down.
    pub store: Option<Store>,
    /// Whether the keepers can reach the node.
    pub is_reachable: bool,
    /// How far the wall clock is ahead of the monotonic clock, in milliseconds.
    pub clock_offset_ms: u64,
    segments: BTreeMap<u64, Vec<StoredRecord>>,
    /// Segments removed without a directory sync, which may reappear after a power loss.
    removed: BTreeMap<u64, Vec<StoredRecord>>,
    /// The batch that is being written.
    in_flight_batch: Option<Vec<StoredRecord>>,
    /// The map version on disk.
    map_version: u64,
    /// The map version that is being written.
    in_flight_map_version: Option<u64>,
    last_segment: u64,
}

impl Node {
    pub fn new(number: usize, rng: &mut TestRng) -> Self {
        let disk = DiskId(number as u64 + 1);
        let mut node = Node {
            number,
            disk,
            store: Some(Store::new(disk, LIMITS)),
            is_reachable: true,
            clock_offset_ms: 0,
            segments: BTreeMap::new(),
            removed: BTreeMap::new(),
            in_flight_batch: None,
            map_version: 0,
            in_flight_map_version: None,
            last_segment: 0,
        };
        node.step_clock(rng);
        node
    }

    pub fn address(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1_000 + self.number as u16)
    }

    /// The name of the machine, which stays the same when its disk is replaced.
    pub fn name(&self) -> NodeName {
        NodeName::from(format!("store-{}", self.number).as_str())
    }

    /// The replicas that the store reports to the keepers as caught up.
    pub fn caught_up(&self) -> Vec<CaughtUp> {
        self.store.as_ref().map_or(Vec::new(), Store::caught_up_replicas)
    }

    pub fn clock(&self, now: Time) -> ClockReading {
        let elapsed_ms = now.since(Time::default()).as_millis();
        ClockReading { now, unix_time_ms: self.clock_offset_ms + elapsed_ms }
    }

    /// Steps the wall clock. Clocks differ between nodes by up to three seconds.
    pub fn step_clock(&mut self, rng: &mut TestRng) {
        self.clock_offset_ms = 1_000_000_000 + rng.below(3_000) as u64;
    }

    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Command> {
        let clock = self.clock(now);
        let commands = self.store.as_mut().map_or(Vec::new(), |store| store.handle(clock, event));
        self.apply_disk_commands(commands)
    }

    /// Executes the disk commands and returns the others.
    fn apply_disk_commands(&mut self, commands: Vec<Command>) -> Vec<Command> {
        let mut others = Vec::new();
        for command in commands {
            match command {
                Command::WriteBatch { records } => {
                    assert!(self.in_flight_batch.is_none(), "one batch at a time");
                    self.in_flight_batch = Some(records);
                }
                Command::WriteMapVersion { version } => {
                    assert!(self.in_flight_map_version.is_none(), "one map version at a time");
                    self.in_flight_map_version = Some(version);
                }
                Command::RemoveSegment { segment } => {
                    let contents = self.segments.remove(&segment).expect("a segment that is there");
                    self.removed.insert(segment, contents);
                }
                other => others.push(other),
            }
        }
        others
    }

    /// Whether a sync is in flight.
    pub fn is_syncing(&self) -> bool {
        self.in_flight_batch.is_some() || self.in_flight_map_version.is_some()
    }

    /// Completes the sync in flight, with an error in 3% of cases.
    pub fn complete_sync(&mut self, now: Time, rng: &mut TestRng) -> Vec<Command> {
        if let Some(version) = self.in_flight_map_version.take() {
            return self.complete_map_version(now, version, rng);
        }
        let Some(records) = self.in_flight_batch.take() else { return Vec::new() };
        if rng.random_bool(3) {
            return self.handle(now, Event::BatchFailed);
        }
        self.last_segment += 1;
        self.segments.insert(self.last_segment, records);
        self.handle(now, Event::BatchWritten { segment: self.last_segment, bytes: BATCH_FILE_BYTES })
    }

    fn complete_map_version(&mut self, now: Time, version: u64, rng: &mut TestRng) -> Vec<Command> {
        if rng.random_bool(3) {
            return self.handle(now, Event::MapVersionFailed);
        }
        self.map_version = version;
        self.handle(now, Event::MapVersionWritten { version })
    }

    /// Simulates a killed process or a power loss: the batch in flight may or may not be on disk afterwards.
    pub fn kill(&mut self, rng: &mut TestRng) {
        self.store = None;
        if let Some(version) = self.in_flight_map_version.take().filter(|_| rng.random_bool(50)) {
            self.map_version = version;
        }
        if let Some(records) = self.in_flight_batch.take().filter(|_| rng.random_bool(50)) {
            self.last_segment += 1;
            self.segments.insert(self.last_segment, records);
        }
        for (number, records) in std::mem::take(&mut self.removed) {
            if rng.random_bool(30) {
                self.segments.insert(number, records);
            }
        }
    }

    pub fn wipe(&mut self) {
        self.segments.clear();
        self.removed.clear();
        self.map_version = 0;
        self.disk = DiskId(self.disk.0 + 100);
    }

    pub fn start(&mut self, now: Time) -> Vec<Command> {
        let mut store = Store::new(self.disk, LIMITS);
        for (number, records) in &self.segments {
            store.recover_batch(self.clock(now), *number, BATCH_FILE_BYTES, records.clone());
        }
        store.recover_map_version(self.map_version);
        let commands = store.finish_recovery(self.clock(now));
        self.store = Some(store);
        self.apply_disk_commands(commands)
    }
}
