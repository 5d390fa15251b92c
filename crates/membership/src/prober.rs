//! State of failure detection: the probe in flight, the probe round and probes made for other members.

use std::collections::VecDeque;
use std::net::SocketAddr;

use juniperwing_clock::{Span, Time};

use crate::jitter::jitter;
use crate::member::{MemberId, Record};
use crate::settings::Timings;
use crate::table::MAX_MEMBERS;
use crate::wire::Sequence;
use juniperwing_random::Rng;

/// How far the interval between probes varies, so that members do not probe in step.
pub(crate) const PROBE_JITTER: f64 = 0.1;

/// The most probes for others of which an answer is passed on.
pub(crate) const MAX_INDIRECT_PROBES_IN_FLIGHT: usize = 64;

/// The most suspects that are pinged again in one probe interval.
pub(crate) const MAX_REPEATED_PINGS: usize = 2;

/// How many picks are tried for each member that is wanted, as some turn out to be of no use.
pub(crate) const MAX_PICK_ATTEMPTS: usize = 4;

/// The probe that is under way.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    /// What was held of the target when it was pinged.
    pub(crate) target: Record,
    pub(crate) sequence: Sequence,
    /// When others are asked to help; `None` once they have been.
    pub(crate) times_out_at: Option<Time>,
}

/// A probe for another member.
#[derive(Clone, Debug)]
pub(crate) struct IndirectProbe {
    pub(crate) sequence: Sequence,
    pub(crate) target: MemberId,
    pub(crate) origin: SocketAddr,
    pub(crate) origin_sequence: Sequence,
}

/// The state of failure detection.
#[derive(Clone, Debug)]
pub(crate) struct Prober {
    pub(crate) probe_interval: Span,
    pub(crate) next_probe_at: Time,
    pub(crate) probe: Option<Probe>,
    /// The round of probes: members in random order, some of which may be gone by the time they are reached.
    pub(crate) round: Vec<MemberId>,
    pub(crate) position: usize,
    pub(crate) last_sequence: u32,
    pub(crate) indirect_probes_in_flight: VecDeque<IndirectProbe>,
    /// Members that this one has suspected first hand; they are pinged again until that is settled.
    pub(crate) suspects: VecDeque<MemberId>,
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

    pub(crate) fn next_sequence(&mut self) -> Sequence {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        Sequence(self.last_sequence)
    }
}
