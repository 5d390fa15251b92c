//! The state machine: events in, commands out. Probing and reconciliation have modules of their own.

use std::net::SocketAddr;

use juniperwing_clock::Time;

use crate::dissemination::{self, Dissemination};
use crate::member::{Incarnation, Life, Member, MemberId, Record, Status};
use crate::probe::Prober;
use crate::reconcile::Reconciler;
use crate::settings::{Settings, SettingsError, Timings};
use crate::table::Table;
use crate::wire::{Datagram, DecodeError, MAX_INCARNATION, Message, Outgoing};
use juniperwing_random::Rng;

/// How often another life under the own name is contradicted before its process counts as running still.
const MAX_CONTRADICTIONS: u32 = 3;

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
    Seeds(Vec<SocketAddr>),
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
    Refused {
        /// Its sender's address.
        from: SocketAddr,
        /// What is wrong with it.
        reason: DecodeError,
    },
    /// Another process lives under the name of this one (a replaced machine that woke up, say). It has insisted, and
    /// is contradicted no more while it is held to be alive. Reported once for each of its lives.
    Conflict {
        /// What the other process tells of itself.
        rival: Member,
    },
}

/// On what ground a record is believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ground {
    /// The member says it of itself, in a datagram of its own.
    Itself,
    /// An update that is being spread.
    Rumor,
    /// The table of another member, which may be as old as a partition. Deaths in it are only suspicions, so
    /// that the members of a healed partition can refute them.
    Comparison,
}

