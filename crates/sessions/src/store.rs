//! The store as a whole: what it holds, its timers, and where events go.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use juniperwing_clock::Time;
use juniperwing_invariants::{Invariant, check};
use juniperwing_protocol::session::SessionRequest;
use juniperwing_protocol::subscription::StoreMap;
use juniperwing_protocol::transfer::{RecordKey, TransferReply, TransferRequest};
use juniperwing_protocol::{DiskId, PartitionId};

use crate::batch::StoredRecord;
use crate::call::Purpose;
use crate::event::{CallerId, Command, Event, Moment, TransferCallId};
use crate::journal::{Journal, StoredKey, Written};
use crate::ledger::Ledger;
use crate::levelling::Lead;
use crate::limits::{Limits, RETRY_PAUSE, SWEEP_PAUSE};
use crate::map_version::DurableMapVersion;
use crate::primary::{Round, RoundId};
use crate::program::{Place, record_bytes};
use crate::statistics::{Undecided, UndecidedCounts};
use crate::table::Table;
use crate::write::{PendingWrite, WriteId};

/// What happens at a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A replica may be compared.
    Level(PartitionId, DiskId),
    /// A write may be sent again.
    Resend(WriteId, DiskId),
    /// The caller of a write has waited for long enough.
    Overdue(WriteId),
    /// A question has waited for long enough.
    Waiting(u64),
    /// The keepers may be told again.
    Report,
    /// The disk may be tried again.
    Journal,
    /// Expired programs are looked for.
    Sweep,
}

/// A question that waits.
#[derive(Clone, Debug)]
pub(crate) enum Waiting {
    /// Of a relay, until all replicas of the partition are level.
    Level { caller: CallerId, request: SessionRequest },
    /// Of a store, until the map names its epoch.
    Map { caller: CallerId, request: TransferRequest },
}

/// The state machine of a store. It does no I/O and reads no clock.
#[derive(Clone, Debug)]
pub struct Store {
    pub(crate) disk: DiskId,
    pub(crate) limits: Limits,
    pub(crate) map: Arc<StoreMap>,
    pub(crate) tables: BTreeMap<PartitionId, Table>,
    pub(crate) leads: BTreeMap<PartitionId, Lead>,
    pub(crate) writes: BTreeMap<WriteId, PendingWrite>,
    pub(crate) rounds: BTreeMap<RoundId, Round>,
    pub(crate) calls: BTreeMap<TransferCallId, Purpose>,
    pub(crate) waiting: BTreeMap<u64, Waiting>,
    /// Joining replicas that wait until fewer are being filled.
    pub(crate) to_fill: BTreeSet<(PartitionId, DiskId)>,
    pub(crate) journal: Journal,
    pub(crate) ledger: Ledger,
    pub(crate) timers: BTreeSet<(Time, Timer)>,
    pub(crate) report_due: bool,
    pub(crate) map_version: DurableMapVersion,
    pub(crate) moment: Moment,
    pub(crate) commands: Vec<Command>,
    pub(crate) undecided: UndecidedCounts,
    sweep_due: bool,
    last_number: u64,
}

impl Store {
    /// A store with an empty disk of this identity.
    pub fn new(disk: DiskId, limits: Limits) -> Self {
        Store {
            disk,
            limits,
            map: Arc::default(),
            tables: BTreeMap::new(),
            leads: BTreeMap::new(),
            writes: BTreeMap::new(),
            rounds: BTreeMap::new(),
            calls: BTreeMap::new(),
            waiting: BTreeMap::new(),
            to_fill: BTreeSet::new(),
            journal: Journal::default(),
            ledger: Ledger::default(),
            timers: BTreeSet::new(),
            report_due: false,
            map_version: DurableMapVersion::default(),
            moment: Moment::default(),
            commands: Vec::new(),
            undecided: UndecidedCounts::default(),
            sweep_due: false,
            last_number: 0,
        }
    }

    /// Takes a batch that was found in a segment at the start; batches come in the order in which they were written.
    pub fn recover_batch(&mut self, moment: Moment, segment: u64, bytes: u64, records: Vec<StoredRecord>) {
        self.moment = moment;
        self.ledger.add(segment, bytes);
        for stored in records {
            self.recover_record(segment, stored);
        }
    }

