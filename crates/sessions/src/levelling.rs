//! Makes replicas level: the primary compares range digests with each replica, takes what it lacks and sends
//! what the replica lacks, until the digests are equal.
//!
//! A store that has become primary levels the in-sync replicas before it decides anything; joining replicas
//! are filled the same way, a few at a time.

use std::collections::BTreeMap;

use juniperwing_protocol::subscription::CaughtUp;
use juniperwing_protocol::transfer::{RecordKey, TransferReply, TransferRequest};
use juniperwing_protocol::{DiskId, EpochNumber, PartitionId};

use crate::call::Purpose;
use crate::event::Command;
use crate::limits::{
    DIGEST_RANGES, LEVEL_RETRY_PAUSE, LEVEL_SLACK_MS, MAX_COMPARISONS, MAX_FILLING, REPORT_PAUSE,
};
use crate::store::{Store, Timer};

/// A partition that this store leads.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lead {
    pub(crate) epoch: EpochNumber,
    /// The version of the first map with this epoch.
    since_version: u64,
    levels: BTreeMap<DiskId, Level>,
}

/// How far a replica is.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Level {
    /// To be compared.
    Due,
    /// Being compared.
    Under { attempt: u64, work: Work },
    /// Holds all that this store holds; from now on it is sent every write until it has confirmed it.
    Reached,
}

/// What is being done to make a replica level.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Work {
    Compare,
    Pull { wanted: Vec<u16> },
    Push { wanted: Vec<u16>, next: Option<RecordKey> },
}

/// One step of levelling, as a call to the replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LevelStep {
    partition: PartitionId,
    replica: DiskId,
    /// Tells this step from earlier ones.
    attempt: u64,
    /// Programs that may be forgotten by this time of day, in milliseconds, are passed over.
    live_after_ms: u64,
    /// Comparisons since the last pause.
    comparisons: u32,
}

impl Lead {
    /// The replicas found level.
    pub(crate) fn level_replicas(&self) -> impl Iterator<Item = DiskId> + '_ {
        let reached = self.levels.iter().filter(|(_, level)| **level == Level::Reached);
        reached.map(|(replica, _)| *replica)
    }

    fn has_reached(&self, replica: DiskId) -> bool {
        self.levels.get(&replica) == Some(&Level::Reached)
    }
}

impl Store {
    /// Whether every in-sync replica of a partition that this store leads is level.
    pub(crate) fn is_levelled(&self, partition: PartitionId) -> bool {
        let Some(lead) = self.leads.get(&partition) else { return false };
        let Some(assignment) = self.map.assignment(partition) else { return false };
        assignment.in_sync.iter().all(|replica| *replica == self.disk || lead.has_reached(*replica))
    }

    /// The map names this store as primary: new replicas are to be made level. Those found level in an earlier
    /// epoch stay so, since this store has acknowledged nothing without them.
    pub(crate) fn lead(&mut self, partition: PartitionId) {
        let Some(assignment) = self.map.assignment(partition) else { return };
        let mut members = assignment.in_sync.clone();
        members.extend(&assignment.joining);
        members.retain(|replica| *replica != self.disk);
        let lead = self.leads.entry(partition).or_default();
        lead.epoch = assignment.epoch;
        lead.since_version = self.map.version;
        lead.levels.retain(|replica, _| members.contains(replica));
        let now = self.moment.now;
        for replica in members {
            if let std::collections::btree_map::Entry::Vacant(entry) = lead.levels.entry(replica) {
                entry.insert(Level::Due);
                self.timers.insert((now, Timer::Level(partition, replica)));
            }
        }
    }

    /// Compares a replica, if it is to be compared and not too many are being filled.
    pub(crate) fn start_levelling(&mut self, partition: PartitionId, replica: DiskId) {
        let due = self.leads.get(&partition).and_then(|lead| lead.levels.get(&replica));
        if due != Some(&Level::Due) {
            return;
        }
        let joining = self.map.assignment(partition).is_some_and(|held| held.joining.contains(&replica));
        if joining && self.filling() >= MAX_FILLING {
            self.to_fill.insert((partition, replica));
            return;
        }
        self.compare(partition, replica, 1);
    }

