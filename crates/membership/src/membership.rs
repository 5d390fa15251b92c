//! The state machine: events in, commands out. Probing and reconciliation have modules of their own.

use std::net::SocketAddr;

use juniperwing_clock::Time;

use crate::dissemination::{self, Dissemination};
use crate::member::{Incarnation, Member, MemberId, Record, RunId, Status};
use crate::probe::Prober;
use crate::reconcile::Reconciler;
use crate::settings::{Settings, SettingsError, Timings};
use crate::table::Table;
use crate::wire::{Datagram, DatagramBuilder, DecodeError, MAX_INCARNATION, Message};
use juniperwing_random::Rng;

/// How often another life under the own name is contradicted before its process counts as running still.
const MAX_DUPLICATE_REFUTATIONS: u32 = 3;

/// How many members are told directly that this one leaves.
const LEAVE_FANOUT: usize = 8;

/// What happens to a member.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// A datagram has come. Hand in all that wait in the socket before a tick, so that no answer counts as
    /// missing that is already there.
    Datagram {
        /// Its sender's address.
        from: SocketAddr,
        /// Its bytes.
        bytes: &'a [u8],
    },
    /// The time of the last [`Command::WakeAt`] has come. Earlier ticks do no harm.
    Tick,
    /// The process is about to end. The others are told; nothing but pings is answered from then on.
    Leave,
    /// Other seeds, from settings that have changed.
    SeedsChanged(Vec<SocketAddr>),
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send a datagram; it may be lost.
    Send {
        /// Where to.
        to: SocketAddr,
        /// Its bytes, at most [`MAX_DATAGRAM_BYTES`](crate::MAX_DATAGRAM_BYTES).
        bytes: Vec<u8>,
    },
    /// A member's status, life or address is another than before. Never reported of the member itself.
    Changed {
        /// The member.
        member: Member,
        /// Its status from now on.
        status: Status,
    },
    /// Hand in [`Event::Tick`] at this time; replaces the time given before.
    WakeAt(Time),
    /// A datagram was not understood and has been dropped.
    Rejected {
        /// Its sender's address.
        from: SocketAddr,
        /// What is wrong with it.
        reason: DecodeError,
    },
    /// Another process lives under the name of this one (a replaced machine that woke up, say). It has insisted, and
    /// is contradicted no more while it is held to be alive. Reported once for each of its lives.
    Conflict {
        /// What the other process tells of itself.
        duplicate: Member,
    },
}

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

/// One member's view of all.
#[derive(Debug)]
pub struct Membership {
    pub(crate) local_id: MemberId,
    /// What it says of itself; also in the table.
    pub(crate) local_record: Record,
    pub(crate) timings: Timings,
    pub(crate) table: Table,
    pub(crate) dissemination: Dissemination,
    pub(crate) rng: Rng,
    pub(crate) prober: Prober,
    pub(crate) reconciler: Reconciler,
    commands: Vec<Command>,
    wake_at: Time,
    has_left: bool,
    /// Another life under the own name, and how often it was contradicted.
    duplicate: Option<(RunId, u32)>,
}

impl Membership {
    /// A member that starts at `now`. It is first to be handed a tick, at once; `seed` decides all that is left
    /// to chance.
    ///
    /// # Errors
    ///
    /// If the settings cannot be used.
    pub fn new(now: Time, settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let Settings { local_member, seeds, timings } = settings;
        let mut rng = Rng::new(seed);
        let mut table = Table::default();
        let prober = Prober::new(now, &timings, &mut rng);
        let reconciler = Reconciler::new(now, seeds, local_member.gossip_address, &timings, &mut rng);
        let id = local_member.id.clone();
        let own = Record { member: local_member, incarnation: Incarnation(0), status: Status::Alive };
        table.insert(own.clone(), None);
        Ok(Membership {
            local_id: id,
            local_record: own,
            timings,
            table,
            dissemination: Dissemination::default(),
            rng,
            prober,
            reconciler,
            commands: Vec::new(),
            wake_at: now,
            has_left: false,
            duplicate: None,
        })
    }

    /// Takes in an event.
    pub fn handle(&mut self, now: Time, event: Event<'_>) -> Vec<Command> {
        let is_tick = matches!(event, Event::Tick);
        if !self.has_left {
            self.detect_pause(now);
        }
        match event {
            Event::Datagram { from, bytes } => self.handle_bytes(now, from, bytes),
            Event::Tick if self.has_left => {}
            Event::Tick => self.tick(now),
            Event::Leave => self.leave(),
            Event::SeedsChanged(seeds) => {
                self.reconciler.set_seeds(now, seeds, self.local_record.member.gossip_address)
            }
        }
        if !self.has_left {
            self.schedule_wake_up(is_tick);
        }
        std::mem::take(&mut self.commands)
    }

    /// All members that are known, this one included, and what is held of each.
    pub fn members(&self) -> impl Iterator<Item = (&Member, Status)> {
        self.table.records().map(|record| (&record.member, record.status))
    }

    /// How many members are alive or suspect, this one included.
    pub fn live_count(&self) -> usize {
        self.table.live_count()
    }

    /// How many updates are still to be passed on.
    pub fn pending_updates(&self) -> usize {
        self.dissemination.iter().count()
    }

    fn tick(&mut self, now: Time) {
        self.request_indirect_probes_if_due(now);
        if self.is_probe_due(now) {
            self.suspect_unresponsive_target(now);
            self.expire(now);
            self.start_probe(now);
            self.send_gossip();
            self.sync_if_due(now);
        }
        self.contact_unreached_if_due(now);
    }

