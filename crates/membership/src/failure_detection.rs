//! Failure detection: direct probes, indirect probes through other members, and suspicion.

use std::net::SocketAddr;

use juniperwing_clock::Time;

use crate::jitter::jitter;
use crate::member::{MemberId, Record, Status};
use crate::membership::Membership;
use crate::prober::{
    IndirectProbe, MAX_INDIRECT_PROBES_IN_FLIGHT, MAX_PICK_ATTEMPTS, MAX_REPEATED_PINGS, PROBE_JITTER, Probe,
};
use crate::wire::{Message, Sequence};

impl Membership {
    pub(crate) fn is_probe_due(&self, now: Time) -> bool {
        now >= self.prober.next_probe_at
    }

    /// When the next probe starts or the current one times out and needs indirect probes.
    pub(crate) fn next_probe_event_at(&self) -> Time {
        let timeout_at = self.prober.probe.as_ref().and_then(|probe| probe.times_out_at);
        self.prober.next_probe_at.min(timeout_at.unwrap_or(Time::NEVER))
    }

    /// Sends ping-reqs if the probe in flight was not acked in time.
    pub(crate) fn request_indirect_probes_if_due(&mut self, now: Time) {
        let Some(probe) = &mut self.prober.probe else { return };
        if probe.times_out_at.is_none_or(|time| time > now) {
            return;
        }
        probe.times_out_at = None;
        let Probe { target, sequence, .. } = probe.clone();
        let id = target.member.id;
        let address = target.member.gossip_address;
        for proxy in self.pick_random_live(self.timings.indirect_probes, Some(&id)) {
            let request = Message::PingRequest { sequence, target: id.clone(), address };
            self.send_to(proxy.member.gossip_address, &proxy.member.id, &request);
        }
    }

    /// Suspects the target of a probe that was acked neither directly nor indirectly.
    pub(crate) fn suspect_unresponsive_target(&mut self, now: Time) {
        let Some(probe) = self.prober.probe.take() else { return };
        let id = &probe.target.member.id;
        let Some(known) = self.table.get(id).cloned() else { return };
        // A newer record was received after the ping, so the missing ack is no evidence any more.
        if known != probe.target || known.status != Status::Alive {
            return;
        }
        let suspect = Record { status: Status::Suspect, ..known.clone() };
        self.dissemination.enqueue(id);
        self.prober.suspects.push_back(id.clone());
        self.store_record(now, suspect, Some(&known));
    }

    /// Pings the next member of the round, and some suspects.
    pub(crate) fn start_probe(&mut self, now: Time) {
        let interval = jitter(&mut self.rng, self.timings.probe_interval, PROBE_JITTER);
        self.prober.next_probe_at = now + interval;
        self.ping_suspects();
        let Some(target) = self.next_target() else { return };
        let sequence = self.prober.next_sequence();
        let timeout_at = Some(now + self.timings.probe_timeout);
        self.send_to(target.member.gossip_address, &target.member.id, &Message::Ping { sequence });
        self.prober.probe = Some(Probe { target, sequence, times_out_at: timeout_at });
    }

    /// Pings suspects again: the pings carry the suspicion, and the acks the refutation.
    fn ping_suspects(&mut self) {
        let suspect_count = self.prober.suspects.len();
        let mut ping_count = 0;
        for _ in 0..suspect_count {
            let Some(id) = self.prober.suspects.pop_front() else { return };
            let known = self.table.get(&id).filter(|known| known.status == Status::Suspect);
            let Some(address) = known.map(|known| known.member.gossip_address) else { continue };
            if ping_count < MAX_REPEATED_PINGS {
                ping_count += 1;
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

    /// Up to `count` distinct live members, chosen at random, excluding `except`.
    pub(crate) fn pick_random_live(&mut self, count: usize, except: Option<&MemberId>) -> Vec<Record> {
        let mut picked: Vec<Record> = Vec::with_capacity(count);
        for _ in 0..count * MAX_PICK_ATTEMPTS {
            if picked.len() == count {
                break;
            }
            let index = self.rng.index(self.prober.round.len());
            let Some(id) = self.prober.round.get(index) else { break };
            let is_picked = picked.iter().any(|record| record.member.id == *id);
            if is_picked || except == Some(id) {
                continue;
            }
            picked.extend(self.table.get_live(id).cloned());
        }
        picked
    }

    /// Sends datagrams that carry only updates, while there are any.
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
        let mut indirect_probes = self.prober.indirect_probes_in_flight.iter();
        let found = indirect_probes.position(|probe| probe.sequence == sequence && probe.target == *sender);
        let Some(IndirectProbe { target, origin, origin_sequence, .. }) =
            found.and_then(|index| self.prober.indirect_probes_in_flight.remove(index))
        else {
            return;
        };
        let ack = Message::IndirectAck { sequence: origin_sequence, target };
        let target_record = self.table.get(sender).cloned();
        self.send(origin, &ack, Vec::from_iter(target_record));
    }

    pub(crate) fn handle_indirect_ack(&mut self, sequence: Sequence, target: &MemberId) {
        self.complete_probe(sequence, target);
    }

    /// Completes the probe in flight. An ack counts only if it comes from the target, since another member may
    /// reuse the address.
    fn complete_probe(&mut self, sequence: Sequence, id: &MemberId) {
        let is_acked = |probe: &Probe| probe.sequence == sequence && probe.target.member.id == *id;
        if self.prober.probe.as_ref().is_some_and(is_acked) {
            self.prober.probe = None;
        }
    }

    /// Pings `target` on behalf of `origin`; the ack is forwarded to `origin`.
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