    /// Goes on with the joining replicas that had to wait for others.
    pub(crate) fn fill_next(&mut self) {
        while !self.to_fill.is_empty() && self.filling() < MAX_FILLING {
            if let Some((partition, replica)) = self.to_fill.pop_first() {
                self.start_levelling(partition, replica);
            }
        }
    }

    /// Joining replicas that are under way.
    fn filling(&self) -> usize {
        self.leads.iter().map(|(partition, lead)| self.filling_of(*partition, lead)).sum()
    }

    fn filling_of(&self, partition: PartitionId, lead: &Lead) -> usize {
        let Some(assignment) = self.map.assignment(partition) else { return 0 };
        let under = lead.levels.iter().filter(|(_, level)| matches!(level, Level::Under { .. }));
        under.filter(|(replica, _)| assignment.joining.contains(replica)).count()
    }

    fn compare(&mut self, partition: PartitionId, replica: DiskId, comparisons: u32) {
        let live_after_ms = self.moment.unix_time_ms.saturating_sub(LEVEL_SLACK_MS);
        let step = LevelStep { partition, replica, attempt: 0, live_after_ms, comparisons };
        self.level_step(step, Work::Compare);
    }

    /// Takes the next step with a replica.
    fn level_step(&mut self, step: LevelStep, work: Work) {
        let step = LevelStep { attempt: self.next_number(), ..step };
        let LevelStep { partition, replica, attempt, live_after_ms, .. } = step;
        let Some(lead) = self.leads.get_mut(&partition) else { return };
        let epoch = lead.epoch;
        let ranges = DIGEST_RANGES;
        let (request, work) = match work {
            Work::Compare => {
                (TransferRequest::Digests { partition, epoch, ranges, live_after_ms }, Work::Compare)
            }
            Work::Pull { wanted } => {
                let after = None;
                let request = TransferRequest::Records {
                    partition,
                    epoch,
                    ranges,
                    requested: wanted.clone(),
                    live_after_ms,
                    after,
                };
                (request, Work::Pull { wanted })
            }
            Work::Push { wanted, next } => {
                let table = self.tables.entry(partition).or_default();
                let page = table.page(ranges, &wanted, live_after_ms, next.as_ref());
                let request = TransferRequest::Write { partition, epoch, records: page.records };
                (request, Work::Push { wanted, next: page.next })
            }
        };
        lead.levels.insert(replica, Level::Under { attempt, work });
        self.call(replica, request, Purpose::Level(step));
    }

    /// A step has ended.
    pub(crate) fn level_answered(&mut self, step: LevelStep, answer: Option<TransferReply>) {
        let level = self.leads.get(&step.partition).and_then(|lead| lead.levels.get(&step.replica));
        let Some(Level::Under { attempt, work }) = level else { return };
        if *attempt != step.attempt {
            return;
        }
        match (work.clone(), answer) {
            (Work::Compare, Some(TransferReply::Digests(theirs))) => self.compared(step, &theirs),
            (Work::Pull { wanted }, Some(TransferReply::Records { records, next })) => {
                for record in &records {
                    self.take(step.partition, record);
                }
                match next {
                    Some(after) => self.pull_on(step, wanted, after),
                    None => self.level_step(step, Work::Push { wanted, next: None }),
                }
            }
            (Work::Push { wanted, next: Some(next) }, Some(TransferReply::Written)) => {
                self.level_step(step, Work::Push { wanted, next: Some(next) });
            }
            (Work::Push { next: None, .. }, Some(TransferReply::Written)) => {
                self.compare(step.partition, step.replica, step.comparisons + 1);
            }
            _ => self.level_failed(step),
        }
    }

