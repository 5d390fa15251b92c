//! Updates of the table: precedence of records, refutation of statements about this member, and expiry.

use juniperwing_clock::Time;

use crate::event::Command;
use crate::member::{Incarnation, Record, Status};
use crate::membership::Membership;
use crate::wire::MAX_INCARNATION;

/// How often another life under the own name is contradicted before its process counts as running still.
const MAX_DUPLICATE_REFUTATIONS: u32 = 3;

/// On what ground a record is believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateSource {
    /// The member says it of itself, in a datagram of its own.
    Subject,
    /// An update that is being spread.
    Gossip,
    /// The table of another member, which may be as old as a partition. Deaths in it are only suspicions, so
    /// that the members of a healed partition can refute them.
    TableSync,
}

impl Membership {
    /// Believes `record` if it supersedes what is held.
    pub(crate) fn apply_record(&mut self, now: Time, mut record: Record, ground: UpdateSource) {
        if record.member.id == self.local_id {
            self.refute(&record);
            return;
        }
        let held = self.table.get(&record.member.id).cloned();
        if let Some(held) = &held {
            let second_hand_death = ground == UpdateSource::TableSync && record.status == Status::Dead;
            if second_hand_death && held.status.is_live() {
                record.status = Status::Suspect;
            }
            if !record.supersedes(held) {
                return;
            }
        } else if !record.status.is_live() || !self.table.has_capacity() {
            return;
        }
        let was_live = held.as_ref().is_some_and(|held| held.status.is_live());
        if !was_live && record.status.is_live() {
            self.handle_new_live_member(now, &record, ground);
        }
        if ground != UpdateSource::TableSync || !self.reconciler.is_catching_up() {
            self.dissemination.enqueue(&record.member.id);
        }
        self.store_record(now, record, held.as_ref());
    }

    /// Holds `record` from now on, and reports what is different from `before`.
    pub(crate) fn store_record(&mut self, now: Time, record: Record, before: Option<&Record>) {
        let same =
            before.is_some_and(|before| before.member == record.member && before.status == record.status);
        let expiry = match record.status {
            Status::Alive => None,
            Status::Suspect => Some(now + self.timings.suspicion_timeout(self.table.live_count())),
            Status::Dead | Status::Left => Some(now + self.timings.dead_member_retention),
        };
        if !same {
            let Record { member, status, .. } = record.clone();
            self.commands.push(Command::Changed { member, status });
        }
        self.table.insert(record, expiry);
    }

    /// A member that is there, and was not known or not there before.
    fn handle_new_live_member(&mut self, now: Time, record: &Record, ground: UpdateSource) {
        let id = &record.member.id;
        self.prober.insert_target(id, &mut self.rng);
        match ground {
            UpdateSource::Subject => self.reconciler.handle_new_sender(id),
            UpdateSource::TableSync => self.reconciler.handle_new_member(now, &self.timings),
            UpdateSource::Gossip => {}
        }
    }

    /// Contradicts a statement about this member that supersedes its own.
    fn refute(&mut self, said: &Record) {
        if self.has_left || !said.supersedes(&self.local_record) || self.must_yield_to(said) {
            return;
        }
        self.local_record.incarnation = Incarnation(said.incarnation.0 + 1).min(MAX_INCARNATION);
        self.table.insert(self.local_record.clone(), None);
        self.dissemination.enqueue(&self.local_id);
    }

    /// Whether `said` tells of another process that lives under the same name. That of the life before a restart
    /// is contradicted once and is heard of no more; a process that runs contradicts in turn, without end.
    fn must_yield_to(&mut self, said: &Record) -> bool {
        let life = said.member.run_id;
        if life == self.local_record.member.run_id || said.status != Status::Alive {
            return false;
        }
        let before = self.duplicate.filter(|(rival, _)| *rival == life).map_or(0, |(_, count)| count);
        self.duplicate = Some((life, before.saturating_add(1)));
        if before == MAX_DUPLICATE_REFUTATIONS {
            self.commands.push(Command::Conflict { duplicate: said.member.clone() });
        }
        before >= MAX_DUPLICATE_REFUTATIONS
    }

    /// Suspicions that were not refuted, and members that have been remembered long enough.
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
