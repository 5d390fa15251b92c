//! Failure detection: direct and indirect probes, and suspicion.

use std::collections::VecDeque;
use std::net::SocketAddr;

use juniperwing_clock::{Span, Time};

use crate::jitter::jitter;
use crate::member::{MemberId, Record, Status};
use crate::membership::Membership;
use crate::settings::Timings;
use crate::table::MAX_MEMBERS;
use crate::wire::{Message, Sequence};
use juniperwing_random::Rng;

/// How far the interval between probes varies, so that members do not probe in step.
const PROBE_JITTER: f64 = 0.1;

/// The most probes for others of which an answer is passed on.
const MAX_INDIRECT_PROBES_IN_FLIGHT: usize = 64;

/// The most suspects that are pinged again in one probe interval.
const MAX_REPEATED_PINGS: usize = 2;

/// How many picks are tried for each member that is wanted, as some turn out to be of no use.
const MAX_PICK_ATTEMPTS: usize = 4;

/// The probe that is under way.
#[derive(Clone, Debug)]
struct Probe {
    /// What was held of the target when it was pinged.
    target: Record,
    sequence: Sequence,
    /// When others are asked to help; `None` once they have been.
    times_out_at: Option<Time>,
}

/// A probe for another member.
#[derive(Clone, Debug)]
struct IndirectProbe {
    sequence: Sequence,
    target: MemberId,
    origin: SocketAddr,
    origin_sequence: Sequence,
}

/// The state of failure detection.
#[derive(Clone, Debug)]
pub struct Prober {
    probe_interval: Span,
    next_probe_at: Time,
    probe: Option<Probe>,
    /// The round of probes: members in random order, some of which may be gone by the time they are reached.
    round: Vec<MemberId>,
    position: usize,
    last_sequence: u32,
    indirect_probes_in_flight: VecDeque<IndirectProbe>,
    /// Members that this one has suspected first hand; they are pinged again until that is settled.
    suspects: VecDeque<MemberId>,
}

impl Prober {
    /// Nothing is under way; the first probe comes within an interval.
    pub fn new(now: Time, timings: &Timings, rng: &mut Rng) -> Self {
        let half = timings.probe_interval.mul_f64(0.5);
        Prober {
            probe_interval: timings.probe_interval,
            next_probe_at: now + jitter(rng, half, 1.0),
            probe: None,
            round: Vec::new(),
            position: 0,
            last_sequence: 0,
            indirect_probes_in_flight: VecDeque::new(),
            suspects: VecDeque::new(),
        }
    }

    /// Puts a member at a random place in the rest of the round.
    pub fn insert_target(&mut self, id: &MemberId, rng: &mut Rng) {
        if self.round.len() >= 2 * MAX_MEMBERS {
            return;
        }
        let rest = self.round.len() - self.position;
        let place = self.position + rng.index(rest + 1);
        self.round.insert(place, id.clone());
    }

    /// What was under way is void after a standstill.
    pub fn handle_pause(&mut self, now: Time) {
        self.probe = None;
        self.next_probe_at = now + self.probe_interval;
    }

    fn next_sequence(&mut self) -> Sequence {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        Sequence(self.last_sequence)
    }
}

impl Membership {
    pub(crate) fn is_probe_due(&self, now: Time) -> bool {
        now >= self.prober.next_probe_at
    }

    /// When probing has something to do next.
    pub(crate) fn next_probe_event_at(&self) -> Time {
        let time_out = self.prober.probe.as_ref().and_then(|probe| probe.times_out_at);
        self.prober.next_probe_at.min(time_out.unwrap_or(Time::NEVER))
    }

    /// Asks others to help if the probe has had no answer in time.
    pub(crate) fn request_indirect_probes_if_due(&mut self, now: Time) {
        let Some(probe) = &mut self.prober.probe else { return };
        if probe.times_out_at.is_none_or(|time| time > now) {
            return;
        }
        probe.times_out_at = None;
        let Probe { target, sequence, .. } = probe.clone();
        let id = target.member.id;
        let address = target.member.gossip_address;
        for helper in self.pick_random_live(self.timings.indirect_probes, Some(&id)) {
            let request = Message::PingRequest { sequence, target: id.clone(), address };
            self.send_to(helper.member.gossip_address, &helper.member.id, &request);
        }
    }

    /// Suspects the target of a probe that has had no answer at all.
    pub(crate) fn suspect_unresponsive_target(&mut self, now: Time) {
        let Some(probe) = self.prober.probe.take() else { return };
        let id = &probe.target.member.id;
        let Some(held) = self.table.get(id).cloned() else { return };
        // Whatever else is held by now is news from after the ping.
        if held != probe.target || held.status != Status::Alive {
            return;
        }
        let suspect = Record { status: Status::Suspect, ..held.clone() };
        self.dissemination.enqueue(id);
        self.prober.suspects.push_back(id.clone());
        self.store_record(now, suspect, Some(&held));
    }