    fn pull_on(&mut self, step: LevelStep, wanted: Vec<u16>, after: RecordKey) {
        let step = LevelStep { attempt: self.next_number(), ..step };
        let Some(lead) = self.leads.get_mut(&step.partition) else { return };
        let request = TransferRequest::Records {
            partition: step.partition,
            epoch: lead.epoch,
            ranges: DIGEST_RANGES,
            requested: wanted.clone(),
            live_after_ms: step.live_after_ms,
            after: Some(after),
        };
        let work = Work::Pull { wanted };
        lead.levels.insert(step.replica, Level::Under { attempt: step.attempt, work });
        self.call(step.replica, request, Purpose::Level(step));
    }

    fn compared(&mut self, step: LevelStep, theirs: &[u64]) {
        let ours = self.tables.entry(step.partition).or_default().digests(DIGEST_RANGES, step.live_after_ms);
        if theirs.len() != ours.len() {
            return self.level_failed(step);
        }
        let differs = |range: &u16| ours[usize::from(*range)] != theirs[usize::from(*range)];
        let wanted: Vec<u16> = (0..DIGEST_RANGES).filter(differs).collect();
        if wanted.is_empty() {
            self.reached(step.partition, step.replica);
        } else if step.comparisons >= MAX_COMPARISONS {
            self.level_failed(step);
        } else {
            self.level_step(step, Work::Pull { wanted });
        }
    }

    fn reached(&mut self, partition: PartitionId, replica: DiskId) {
        if let Some(lead) = self.leads.get_mut(&partition) {
            lead.levels.insert(replica, Level::Reached);
        }
        self.confirm_writes(partition, replica);
        if self.is_levelled(partition) {
            self.resume_waiting(partition);
        }
        self.report();
    }

    /// Tries again after a pause, from the comparison.
    fn level_failed(&mut self, step: LevelStep) {
        if let Some(lead) = self.leads.get_mut(&step.partition) {
            lead.levels.insert(step.replica, Level::Due);
        }
        let at = self.moment.now + LEVEL_RETRY_PAUSE;
        self.timers.insert((at, Timer::Level(step.partition, step.replica)));
    }

    /// The joining replicas that hold all that this store holds, of all partitions that it leads, as far as the
    /// keepers may be told: the map that made them join is on disk.
    pub fn caught_up_replicas(&self) -> Vec<CaughtUp> {
        self.caught_up_since(self.map_version.on_disk())
    }

    /// Those of the maps up to a version.
    fn caught_up_since(&self, newest: u64) -> Vec<CaughtUp> {
        let mut all = Vec::new();
        for (partition, lead) in self.leads.iter().filter(|(_, lead)| lead.since_version <= newest) {
            let Some(assignment) = self.map.assignment(*partition) else { continue };
            let joined = assignment.joining.iter().filter(|replica| lead.has_reached(**replica));
            all.extend(joined.map(|replica| CaughtUp {
                partition: *partition,
                epoch: lead.epoch,
                replica: *replica,
            }));
        }
        all
    }

    /// Has the keepers told of the replicas that have caught up, now and again until their map shows it. What
    /// may not be told yet is told as soon as the version of the map is on disk.
    pub(crate) fn report(&mut self) {
        let version = self.map.version;
        if self.report_due || self.caught_up_since(version).is_empty() {
            return;
        }
        if self.caught_up_replicas().len() < self.caught_up_since(version).len()
            && self.map_version.request(version)
        {
            self.commands.push(Command::WriteMapVersion { version });
        }
        if !self.caught_up_replicas().is_empty() {
            self.commands.push(Command::ReportCaughtUp);
        }
        self.report_due = true;
        self.timers.insert((self.moment.now + REPORT_PAUSE, Timer::Report));
    }

    /// The version of the map is on disk: what it held up is told.
    pub(crate) fn map_version_written(&mut self, version: u64) {
        self.map_version.succeed(version);
        if !self.caught_up_replicas().is_empty() {
            self.commands.push(Command::ReportCaughtUp);
        }
    }

    /// The pause between two reports is over.
    pub(crate) fn report_again(&mut self) {
        self.report_due = false;
        self.report();
    }
}
