//! Updates of the table: precedence of records, refutation of records about this member, and expiry.

use juniperwing_clock::Time;

use crate::event::Command;
use crate::member::{Incarnation, Record, Status};
use crate::membership::{DuplicateProcess, Membership};
use crate::wire::MAX_INCARNATION;

/// How often the records of another run id under the local name are refuted before its process counts as running.
const MAX_DUPLICATE_REFUTATIONS: u32 = 3;

/// The source of a record, which determines how far the record is trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateSource {
    /// The member that the record is about, in a datagram of its own.
    Subject,
    /// An update that is being disseminated.
    Gossip,
    /// The table of another member, which may be as old as a partition. Deaths in it count as suspicions only, so
    /// that the members of a healed partition can refute them.
    TableSync,
}

impl Membership {
    /// Applies `record` if it supersedes the known one.
    pub(crate) fn apply_record(&mut self, now: Time, mut record: Record, source: UpdateSource) {
        if record.member.id == self.local_id {
            self.refute(&record);
            return;
        }
        let known = self.table.get(&record.member.id).cloned();
        if let Some(known) = &known {
            let is_synced_death = source == UpdateSource::TableSync && record.status == Status::Dead;
            if is_synced_death && known.status.is_live() {
                record.status = Status::Suspect;
            }
            if !record.supersedes(known) {
                return;
            }
        } else if !record.status.is_live() || !self.table.has_capacity() {
            return;
        }
        let was_live = known.as_ref().is_some_and(|known| known.status.is_live());
        if !was_live && record.status.is_live() {
            self.handle_new_live_member(now, &record, source);
        }
        if source != UpdateSource::TableSync || !self.reconciler.is_catching_up() {
            self.dissemination.enqueue(&record.member.id);
        }
        self.store_record(now, record, known.as_ref());
    }

    /// Stores `record` in the table, and reports a change of the member or its status against `previous`.
    pub(crate) fn store_record(&mut self, now: Time, record: Record, previous: Option<&Record>) {
        let is_unchanged = previous
            .is_some_and(|previous| previous.member == record.member && previous.status == record.status);
        let expiry = match record.status {
            Status::Alive => None,
            Status::Suspect => Some(now + self.timings.suspicion_timeout(self.table.live_count())),
            Status::Dead | Status::Left => Some(now + self.timings.dead_member_retention),
        };
        if !is_unchanged {
            let Record { member, status, .. } = record.clone();
            self.commands.push(Command::Changed { member, status });
        }
        self.table.insert(record, expiry);
    }

    /// Handles a live member that was unknown or not live before.
    fn handle_new_live_member(&mut self, now: Time, record: &Record, source: UpdateSource) {
        let id = &record.member.id;
        self.prober.insert_target(id, &mut self.rng);
        match source {
            UpdateSource::Subject => self.reconciler.handle_new_sender(id),
            UpdateSource::TableSync => self.reconciler.handle_new_member(now, &self.timings),
            UpdateSource::Gossip => {}
        }
    }

    /// Refutes a record of the local member that supersedes its own, by a higher incarnation.
    fn refute(&mut self, claim: &Record) {
        if self.has_left || !claim.supersedes(&self.local_record) || self.must_yield_to(claim) {
            return;
        }
        self.local_record.incarnation = Incarnation(claim.incarnation.0 + 1).min(MAX_INCARNATION);
        self.table.insert(self.local_record.clone(), None);
        self.dissemination.enqueue(&self.local_id);
    }

    /// Whether `claim` comes from another process with the local name that is still running.
    ///
    /// A record of the local member's previous run is refuted once and does not return. A running process refutes in
    /// turn, so the two would raise their incarnations indefinitely.
    fn must_yield_to(&mut self, claim: &Record) -> bool {
        let run_id = claim.member.run_id;
        if run_id == self.local_record.member.run_id || claim.status != Status::Alive {
            return false;
        }
        let known = self.duplicate.filter(|duplicate| duplicate.run_id == run_id);
        let sightings = known.map_or(0, |duplicate| duplicate.sightings);
        self.duplicate = Some(DuplicateProcess { run_id, sightings: sightings.saturating_add(1) });
        if sightings == MAX_DUPLICATE_REFUTATIONS {
            self.commands.push(Command::Conflict { duplicate: claim.member.clone() });
        }
        sightings >= MAX_DUPLICATE_REFUTATIONS
    }

    /// Declares members dead whose suspicion has timed out, and removes dead members after the retention.
    pub(crate) fn expire(&mut self, now: Time) {
        while let Some(record) = self.table.pop_expired(now) {
            if record.status == Status::Suspect {
                let dead = Record { status: Status::Dead, ..record.clone() };
                self.dissemination.enqueue(&dead.member.id);
                self.store_record(now, dead, Some(&record));
            } else {
                self.dissemination.remove(&record.member.id);
                self.table.remove(&record.member.id);
            }
        }
    }
}