    fn recover_record(&mut self, segment: u64, stored: StoredRecord) {
        let StoredRecord { partition, record } = stored;
        let table = self.tables.entry(partition).or_default();
        let changed = table.merge(&record, self.moment);
        let key = RecordKey { program: record.program.clone(), request: record.request.clone() };
        let Some(held) = table.held_mut(&key).filter(|_| changed) else { return };
        let place = Place { segment, bytes: record_bytes(&held.record) };
        let whole = held.record == record;
        let before = held.place.replace(place);
        held.durable = if whole { held.version } else { 0 };
        self.ledger.place(place);
        if let Some(before) = before {
            self.ledger.release(before);
        }
        if !whole {
            self.journal.mark(StoredKey { partition, key });
        }
    }

    /// Takes the map version that was found on disk at the start. Older maps count for nothing from now on.
    pub fn recover_map_version(&mut self, version: u64) {
        self.map_version.recover(version);
    }

    /// All batches have been taken: forgets what has expired, and returns what is to be done.
    pub fn finish_recovery(&mut self, moment: Moment) -> Vec<Command> {
        self.moment = moment;
        self.sweep();
        self.expect_sweep();
        self.settle()
    }

    /// Handles an event; returns what is to be done.
    pub fn handle(&mut self, moment: Moment, event: Event) -> Vec<Command> {
        self.moment = moment;
        match event {
            Event::StoreMap(map) => self.take_map(map),
            Event::SessionRequest { caller, request } => self.asked(caller, request),
            Event::TransferRequest { caller, request } => self.transfer(caller, request, false),
            Event::CallCompleted { call, reply } => self.answered(call, reply),
            Event::BatchWritten { segment, bytes } => self.batch_written(segment, bytes),
            Event::BatchFailed => self.batch_failed(),
            Event::MapVersionWritten { version } => self.map_version_written(version),
            Event::MapVersionFailed => self.map_version.fail(),
            Event::Tick => {}
        }
        self.settle()
    }

    /// When [`Event::Tick`] is wanted; `None` if nothing waits.
    pub fn next_wake_at(&self) -> Option<Time> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// The version of the map held.
    pub fn map_version(&self) -> u64 {
        self.map.version
    }

    /// Whether nobody waits for an answer and all is on disk.
    pub fn is_idle(&self) -> bool {
        let answered = self.writes.values().all(|write| write.answer.is_none());
        answered && self.rounds.is_empty() && self.waiting.is_empty() && self.journal.is_idle()
    }

    /// Whether some partition has its only copy here while another store is being filled with it.
    pub fn is_filling_second_replica(&self) -> bool {
        self.map.partitions.iter().any(|held| held.in_sync == [self.disk] && !held.joining.is_empty())
    }

    /// The records of a partition.
    pub fn table(&self, partition: PartitionId) -> Option<&Table> {
        self.tables.get(&partition)
    }

    /// Does what is due and starts a batch if there is something to write.
    fn settle(&mut self) -> Vec<Command> {
        self.run_timers();
        self.fill_next();
        self.start_batch();
        std::mem::take(&mut self.commands)
    }

    fn take_map(&mut self, map: Arc<StoreMap>) {
        if map.version <= self.map.version || map.version < self.map_version.on_disk() {
            return;
        }
        let before = std::mem::replace(&mut self.map, map);
        check(Invariant::StoreMapVersionNeverDecreases, before.version < self.map.version, || {
            format!("disk {}, map {} after {}", self.disk.0, self.map.version, before.version)
        });
        let count = self.map.partitions.len().max(before.partitions.len()) as u16;
        for partition in (0..count).map(PartitionId) {
            if before.assignment(partition) != self.map.assignment(partition) {
                self.reassigned(partition);
            }
        }
        self.resume_transfers();
    }

    fn reassigned(&mut self, partition: PartitionId) {
        let leads = self.map.assignment(partition).is_some_and(|assignment| assignment.primary == self.disk);
        if leads {
            self.lead(partition);
            self.reconsider_writes(partition);
        } else if self.leads.remove(&partition).is_some() {
            self.abandon_writes(partition);
        }
        if !leads || self.is_levelled(partition) {
            self.resume_waiting(partition);
        }
    }

    /// Decides the questions that waited for a partition.
    pub(crate) fn resume_waiting(&mut self, partition: PartitionId) {
        let waits = |waiting: &Waiting| match waiting {
            Waiting::Level { request, .. } => request.partition == partition,
            Waiting::Map { .. } => false,
        };
        for waiting in self.take_waiting(waits) {
            if let Waiting::Level { caller, request } = waiting {
                self.asked(caller, request);
            }
        }
    }