/// One member's view of all.
#[derive(Debug)]
pub struct Membership {
    pub(crate) me: MemberId,
    /// What it says of itself; also in the table.
    pub(crate) own: Record,
    pub(crate) timings: Timings,
    pub(crate) table: Table,
    pub(crate) news: Dissemination,
    pub(crate) rng: Rng,
    pub(crate) prober: Prober,
    pub(crate) reconciler: Reconciler,
    commands: Vec<Command>,
    wake_at: Time,
    left: bool,
    /// Another life under the own name, and how often it was contradicted.
    rival: Option<(Life, u32)>,
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
        let Settings { me, seeds, timings } = settings;
        let mut rng = Rng::new(seed);
        let mut table = Table::default();
        let prober = Prober::new(now, &timings, &mut rng);
        let reconciler = Reconciler::new(now, seeds, me.gossip, &timings, &mut rng);
        let id = me.id.clone();
        let own = Record { member: me, incarnation: Incarnation(0), status: Status::Alive };
        table.put(own.clone(), None);
        Ok(Membership {
            me: id,
            own,
            timings,
            table,
            news: Dissemination::default(),
            rng,
            prober,
            reconciler,
            commands: Vec::new(),
            wake_at: now,
            left: false,
            rival: None,
        })
    }

    /// Takes in an event.
    pub fn handle(&mut self, now: Time, event: Event<'_>) -> Vec<Command> {
        let is_tick = matches!(event, Event::Tick);
        if !self.left {
            self.notice_standstill(now);
        }
        match event {
            Event::Datagram { from, bytes } => self.take_bytes(now, from, bytes),
            Event::Tick if self.left => {}
            Event::Tick => self.tick(now),
            Event::Leave => self.leave(),
            Event::Seeds(seeds) => self.reconciler.set_seeds(now, seeds, self.own.member.gossip),
        }
        if !self.left {
            self.set_alarm(is_tick);
        }
        std::mem::take(&mut self.commands)
    }

    /// All members that are known, this one included, and what is held of each.
    pub fn members(&self) -> impl Iterator<Item = (&Member, Status)> {
        self.table.records().map(|record| (&record.member, record.status))
    }

    /// How many members are alive or suspect, this one included.
    pub fn live_count(&self) -> usize {
        self.table.live()
    }

    /// How many updates are still to be passed on.
    pub fn pending_updates(&self) -> usize {
        self.news.iter().count()
    }

    fn tick(&mut self, now: Time) {
        self.probe_on_time(now);
        if self.probe_is_due(now) {
            self.conclude_probe(now);
            self.expire(now);
            self.begin_probe(now);
            self.spread_news();
            self.reconcile_on_time(now);
        }
        self.reach_on_time(now);
    }

    /// A process that stood still (frozen, or without processor) has heard nothing meanwhile, and must not hold
    /// that against the others.
    fn notice_standstill(&mut self, now: Time) {
        let late = now.since(self.wake_at);
        if late <= self.timings.probe_interval {
            return;
        }
        self.table.prolong_suspicions(late);
        self.prober.stood_still(now);
        self.wake_at = now;
    }

    fn set_alarm(&mut self, always: bool) {
        let next = self.next_probe_event().min(self.next_reach());
        if always || next != self.wake_at {
            self.wake_at = next;
            self.commands.push(Command::WakeAt(next));
        }
    }

    fn leave(&mut self) {
        if self.left {
            return;
        }
        self.left = true;
        self.own.status = Status::Left;
        self.table.put(self.own.clone(), None);
        for record in self.pick_live(LEAVE_FANOUT, None) {
            self.send(record.member.gossip, &Message::Gossip, Vec::new());
        }
    }

    fn take_bytes(&mut self, now: Time, from: SocketAddr, bytes: &[u8]) {
        match Datagram::decode(bytes) {
            Ok(datagram) => self.take_datagram(now, from, datagram),
            Err(reason) => self.commands.push(Command::Refused { from, reason }),
        }
    }

    fn take_datagram(&mut self, now: Time, from: SocketAddr, datagram: Datagram) {
        let Datagram { sender, message, records } = datagram;
        if self.left {
            self.answer_after_leaving(from, message);
            return;
        }
        let sender_id = sender.member.id.clone();
        if sender_id == self.me {
            self.learn(now, sender, Ground::Itself);
            return;
        }
        let said = sender.clone();
        self.learn(now, sender, Ground::Itself);
        let ground = match message {
            Message::Page { .. } | Message::Answer | Message::Correction => Ground::Comparison,
            _ => Ground::Rumor,
        };
        for record in &records {
            self.learn(now, record.clone(), ground);
        }
        self.correct_sender(from, &said, &message);
        self.take_message(from, sender_id, message, &records);
    }

    fn take_message(&mut self, from: SocketAddr, sender: MemberId, message: Message, records: &[Record]) {
        match message {
            Message::Ping { sequence } => self.send_to(from, &sender, &Message::Ack { sequence }),
            Message::Ack { sequence } => self.take_ack(sequence, &sender),
            Message::PingRequest { sequence, target, address } => {
                self.help_probe(from, sequence, target, address);
            }
            Message::IndirectAck { sequence, target } => self.take_indirect_ack(sequence, &target),
            Message::Digest { buckets } => self.take_digest(from, &buckets),
            Message::Page { range, more } => self.take_page(from, sender, range, more, records),
            Message::Answer => self.take_answer(from, records),
            Message::Gossip | Message::Correction => {}
        }
    }

    fn answer_after_leaving(&mut self, from: SocketAddr, message: Message) {
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
    pub(crate) fn learn(&mut self, now: Time, mut record: Record, ground: Ground) {
        if record.member.id == self.me {
            self.refute(&record);
            return;
        }
        let held = self.table.get(&record.member.id).cloned();
        if let Some(held) = &held {
            let second_hand_death = ground == Ground::Comparison && record.status == Status::Dead;
            if second_hand_death && held.status.is_live() {
                record.status = Status::Suspect;
            }
            if !record.supersedes(held) {
                return;
            }
        } else if !record.status.is_live() || !self.table.has_room() {
            return;
        }
        let was_live = held.as_ref().is_some_and(|held| held.status.is_live());
        if !was_live && record.status.is_live() {
            self.enlist(now, &record, ground);
        }
        if ground != Ground::Comparison || !self.reconciler.is_catching_up() {
            self.news.announce(&record.member.id);
        }
        self.hold(now, record, held.as_ref());
    }

    /// Holds `record` from now on, and reports what is different from `before`.
    pub(crate) fn hold(&mut self, now: Time, record: Record, before: Option<&Record>) {
        let same =
            before.is_some_and(|before| before.member == record.member && before.status == record.status);
        let expiry = match record.status {
            Status::Alive => None,
            Status::Suspect => Some(now + self.timings.suspicion_time_out(self.table.live())),
            Status::Dead | Status::Left => Some(now + self.timings.forget_after),
        };
        if !same {
            let Record { member, status, .. } = record.clone();
            self.commands.push(Command::Changed { member, status });
        }
        self.table.put(record, expiry);
    }

    /// A member that is there, and was not known or not there before.
    fn enlist(&mut self, now: Time, record: &Record, ground: Ground) {
        let id = &record.member.id;
        self.prober.enlist(id, &mut self.rng);
        match ground {
            Ground::Itself => self.reconciler.met(id),
            Ground::Comparison => self.reconciler.learned_of_member(now, &self.timings),
            Ground::Rumor => {}
        }
    }

    /// Contradicts a statement about this member that supersedes its own.
    fn refute(&mut self, said: &Record) {
        if self.left || !said.supersedes(&self.own) || self.yields_to(said) {
            return;
        }
        self.own.incarnation = Incarnation(said.incarnation.0 + 1).min(MAX_INCARNATION);
        self.table.put(self.own.clone(), None);
        self.news.announce(&self.me);
    }

    /// Whether `said` tells of another process that lives under the same name. That of the life before a restart
    /// is contradicted once and is heard of no more; a process that runs contradicts in turn, without end.
    fn yields_to(&mut self, said: &Record) -> bool {
        let life = said.member.life;
        if life == self.own.member.life || said.status != Status::Alive {
            return false;
        }
        let before = self.rival.filter(|(rival, _)| *rival == life).map_or(0, |(_, count)| count);
        self.rival = Some((life, before.saturating_add(1)));
        if before == MAX_CONTRADICTIONS {
            self.commands.push(Command::Conflict { rival: said.member.clone() });
        }
        before >= MAX_CONTRADICTIONS
    }

    /// Suspicions that were not refuted, and members that have been remembered long enough.
    fn expire(&mut self, now: Time) {
        while let Some(record) = self.table.expire(now) {
            if record.status == Status::Suspect {
                let dead = Record { status: Status::Dead, ..record.clone() };
                self.news.announce(&dead.member.id);
                self.hold(now, dead, Some(&record));
            } else {
                self.news.forget(&record.member.id);
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
        let mut outgoing = Outgoing::new(&self.own, message);
        let fits = first.iter().all(|record| outgoing.push(record));
        if fits {
            self.add_news(&mut outgoing, &first);
        }
        self.commands.push(Command::Send { to, bytes: outgoing.into_bytes() });
    }

    /// Sends a message with these records and nothing else.
    pub(crate) fn send_bare(&mut self, to: SocketAddr, message: &Message, records: &[Record]) {
        let bytes = crate::wire::encode(&self.own, message, records);
        self.commands.push(Command::Send { to, bytes });
    }

    fn add_news(&mut self, outgoing: &mut Outgoing, already: &[Record]) {
        let mut sent = Vec::new();
        for id in self.news.iter() {
            if already.iter().any(|record| record.member.id == *id) {
                continue;
            }
            // The own record is in every datagram anyway.
            let fits = *id == self.me || self.table.get(id).is_none_or(|record| outgoing.push(record));
            if !fits {
                break;
            }
            sent.push(id.clone());
        }
        let limit = dissemination::transmissions(self.table.live());
        for id in sent {
            self.news.sent(&id, limit);
        }
    }
}
