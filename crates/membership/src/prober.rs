//! State of failure detection: the probe in flight, the probe round and probes made for other members.

use std::collections::VecDeque;
use std::net::SocketAddr;

use juniperwing_clock::{Span, Time};
use juniperwing_random::Rng;

use crate::jitter::jitter;
use crate::member::{MemberId, Record};
use crate::settings::Timings;
use crate::table::MAX_MEMBERS;
use crate::wire::Sequence;

/// Fraction by which the probe interval varies, so that members do not probe in lockstep.
pub(crate) const PROBE_JITTER: f64 = 0.1;

/// Maximum number of probes made for other members whose acks are awaited.
pub(crate) const MAX_INDIRECT_PROBES_IN_FLIGHT: usize = 64;

/// Maximum number of suspects that are pinged again in one probe interval.
pub(crate) const MAX_REPEATED_PINGS: usize = 2;

/// Maximum number of attempts per random member requested: a pick may be a duplicate or not live.
pub(crate) const MAX_PICK_ATTEMPTS: usize = 4;

/// The probe in flight.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    /// The record of the target at the time of the ping.
    pub(crate) target: Record,
    pub(crate) sequence: Sequence,
    /// When indirect probes are requested; `None` once they have been.
    pub(crate) times_out_at: Option<Time>,
}

/// A ping sent on behalf of another member, the origin of a ping-req.
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
    /// The probe round: members in random order. Some may no longer be live when they are due.
    pub(crate) round: Vec<MemberId>,
    /// Index in the round of the next target.
    pub(crate) position: usize,
    pub(crate) last_sequence: u32,
    pub(crate) indirect_probes_in_flight: VecDeque<IndirectProbe>,
    /// Members that this one suspected itself; they are pinged again until they refute it or are declared dead.
    pub(crate) suspects: VecDeque<MemberId>,
}

impl Prober {
    /// A prober without a probe in flight; the first probe starts within one interval.
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

    /// Inserts a member at a random position of the remaining round.
    pub fn insert_target(&mut self, id: &MemberId, rng: &mut Rng) {
        if self.round.len() >= 2 * MAX_MEMBERS {
            return;
        }
        let remaining = self.round.len() - self.position;
        let index = self.position + rng.index(remaining + 1);
        self.round.insert(index, id.clone());
    }

    /// Discards the probe in flight after a pause of the process.
    pub fn handle_pause(&mut self, now: Time) {
        self.probe = None;
        self.next_probe_at = now + self.probe_interval;
    }

    pub(crate) fn next_sequence(&mut self) -> Sequence {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        Sequence(self.last_sequence)
    }
}