    fn resume_transfers(&mut self) {
        for waiting in self.take_waiting(|waiting| matches!(waiting, Waiting::Map { .. })) {
            if let Waiting::Map { caller, request } = waiting {
                self.transfer(caller, request, false);
            }
        }
    }

    fn take_waiting(&mut self, which: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        let (taken, left) = std::mem::take(&mut self.waiting).into_iter().partition(|(_, held)| which(held));
        self.waiting = left;
        let taken: BTreeMap<u64, Waiting> = taken;
        taken.into_values().collect()
    }

    fn run_timers(&mut self) {
        while let Some((at, timer)) = self.timers.first().copied().filter(|(at, _)| *at <= self.moment.now) {
            self.timers.remove(&(at, timer));
            match timer {
                Timer::Level(partition, replica) => self.start_levelling(partition, replica),
                Timer::Resend(write, replica) => self.resend(write, replica),
                Timer::Overdue(write) => self.write_overdue(write),
                Timer::Waiting(number) => self.waited(number),
                Timer::Report => self.report_again(),
                Timer::Journal => self.journal.resume(),
                Timer::Sweep => self.sweep_again(),
            }
        }
    }

    fn waited(&mut self, number: u64) {
        match self.waiting.remove(&number) {
            Some(Waiting::Level { caller, .. }) => self.answer_undecided(caller, Undecided::NotLevel),
            Some(Waiting::Map { caller, .. }) => self.answer_transfer(caller, TransferReply::Failed),
            None => {}
        }
    }

    fn start_batch(&mut self) {
        let Some(keys) = self.journal.take_dirty() else { return };
        let mut records = Vec::with_capacity(keys.len());
        let mut written = Vec::with_capacity(keys.len());
        for key in keys {
            let Some(held) = self.tables.get(&key.partition).and_then(|table| table.held(&key.key)) else {
                continue;
            };
            let bytes = record_bytes(&held.record);
            records.push(StoredRecord { partition: key.partition, record: held.record.clone() });
            written.push(Written { key, version: held.version, bytes });
        }
        self.journal.begin(written);
        self.commands.push(Command::WriteBatch { records });
    }

    fn batch_written(&mut self, segment: u64, bytes: u64) {
        let running = self.journal.succeed();
        self.ledger.add(segment, bytes);
        for written in running.written {
            self.record_written(segment, &written);
        }
        self.remove_empty();
        self.compact();
        for waiter in running.waiters {
            self.disk_done(waiter);
        }
    }

    fn record_written(&mut self, segment: u64, written: &Written) {
        let table = self.tables.get_mut(&written.key.partition);
        let Some(held) = table.and_then(|table| table.held_mut(&written.key.key)) else { return };
        let place = Place { segment, bytes: written.bytes };
        held.durable = written.version;
        let before = held.place.replace(place);
        self.ledger.place(place);
        if let Some(before) = before {
            self.ledger.release(before);
        }
    }

    fn batch_failed(&mut self) {
        let waiters = self.journal.fail();
        self.timers.insert((self.moment.now + RETRY_PAUSE, Timer::Journal));
        for waiter in waiters {
            self.disk_failed(waiter);
        }
    }

    /// Has the survivors of segments that are mostly superseded written again; the segments go when that is done.
    fn compact(&mut self) {
        let chosen = self.ledger.worth_compacting();
        if chosen.is_empty() {
            return;
        }
        for (partition, table) in &self.tables {
            for key in table.keys_in(|segment| chosen.contains(&segment)) {
                self.journal.mark(StoredKey { partition: *partition, key });
            }
        }
    }

    /// Has expired programs looked for after a pause, if anything is held.
    pub(crate) fn expect_sweep(&mut self) {
        if !self.sweep_due && self.tables.values().any(|table| !table.is_empty()) {
            self.sweep_due = true;
            self.timers.insert((self.moment.now + SWEEP_PAUSE, Timer::Sweep));
        }
    }

    fn sweep_again(&mut self) {
        self.sweep_due = false;
        self.sweep();
        self.expect_sweep();
    }

    fn sweep(&mut self) {
        for table in self.tables.values_mut() {
            for place in table.sweep(self.moment) {
                self.ledger.release(place);
            }
        }
        self.remove_empty();
    }

    /// Has segments removed in which nothing counts. A batch that is being written may end up in any of them, so
    /// it is waited for.
    fn remove_empty(&mut self) {
        if self.journal.is_writing() {
            return;
        }
        for segment in self.ledger.take_empty() {
            self.commands.push(Command::RemoveSegment { segment });
        }
    }

    pub(crate) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}