    /// A process that stood still (frozen, or without processor) has heard nothing meanwhile, and must not hold
    /// that against the others.
    fn detect_pause(&mut self, now: Time) {
        let late = now.since(self.wake_at);
        if late <= self.timings.probe_interval {
            return;
        }
        self.table.extend_suspicions(late);
        self.prober.handle_pause(now);
        self.wake_at = now;
    }

    fn schedule_wake_up(&mut self, always: bool) {
        let next = self.next_probe_event_at().min(self.next_contact_at());
        if always || next != self.wake_at {
            self.wake_at = next;
            self.commands.push(Command::WakeAt(next));
        }
    }

    fn leave(&mut self) {
        if self.has_left {
            return;
        }
        self.has_left = true;
        self.local_record.status = Status::Left;
        self.table.insert(self.local_record.clone(), None);
        for record in self.pick_random_live(LEAVE_FANOUT, None) {
            self.send(record.member.gossip_address, &Message::Gossip, Vec::new());
        }
    }

    fn handle_bytes(&mut self, now: Time, from: SocketAddr, bytes: &[u8]) {
        match Datagram::decode(bytes) {
            Ok(datagram) => self.handle_datagram(now, from, datagram),
            Err(reason) => self.commands.push(Command::Rejected { from, reason }),
        }
    }

    fn handle_datagram(&mut self, now: Time, from: SocketAddr, datagram: Datagram) {
        let Datagram { sender, message, records } = datagram;
        if self.has_left {
            self.handle_message_after_leaving(from, message);
            return;
        }
        let sender_id = sender.member.id.clone();
        if sender_id == self.local_id {
            self.apply_record(now, sender, UpdateSource::Subject);
            return;
        }
        let said = sender.clone();
        self.apply_record(now, sender, UpdateSource::Subject);
        let ground = match message {
            Message::Page { .. } | Message::PageReply | Message::Correction => UpdateSource::TableSync,
            _ => UpdateSource::Gossip,
        };
        for record in &records {
            self.apply_record(now, record.clone(), ground);
        }
        self.correct_sender(from, &said, &message);
        self.handle_message(from, sender_id, message, &records);
    }

    fn handle_message(&mut self, from: SocketAddr, sender: MemberId, message: Message, records: &[Record]) {
        match message {
            Message::Ping { sequence } => self.send_to(from, &sender, &Message::Ack { sequence }),
            Message::Ack { sequence } => self.handle_ack(sequence, &sender),
            Message::PingRequest { sequence, target, address } => {
                self.handle_ping_request(from, sequence, target, address);
            }
            Message::IndirectAck { sequence, target } => self.handle_indirect_ack(sequence, &target),
            Message::Digest { buckets } => self.handle_digest(from, &buckets),
            Message::Page { range, has_more } => self.handle_page(from, sender, range, has_more, records),
            Message::PageReply => self.handle_page_reply(from, records),
            Message::Gossip | Message::Correction => {}
        }
    }

    fn handle_message_after_leaving(&mut self, from: SocketAddr, message: Message) {
        if let Message::Ping { sequence } = message {
            self.send(from, &Message::Ack { sequence }, Vec::new());
        }
    }

    /// Tells a sender what is held of it, if that is more than it knows itself: that it is suspected or dead, or
    /// what was said of its life before.
    fn correct_sender(&mut self, to: SocketAddr, said: &Record, message: &Message) {
        if *message == Message::Correction {
            return;
        }
        let held = self.table.get(&said.member.id).filter(|held| held.supersedes(said)).cloned();
        if let Some(held) = held {
            self.send(to, &Message::Correction, vec![held]);
        }
    }

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
    fn expire(&mut self, now: Time) {
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

    /// Sends a message with updates to a member; what it should refute goes first.
    pub(crate) fn send_to(&mut self, to: SocketAddr, member: &MemberId, message: &Message) {
        let held = self.table.get(member).filter(|held| held.status != Status::Alive).cloned();
        self.send(to, message, Vec::from_iter(held));
    }

    /// Sends a message with `first`, and as many updates as fit behind them.
    pub(crate) fn send(&mut self, to: SocketAddr, message: &Message, first: Vec<Record>) {
        let mut outgoing = DatagramBuilder::new(&self.local_record, message);
        let fits = first.iter().all(|record| outgoing.push(record));
        if fits {
            self.append_updates(&mut outgoing, &first);
        }
        self.commands.push(Command::Send { to, bytes: outgoing.into_bytes() });
    }

    /// Sends a message with these records and nothing else.
    pub(crate) fn send_bare(&mut self, to: SocketAddr, message: &Message, records: &[Record]) {
        let bytes = crate::wire::encode(&self.local_record, message, records);
        self.commands.push(Command::Send { to, bytes });
    }

    fn append_updates(&mut self, outgoing: &mut DatagramBuilder, already: &[Record]) {
        let mut sent = Vec::new();
        for id in self.dissemination.iter() {
            if already.iter().any(|record| record.member.id == *id) {
                continue;
            }
            // The own record is in every datagram anyway.
            let fits = *id == self.local_id || self.table.get(id).is_none_or(|record| outgoing.push(record));
            if !fits {
                break;
            }
            sent.push(id.clone());
        }
        let limit = dissemination::max_transmissions(self.table.live_count());
        for id in sent {
            self.dissemination.record_transmission(&id, limit);
        }
    }
}