    /// Pings the next member of the round, and some of those that are suspected.
    pub(crate) fn start_probe(&mut self, now: Time) {
        let interval = jitter(&mut self.rng, self.timings.probe_interval, PROBE_JITTER);
        self.prober.next_probe_at = now + interval;
        self.ping_suspects();
        let Some(target) = self.next_target() else { return };
        let sequence = self.prober.next_sequence();
        let time_out = Some(now + self.timings.probe_timeout);
        self.send_to(target.member.gossip_address, &target.member.id, &Message::Ping { sequence });
        self.prober.probe = Some(Probe { target, sequence, times_out_at: time_out });
    }

    /// The pings carry the suspicion, and the answers the refutation.
    fn ping_suspects(&mut self) {
        let waiting = self.prober.suspects.len();
        let mut pinged = 0;
        for _ in 0..waiting {
            let Some(id) = self.prober.suspects.pop_front() else { return };
            let held = self.table.get(&id).filter(|held| held.status == Status::Suspect);
            let Some(address) = held.map(|held| held.member.gossip_address) else { continue };
            if pinged < MAX_REPEATED_PINGS {
                pinged += 1;
                let sequence = self.prober.next_sequence();
                self.send_to(address, &id, &Message::Ping { sequence });
            }
            self.prober.suspects.push_back(id);
        }
    }

    fn next_target(&mut self) -> Option<Record> {
        self.next_target_in_round().or_else(|| {
            self.start_round();
            self.next_target_in_round()
        })
    }

    fn next_target_in_round(&mut self) -> Option<Record> {
        while let Some(id) = self.prober.round.get(self.prober.position) {
            self.prober.position += 1;
            if let Some(record) = self.table.get_live(id) {
                return Some(record.clone());
            }
        }
        None
    }

    fn start_round(&mut self) {
        let live = self.table.records().filter(|record| record.status.is_live());
        let others = live.map(|record| &record.member.id).filter(|id| **id != self.local_id);
        let mut round: Vec<MemberId> = others.cloned().collect();
        self.rng.shuffle(&mut round);
        self.prober.round = round;
        self.prober.position = 0;
    }

    /// Up to `count` different live members, chosen at random, without `except`.
    pub(crate) fn pick_random_live(&mut self, count: usize, except: Option<&MemberId>) -> Vec<Record> {
        let mut picked: Vec<Record> = Vec::with_capacity(count);
        for _ in 0..count * MAX_PICK_ATTEMPTS {
            if picked.len() == count {
                break;
            }
            let index = self.rng.index(self.prober.round.len());
            let Some(id) = self.prober.round.get(index) else { break };
            let taken = picked.iter().any(|record| record.member.id == *id);
            if taken || except == Some(id) {
                continue;
            }
            picked.extend(self.table.get_live(id).cloned());
        }
        picked
    }

    /// Sends datagrams for nothing but updates, while there are any.
    pub(crate) fn send_gossip(&mut self) {
        for record in self.pick_random_live(self.timings.gossip_fanout, None) {
            if self.dissemination.is_empty() {
                return;
            }
            self.send_to(record.member.gossip_address, &record.member.id, &Message::Gossip);
        }
    }

    pub(crate) fn handle_ack(&mut self, sequence: Sequence, sender: &MemberId) {
        self.complete_probe(sequence, sender);
        let mut relayed = self.prober.indirect_probes_in_flight.iter();
        let found = relayed.position(|relayed| relayed.sequence == sequence && relayed.target == *sender);
        let Some(IndirectProbe { target, origin, origin_sequence, .. }) =
            found.and_then(|index| self.prober.indirect_probes_in_flight.remove(index))
        else {
            return;
        };
        let answer = Message::IndirectAck { sequence: origin_sequence, target };
        let news_of_target = self.table.get(sender).cloned();
        self.send(origin, &answer, Vec::from_iter(news_of_target));
    }

    pub(crate) fn handle_indirect_ack(&mut self, sequence: Sequence, target: &MemberId) {
        self.complete_probe(sequence, target);
    }

    /// An answer counts only if it comes from the target: addresses are reused.
    fn complete_probe(&mut self, sequence: Sequence, id: &MemberId) {
        let settles = |probe: &Probe| probe.sequence == sequence && probe.target.member.id == *id;
        if self.prober.probe.as_ref().is_some_and(settles) {
            self.prober.probe = None;
        }
    }

    /// Pings `target` for another member, and remembers whom the answer is for.
    pub(crate) fn handle_ping_request(
        &mut self, origin: SocketAddr, origin_sequence: Sequence, target: MemberId, address: SocketAddr,
    ) {
        if target == self.local_id {
            return;
        }
        let sequence = self.prober.next_sequence();
        self.send_to(address, &target, &Message::Ping { sequence });
        if self.prober.indirect_probes_in_flight.len() >= MAX_INDIRECT_PROBES_IN_FLIGHT {
            self.prober.indirect_probes_in_flight.pop_front();
        }
        self.prober.indirect_probes_in_flight.push_back(IndirectProbe {
            sequence,
            target,
            origin,
            origin_sequence,
        });
    }
}
